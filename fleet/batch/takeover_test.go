package batch_test

import (
	"testing"

	"github.com/matryer/is"

	"burdockreach.dev/fleet/batch"
)

// newSuccessor returns a new owner that has loaded one accepted job and has read the lists of its one worker.
func newSuccessor() *batch.Model {
	m := batch.New(batch.Config{Fence: 9, Now: 1000, UnixMs: 1_000_000, LeaseMs: 6000, OrderGapMs: 3500})
	m.Update(1000, batch.ClaimMsg{Fresh: true, RenewedAt: 1000})
	m.Update(1000, batch.ServicesMsg{Services: []batch.Service{{Name: "s", Guards: true}}})
	room := batch.Size{CPU: 8000, MemMB: 8000}
	m.Update(1000, batch.WorkersMsg{All: true, Set: []batch.WorkerEntry{{ID: "w1", Service: "s", Addr: "w1", Room: room, ClockMs: 500, Born: 900_000}}})
	j := plainJob(1)
	m.Update(1000, batch.LoadedMsg{Jobs: []batch.StoredJob{{Job: j, SubmittedMs: 999_000}}, BlindMs: 13_000})
	m.Commands(1010)
	m.Update(1020, batch.PolledMsg{Worker: "w1", Sent: 1010, Born: 900_000, ClockMs: 520})
	return m
}

// newSuccessorWithMachines returns a new owner that also knows the machines. Some of their workers may be missing from
// the list of workers.
func newSuccessorWithMachines(machineWorkers ...string) *batch.Model {
	m := newSuccessor()
	var l []batch.Machine
	for _, w := range machineWorkers {
		l = append(l, batch.Machine{Name: "m-" + w, Pool: "s", State: batch.MachineUp, Room: batch.Size{CPU: 8000, MemMB: 8000}, Worker: w})
	}
	m.Update(1030, batch.MachinesMsg{Sent: 1010, List: l})
	return m
}

// starts returns the number of starts that the model orders at the given time.
func starts(m *batch.Model, now int64) int {
	n := 0
	for _, c := range m.Commands(now) {
		if _, ok := c.(batch.StartCmd); ok {
			n++
		}
	}
	return n
}

// renew tells the model that its claim was renewed at the given time.
func renew(m *batch.Model, at int64) { m.Update(at, batch.ClaimMsg{Fresh: true, RenewedAt: at}) }

func TestSuccessorWaitsForMissingEntries(t *testing.T) {
	t.Run("every machine's worker is listed", func(t *testing.T) {
		is := is.New(t)
		m := newSuccessorWithMachines("w1")
		is.Equal(starts(m, 1100)+starts(m, 1200), 4)
	})
	t.Run("a machine's worker is missing", func(t *testing.T) {
		is := is.New(t)
		m := newSuccessorWithMachines("w1", "w2") // w2 may run tasks, and its entry has lapsed.
		is.Equal(starts(m, 1100)+starts(m, 1200)+starts(m, 3700)+starts(m, 13_900), 0)
		renew(m, 14_050)
		is.Equal(starts(m, 14_100)+starts(m, 14_200), 4)
	})
	t.Run("a machine's worker is missing until it is listed", func(t *testing.T) {
		is := is.New(t)
		m := newSuccessorWithMachines("w1", "w2")
		is.Equal(starts(m, 1100), 0)
		m.Update(1200, batch.WorkersMsg{Set: []batch.WorkerEntry{{ID: "w2", Service: "s", Addr: "w2", Room: batch.Size{CPU: 8000}, ClockMs: 1, Born: 900_000}}})
		is.Equal(starts(m, 1210)+starts(m, 1260), 0) // its lists have not been read.
		m.Update(1270, batch.PolledMsg{Worker: "w2", Sent: 1265, Born: 900_000, ClockMs: 2})
		is.Equal(starts(m, 1320)+starts(m, 1380), 4)
	})
	t.Run("a machine of another pool has none", func(t *testing.T) {
		is := is.New(t)
		m := newSuccessorWithMachines("w1")
		m.Update(1040, batch.MachinesMsg{Sent: 1035, List: []batch.Machine{
			{Name: "m-w1", Pool: "s", State: batch.MachineUp, Worker: "w1"}, {Name: "m-w2", Pool: "other", State: batch.MachineUp, Worker: "w2"},
		}})
		is.Equal(starts(m, 1100)+starts(m, 1200), 4)
	})
	t.Run("the machines are not known", func(t *testing.T) {
		is := is.New(t)
		m := newSuccessor()
		m.Update(1031, batch.MachinesMsg{Sent: 1010, Failed: true})
		is.Equal(starts(m, 1100)+starts(m, 13_900), 0)
		renew(m, 14_050)
		is.Equal(starts(m, 14_100)+starts(m, 14_200), 4)
	})
	t.Run("the machines are not known late in the life of the process", func(t *testing.T) {
		is := is.New(t)
		m := newSuccessor()
		m.Update(10_000, batch.MachinesMsg{Sent: 9_990, Failed: true})
		is.Equal(starts(m, 10_100)+starts(m, 13_900), 0)
		renew(m, 14_050)
		is.Equal(starts(m, 14_100)+starts(m, 14_200), 4)
	})
	t.Run("a worker has not been read", func(t *testing.T) {
		is := is.New(t)
		m := newSuccessorWithMachines("w1")
		m.Update(1040, batch.WorkersMsg{Set: []batch.WorkerEntry{{ID: "w2", Service: "s", Addr: "w2", Room: batch.Size{CPU: 8000}, ClockMs: 1, Born: 900_000}}})
		is.Equal(starts(m, 1100)+starts(m, 5000), 0)
		m.Update(5010, batch.BlindMsg{ForMs: 500}) // the former owner is gone, so its orders cannot be carried out any more.
		renew(m, 5500)
		is.Equal(starts(m, 5600)+starts(m, 5700), 0)
		renew(m, 5710) // no poll of this owner has extended the lease of w2.
		is.Equal(starts(m, 5720)+starts(m, 5800), 4)
	})
}

// An owner that may have lost its claim must not conclude from the time alone that the tasks of its predecessor do not run any more: its
// successor may have found them and extended their leases.
func TestSuccessorWithoutClaimWaits(t *testing.T) {
	is := is.New(t)
	m := newSuccessorWithMachines("w1", "w2") // w2 is not listed.
	m.Update(1700, batch.ClaimMsg{Fresh: false, RenewedAt: 1500})
	is.Equal(starts(m, 14_100)+starts(m, 14_200), 0)
	renew(m, 20_000) // the claim has not lapsed after all.
	is.Equal(starts(m, 20_100)+starts(m, 20_200), 4)
}

// A poll must not extend the lease of a worker whose lists have not been read: what a former owner started there would go on while it is
// started elsewhere, and the present lifetime may be younger than the known one.
func TestPollOfUnreadWorkerExtendsNoLease(t *testing.T) {
	is := is.New(t)
	m := newSuccessorWithMachines("w1")
	m.Update(13_000, batch.WorkersMsg{Set: []batch.WorkerEntry{{ID: "w2", Service: "s", Addr: "w2", Room: batch.Size{CPU: 8000}, ClockMs: 1, Born: 900_000}}})
	asked := 0
	for now := int64(13_010); now < 13_900; now += 10 {
		for _, c := range m.Commands(now) {
			if k, ok := c.(batch.PollCmd); ok && k.Worker == "w2" {
				asked++
				is.Equal(k.UntilMs, int64(0))
				m.Update(now, batch.PolledMsg{Worker: "w2", Sent: now, Result: batch.NoAnswer})
			}
		}
	}
	is.True(asked > 1)
	renew(m, 13_900)
	is.Equal(starts(m, 13_910)+starts(m, 13_990), 0)
	renew(m, 14_050)
	is.Equal(starts(m, 14_100)+starts(m, 14_200), 4)
}

// Workers must not be polled before the records are loaded: their lists would name tasks that the model does not know
// yet.
func TestWorkersAreReadAfterTheRecords(t *testing.T) {
	is := is.New(t)
	m := batch.New(batch.Config{Fence: 9, Now: 1000, UnixMs: 1_000_000, LeaseMs: 6000})
	m.Update(1000, batch.WorkersMsg{All: true, Set: []batch.WorkerEntry{{ID: "w1", Service: "s", Addr: "w1", Room: batch.Size{CPU: 1}, ClockMs: 5}}})
	is.Equal(polls(m, 1100), 0)
	m.Update(1110, batch.LoadedMsg{})
	is.Equal(polls(m, 1200), 1)
}

// polls returns the number of polls that the model orders at the given time.
func polls(m *batch.Model, now int64) int {
	n := 0
	for _, c := range m.Commands(now) {
		if _, ok := c.(batch.PollCmd); ok {
			n++
		}
	}
	return n
}

// A worker that stops answering must lose its lease although it is still polled. Its tasks start elsewhere within the
// time of the lease.
func TestSilentWorkerLapses(t *testing.T) {
	is := is.New(t)
	m := batch.New(batch.Config{Fence: 9, Now: 1000, UnixMs: 1_000_000, LeaseMs: 6000, OrderGapMs: 3500})
	room := batch.Size{CPU: 8000, MemMB: 8000}
	set := []batch.WorkerEntry{{ID: "w1", Service: "s", Addr: "w1", Room: room, ClockMs: 5}, {ID: "w2", Service: "s", Addr: "w2", Room: room, ClockMs: 5}}
	m.Update(1000, batch.WorkersMsg{All: true, Set: set})
	m.Update(1000, batch.LoadedMsg{})
	j := plainJob(1)
	j.Steps = []batch.Step{{Count: 1, Size: batch.Size{CPU: 100}, EstimateMs: 60_000}}
	m.Update(1000, batch.SubmitMsg{Ref: 1, Job: j})
	first, second := "", ""
	var again int64
	for now := int64(1000); now < 12_000 && second == ""; now += 10 {
		m.Update(now, batch.ClaimMsg{Fresh: true, RenewedAt: now})
		for _, c := range m.Commands(now) {
			switch k := c.(type) {
			case batch.CommitCmd:
				m.Update(now, batch.CommittedMsg{ID: k.ID, Rev: now})
			case batch.PollCmd:
				g := batch.PolledMsg{Worker: k.Worker, Sent: now, ClockMs: now, Born: 1}
				if k.Worker == first {
					g = batch.PolledMsg{Worker: k.Worker, Sent: now, Result: batch.NoAnswer}
				}
				m.Update(now, g)
			case batch.StartCmd:
				if first == "" {
					first = k.Worker
				} else {
					second, again = k.Worker, now
				}
				m.Update(now, batch.StartedMsg{Worker: k.Worker, Task: k.Task, Run: k.Run, ClockMs: now, Sent: now})
			}
		}
	}
	is.True(second != "" && second != first)
	is.True(again <= 1000+5000*102/100+1000) // the lease on the slowest clock, and one second.
}

// A worker that was not told to forget a failed run lists it again. A failure that is stored already must not count
// twice.
func TestFailuresCountOnce(t *testing.T) {
	is := is.New(t)
	m := batch.New(batch.Config{Fence: 9, Now: 1000, UnixMs: 1_000_000, LeaseMs: 6000, OrderGapMs: 3500})
	m.Update(1000, batch.ClaimMsg{Fresh: true, RenewedAt: 1000})
	m.Update(1000, batch.WorkersMsg{All: true, Set: []batch.WorkerEntry{{ID: "w1", Service: "s", Addr: "w1", Room: batch.Size{CPU: 8000, MemMB: 8000}, ClockMs: 5}}})
	j := plainJob(1)
	j.Steps = []batch.Step{{Count: 1, Size: batch.Size{CPU: 100}, EstimateMs: 500}}
	failed := map[string][]int{"0.0.0": {1, 2, 3}}
	m.Update(1000, batch.LoadedMsg{
		Jobs: []batch.StoredJob{{Job: j, SubmittedMs: 999_000}}, Runs: []batch.StoredRun{{ID: j.ID, Rev: 7, Failed: failed}},
	})
	m.Commands(1010)
	n := batch.TaskName{Job: j.ID}
	m.Update(1020, batch.PolledMsg{Worker: "w1", Sent: 1010, ClockMs: 20, Born: 1, Ended: []batch.EndedRun{
		{Number: 1, Task: n, Run: 2, Reason: batch.EndFailed}, {Number: 2, Task: n, Run: 3, Reason: batch.EndFailed},
	}})
	is.Equal(starts(m, 1100)+starts(m, 1200), 1) // the fourth and last attempt.
}

// The records of ended jobs are removed, from memory and from the store, some time after callers can no longer query
// their state.
func TestEndedJobsAreForgotten(t *testing.T) {
	is := is.New(t)
	m := batch.New(batch.Config{Fence: 9, Now: 1000, UnixMs: 1_000_000, LeaseMs: 6000, StatusMs: 10_000})
	id := jobID(1)
	m.Update(1000, batch.LoadedMsg{Runs: []batch.StoredRun{{ID: id, Rev: 7, State: batch.StateCompleted}}})
	removed := func(until int64) (rows []batch.Row) {
		for now := m.Now(); now < until; now += 50 {
			for _, c := range m.Commands(now) {
				if k, ok := c.(batch.CommitCmd); ok {
					rows = append(rows, k.Rows...)
					m.Update(now, batch.CommittedMsg{ID: k.ID, Rev: now})
				}
			}
		}
		return rows
	}
	is.Equal(len(removed(20_000)), 0)
	is.Equal(m.State(id), batch.StateCompleted)
	is.Equal(removed(30_000), []batch.Row{
		{Key: batch.RunPrefix + id, Rev: 7, Guarded: true, Delete: true}, {Key: batch.JobPrefix + id, Delete: true},
	})
	is.Equal(m.State(id), batch.StateAbsent)
}

// loseAnswers plays one worker that answers no start and loses the answer to one poll. It checks that the worker's lease never expires,
// and returns the number of stops and the highest run number of the starts.
func loseAnswers(is *is.I, j batch.Job) (stops, highestRun int) {
	is.Helper()
	m := batch.New(batch.Config{Fence: 9, Now: 1000, UnixMs: 1_000_000, LeaseMs: 6000, OrderGapMs: 3500})
	room := batch.Size{CPU: 8000, MemMB: 8000}
	m.Update(1000, batch.WorkersMsg{All: true, Set: []batch.WorkerEntry{{ID: "w1", Service: "s", Addr: "w1", Room: room, ClockMs: 5}}})
	m.Update(1000, batch.LoadedMsg{})
	m.Update(1000, batch.SubmitMsg{Ref: 1, Job: j})
	var until, last int64 // on the worker's clock, which shows the same time as ours.
	lost := false
	for now := int64(1000); now < 20_000; now += 10 {
		m.Update(now, batch.ClaimMsg{Fresh: true, RenewedAt: now})
		for _, c := range m.Commands(now) {
			switch k := c.(type) {
			case batch.CommitCmd:
				m.Update(now, batch.CommittedMsg{ID: k.ID, Rev: now})
			case batch.StartCmd:
				highestRun = max(highestRun, k.Run)
			case batch.StopCmd:
				stops++
			case batch.PollCmd:
				if until > 0 {
					is.True(now < until) // the lease has not expired.
				}
				is.True(k.UntilMs > 0 || last == 0 || lost) // only a lifetime that has not answered gets no lease.
				if k.UntilMs > 0 {
					until = k.UntilMs
				}
				last = now
				if now < 3_000 || lost { // the answers to one poll and to all starts are lost.
					m.Update(now, batch.PolledMsg{Worker: k.Worker, Sent: now, ClockMs: now, Born: 1})
				}
				lost = now >= 3_000
			}
		}
	}
	is.True(last > 15_000)
	return stops, highestRun
}

// A poll or a start whose answer is lost must be given up. Otherwise the worker's lease would expire and the task would
// never run. A lasting task is started again without a stop, as it might serve.
func TestLostAnswersAreGivenUp(t *testing.T) {
	t.Run("short task", func(t *testing.T) {
		is := is.New(t)
		stops, _ := loseAnswers(is, quarterJob(1))
		is.True(stops > 0)
	})
	t.Run("lasting task", func(t *testing.T) {
		is := is.New(t)
		stops, run := loseAnswers(is, longJob(1))
		is.Equal(stops, 0)
		is.True(run > 1)
	})
}

// A former owner may have seen a step end: by a copy that its successor does not know, or by the answer to a poll that was waiting at the
// worker when the successor's first poll came. The successor must not start the next steps until it has read the lists of all workers.
func TestSuccessorOfEndsThatFormerOwnerKnows(t *testing.T) {
	const readAt, heldMs = 20, 2_000 // when the worker is first read, and how long it may hold a poll of the former owner, on its clock.
	play := func(copied bool, endedAt int64) (m *batch.Model, now int64) {
		m = batch.New(batch.Config{Fence: 9, Now: 1000, UnixMs: 1_000_000, LeaseMs: 6000, OrderGapMs: 3500})
		m.Update(1000, batch.ClaimMsg{Fresh: true, RenewedAt: 1000})
		room := batch.Size{CPU: 8000, MemMB: 8000}
		var set []batch.WorkerEntry
		var list []batch.Machine
		for _, w := range []string{"w1", "w2"} {
			set = append(set, batch.WorkerEntry{ID: w, Service: "s", Addr: w, Room: room, ClockMs: 5, Born: 1})
			list = append(list, batch.Machine{Name: "m-" + w, Pool: "s", State: batch.MachineUp, Room: room, Worker: w})
		}
		m.Update(1000, batch.WorkersMsg{All: true, Set: set})
		j := plainJob(1)
		j.Steps[0].Count, j.Steps[0].Copies = 1, true
		m.Update(1000, batch.LoadedMsg{Jobs: []batch.StoredJob{{Job: j, SubmittedMs: 999_000}}, Runs: []batch.StoredRun{{ID: j.ID, Rev: 7, Copied: copied}}, BlindMs: 13_000})
		m.Update(1000, batch.MachinesMsg{Sent: 1000, List: list})
		n := batch.TaskName{Job: j.ID}
		for now = 1_010; now < 1_000+endedAt; now += 10 {
			for _, c := range m.Commands(now) {
				if k, ok := c.(batch.PollCmd); ok && k.Worker == "w1" {
					m.Update(now+10, batch.PolledMsg{Worker: "w1", Sent: now, Born: 1, ClockMs: now - 990, Running: []batch.ActiveRun{{Task: n, Run: 1, Percent: 90}}})
				}
			}
		}
		m.Update(now, batch.PolledMsg{Worker: "w1", Sent: now - 10, Born: 1, ClockMs: now - 1_000, Ended: []batch.EndedRun{{Number: 1, Task: n, Run: 1, Reason: batch.EndDone}}})
		return m, now
	}
	waits := func(t *testing.T, copied bool, endedAt int64) {
		t.Helper()
		is := is.New(t)
		m, now := play(copied, endedAt)
		is.Equal(starts(m, now+10)+starts(m, now+100)+starts(m, 13_900), 0)
		renew(m, 14_050)
		is.Equal(starts(m, 14_100)+starts(m, 14_200), 3)
	}
	t.Run("an end after the last poll of the former owner", func(t *testing.T) {
		m, now := play(false, readAt+heldMs+500)
		is.New(t).Equal(starts(m, now+10)+starts(m, now+100), 3)
	})
	t.Run("an end that a poll of the former owner may show", func(t *testing.T) { waits(t, false, readAt+heldMs-10) })
	t.Run("copies", func(t *testing.T) { waits(t, true, readAt+heldMs+500) })
}

// Before a run with a number above 1, an earlier run may have ended, without the successor's knowledge, at a worker
// whose lists have not been read. The task must wait for that worker. So must the task of a first run whose end a poll of the former owner
// may have shown: the former owner starts it again.
func TestSuccessorOfLaterRuns(t *testing.T) {
	play := func(run int, runsMs int64) int {
		m := newSuccessorWithMachines("w1", "w2")
		m.Update(1040, batch.WorkersMsg{Set: []batch.WorkerEntry{{ID: "w2", Service: "s", Addr: "w2", Room: batch.Size{CPU: 8000}, ClockMs: 1, Born: 900_000}}})
		n := batch.TaskName{Job: jobID(1)}
		return startsAfterAdopting(m, n, run, runsMs)
	}
	t.Run("the first run", func(t *testing.T) { is.New(t).Equal(play(1, 2_500), 1) })
	t.Run("the first run, with an end that the former owner may know", func(t *testing.T) { is.New(t).Equal(play(1, 1_900), 0) })
	t.Run("the second run", func(t *testing.T) { is.New(t).Equal(play(2, 2_500), 0) })
}

// startsAfterAdopting lets the model find the run at a newly listed worker and lets the run fail after runsMs milliseconds. It returns how
// often the model then starts the task.
func startsAfterAdopting(m *batch.Model, n batch.TaskName, run int, runsMs int64) int {
	m.Update(1050, batch.WorkersMsg{Set: []batch.WorkerEntry{{ID: "w3", Service: "s", Addr: "w3", Room: batch.Size{CPU: 8000, MemMB: 8000}, ClockMs: 1, Born: 900_000}}})
	m.Commands(1100)
	m.Update(1110, batch.PolledMsg{Worker: "w3", Sent: 1100, Born: 900_000, ClockMs: 50, Running: []batch.ActiveRun{{Task: n, Run: run, Percent: 10}}})
	end := 1_110 + runsMs
	m.Commands(end - 100)
	m.Update(end-90, batch.PolledMsg{Worker: "w3", Sent: end - 100, Born: 900_000, ClockMs: runsMs - 50, Running: []batch.ActiveRun{{Task: n, Run: run, Percent: 90}}})
	m.Commands(end - 50)
	m.Update(end, batch.PolledMsg{Worker: "w3", Sent: end - 50, Born: 900_000, ClockMs: runsMs + 50, Ended: []batch.EndedRun{{Number: 1, Task: n, Run: run, Reason: batch.EndFailed}}})
	return starts(m, end+40) + starts(m, end+140)
}

// startsAfterLifetime runs one lasting task at w0, whose lifetime then ends as end says, and returns the starts of the next 3 s. The
// owner's claim is certain meanwhile, or it is not.
func startsAfterLifetime(claimFresh bool, end func(m *batch.Model, now int64)) []batch.StartCmd {
	m := batch.New(batch.Config{Fence: 9, Now: 1000, UnixMs: 1000, LeaseMs: 6000})
	m.Update(1000, batch.ServicesMsg{Services: []batch.Service{{Name: "s"}}})
	entry := func(id string, born int64) batch.WorkerEntry {
		return batch.WorkerEntry{ID: id, Service: "s", Addr: id, Room: batch.Size{CPU: 4000, MemMB: 1000}, ClockMs: 5, Born: born}
	}
	m.Update(1000, batch.WorkersMsg{All: true, Set: []batch.WorkerEntry{entry("w0", 500), entry("w1", 500)}})
	m.Update(1000, batch.LoadedMsg{})
	m.Update(1000, batch.ClaimMsg{Fresh: true, RenewedAt: 1000})
	j := lastingStepJob(1, 1, 1)
	m.Update(1000, batch.SubmitMsg{Ref: 1, Job: j})
	var starts []batch.StartCmd
	lost := ""
	for now := int64(1010); now < 5_000; now += 10 {
		if now == 2_000 {
			lost = starts[0].Worker
			starts = nil
			m.Update(now, batch.ClaimMsg{Fresh: claimFresh, RenewedAt: now})
			end(m, now)
		}
		for _, c := range m.Commands(now) {
			switch k := c.(type) {
			case batch.CommitCmd:
				m.Update(now, batch.CommittedMsg{ID: k.ID, Rev: now})
			case batch.StartCmd:
				starts = append(starts, k)
				m.Update(now, batch.StartedMsg{Worker: k.Worker, Task: k.Task, Run: k.Run, ClockMs: now, Sent: now})
			case batch.PollCmd:
				if k.Worker != lost {
					m.Update(now, batch.PolledMsg{Worker: k.Worker, Sent: now, ClockMs: now, Born: 500, Running: activeRuns(starts, k.Worker)})
				}
			}
		}
	}
	return starts
}

func activeRuns(l []batch.StartCmd, worker string) []batch.ActiveRun {
	var a []batch.ActiveRun
	for _, c := range l {
		if c.Worker == worker {
			a = append(a, batch.ActiveRun{Task: c.Task, Run: c.Run, Percent: 100})
		}
	}
	return a
}

// An owner whose claim may have run out must not start elsewhere what ran at a worker whose lifetime has ended: its successor may have
// ended the lifetime, and has started it.
func TestEndedLifetimeWithoutClaim(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(m *batch.Model, now int64)
	}{
		{"replaced", func(m *batch.Model, now int64) {
			m.Update(now, batch.PolledMsg{Worker: "w0", Sent: now, Result: batch.WrongWorker})
		}},
		{"restarted", func(m *batch.Model, now int64) {
			m.Update(now, batch.PolledMsg{Worker: "w0", Sent: now, ClockMs: 5, Born: now})
		}},
		{"machine down", func(m *batch.Model, now int64) {
			m.Update(now, batch.MachinesMsg{Sent: now - 20, List: []batch.Machine{{Name: "m0", Pool: "s", State: batch.MachineUp, Worker: "w0"}}})
			m.Update(now, batch.MachinesMsg{Sent: now - 10, List: []batch.Machine{{Name: "m0", Pool: "s", State: batch.MachineDown}}})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(len(startsAfterLifetime(true, c.end)), 1)
			is.Equal(len(startsAfterLifetime(false, c.end)), 0)
		})
	}
}

// A worker that is silent goes on with what it runs until its lease has expired, unless the list of machines shows that its lifetime is
// over.
func TestSilentWorkerKeepsItsRuns(t *testing.T) {
	machine := func(name, worker string, s batch.MachineState) batch.Machine {
		return batch.Machine{Name: name, Pool: "s", State: s, Worker: worker, Room: batch.Size{CPU: 4000, MemMB: 1000}}
	}
	for _, c := range []struct {
		name   string
		list   []batch.Machine
		starts int
	}{
		{"up", []batch.Machine{machine("m0", "w0", batch.MachineUp), machine("m1", "w1", batch.MachineUp)}, 0},
		{"not in a list that lacks machines", []batch.Machine{machine("m1", "w1", batch.MachineUp)}, 0},
		{"down", []batch.Machine{machine("m0", "", batch.MachineDown), machine("m1", "w1", batch.MachineUp)}, 1},
		{"replaced", []batch.Machine{machine("m0", "w7", batch.MachineUp), machine("m1", "w1", batch.MachineUp)}, 1},
		{"on no machine", []batch.Machine{machine("m1", "w1", batch.MachineUp), machine("m2", "", batch.MachineUp)}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := startsAfterLifetime(true, func(m *batch.Model, now int64) {
				m.Update(now, batch.MachinesMsg{Sent: now - 50, List: []batch.Machine{machine("m0", "w0", batch.MachineUp), machine("m1", "w1", batch.MachineUp)}})
				m.Update(now, batch.PolledMsg{Worker: "w0", Sent: now, Result: batch.NoAnswer})
				m.Update(now+20, batch.MachinesMsg{Sent: now + 10, List: c.list})
			})
			is.Equal(len(l), c.starts)
		})
	}
}
