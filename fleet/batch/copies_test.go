package batch_test

import (
	"testing"

	"github.com/matryer/is"

	"burdockreach.dev/fleet/batch"
)

// A slow task gets a speculative copy on another worker if its job allows it. Once one run is done, the other is
// stopped.
func TestCopies(t *testing.T) {
	store := true
	play := func(copies bool, percent int) *harness {
		b := newHarness("w1", "w2")
		b.Update(b.now, batch.SubmitMsg{Ref: 1, Job: batch.Job{ID: jobID(1), Queue: "q", Service: "s", ObjectiveExtraMs: 9000, Steps: []batch.Step{
			{Count: 1, Size: batch.Size{CPU: 1000}, EstimateMs: 500, Copies: copies},
		}}})
		b.advance(900)
		b.storeDown = !store
		b.listRuns(b.starts[0].Worker, []batch.ActiveRun{{Task: b.starts[0].Task, Run: 1, Percent: percent}})
		b.advance(400)
		return b
	}
	t.Run("it lags", func(t *testing.T) {
		is := is.New(t)
		b := play(true, 10)
		is.Equal(len(b.starts), 2)
		first, second := b.starts[0], b.starts[1]
		is.True(first.Worker != second.Worker)
		is.Equal(second.Run, 2)
		b.listRuns(second.Worker, nil, batch.EndedRun{Number: 1, Task: second.Task, Run: 2, Reason: batch.EndDone})
		b.advance(100)
		is.Equal(b.State(jobID(1)), batch.StateCompleted)
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

// A task of a higher priority preempts tasks that resume from a checkpoint, as many as needed; other tasks run to their
// end.
func TestPreemption(t *testing.T) {
	play := func(saves bool, priority int) *harness {
		b := newHarness("w1")
		b.Update(b.now, batch.SubmitMsg{Ref: 1, Job: batch.Job{ID: jobID(1), Queue: "q", Service: "s", Priority: 1, ObjectiveExtraMs: 90_000, Steps: []batch.Step{
			{Count: 4, Size: batch.Size{CPU: 1000}, EstimateMs: 5000, Checkpoints: saves},
		}}})
		b.advance(200)
		b.Update(b.now, batch.SubmitMsg{Ref: 2, Job: batch.Job{ID: jobID(2), Queue: "u", Service: "s", Priority: priority, ObjectiveExtraMs: 90_000, Steps: []batch.Step{
			{Count: 1, Size: batch.Size{CPU: 2000}, EstimateMs: 500},
		}}})
		b.advance(200)
		return b
	}
	t.Run("as many as are needed", func(t *testing.T) {
		is := is.New(t)
		b := play(true, 0)
		is.Equal(len(b.stops), 2)
		var ends []batch.EndedRun
		for i, s := range b.stops {
			ends = append(ends, batch.EndedRun{Number: int64(i + 1), Task: s.Task, Run: s.Run, Reason: batch.EndStopped, Checkpoint: "c"})
		}
		var left []batch.ActiveRun
		for _, s := range b.starts {
			if s.Task != b.stops[0].Task && s.Task != b.stops[1].Task {
				left = append(left, batch.ActiveRun{Task: s.Task, Run: s.Run, Percent: 10})
			}
		}
		b.listRuns("w1", left, ends...)
		b.advance(100)
		is.Equal(len(b.starts), 5)
		is.Equal(b.starts[4].Task.Job, jobID(2))
	})
	t.Run("nothing saved", func(t *testing.T) { is.New(t).Equal(len(play(false, 0).stops), 0) })
	t.Run("the same priority", func(t *testing.T) { is.New(t).Equal(len(play(true, 1).stops), 0) })
}
