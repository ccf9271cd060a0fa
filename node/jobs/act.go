package jobs

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockreach.dev/fleet/place"
	"burdockreach.dev/plat/keyval"
	"burdockreach.dev/plat/tasks"
)

// result applies the outcome of an executed command to the term.
type result func()

// executePending executes the pending commands. Starts come last, after the commands that free capacity.
func (t *term) executePending(ctx context.Context) {
	l := t.pending
	t.pending = nil
	var starts, rest []command
	for _, c := range l {
		if _, ok := c.Cmd.(place.StartCmd); ok {
			starts = append(starts, c)
		} else {
			rest = append(rest, c)
		}
	}
	t.executeAll(ctx, rest)
	n := min(len(starts), maxWritesPerStep)
	t.executeAll(ctx, starts[:n])
	for _, c := range starts[n:] { // too many for one step: the placer places them again in the next one.
		t.feed(c.pool, place.EndedMsg{AtMillis: nowMillis(), Task: taskOf(c.Cmd), State: place.Stopped})
	}
}

// executeAll executes the commands concurrently, up to maxConcurrentCommands, and then applies their results in the order of l.
func (t *term) executeAll(ctx context.Context, l []command) {
	results := make([]result, len(l))
	var g errgroup.Group
	g.SetLimit(maxConcurrentCommands)
	for n, c := range l {
		j := t.jobs[taskOf(c.Cmd).Job]
		if j == nil {
			continue
		}
		g.Go(func() error {
			x, cancel := context.WithTimeout(ctx, stepTimeout)
			defer cancel()
			results[n] = t.execute(x, j, c.Cmd)
			return nil
		})
	}
	_ = g.Wait()
	for _, r := range results {
		if r != nil {
			r()
		}
	}
}

// taskOf returns the task that the command is for, or the zero Task.
func taskOf(c place.Cmd) place.Task {
	switch c := c.(type) {
	case place.StartCmd:
		return c.Task
	case place.StopCmd:
		return c.Task
	case place.CheckpointCmd:
		return c.Task
	case place.ThrottleCmd:
		return c.Task
	}
	return place.Task{}
}

// execute executes one command without changing the term, since commands run concurrently, and returns the change to apply.
// It skips the command if the term has lost the lease or the task is no longer the job's running attempt.
func (t *term) execute(ctx context.Context, j *job, c place.Cmd) result {
	if !t.held() {
		return nil
	}
	if c, ok := c.(place.StartCmd); ok {
		return t.start(ctx, j, c)
	}
	if j.liveTaskID == "" || taskOf(c) != j.task() {
		return nil
	}
	switch c := c.(type) {
	case place.StopCmd:
		s, err := t.platform.Stop(ctx, j.liveTaskID)
		t.logPlatformCall("stopTask", j, err)
		return t.stopResult(j, c, s, err)
	case place.CheckpointCmd:
		err := t.platform.Checkpoint(ctx, j.liveTaskID)
		t.logPlatformCall("checkpointTask", j, err)
		return t.stopResult(j, c, tasks.Stopped, err)
	case place.ThrottleCmd:
		t.logPlatformCall("throttleTask", j, t.platform.Throttle(ctx, j.liveTaskID, c.On))
		return func() { j.throttled = c.On && j.liveTaskID != "" }
	}
	return nil
}

// stopResult returns the result of a stop or checkpoint: it ends the task, or keeps the command for a retry if the call failed.
func (t *term) stopResult(j *job, c place.Cmd, s tasks.State, err error) result {
	return func() {
		if j.liveTaskID == "" {
			return
		}
		if err != nil {
			j.retry = c
			return
		}
		t.finish(j, s)
	}
}

// start records the attempt before it asks the platform to run the task. An attempt that could not be recorded does not run.
func (t *term) start(ctx context.Context, j *job, c place.StartCmd) result {
	r := j.record
	r.State, r.Attempt, r.Worker, r.ReservedSize = Running, j.attemptOffset+c.Task.Attempt, c.Worker, c.Size
	r.Lease, r.Fence, r.StartedMillis = int64(t.taskLease), int64(t.fence), nowMillis()
	rev, err := t.writeRecord(ctx, j, r)
	if err != nil {
		return func() { t.feed(r.Spec.Pool, place.EndedMsg{AtMillis: nowMillis(), Task: c.Task, State: place.Stopped}) }
	}
	if t.held() {
		err = t.platform.Run(ctx, tasks.RunRequest{
			ID: r.taskID(), Job: taskPrefix(t.dataCentre) + r.Spec.ID, VM: r.Worker, Lease: r.Lease, RunOnce: r.Spec.RunOnce,
			Cores: r.ReservedSize.Cores, MemoryMB: r.ReservedSize.MemoryMB, Accelerators: r.ReservedSize.Accelerators,
		})
	}
	return func() {
		j.record, j.recordRevision, j.liveTaskID, j.dirty = r, rev, r.taskID(), false
		t.logPlatformCall("runTask", j, err)
		switch {
		case errors.Is(err, tasks.ErrRefused): // the task lease may have expired, so neither the job nor the worker is at fault.
			t.renewedAt = time.Time{}
			t.finish(j, tasks.Stopped)
		case errors.Is(err, tasks.ErrDown):
			t.finish(j, tasks.Stopped)
		}
	}
}

func (t *term) logPlatformCall(step string, j *job, err error) {
	e := t.log.Info()
	if err != nil {
		e = t.log.Warn().Err(err)
	}
	e.Str("step", step).Str("job", j.record.Spec.ID).Int("attempt", j.record.Attempt).Str("peer", j.record.Worker).Msg("platformCall")
}

// writeRecord writes the job's record if it is still at the revision that this term knows. It counts consecutive conflicts in j.
func (t *term) writeRecord(ctx context.Context, j *job, r Record) (keyval.Revision, error) {
	b, err := r.marshal()
	if err != nil {
		return 0, err
	}
	rev, err := t.store.Put(ctx, key(t.dataCentre, r.Spec.ID), b, j.recordRevision, 0)
	if err != nil {
		t.log.Info().Str("step", "writeJob").Str("job", r.Spec.ID).Err(err).Msg("notWritten")
	}
	j.conflicts++
	if !errors.Is(err, keyval.ErrConflict) {
		j.conflicts = 0
	}
	return rev, err
}

// writeDirtyRecords writes up to maxWritesPerStep changed records and removes ended jobs from the term. A failed write is retried in the
// next step.
func (t *term) writeDirtyRecords(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(maxConcurrentCommands)
	l := t.sortedJobs()
	n := 0
	for _, j := range l {
		if !j.dirty || !t.held() || n == maxWritesPerStep {
			continue
		}
		n++
		g.Go(func() error {
			x, cancel := context.WithTimeout(ctx, stepTimeout)
			defer cancel()
			if rev, err := t.writeRecord(x, j, j.record); err == nil {
				j.recordRevision, j.dirty = rev, false
			}
			return nil
		})
	}
	_ = g.Wait()
	for _, j := range l {
		if !j.dirty && j.record.State.Ended() {
			delete(t.jobs, j.record.Spec.ID)
			t.ended[j.record.Spec.ID] = endedJob{rev: j.recordRevision, endedAtMillis: j.record.EndedMillis}
		}
	}
}

// pruneEndedRecords deletes the records of jobs that ended more than endedRetention ago.
func (t *term) pruneEndedRecords(ctx context.Context) {
	if time.Since(t.prunedAt) < renewInterval {
		return
	}
	t.prunedAt = time.Now()
	for id, e := range t.ended {
		if nowMillis()-e.endedAtMillis < endedRetention.Milliseconds() {
			continue
		}
		err := t.store.Delete(ctx, key(t.dataCentre, id), e.rev)
		if err == nil || errors.Is(err, keyval.ErrConflict) {
			delete(t.ended, id)
		}
	}
}
