package jobs

import (
	"context"
	"slices"
	"strings"

	"burdockreach.dev/fleet/place"
	"burdockreach.dev/plat/keyval"
	"burdockreach.dev/plat/tasks"
)

// begin reads all records and takes the running tasks over.
func (t *term) begin(ctx context.Context) error {
	x, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	rev, err := eachItem(x, t.store, prefix(t.dataCentre), func(i keyval.Item) error {
		t.read(i)
		return nil
	})
	if err != nil {
		return err
	}
	t.rev = rev
	list, err := t.platform.List(x, taskPrefix(t.dataCentre))
	if err != nil {
		return err
	}
	t.correct(list)
	t.adopt()
	if err := t.workers(x); err != nil {
		return err
	}
	if t.lease, err = t.store.Grant(x, leaseFor); err != nil {
		return err
	}
	for _, j := range t.sorted() {
		if !j.rec.State.Ended() {
			t.admit(j)
		}
	}
	t.log.Info().Str("step", "runJobs").Int64("fence", int64(t.fence)).Int("jobs", len(t.jobs)).Msg("jobTermBegan")
	return nil
}

// read takes one record in that this term does not know yet.
func (t *term) read(i keyval.Item) *job {
	r, err := parseRecord(i.Value())
	if err != nil || key(t.dataCentre, r.Spec.ID) != i.Key() || r.Spec.Check() != nil {
		t.log.Error().Str("step", "readJob").Str("key", i.Key()).Err(err).Msg("malformed")
		return nil
	}
	if r.State.Ended() {
		t.ended[r.Spec.ID] = ended{rev: i.Rev(), at: r.Ended}
		return nil
	}
	j := &job{rec: r, rev: i.Rev(), base: r.Attempt}
	t.jobs[r.Spec.ID] = j
	return j
}

// correct brings records up to the platform's tasks where the service has come back older than they are.
func (t *term) correct(list []tasks.Task) {
	for _, k := range list {
		id, n, ok := parseTask(t.dataCentre, k.ID)
		j := t.jobs[id]
		if !ok || j == nil || n <= j.rec.Attempt {
			continue
		}
		j.rec.Attempt, j.base = n, n
		switch {
		case k.State == tasks.Done:
			j.rec.State, j.rec.Ended, j.dirty = Done, now(), true
		case !k.State.Ended():
			j.rec.State, j.rec.Worker, j.dirty = Running, k.VM, true
			j.rec.Size = j.rec.Spec.job().Declared
		}
	}
}

// adopt makes the placers know the recorded attempts: each worker is shown alone, with room for just its tasks, so that the
// placer puts them there; the real list of workers follows.
func (t *term) adopt() {
	type spot struct{ pool, worker string }
	at := map[spot][]place.Job{}
	size := map[spot]place.Size{}
	for _, j := range t.sorted() {
		if j.rec.State != Running {
			continue
		}
		s := spot{j.rec.Spec.Pool, j.rec.Worker}
		p := j.rec.Spec.job()
		p.Declared = j.rec.Size
		at[s] = append(at[s], p)
		size[s] = place.Size{
			Cores: size[s].Cores + p.Declared.Cores, MemoryMB: size[s].MemoryMB + p.Declared.MemoryMB,
			Accelerators: size[s].Accelerators + p.Declared.Accelerators,
		}
		j.base, j.live = j.rec.Attempt-1, j.rec.taskID()
	}
	for s, l := range at {
		p := t.placer(s.pool)
		p.Update(place.WorkersMsg{Workers: []place.Worker{{Name: s.worker, Size: size[s]}}})
		p.Update(place.SubmitMsg{At: now(), Jobs: l})
		p.Update(place.TickMsg{At: now()})
	}
}

// admit hands the job, and its cancellation, to the placer; one that was adopted is known there.
func (t *term) admit(j *job) {
	pool := j.rec.Spec.Pool
	t.feed(pool, place.SubmitMsg{At: now(), Jobs: []place.Job{j.rec.Spec.job()}})
	if j.rec.Cancel {
		t.feed(pool, place.CancelMsg{Jobs: []string{j.rec.Spec.ID}})
	}
}

// sorted returns the jobs in the order of their ids.
func (t *term) sorted() []*job {
	l := make([]*job, 0, len(t.jobs))
	for _, j := range t.jobs {
		l = append(l, j)
	}
	slices.SortFunc(l, func(a, b *job) int { return strings.Compare(a.rec.Spec.ID, b.rec.Spec.ID) })
	return l
}
