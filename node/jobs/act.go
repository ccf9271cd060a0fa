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

// result is applied to the term once its command was performed.
type result func()

// perform performs the commands, those that make room before the starts.
func (t *term) perform(ctx context.Context) {
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
	t.performAll(ctx, rest)
	n := min(len(starts), maxWrites)
	t.performAll(ctx, starts[:n])
	for _, c := range starts[n:] { // placed again in the next step.
		t.feed(c.pool, place.EndedMsg{At: now(), Task: taskOf(c.Cmd), How: place.Stopped})
	}
}

// performAll performs the commands, some at once, and then applies their results in order.
func (t *term) performAll(ctx context.Context, l []command) {
	results := make([]result, len(l))
	var g errgroup.Group
	g.SetLimit(maxActs)
	for n, c := range l {
		j := t.jobs[taskOf(c.Cmd).Job]
		if j == nil {
			continue
		}
		g.Go(func() error {
			x, cancel := context.WithTimeout(ctx, stepTimeout)
			defer cancel()
			results[n] = t.act(x, j, c.Cmd)
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

// act performs one command without a change to the term and returns what is to be changed.
func (t *term) act(ctx context.Context, j *job, c place.Cmd) result {
	if !t.held() {
		return nil
	}
	if c, ok := c.(place.StartCmd); ok {
		return t.start(ctx, j, c)
	}
	if j.live == "" || taskOf(c) != j.task() {
		return nil
	}
	switch c := c.(type) {
	case place.StopCmd:
		s, err := t.platform.Stop(ctx, j.live)
		t.report("stopTask", j, err)
		return t.after(j, c, s, err)
	case place.CheckpointCmd:
		err := t.platform.Checkpoint(ctx, j.live)
		t.report("checkpointTask", j, err)
		return t.after(j, c, tasks.Stopped, err)
	case place.ThrottleCmd:
		t.report("throttleTask", j, t.platform.Throttle(ctx, j.live, c.On))
		return func() { j.calm = c.On && j.live != "" }
	}
	return nil
}

// after ends the task, or keeps the command to be repeated.
func (t *term) after(j *job, c place.Cmd, s tasks.State, err error) result {
	return func() {
		if j.live == "" {
			return
		}
		if err != nil {
			j.again = c
			return
		}
		t.finish(j, s)
	}
}

// start records the attempt and only then has the platform run it; an attempt that is not recorded does not run.
func (t *term) start(ctx context.Context, j *job, c place.StartCmd) result {
	r := j.rec
	r.State, r.Attempt, r.Worker, r.Size = Running, j.base+c.Task.Attempt, c.Worker, c.Size
	r.Lease, r.Fence, r.Started = int64(t.lease), int64(t.fence), now()
	rev, err := t.write(ctx, j, r)
	if err != nil {
		return func() { t.feed(r.Spec.Pool, place.EndedMsg{At: now(), Task: c.Task, How: place.Stopped}) }
	}
	if t.held() {
		err = t.platform.Run(ctx, tasks.RunRequest{
			ID: r.taskID(), Job: taskPrefix(t.dataCentre) + r.Spec.ID, VM: r.Worker, Lease: r.Lease, RunOnce: r.Spec.RunOnce,
			Cores: r.Size.Cores, MemoryMB: r.Size.MemoryMB, Accelerators: r.Size.Accelerators,
		})
	}
	return func() {
		j.rec, j.rev, j.live, j.dirty = r, rev, r.taskID(), false
		t.report("runTask", j, err)
		switch {
		case errors.Is(err, tasks.ErrRefused): // the lease may have lapsed; neither job nor worker is to blame.
			t.renewed = time.Time{}
			t.finish(j, tasks.Stopped)
		case errors.Is(err, tasks.ErrDown):
			t.finish(j, tasks.Stopped)
		}
	}
}

func (t *term) report(step string, j *job, err error) {
	e := t.log.Info()
	if err != nil {
		e = t.log.Warn().Err(err)
	}
	e.Str("step", step).Str("job", j.rec.Spec.ID).Int("attempt", j.rec.Attempt).Str("peer", j.rec.Worker).Msg("platformCall")
}

// write writes the job's record on condition that it is as this term knows it.
func (t *term) write(ctx context.Context, j *job, r Record) (keyval.Revision, error) {
	b, err := r.marshal()
	if err != nil {
		return 0, err
	}
	rev, err := t.store.Put(ctx, key(t.dataCentre, r.Spec.ID), b, j.rev, 0)
	if err != nil {
		t.log.Info().Str("step", "writeJob").Str("job", r.Spec.ID).Err(err).Msg("notWritten")
	}
	j.lost++
	if !errors.Is(err, keyval.ErrConflict) {
		j.lost = 0
	}
	return rev, err
}

// flush writes the records that have changed; one that cannot be written is tried again in the next step.
func (t *term) flush(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(maxActs)
	l := t.sorted()
	n := 0
	for _, j := range l {
		if !j.dirty || !t.held() || n == maxWrites {
			continue
		}
		n++
		g.Go(func() error {
			x, cancel := context.WithTimeout(ctx, stepTimeout)
			defer cancel()
			if rev, err := t.write(x, j, j.rec); err == nil {
				j.rev, j.dirty = rev, false
			}
			return nil
		})
	}
	_ = g.Wait()
	for _, j := range l {
		if !j.dirty && j.rec.State.Ended() {
			delete(t.jobs, j.rec.Spec.ID)
			t.ended[j.rec.Spec.ID] = ended{rev: j.rev, at: j.rec.Ended}
		}
	}
}

// prune removes the records of jobs that ended long ago.
func (t *term) prune(ctx context.Context) {
	if time.Since(t.pruned) < renewEvery {
		return
	}
	t.pruned = time.Now()
	for id, e := range t.ended {
		if now()-e.at < keepEnded.Milliseconds() {
			continue
		}
		err := t.store.Delete(ctx, key(t.dataCentre, id), e.rev)
		if err == nil || errors.Is(err, keyval.ErrConflict) {
			delete(t.ended, id)
		}
	}
}
