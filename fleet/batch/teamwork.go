package batch

import (
	"math"

	"burdockreach.dev/fleet/quota"
)

// Work of limited teams. What a limit does not let run takes no room from others: it counts neither as demand for machines nor in the
// backlog that other teams' jobs wait for. A team's own jobs are accepted as far as they can end in time under its limit.

// limitedBacklogMs is the time for which the work of a limited team counts in its pool's backlog, at the speed of its limit. Jobs whose
// pool is busy for longer are refused in any case.
const limitedBacklogMs = 10_000.0

// teamWork is the work of a limited team. Times are those for which it takes the whole limit, in ms.
type teamWork struct {
	backlogMs  float64 // accepted work that is not done, in all pools.
	poolMs     float64 // part of the backlog in the pool that is being placed.
	poolWork   float64 // the same in thousandths of a core times ms.
	rate       float64 // submitted work per time, averaged, as a share of the limit.
	rateAt     int64
	dueShare   float64 // waiting tasks that are due, as a share of the limit.
	formerHead *stage
}

// share returns the share of the team's limit that one task of s takes.
func (u *teamUse) share(s Step) float64 { return u.Share(quota.Size(s.Size)) }

// limitMs returns how long the job takes the whole limit of its team.
func (m *Model) limitMs(j *job, u *teamUse) float64 {
	ms := 0.0
	for _, s := range j.Steps {
		ms += float64(s.Count) * u.share(s) * m.estimator(j.Queue).expectedMs(float64(s.EstimateMs))
	}
	return ms
}

// workWithinLimit returns the part of a submitted job's work that its team's limit lets run, beside what the team has submitted lately.
func (m *Model) workWithinLimit(j *job, work float64) float64 {
	u := m.teamUse(j)
	if !u.limited() {
		return work
	}
	if m.now > u.rateAt {
		u.rate *= math.Exp(-float64(m.now-u.rateAt) / rateTimeConstantMs)
		u.rateAt = m.now
	}
	x := m.limitMs(j, u) / rateTimeConstantMs
	if x <= 0 {
		return work
	}
	f := min(max(1-u.rate, 0)/x, 1)
	u.rate += f * x
	return f * work
}

// addPoolWork adds the work of a stage to what its team has in the pool, and reports whether the team is limited.
func (u *teamUse) addPoolWork(s *stage, work int64) bool {
	if !u.limited() {
		return false
	}
	u.poolMs += math.Round(float64(s.tasksLeft) * s.runMs * u.share(s.Step)) // whole numbers, so that the order of the sum does not matter.
	u.poolWork += float64(work)
	return true
}

// setBacklog sets the pool's backlog: the work of teams without a limit, and of the others what their limits let run within the time
// that matters for admission and for machines.
func (m *Model) setBacklog(p *pool, unlimited int64) {
	p.backlog, p.runnableBacklog = float64(unlimited), float64(unlimited)
	for _, u := range m.limitedTeams {
		if u.poolMs > 0 {
			p.backlog += u.poolWork * min(limitedBacklogMs/u.poolMs, 1)
			p.runnableBacklog += u.poolWork * min(backlogDrainMs/u.poolMs, 1)
		} else {
			p.backlog, p.runnableBacklog = p.backlog+u.poolWork, p.runnableBacklog+u.poolWork
		}
		u.poolMs, u.poolWork = 0, 0
	}
}

// limitedStage is a stage of a limited team with tasks that wait.
type limitedStage struct {
	pool *pool
	*stage
	work int64
}

// shareUnits is the precision of sums of shares, a power of two.
const shareUnits = 1 << 20

// addLimitedWaiting adds the work of limited teams' waiting tasks to the demand of their pools, as far as the limits let them start.
func (m *Model) addLimitedWaiting(l []limitedStage) {
	for _, u := range m.limitedTeams {
		u.dueShare = 0
	}
	for _, s := range l {
		s.job.use.dueShare += math.Round(shareUnits*float64(s.tasksWaiting)*s.job.use.share(s.Step)) / shareUnits
	}
	m.updateRunsKnown()
	for _, s := range l {
		u := s.job.use
		if !m.teamsKnown || !m.fitsLimit(u, s.stage) {
			continue
		}
		free := max(1-u.Share(u.Used()), u.share(s.Step)) // a task larger than the limit fits alone.
		if u.dueShare > free {
			s.work = int64(float64(s.work) * free / u.dueShare)
		}
		s.pool.demand.waitingWork += float64(s.work)
	}
}

// measureTeams measures the accepted work of limited teams.
func (m *Model) measureTeams() {
	if len(m.limitedTeams) == 0 {
		return
	}
	for _, u := range m.limitedTeams {
		u.backlogMs = 0
	}
	for _, p := range m.pools {
		for _, j := range p.openJobs {
			if j.use.limited() {
				j.use.backlogMs += j.workMs()
			}
		}
	}
}

// workMs returns how long the short tasks of j that are not done take the whole limit of its team, rounded so that a sum of several does
// not depend on their order.
func (j *job) workMs() float64 {
	ms := 0.0
	for _, r := range j.rounds {
		for _, s := range r.stages {
			if !s.Lasting {
				ms += float64(s.tasksLeft) * s.runMs * j.use.share(s.Step)
			}
		}
	}
	return math.Round(ms)
}

// withinTeamLimit reports whether the limit of its team lets the job end while it is still of use. If not, it also returns why, and the
// time in ms until the team has room.
func (m *Model) withinTeamLimit(j *job) (wait int64, why string, ok bool) {
	u := m.teamUse(j)
	if !u.limited() {
		return 0, "", true
	}
	for _, s := range j.Steps {
		if s.Gang && !u.FitsTogetherBeside(quota.Size(s.Size), s.Count, quota.Size{}) {
			return maxRetryMs, "a step whose tasks run only together is larger than the team's limit", false
		}
	}
	if j.Rounds > 0 || hasLastingSteps(j) {
		return 0, "", true
	}
	speed := 1 - u.Share(u.lasting)
	own := m.limitMs(j, u)
	if own > 0 && speed <= 0 {
		return maxRetryMs, "the team's lasting tasks take up its limit", false
	}
	speed = max(speed, 1/maxLimitFactor)
	spare := maxLateFactor*float64(m.objectiveMs(j)) - max(m.chainMs(j), own/speed)
	if w := u.backlogMs / speed; w > spare {
		return int64(w - spare), "the team's limit is in use", false
	}
	u.backlogMs += own
	return 0, "", true
}

// maxLimitFactor bounds how much slower than with its whole limit a team counts.
const maxLimitFactor = 1_000.0
