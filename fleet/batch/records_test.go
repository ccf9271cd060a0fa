package batch_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"burdockreach.dev/fleet/batch"
)

// taskJob returns a job with one step of n tasks on different workers.
func taskJob(id, n int, s batch.Step) batch.Job {
	s.Count, s.Size, s.EstimateMs, s.PerWorker = n, batch.Size{CPU: 1000}, 500, 1
	return batch.Job{ID: jobID(id), Queue: "q", Service: "s", Attempts: 3, ObjectiveExtraMs: 60_000, Steps: []batch.Step{s}}
}

// submitted returns a harness that has started the tasks of j.
func submitted(j batch.Job) *harness {
	b := newHarness("w1", "w2")
	b.Update(b.now, batch.SubmitMsg{Ref: 1, Job: j})
	b.advance(100)
	return b
}

// successor returns an owner that reads j and its progress from the store of b.
func successor(t *testing.T, b *harness, j batch.Job) *harness {
	t.Helper()
	l := batch.LoadedMsg{Jobs: []batch.StoredJob{{Job: j, SubmittedMs: 999_000}}, Runs: []batch.StoredRun{b.record(t, j.ID)}}
	n := newHarnessWith(l, "w1", "w2")
	n.advance(200)
	return n
}

// A successor knows the failed runs, the checkpoints and the highest run numbers of a job, and that there may be copies.
func TestSuccessorReadsProgress(t *testing.T) {
	t.Run("failed runs count on", func(t *testing.T) {
		is := is.New(t)
		j := taskJob(1, 1, batch.Step{})
		b := submitted(j)
		for n := range 2 {
			s := b.starts[n]
			b.listRuns(s.Worker, nil, batch.EndedRun{Number: int64(n + 1), Task: s.Task, Run: s.Run, Reason: batch.EndFailed})
			b.advance(100)
		}
		next := successor(t, b, j)
		is.Equal(len(next.starts), 1)
		s := next.starts[0]
		next.listRuns(s.Worker, nil, batch.EndedRun{Number: 9, Task: s.Task, Run: s.Run, Reason: batch.EndFailed})
		next.advance(100)
		is.Equal(next.State(j.ID), batch.StateFailed)
	})
	t.Run("checkpoints and run numbers", func(t *testing.T) {
		is := is.New(t)
		j := taskJob(1, 2, batch.Step{Checkpoints: true})
		b := submitted(j)
		first, second := b.starts[0], b.starts[1]
		b.listRuns(first.Worker, nil, batch.EndedRun{Number: 1, Task: first.Task, Run: 1, Reason: batch.EndStopped, Checkpoint: "c1"})
		b.advance(100)
		b.listRuns(second.Worker, nil, batch.EndedRun{Number: 2, Task: second.Task, Run: 1, Reason: batch.EndDone})
		b.advance(100)
		next := successor(t, b, j)
		is.Equal(len(next.starts), 1)
		is.Equal(next.starts[0].Task, first.Task)
		is.Equal(next.starts[0].Checkpoint, "c1")
		is.True(next.starts[0].Run > b.starts[2].Run)
	})
	t.Run("copies", func(t *testing.T) {
		is := is.New(t)
		j := taskJob(1, 1, batch.Step{Copies: true})
		b := submitted(j)
		b.advance(900)
		b.listRuns(b.starts[0].Worker, []batch.ActiveRun{{Task: b.starts[0].Task, Run: 1, Percent: 10}})
		b.advance(400)
		is.Equal(len(b.starts), 2)
		is.True(b.record(t, j.ID).Copied)
	})
}

// A submission that arrives before the records have been read waits for them: the job may have been accepted before.
func TestSubmissionWaitsForRecords(t *testing.T) {
	is := is.New(t)
	j := taskJob(1, 2, batch.Step{})
	b := newHarness("w1", "w2")
	b.Update(b.now, batch.SubmitMsg{Ref: 1, Job: j})
	b.advance(100)
	s := b.starts[0]
	b.listRuns(s.Worker, nil, batch.EndedRun{Number: 1, Task: s.Task, Run: 1, Reason: batch.EndDone})
	b.advance(100)
	l := batch.LoadedMsg{Jobs: []batch.StoredJob{{Job: j, SubmittedMs: 999_000}}, Runs: []batch.StoredRun{b.record(t, j.ID)}}
	next := newUnreadHarness("w1", "w2")
	next.Update(next.now, batch.SubmitMsg{Ref: 1, Job: j})
	next.Update(next.now, l)
	next.advance(200)
	is.Equal(len(next.starts), 1)
	is.True(next.starts[0].Task != s.Task)
}

// A job's record is written by one transaction at a time, and callers see the job's end only once the record has it.
func TestEndIsShownOnceStored(t *testing.T) {
	is := is.New(t)
	j := taskJob(1, 2, batch.Step{})
	b := submitted(j)
	b.holding = true
	for n, s := range b.starts {
		b.listRuns(s.Worker, nil, batch.EndedRun{Number: int64(n + 1), Task: s.Task, Run: s.Run, Reason: batch.EndDone})
		b.advance(100)
	}
	is.Equal(len(b.held), 1)
	b.commitHeld()
	is.Equal(b.State(j.ID), batch.StateRunning)
	b.advance(100)
	b.commitHeld()
	is.Equal(b.State(j.ID), batch.StateCompleted)
}

// What certainly cannot be served is refused at once, with the time to come back.
func TestRefusedAtOnce(t *testing.T) {
	refusal := func(t *testing.T, b *harness, j batch.Job, reason string) {
		t.Helper()
		is := is.New(t)
		b.replies = nil
		b.Update(b.now, batch.SubmitMsg{Ref: 77, Job: j})
		b.advance(10)
		is.Equal(len(b.replies), 1)
		is.Equal(b.replies[0].Verdict, batch.Refused)
		is.True(b.replies[0].RetryAfterMs > 0)
		is.True(strings.Contains(b.replies[0].Reason, reason))
	}
	t.Run("the pool is full", func(t *testing.T) {
		b := newHarness("w1", "w2")
		for n := range 200 {
			long := taskJob(100+n, 2, batch.Step{})
			long.Steps[0].EstimateMs = 5_000
			b.Update(b.now, batch.SubmitMsg{Ref: uint64(100 + n), Job: long})
		}
		b.advance(100)
		short := taskJob(1, 1, batch.Step{})
		short.ObjectiveExtraMs = 0
		refusal(t, b, short, "the pool is full")
	})
	t.Run("the store does not answer", func(t *testing.T) {
		b := newHarness("w1", "w2")
		b.refusing = true
		b.Update(b.now, batch.SubmitMsg{Ref: 1, Job: taskJob(1, 1, batch.Step{})})
		b.advance(50)
		refusal(t, b, taskJob(2, 1, batch.Step{}), "the store does not answer")
	})
}

// While the store takes no writes, a long queue of writes is tried a few at a time, and goes on once the store takes them again.
func TestFailingStoreGetsFewWrites(t *testing.T) {
	is := is.New(t)
	b := newHarness("w1", "w2")
	b.holding = true
	for n := range 600 {
		b.Update(b.now, batch.SubmitMsg{Ref: uint64(n + 1), Job: taskJob(n+1, 1, batch.Step{})})
	}
	b.advance(10)
	first := len(b.held)
	is.True(first > 8) // a healthy store gets all at once.
	for _, k := range b.held {
		b.Update(b.now, batch.CommittedMsg{ID: k.ID, Outcome: batch.Unknown})
	}
	b.held = nil
	b.advance(100)
	is.True(len(b.held) > 0 && len(b.held) <= 4)
	b.commitHeld()
	b.advance(100)
	is.True(len(b.held) > 8)
}

// Jobs that come one by one while writes are in flight share a transaction: each transaction costs the owner processor time.
func TestSingleJobsShareTransactions(t *testing.T) {
	is := is.New(t)
	b := newHarness("w1", "w2")
	b.holding = true
	for n := range 20 {
		b.Update(b.now, batch.SubmitMsg{Ref: uint64(n + 1), Job: taskJob(n+1, 1, batch.Step{})})
		b.advance(10)
	}
	is.True(len(b.held) > 0 && len(b.held) <= 4)
	b.commitHeld()
	b.advance(50)
	is.Equal(len(b.held), 1)
}
