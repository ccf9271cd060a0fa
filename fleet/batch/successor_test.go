package batch_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"burdockreach.dev/fleet/batch"
)

// fourTaskJob returns a job of one step with four tasks.
func fourTaskJob() batch.Job {
	j := plainJob(1)
	j.Steps = []batch.Step{{Count: 4, Size: batch.Size{CPU: 1000}, EstimateMs: 600}}
	return j
}

// startedTasks returns the run number of each task that the owner has started, by task.
func startedTasks(b *harness) map[batch.TaskName]int {
	l := map[batch.TaskName]int{}
	for _, s := range b.starts {
		l[s.Task] = s.Run
	}
	return l
}

// ordered lets ms milliseconds pass in which no call is answered, and returns the tasks that the owner starts or stops.
func ordered(b *harness, ms int64) []batch.TaskName {
	var l []batch.TaskName
	for end := b.now + ms; b.now < end; b.now += 10 {
		for _, c := range b.Commands(b.now) {
			switch k := c.(type) {
			case batch.StartCmd:
				l = append(l, k.Task)
			case batch.StopCmd:
				l = append(l, k.Task)
			}
		}
	}
	return l
}

// A former owner whose clock was ahead stores submissions that lie in its successor's future. The successor must not drop their progress
// and start again what is done.
func TestSuccessorWithEarlierClock(t *testing.T) {
	j := fourTaskJob()
	load := func(aheadMs int64) *harness {
		return newHarnessWith(batch.LoadedMsg{
			Jobs: []batch.StoredJob{{Job: j, SubmittedMs: 1_000_000 + aheadMs}},
			Runs: []batch.StoredRun{{ID: j.ID, Rev: 7, Done: map[string]string{"0.0": "1100"}, Last: map[string]int{"0.0.2": 3}}},
		}, "w1")
	}
	for _, c := range []struct {
		name    string
		aheadMs int64
	}{{"the same time", 0}, {"2 s ahead", 2_000}, {"an hour ahead", 3_600_000}} {
		t.Run(c.name, func(t *testing.T) {
			b := load(c.aheadMs)
			is.New(t).Equal(startedTasks(b), map[batch.TaskName]int{{Job: j.ID, Index: 2}: 4, {Job: j.ID, Index: 3}: 1})
		})
	}
}

// The occurrences of a repeated job that a former owner has opened are kept, although they are not due yet by the successor's clock. Their
// waiting tasks start once they are due.
func TestSuccessorKeepsOccurrencesAheadOfItsClock(t *testing.T) {
	j := fourTaskJob()
	j.Rounds, j.FirstMs, j.EveryMs = 3, 1_000_000, 2_000
	done := batch.StoredRun{ID: j.ID, Rev: 7, Rounds: []int{0}, Done: map[string]string{"1.0": "1100"}}
	jobs := []batch.StoredJob{{Job: j, SubmittedMs: 999_000}}
	t.Run("by the record", func(t *testing.T) {
		is := is.New(t)
		b := newHarnessWith(batch.LoadedMsg{Jobs: jobs, Runs: []batch.StoredRun{done}}, "w1")
		is.Equal(len(b.starts), 0) // the second occurrence is due 2 s after the takeover.
		b.advance(2_000)
		is.Equal(startedTasks(b), map[batch.TaskName]int{{Job: j.ID, Round: 1, Index: 2}: 1, {Job: j.ID, Round: 1, Index: 3}: 1})
	})
	t.Run("by a worker's list", func(t *testing.T) {
		is := is.New(t)
		b := newUnreadHarness("w1")
		b.Update(b.now, batch.LoadedMsg{Jobs: jobs, Runs: []batch.StoredRun{{ID: j.ID, Rev: 7, Rounds: []int{0}}}})
		b.Commands(b.now)
		task := func(index int) batch.TaskName { return batch.TaskName{Job: j.ID, Round: 1, Index: index} }
		b.listRuns("w1", []batch.ActiveRun{{Task: task(1), Run: 1, Percent: 10}}, batch.EndedRun{Number: 1, Task: task(0), Run: 1, Reason: batch.EndDone})
		is.Equal(len(ordered(b, 1_900)), 0)
		l := ordered(b, 300)
		is.Equal(len(l), 2)
		is.Equal(l[0], batch.TaskName{Job: j.ID, Round: 1, Index: 2})
		is.Equal(l[1], batch.TaskName{Job: j.ID, Round: 1, Index: 3})
	})
}

// A worker that lists more ends than fit in one answer has been read only once the last of them is known. A successor must not start what
// has ended beyond the first part of the list.
func TestSuccessorReadsListsInParts(t *testing.T) {
	j := fourTaskJob()
	ended := func(number int) batch.EndedRun {
		return batch.EndedRun{Number: int64(number), Task: batch.TaskName{Job: j.ID, Index: number - 1}, Run: 1, Reason: batch.EndDone}
	}
	// play returns a successor whose worker lists two ends in its first answer, and the others once the first are forgotten.
	play := func(answersAll bool) *harness {
		b := newUnreadHarness("w1", "w2")
		b.polled = func(k batch.PollCmd) batch.PolledMsg {
			g := batch.PolledMsg{Worker: k.Worker, Sent: b.now, ClockMs: b.now, Born: 1}
			switch {
			case k.Worker == "w2":
			case k.ForgetUpTo < 2 && b.now < 1_200:
				g.Ended, g.ListFull = []batch.EndedRun{ended(1), ended(2)}, true
			case answersAll:
				g.Ended = []batch.EndedRun{ended(3), ended(4)}
			default:
				g.Result = batch.NoAnswer
			}
			return g
		}
		b.Update(b.now, batch.LoadedMsg{Jobs: []batch.StoredJob{{Job: j, SubmittedMs: 999_000}}})
		return b
	}
	t.Run("all parts are read", func(t *testing.T) {
		is := is.New(t)
		b := play(true)
		b.advance(3_000)
		is.Equal(len(b.starts), 0)
		is.Equal(b.State(j.ID), batch.StateCompleted)
	})
	t.Run("the worker falls silent after the first part", func(t *testing.T) {
		is := is.New(t)
		b := play(false)
		b.advance(4_000)
		is.Equal(len(b.starts), 0) // its lease has not expired.
		b.advance(3_000)
		l := startedTasks(b)
		is.Equal(len(l), 2)
		is.True(l[batch.TaskName{Job: j.ID, Index: 2}] > 0 && l[batch.TaskName{Job: j.ID, Index: 3}] > 0)
	})
}

// A job whose occurrences have more tasks than may be open together keeps their progress at a change of owner: those that are done take no
// room.
func TestSuccessorOfManyOccurrences(t *testing.T) {
	is := is.New(t)
	const occurrences, tasks = 60, 2_000 // 120,000 tasks, 50,000 of which may be open.
	j := fourTaskJob()
	j.Steps[0].Count, j.Rounds, j.FirstMs, j.EveryMs = tasks, occurrences, 900_000, 1_000
	r := batch.StoredRun{ID: j.ID, Rev: 7, Done: map[string]string{"59.0": strings.Repeat("1", tasks-3) + "000"}}
	for n := range occurrences - 1 {
		r.Rounds = append(r.Rounds, n)
	}
	b := newHarnessWith(batch.LoadedMsg{Jobs: []batch.StoredJob{{Job: j, SubmittedMs: 890_000}}, Runs: []batch.StoredRun{r}}, "w1")
	l := startedTasks(b)
	is.Equal(len(l), 3)
	for i := tasks - 3; i < tasks; i++ {
		is.Equal(l[batch.TaskName{Job: j.ID, Round: 59, Index: i}], 1)
	}
	is.Equal(batch.OpenTasks(b.Model, j.ID), 3)
}

// A write of an acceptance that was not answered may be made seconds later, when the job has ended and its record is gone. The record must
// not outlive that of the end: an owner that finds it alone runs the job again.
func TestLateAcceptanceIsRemoved(t *testing.T) {
	is := is.New(t)
	j := fourTaskJob()
	b := newHarnessOf(batch.Config{StatusMs: 10_000}, "w1")
	b.Update(b.now, batch.LoadedMsg{})
	b.storeDown = true
	b.Update(b.now, batch.SubmitMsg{Ref: 1, Job: j})
	b.advance(50)
	b.storeDown = false
	b.polled = func(k batch.PollCmd) batch.PolledMsg {
		g := batch.PolledMsg{Worker: k.Worker, Sent: b.now, ClockMs: b.now, Born: 1}
		for i, s := range b.starts {
			if n := int64(i + 1); n > k.ForgetUpTo {
				g.Ended = append(g.Ended, batch.EndedRun{Number: n, Task: s.Task, Run: s.Run, Reason: batch.EndDone})
			}
		}
		return g
	}
	b.advance(1_000)
	is.Equal(b.State(j.ID), batch.StateCompleted)
	is.Equal(b.stored[batch.JobPrefix+j.ID], nil)
	b.stored[batch.JobPrefix+j.ID] = []byte("{}") // the write that was not answered is made now.
	b.advance(30_000)
	is.Equal(b.State(j.ID), batch.StateAbsent)
	is.Equal(len(b.stored), 0)
}

// Guards against a gang's next step, or its next run, that a successor and the former owner both start: each can learn of the end from
// another member. The successor must not conclude from one member's end that the former owner does not know of it.
func TestSuccessorOfGang(t *testing.T) {
	// play ends a gang at w1 and w2 after runsMs, while the former owner may give orders at w3. Of the workers, the successor reads those
	// in read. It reports whether the
	// successor starts any task.
	play := func(how batch.EndReason, runsMs int64, read ...string) bool {
		b := newUnreadHarness("w1", "w2", "w3")
		member := func(w string) batch.TaskName {
			return batch.TaskName{Job: jobID(1), Index: slices.Index([]string{"w1", "w2"}, w)}
		}
		end := b.now + runsMs
		b.polled = func(k batch.PollCmd) batch.PolledMsg {
			g := batch.PolledMsg{Worker: k.Worker, Sent: b.now, ClockMs: b.now, Born: 1}
			switch {
			case !slices.Contains(read, k.Worker):
				g.Result = batch.NoAnswer
			case k.Worker == "w3":
			case b.now < end:
				g.Running = []batch.ActiveRun{{Task: member(k.Worker), Run: 1, Percent: 50}}
			default:
				g.Ended = []batch.EndedRun{{Number: 1, Task: member(k.Worker), Run: 1, Reason: how}}
			}
			return g
		}
		j := plainJob(1)
		j.Steps = []batch.Step{
			{Count: 2, Size: batch.Size{CPU: 1000}, EstimateMs: 3_000, Gang: true}, {Count: 2, Size: batch.Size{CPU: 1000}, EstimateMs: 600, After: []int{0}},
		}
		b.Update(b.now, batch.LoadedMsg{Jobs: []batch.StoredJob{{Job: j, SubmittedMs: 999_000}}, BlindMs: 18_000, FormerFence: 8})
		var l []batch.Machine
		for _, w := range []string{"w1", "w2", "w3"} {
			l = append(l, batch.Machine{Name: "m-" + w, Pool: "s", State: batch.MachineUp, Worker: w})
		}
		b.Update(b.now, batch.MachinesMsg{Sent: b.now, List: l})
		b.advance(runsMs + 1_000)
		return len(b.starts) > 0
	}
	const late, early = 3_000, 1_500 // an early end may show in a poll of the former owner that still waits.
	for _, how := range []batch.EndReason{batch.EndDone, batch.EndFailed} {
		t.Run(string(how), func(t *testing.T) {
			is := is.New(t)
			is.True(!play(how, late, "w1", "w3"))
			is.True(!play(how, early, "w1", "w2"))
			is.True(play(how, late, "w1", "w2"))
			is.True(play(how, late, "w1", "w2", "w3"))
		})
	}
}
