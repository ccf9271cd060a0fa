package batch_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"burdockreach.dev/fleet/batch"
)

// newTeamHarness returns a harness with team a limited to the given CPU, and team b without a limit.
func newTeamHarness(cpu int64, workers ...string) *harness {
	b := newHarness(workers...)
	b.limit(cpu)
	return b
}

// limit sets the CPU that team a may have running; 0 for no limit.
func (b *harness) limit(cpu int64) {
	b.Update(b.now, batch.TeamsMsg{Teams: []batch.Team{{Name: "a", Limit: batch.Size{CPU: cpu}}, {Name: "b"}}})
}

// teamStep returns a job of one step; it may end late.
func teamStep(n int, team string, count int, cpu int64) batch.Job {
	return batch.Job{ID: jobID(n), Queue: "q", Service: "s", Team: team, ObjectiveExtraMs: 90_000, Steps: []batch.Step{
		{Count: count, Size: batch.Size{CPU: cpu}, EstimateMs: 500},
	}}
}

// send submits a job and lets 200 ms pass.
func (b *harness) send(j batch.Job) {
	b.Update(b.now, batch.SubmitMsg{Ref: uint64(len(b.replies) + 1), Job: j})
	b.advance(200)
}

// startsOf returns the number of starts of a job.
func (b *harness) startsOf(n int) int {
	k := 0
	for _, s := range b.starts {
		if s.Task.Job == jobID(n) {
			k++
		}
	}
	return k
}

// end delivers a worker's list in which the n-th start has ended, as its first end, and all its other starts run.
func (b *harness) end(n int) {
	s := b.starts[n]
	var l []batch.ActiveRun
	for i, o := range b.starts {
		if i != n && o.Worker == s.Worker {
			l = append(l, batch.ActiveRun{Task: o.Task, Run: o.Run})
		}
	}
	b.listRuns(s.Worker, l, batch.EndedRun{Number: 1, Task: s.Task, Run: s.Run, Reason: batch.EndDone})
	b.advance(100)
}

// hasLog reports whether an event was logged.
func (b *harness) hasLog(event string) bool {
	return slices.ContainsFunc(b.logs, func(l batch.LogCmd) bool { return l.Event == event })
}

func TestTeamLimit(t *testing.T) {
	t.Run("a wide step runs in waves", func(t *testing.T) {
		is := is.New(t)
		b := newTeamHarness(2_000, "w0", "w1")
		b.send(teamStep(1, "a", 5, 1_000))
		is.Equal(b.startsOf(1), 2)
		b.end(0)
		is.Equal(b.startsOf(1), 3)
	})
	t.Run("others use the room", func(t *testing.T) { // a team at its limit must reserve no worker.
		is := is.New(t)
		b := newTeamHarness(1_000, "w0")
		b.send(teamStep(1, "a", 1, 1_000))
		b.send(teamStep(2, "a", 1, 4_000))
		b.send(teamStep(3, "b", 3, 1_000))
		is.Equal([]int{b.startsOf(1), b.startsOf(2), b.startsOf(3)}, []int{1, 0, 3})
	})
	t.Run("nothing is preempted", func(t *testing.T) {
		is := is.New(t)
		b := newTeamHarness(1_000, "w0")
		low := teamStep(1, "b", 3, 1_000)
		low.Priority, low.Steps[0].Checkpoints = 1, true
		b.send(low)
		b.send(teamStep(2, "a", 2, 1_000))
		is.Equal([]int{b.startsOf(1), b.startsOf(2), len(b.stops)}, []int{3, 1, 0})
	})
	t.Run("no advice is asked for", func(t *testing.T) {
		is := is.New(t)
		b := newTeamHarness(1_000, "w0", "w1")
		b.send(teamStep(1, "a", 1, 1_000))
		j := teamStep(2, "a", 1, 1_000)
		j.Advised = true
		b.send(j)
		is.Equal(b.advised, 0)
	})
	t.Run("a task larger than the limit runs alone", func(t *testing.T) {
		is := is.New(t)
		b := newTeamHarness(1_000, "w0")
		b.send(teamStep(1, "a", 2, 1_500))
		is.Equal(b.startsOf(1), 1)
		b.end(0)
		is.Equal(b.startsOf(1), 2)
	})
	t.Run("a fallen limit stops nothing", func(t *testing.T) {
		is := is.New(t)
		b := newTeamHarness(3_000, "w0")
		b.send(teamStep(1, "a", 4, 1_000))
		b.limit(1_000)
		b.advance(200)
		is.Equal([]int{b.startsOf(1), len(b.stops)}, []int{3, 0})
	})
	t.Run("a raised limit lets more start", func(t *testing.T) {
		is := is.New(t)
		b := newTeamHarness(1_000, "w0")
		b.send(teamStep(1, "a", 3, 1_000))
		b.limit(0)
		b.advance(200)
		is.Equal(b.startsOf(1), 3)
	})
	t.Run("before the first configuration", func(t *testing.T) {
		is := is.New(t)
		b := newHarness("w0")
		b.send(teamStep(1, "a", 1, 1_000))
		b.send(teamStep(2, "", 1, 1_000))
		is.Equal([]int{b.startsOf(1), b.startsOf(2)}, []int{0, 1})
		b.limit(1_000)
		b.advance(200)
		is.Equal(b.startsOf(1), 1)
	})
}

// Small tasks of a team must not keep a large one of the same team from ever starting, nor wait for it for 3 s while half of the limit is
// free.
func TestLargeTaskOfLimitedTeam(t *testing.T) {
	play := func(large int64) *harness {
		b := newTeamHarness(3_000, "w0", "w1")
		b.send(teamStep(1, "a", 2, 1_000))
		j := teamStep(2, "a", 1, large)
		j.Priority = 0
		b.send(j)
		b.advance(600)
		small := teamStep(3, "a", 1, 1_000)
		small.Priority = 1
		b.send(small)
		return b
	}
	t.Run("it is next", func(t *testing.T) {
		is := is.New(t)
		b := play(2_000)
		is.Equal(b.startsOf(3), 0)
		b.end(0)
		is.Equal([]int{b.startsOf(2), b.startsOf(3)}, []int{1, 0})
	})
	t.Run("it is larger than half of the limit", func(t *testing.T) {
		is := is.New(t)
		b := play(3_000)
		b.end(0)
		b.advance(1_500)
		is.Equal([]int{b.startsOf(2), b.startsOf(3)}, []int{0, 0})
		b.advance(1_000)
		is.Equal([]int{b.startsOf(2), b.startsOf(3)}, []int{0, 1})
	})
	t.Run("it may not start yet", func(t *testing.T) {
		is := is.New(t)
		b := newTeamHarness(3_000, "w0", "w1")
		b.send(teamStep(1, "a", 1, 1_000))
		b.result = batch.Rejected // tried again after 2 s.
		b.send(teamStep(2, "a", 1, 2_000))
		b.result = batch.OK
		b.send(teamStep(4, "a", 1, 1_000))
		b.advance(600)
		j := teamStep(3, "a", 1, 1_000)
		j.Priority = 1
		b.send(j)
		is.Equal([]int{b.startsOf(2), b.startsOf(4), b.startsOf(3)}, []int{1, 1, 1})
	})
	t.Run("lasting tasks leave it no room", func(t *testing.T) {
		is := is.New(t)
		b := newTeamHarness(3_000, "w0", "w1")
		l := lastingStepJob(1, 2, 1)
		l.Team = "a"
		b.send(l)
		b.send(teamStep(2, "a", 1, 2_000))
		b.advance(600)
		j := teamStep(3, "a", 1, 1_000)
		j.Priority = 1
		b.send(j)
		is.Equal([]int{b.startsOf(2), b.startsOf(3)}, []int{0, 1})
	})
}

// A gang that is larger than the limit could never start.
func TestGangOfLimitedTeam(t *testing.T) {
	gang := func() batch.Job {
		j := teamStep(2, "a", 3, 1_000)
		j.Steps[0].Gang = true
		return j
	}
	t.Run("never", func(t *testing.T) {
		is := is.New(t)
		b := newTeamHarness(2_000, "w0")
		b.send(gang())
		is.Equal(b.replies[0].Verdict, batch.Refused)
		is.True(strings.Contains(b.replies[0].Reason, "limit"))
	})
	t.Run("as a whole", func(t *testing.T) {
		is := is.New(t)
		b := newTeamHarness(3_000, "w0", "w1")
		b.send(teamStep(1, "a", 1, 1_000))
		b.send(gang())
		is.Equal(b.startsOf(2), 0)
		b.end(0)
		is.Equal(b.startsOf(2), 3)
	})
	t.Run("placed together with another job", func(t *testing.T) {
		is := is.New(t)
		b := newTeamHarness(3_000, "w0", "w1")
		b.Update(b.now, batch.SubmitMsg{Ref: 1, Job: teamStep(1, "a", 1, 1_000)})
		b.send(gang())
		is.Equal([]int{b.startsOf(1), b.startsOf(2)}, []int{1, 0})
	})
	t.Run("of an earlier limit", func(t *testing.T) {
		is := is.New(t)
		b := newTeamHarness(3_000, "w0", "w1")
		b.send(teamStep(1, "a", 1, 1_000))
		b.send(gang())
		b.limit(2_000)
		b.send(teamStep(3, "a", 1, 1_000))
		is.Equal([]int{b.startsOf(2), b.startsOf(3)}, []int{0, 1})
		is.True(b.hasLog("gang larger than its team's limit"))
	})
}

// A copy counts like any other run.
func TestCopyOfLimitedTeam(t *testing.T) {
	play := func(limit int64) int {
		b := newTeamHarness(limit, "w1", "w2")
		j := teamStep(1, "a", 1, 1_000)
		j.Steps[0].Copies = true
		b.send(j)
		b.advance(900)
		b.listRuns(b.starts[0].Worker, []batch.ActiveRun{{Task: b.starts[0].Task, Run: 1, Percent: 10}})
		b.advance(400)
		return len(b.starts)
	}
	is := is.New(t)
	is.Equal(play(1_500), 1)
	is.Equal(play(2_000), 2)
}

// A lasting task that may not start again, as its team's limit has fallen, must not be stopped for a worker that drains.
func TestEvictionOfLimitedTeam(t *testing.T) {
	play := func(limit int64) int {
		b := newTeamHarness(2_000, "w0", "w1", "w2")
		l := lastingStepJob(1, 2, 1)
		l.Team = "a"
		b.send(l)
		b.limit(limit)
		for _, s := range b.starts {
			b.listRuns(s.Worker, []batch.ActiveRun{{Task: s.Task, Run: s.Run, Percent: 100}})
		}
		w := b.starts[0].Worker
		b.Update(b.now, batch.WorkersMsg{Set: []batch.WorkerEntry{{ID: w, Service: "s", Addr: w, Room: batch.Size{CPU: 4000, MemMB: 8000}, ClockMs: 5, Born: 1, Draining: true}}})
		b.advance(200)
		return len(b.stops)
	}
	is := is.New(t)
	is.Equal(play(1_000), 0)
	is.True(play(2_000) > 0)
}

func takeOver(running ...batch.ActiveRun) *batch.Model { return takeOverWith(2_000, running...) }

// takeOverWith returns a new owner, which may be blind for 13 s, with a waiting job of the team a, which has the given limit, and one
// without a team. The former owner may have started four tasks of the team. Only w0 has been read; there, team a runs what the list says.
func takeOverWith(limit int64, running ...batch.ActiveRun) *batch.Model {
	m := batch.New(batch.Config{Fence: 9, Now: 1000, UnixMs: 1_000_000, LeaseMs: 6000, OrderGapMs: 3500})
	m.Update(1000, batch.ClaimMsg{Fresh: true, RenewedAt: 1000})
	room := batch.Size{CPU: 8000, MemMB: 8000}
	m.Update(1000, batch.ServicesMsg{Services: []batch.Service{{Name: "s"}, {Name: "other"}}})
	m.Update(1000, batch.TeamsMsg{Teams: []batch.Team{{Name: "a", Limit: batch.Size{CPU: limit}}}})
	j := teamStep(9, "a", 4, 500) // only one of its tasks finds a worker.
	j.Steps[0].PerWorker = 1
	m.Update(1000, batch.WorkersMsg{All: true, Set: []batch.WorkerEntry{
		{ID: "w0", Service: "s", Addr: "w0", Room: room, ClockMs: 5, Born: 1}, {ID: "w1", Service: "other", Addr: "w1", Room: room, ClockMs: 5, Born: 1},
	}})
	m.Update(1000, batch.LoadedMsg{BlindMs: 13_000, Jobs: []batch.StoredJob{{Job: j, SubmittedMs: 1_000_000}}})
	m.Update(1000, batch.MachinesMsg{Sent: 1000, List: []batch.Machine{
		{Name: "m0", Pool: "s", State: batch.MachineUp, Room: room, Worker: "w0"}, {Name: "m1", Pool: "other", State: batch.MachineUp, Room: room, Worker: "w1"},
	}})
	m.Commands(1010)
	m.Update(1020, batch.PolledMsg{Worker: "w0", Sent: 1010, Born: 1, ClockMs: 20, Running: running})
	for i, team := range []string{"a", ""} {
		m.Update(1020, batch.SubmitMsg{Ref: uint64(i), Job: teamStep(i+1, team, 1, 1_000)})
	}
	return m
}

// jobsStarted returns the number of starts of each of the first two jobs until the given time, while writes to the store succeed.
func jobsStarted(m *batch.Model, from, until int64) [2]int {
	var n [2]int
	var l []batch.StartCmd
	for now := from; now < until; now += 50 {
		m.Update(now, batch.ClaimMsg{Fresh: true, RenewedAt: now})
		for _, c := range m.Commands(now) {
			switch k := c.(type) {
			case batch.CommitCmd:
				m.Update(now, batch.CommittedMsg{ID: k.ID, Rev: now})
			case batch.StartCmd:
				l = append(l, k)
				for i := range n {
					if k.Task.Job == jobID(i+1) {
						n[i]++
					}
				}
			case batch.PollCmd:
				if k.Worker == "w0" {
					m.Update(now, batch.PolledMsg{Worker: "w0", Sent: now, Born: 1, ClockMs: now, Running: activeRuns(l, "w0")})
				}
			}
		}
	}
	return n
}

// A new owner that has not read a worker does not know what limited teams run there, also in other pools.
func TestNewOwnerCountsFirst(t *testing.T) {
	read := func(m *batch.Model, running ...batch.ActiveRun) {
		m.Update(1500, batch.PolledMsg{Worker: "w1", Sent: 1490, Born: 1, ClockMs: 20, Running: running})
	}
	t.Run("a worker is not read", func(t *testing.T) {
		is := is.New(t)
		m := takeOver()
		is.Equal(jobsStarted(m, 1_050, 13_900), [2]int{0, 1})
		is.Equal(jobsStarted(m, 14_050, 15_000)[0], 1) // the former owner's starts are over.
	})
	t.Run("a worker is not read, and the limit leaves room beside all that may run", func(t *testing.T) {
		is.New(t).Equal(jobsStarted(takeOverWith(3_000), 1_050, 2_000), [2]int{1, 1})
	})
	t.Run("all are read", func(t *testing.T) {
		is := is.New(t)
		m := takeOver()
		read(m)
		is.Equal(jobsStarted(m, 1_550, 2_000), [2]int{1, 1})
	})
	t.Run("a worker is not listed", func(t *testing.T) {
		is := is.New(t)
		m := takeOver()
		read(m)
		m.Update(1510, batch.MachinesMsg{Sent: 1500, List: []batch.Machine{
			{Name: "m0", Pool: "s", State: batch.MachineUp, Worker: "w0"}, {Name: "m1", Pool: "other", State: batch.MachineUp, Worker: "w1"},
			{Name: "m2", Pool: "other", State: batch.MachineUp, Worker: "w2"},
		}})
		is.Equal(jobsStarted(m, 1_550, 2_000), [2]int{0, 1})
	})
	t.Run("a run of an unknown job", func(t *testing.T) {
		is := is.New(t)
		m := takeOver()
		read(m, batch.ActiveRun{Task: batch.TaskName{Job: jobID(77)}, Run: 1})
		is.Equal(jobsStarted(m, 1_550, 2_000), [2]int{0, 1})
	})
	t.Run("a second run of a task", func(t *testing.T) { // it is stopped, and counts until it is gone.
		is := is.New(t)
		n := batch.TaskName{Job: jobID(9)}
		m := takeOver(batch.ActiveRun{Task: n, Run: 1})
		read(m, batch.ActiveRun{Task: n, Run: 2})
		l, _ := m.Teams()
		is.Equal(l[0].Used.CPU, int64(1_000))
		m.Update(1600, batch.PolledMsg{Worker: "w1", Sent: 1590, Born: 1, ClockMs: 120})
		l, _ = m.Teams()
		is.Equal(l[0].Used.CPU, int64(500))
	})
}

// A job that could end in time only beyond its team's limit is refused, and does not fill the pool for others.
func TestAdmissionOfLimitedTeam(t *testing.T) {
	is := is.New(t)
	b := newTeamHarness(1_000, "w0", "w1")
	job := func(n int, team string) batch.Job {
		j := teamStep(n, team, 10, 1_000)
		j.ObjectiveExtraMs = 3_000
		return j
	}
	for n := 1; n <= 6; n++ {
		b.send(job(n, "a"))
	}
	first := slices.IndexFunc(b.replies, func(r batch.ReplyCmd) bool { return r.Verdict == batch.Refused })
	is.True(first > 0)
	is.Equal(b.replies[first].Reason, "the team's limit is in use")
	is.True(b.replies[first].RetryAfterMs >= 200)
	b.send(job(7, "b"))
	is.Equal(b.replies[len(b.replies)-1].Verdict, batch.Accepted)
}

// Machines must not be moved for work that the limit of its team does not let run.
func TestDemandOfLimitedTeam(t *testing.T) {
	play := func(limit int64) (waiting float64, machines int) {
		b := newTeamHarness(limit, "w0")
		room := batch.Size{CPU: 4000, MemMB: 8000}
		b.Update(b.now, batch.MachinesMsg{Sent: b.now, List: []batch.Machine{{Name: "m0", Pool: "s", State: batch.MachineUp, Room: room, Worker: "w0"}}})
		b.send(teamStep(1, "a", 100, 1_000))
		b.advance(1_500)
		return batch.Demand(b.Model, "s")
	}
	is := is.New(t)
	waiting, machines := play(2_000)
	is.Equal(waiting, 0.0)
	is.Equal(machines, 2) // the least number of a pool in use.
	waiting, machines = play(0)
	is.True(waiting > 0)
	is.True(machines > 8)
}

func TestTeamsForOperators(t *testing.T) {
	is := is.New(t)
	b := newTeamHarness(2_000, "w0")
	b.send(teamStep(1, "a", 5, 1_000))
	l, n := b.Teams()
	is.Equal(n, 2)
	is.Equal(l[0], batch.TeamStatus{Team: "a", Limit: batch.Size{CPU: 2_000}, Used: batch.Size{CPU: 2_000}, Runs: 2, Waiting: 3, LimitedBy: "limit"})
	is.Equal(l[1], batch.TeamStatus{Team: "b"})
	is.True(b.hasLog("team at its limit"))
	is.True(!b.hasLog("team below its limit"))
	b.limit(9_000)
	b.advance(1_500)
	is.True(b.hasLog("team below its limit"))
}

// Many teams that reach and leave their limits must not flood the log.
func TestTeamLogsAreBounded(t *testing.T) {
	is := is.New(t)
	b := newHarness("w0")
	var l []batch.Team
	for i := range 100 {
		l = append(l, batch.Team{Name: "t" + jobID(i), Limit: batch.Size{CPU: 10}})
	}
	b.Update(b.now, batch.TeamsMsg{Teams: l})
	for i := range 100 {
		b.Update(b.now, batch.SubmitMsg{Ref: uint64(i), Job: teamStep(i, l[i].Name, 2, 10)})
	}
	b.advance(3_000)
	n := 0
	for _, x := range b.logs {
		if x.Event == "team at its limit" {
			n++
		}
	}
	is.Equal(n, 10)
	names, all := b.Teams()
	is.Equal([]int{len(names), all}, []int{40, 100})
}
