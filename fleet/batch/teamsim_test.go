package batch_test

import (
	"fmt"
	"slices"

	"burdockreach.dev/fakes/worker"
	"burdockreach.dev/fleet/batch"
)

// teamChecker counts what each team has running, at the simulated workers and apart from the owners' own count. It checks the limits of
// the teams at each start, and that no job of a team with room waits for long.
type teamChecker struct {
	w       *simulation
	teams   []batch.Team
	limits  map[string][]limitAt // by team, the oldest first.
	used    map[string]batch.Size
	jobs    map[string]*teamJob // by job ID.
	starts  int
	claims  int                    // changes of the owner so far.
	peak    map[string]int64       // most CPU in use at once, by team.
	settled int64                  // when the last change of an owner was over.
	unknown map[string]*unknownUse // what the owner may still count, by run.
}

type limitAt struct {
	at    int64
	limit batch.Size
}

// unknownUse is a run that the owner may count although no worker has it: its start was sent and is not carried out, or its end cannot be
// reported yet.
type unknownUse struct {
	team, job, worker string
	size              batch.Size
	until             int64
}

// teamJob is what the workers have seen of one job.
type teamJob struct {
	active   int
	activeAt int64 // when it last had a run, or a start was sent.
	crashed  bool  // a worker crashed under it: it may be tried apart.
}

const (
	limitLagMs = 3_000 // within which a new limit must be in force.
	maxWaitMs  = 3_000 // longest time without a run while the team has room.
	unsureMs   = 4_500 // after which the owner knows that a start was not carried out.
	reportMs   = 1_500 // within which it learns of an end at a worker that can be reached, or of a crash.
)

func newTeamChecker(w *simulation) *teamChecker {
	return &teamChecker{w: w, limits: map[string][]limitAt{}, used: map[string]batch.Size{}, jobs: map[string]*teamJob{}, peak: map[string]int64{}, unknown: map[string]*unknownUse{}}
}

// hooks returns hooks that also report to the checker of teams.
func (c *teamChecker) hooks(h worker.Hooks) worker.Hooks {
	begun, ended := h.Begun, h.Ended
	h.Begun = func(w *worker.Worker, r *worker.Run) {
		delete(c.unknown, runKey(r.Task, r.Number))
		c.begun(r)
		begun(w, r)
	}
	h.Ended = func(w *worker.Worker, r *worker.Run, how batch.EndReason) {
		c.unknown[runKey(r.Task, r.Number)] = &unknownUse{c.team(r.Task.Job), r.Task.Job, w.ID(), r.Size, c.w.now + reportMs}
		c.ended(r, how)
		ended(w, r, how)
	}
	return h
}

func runKey(n batch.TaskName, run int) string { return fmt.Sprintf("%s#%d", n, run) }

// startSent records that an owner has sent a start.
func (c *teamChecker) startSent(k batch.StartCmd) {
	s := c.w.judge.FindJob(k.Task.Job).Job.Steps[k.Task.Step]
	c.unknown[runKey(k.Task, k.Run)] = &unknownUse{c.team(k.Task.Job), k.Task.Job, k.Worker, s.Size, c.w.now + unsureMs}
	c.job(k.Task.Job).activeAt = c.w.now
}

// mayCount returns what the owner may count for the team beside what runs, and the jobs that it may take for running.
func (c *teamChecker) mayCount(team string) (batch.Size, map[string]bool) {
	var n batch.Size
	jobs := map[string]bool{}
	for _, u := range c.unknown {
		if u.team == team {
			n = sum(n, u.size, 1)
		}
		jobs[u.job] = true
	}
	return n, jobs
}

// forgetUnknown forgets what the owner knows by now.
func (c *teamChecker) forgetUnknown() {
	for n, u := range c.unknown {
		if a := c.w.owners; len(a) == 0 || a[0].unreachable[u.worker] {
			u.until = max(u.until, c.w.now+reportMs)
		}
		if c.w.now > u.until {
			delete(c.unknown, n)
		}
	}
}

// set configures a team and tells the owners, each within a second. An owner that is cut off from the store is not told.
func (c *teamChecker) set(t batch.Team) {
	c.teams = slices.DeleteFunc(slices.Clone(c.teams), func(o batch.Team) bool { return o.Name == t.Name })
	c.teams = append(c.teams, t)
	c.limits[t.Name] = append(c.limits[t.Name], limitAt{c.w.now, t.Limit})
	for _, a := range c.w.owners {
		if !a.cutOff {
			c.tell(a, c.w.rnd.Int64N(1_000))
		}
	}
}

// tell gives an owner the configuration that is in force after the delay. An entry never goes back to an older one.
func (c *teamChecker) tell(a *fakeOwner, delay int64) {
	c.w.schedule(delay, func() {
		if a.alive && !a.cutOff {
			a.m.Update(c.w.now, batch.TeamsMsg{Teams: c.teams})
		}
	})
}

func (c *teamChecker) job(id string) *teamJob {
	j := c.jobs[id]
	if j == nil {
		j = &teamJob{activeAt: c.w.now}
		c.jobs[id] = j
	}
	return j
}

func (c *teamChecker) team(job string) string { return c.w.judge.FindJob(job).Job.Team }

func (c *teamChecker) begun(r *worker.Run) {
	j := c.job(r.Task.Job)
	j.active++
	j.activeAt = c.w.now
	t := c.team(r.Task.Job)
	if t == "" {
		return
	}
	before := c.used[t]
	c.used[t] = sum(before, r.Size, 1)
	c.starts++
	c.peak[t] = max(c.peak[t], c.used[t].CPU)
	for i, n := range resources(c.used[t]) {
		limit := c.bound(t, i, func(a, b int64) int64 { return max(a, b) })
		if limit > 0 && resources(r.Size)[i] > 0 && n > limit && resources(before)[i] > 0 {
			c.w.judge.AddViolation("QUOTA: %s brings resource %d of team %s from %d to %d, over %d", r.Task, i, t, resources(before)[i], n, limit)
		}
	}
}

func (c *teamChecker) ended(r *worker.Run, how batch.EndReason) {
	j := c.job(r.Task.Job)
	j.active--
	j.activeAt = c.w.now
	j.crashed = j.crashed || how == ""
	if t := c.team(r.Task.Job); t != "" {
		c.used[t] = sum(c.used[t], r.Size, -1)
	}
}

// bound returns the highest or lowest limit in force within the last limitLagMs, or since the store was last out of reach of an owner that
// still gives orders; 0 if there was none at some time and the highest is asked for, or if there is none.
func (c *teamChecker) bound(team string, resource int, pick func(a, b int64) int64) int64 {
	from := c.w.now - limitLagMs
	for _, a := range c.w.owners {
		if a.cutOff {
			from = min(from, a.renewedAt)
		}
	}
	const unlimited = int64(1) << 50
	best := int64(-1)
	l := c.limits[team]
	for i, x := range l {
		if i+1 < len(l) && l[i+1].at < from {
			continue
		}
		n := resources(x.limit)[resource]
		if n == 0 {
			n = unlimited
		}
		if best < 0 {
			best = n
		}
		best = pick(best, n)
	}
	if best < 0 || best == unlimited {
		return 0
	}
	return best
}

// checkWaits checks that no accepted job is without a run for maxWaitMs while its team has less than half of its limit in use, its tasks
// fit and two workers have room.
func (c *teamChecker) checkWaits() {
	if len(c.w.owners) != 1 || c.w.owners[0].cutOff || c.w.storeDown || c.claims != c.w.claimCount {
		c.claims = c.w.claimCount
		c.settled = c.w.now + formerOrdersMs + 1_000
	}
	c.forgetUnknown()
	_, busy := c.mayCount("")
	for _, id := range worker.Sorted(c.jobs) {
		j, k := c.jobs[id], c.w.judge.FindJob(id)
		s := k.Job.Steps[0]
		free := !j.crashed && !busy[id] && k.Accepted && j.active == 0 && c.w.now > c.settled && c.w.owners[0].m.State(id) != batch.StateCompleted && c.mayRun(k.Job.Team, s)
		if !free {
			j.activeAt = c.w.now
		} else if c.w.now-j.activeAt > maxWaitMs {
			c.w.judge.AddViolation("LOST: job %s of team %s is without a run since %d while its team uses %v and two workers have room", id, k.Job.Team, j.activeAt, c.used[k.Job.Team])
			j.activeAt = c.w.now
		}
	}
}

// mayRun reports whether the team has less than half of its limit in use and the task has room twice over.
func (c *teamChecker) mayRun(team string, s batch.Step) bool {
	extra, _ := c.mayCount(team)
	used := resources(sum(c.used[team], extra, 1))
	for i, n := range resources(s.Size) {
		limit := c.bound(team, i, func(a, b int64) int64 { return min(a, b) })
		if u := used[i]; limit > 0 && (2*u >= limit || u+n > limit) {
			return false
		}
	}
	n := 0
	for _, f := range c.w.workers {
		a := c.w.owners[0]
		free := f.Capacity()
		for _, r := range f.Runs() {
			free = sum(free, r.Size, -1)
		}
		if !f.PoweredOff() && !a.unreachable[f.ID()] && c.w.now >= c.w.unlistedUntil[f.ID()] && s.Size.Fits(free) {
			n++
		}
	}
	return n >= 2
}

func resources(s batch.Size) []int64 { return []int64{s.CPU, s.MemMB, s.GPU} }

func sum(a, b batch.Size, n int64) batch.Size {
	return batch.Size{CPU: a.CPU + n*b.CPU, MemMB: a.MemMB + n*b.MemMB, GPU: a.GPU + n*b.GPU}
}

// fallAndRise changes the limit of a random team to a quarter to one and a half of what it was at first.
func (c *teamChecker) fallAndRise(first []batch.Team) {
	t := first[c.w.rnd.IntN(len(first))]
	k := int64(1 + c.w.rnd.IntN(6))
	t.Limit = batch.Size{CPU: t.Limit.CPU * k / 4, MemMB: t.Limit.MemMB * k / 4}
	c.set(t)
}

// unequalTeams are teams of three limits and one without.
func unequalTeams() []batch.Team {
	return []batch.Team{
		{Name: "small", Weight: 1, Limit: batch.Size{CPU: 4_000}},
		{Name: "middle", Weight: 2, Limit: batch.Size{CPU: 12_000, MemMB: 8_000}},
		{Name: "large", Weight: 4, Limit: batch.Size{CPU: 32_000}},
		{Name: "free", Weight: 1},
	}
}
