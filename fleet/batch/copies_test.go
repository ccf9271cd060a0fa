package batch_test

import (
	"testing"

	"github.com/matryer/is"

	"burdockreach.dev/fleet/batch"
)

// benchModel is a model with workers that a test answers for.
type benchModel struct {
	*batch.Model
	now    int64
	away   bool // the store does not answer.
	starts []batch.StartCmd
	stops  []batch.StopCmd
}

func newBench(workers ...string) *benchModel {
	b := &benchModel{Model: batch.New(batch.Config{Fence: 9, Now: 1000, WallMs: 1_000_000, LeaseMs: 6000, DutyGapMs: 3500}), now: 1000}
	var set []batch.Entry
	for _, w := range workers {
		set = append(set, batch.Entry{ID: w, Service: "s", Addr: w, Room: batch.Size{CPU: 4000, MemMB: 8000}, ClockMs: 5, Born: 1})
	}
	b.Update(b.now, batch.LeaseMsg{Fresh: true, Checked: b.now})
	b.Update(b.now, batch.WorkersMsg{All: true, Set: set})
	b.Update(b.now, batch.LoadedMsg{})
	b.pass(100)
	return b
}

// pass lets ms pass; commits, starts and stops are answered at once, and workers list nothing but what tell gives.
func (b *benchModel) pass(ms int64) {
	for end := b.now + ms; b.now < end; b.now += 10 {
		b.Update(b.now, batch.LeaseMsg{Fresh: true, Checked: b.now})
		for _, c := range b.Round(b.now) {
			switch k := c.(type) {
			case batch.CommitCmd:
				if b.away {
					b.Update(b.now, batch.CommittedMsg{ID: k.ID, Outcome: batch.Unknown})
				} else {
					b.Update(b.now, batch.CommittedMsg{ID: k.ID, Rev: b.now})
				}
			case batch.StartCmd:
				b.starts = append(b.starts, k)
				b.Update(b.now, batch.StartedMsg{Worker: k.Worker, Task: k.Task, Run: k.Run, ClockMs: b.now})
			case batch.StopCmd:
				b.stops = append(b.stops, k)
				b.Update(b.now, batch.StoppedMsg{Worker: k.Worker, Task: k.Task, Run: k.Run, ClockMs: b.now})
			case batch.HoldCmd:
				if len(b.starts) == 0 {
					b.Update(b.now, batch.HeldMsg{Worker: k.Worker, Sent: b.now, ClockMs: b.now, Born: 1})
				}
			}
		}
	}
}

// tell has a worker list the given runs.
func (b *benchModel) tell(worker string, running []batch.Running, ended ...batch.Ended) {
	b.Update(b.now, batch.HeldMsg{Worker: worker, Sent: b.now, ClockMs: b.now, Born: 1, Running: running, Ended: ended})
}

// A task that lags gets a second copy elsewhere, where its job allows it; the other is stopped once one is done.
func TestCopies(t *testing.T) {
	store := true
	play := func(copies bool, percent int) *benchModel {
		b := newBench("w1", "w2")
		b.Update(b.now, batch.SubmitMsg{Ref: 1, Job: batch.Job{ID: jobID(1), Queue: "q", Service: "s", AimMs: 9000, Steps: []batch.Step{
			{Count: 1, Size: batch.Size{CPU: 1000}, EstimateMs: 500, Copies: copies},
		}}})
		b.pass(900)
		b.away = !store
		b.tell(b.starts[0].Worker, []batch.Running{{Task: b.starts[0].Task, Run: 1, Percent: percent}})
		b.pass(400)
		return b
	}
	t.Run("it lags", func(t *testing.T) {
		is := is.New(t)
		b := play(true, 10)
		is.Equal(len(b.starts), 2)
		first, second := b.starts[0], b.starts[1]
		is.True(first.Worker != second.Worker)
		is.Equal(second.Run, 2)
		b.tell(second.Worker, nil, batch.Ended{Number: 1, Task: second.Task, Run: 2, How: batch.Done})
		b.pass(100)
		is.Equal(b.State(jobID(1)), batch.Completed)
		is.Equal(b.stops[0].Worker, first.Worker)
		is.Equal(len(b.starts), 2)
	})
	t.Run("the store does not have it", func(t *testing.T) {
		store = false
		is.New(t).Equal(len(play(true, 10).starts), 1)
		store = true
	})
	t.Run("nearly done", func(t *testing.T) { is.New(t).Equal(len(play(true, 95).starts), 1) })
	t.Run("not allowed", func(t *testing.T) { is.New(t).Equal(len(play(false, 10).starts), 1) })
}

// A task of a higher priority takes the place of ones that go on from a checkpoint; others run to their end.
func TestPreemption(t *testing.T) {
	play := func(saves bool, priority int) *benchModel {
		b := newBench("w1")
		b.Update(b.now, batch.SubmitMsg{Ref: 1, Job: batch.Job{ID: jobID(1), Queue: "q", Service: "s", Priority: 1, AimMs: 90_000, Steps: []batch.Step{
			{Count: 4, Size: batch.Size{CPU: 1000}, EstimateMs: 5000, Checkpoints: saves},
		}}})
		b.pass(200)
		b.Update(b.now, batch.SubmitMsg{Ref: 2, Job: batch.Job{ID: jobID(2), Queue: "u", Service: "s", Priority: priority, AimMs: 90_000, Steps: []batch.Step{
			{Count: 1, Size: batch.Size{CPU: 2000}, EstimateMs: 500},
		}}})
		b.pass(200)
		return b
	}
	t.Run("as many as are needed", func(t *testing.T) {
		is := is.New(t)
		b := play(true, 0)
		is.Equal(len(b.stops), 2)
		var ends []batch.Ended
		for i, s := range b.stops {
			ends = append(ends, batch.Ended{Number: int64(i + 1), Task: s.Task, Run: s.Run, How: batch.Stopped, Saved: "c"})
		}
		var left []batch.Running
		for _, s := range b.starts {
			if s.Task != b.stops[0].Task && s.Task != b.stops[1].Task {
				left = append(left, batch.Running{Task: s.Task, Run: s.Run, Percent: 10})
			}
		}
		b.tell("w1", left, ends...)
		b.pass(100)
		is.Equal(len(b.starts), 5)
		is.Equal(b.starts[4].Task.Job, jobID(2))
	})
	t.Run("nothing saved", func(t *testing.T) { is.New(t).Equal(len(play(false, 0).stops), 0) })
	t.Run("the same priority", func(t *testing.T) { is.New(t).Equal(len(play(true, 1).stops), 0) })
}
