package jobs

import (
	"context"
	"slices"
	"strings"

	"burdockreach.dev/fleet/place"
	"burdockreach.dev/plat/keyval"
	"burdockreach.dev/plat/tasks"
)

// takeOver begins a term: it reads all records, takes over the running tasks and submits the jobs
// that have not ended to the placers.
func (t *term) takeOver(ctx context.Context) error {
	x, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	rev, err := eachItem(x, t.store, prefix(t.dataCentre), func(i keyval.Item) error {
		t.addRecord(i)
		return nil
	})
	if err != nil {
		return err
	}
	t.watchRevision = rev
	list, err := t.platform.List(x, taskPrefix(t.dataCentre))
	if err != nil {
		return err
	}
	t.advanceAttempts(list)
	t.adoptRunning()
	if err := t.updateWorkers(x); err != nil {
		return err
	}
	if t.taskLease, err = t.store.Grant(x, taskLeaseTTL); err != nil {
		return err
	}
	for _, j := range t.sortedJobs() {
		if !j.record.State.Ended() {
			t.submit(j)
		}
	}
	t.log.Info().Str("step", "runJobs").Int64("fence", int64(t.fence)).Int("jobs", len(t.jobs)).Msg("jobTermBegan")
	return nil
}

// addRecord adds a record that this term does not know yet. It returns nil if the record is malformed or its job has ended.
func (t *term) addRecord(i keyval.Item) *job {
	r, err := parseRecord(i.Value())
	if err != nil || key(t.dataCentre, r.Spec.ID) != i.Key() || r.Spec.Check() != nil {
		t.log.Error().Str("step", "readJob").Str("key", i.Key()).Err(err).Msg("malformed")
		return nil
	}
	if r.State.Ended() {
		t.ended[r.Spec.ID] = endedJob{rev: i.Rev(), endedAtMillis: r.EndedMillis}
		return nil
	}
	j := &job{record: r, recordRevision: i.Rev(), attemptOffset: r.Attempt}
	t.jobs[r.Spec.ID] = j
	return j
}

// advanceAttempts updates records that are older than the platform's tasks. This happens after the key-value service was restored to an
// older state.
func (t *term) advanceAttempts(list []tasks.Task) {
	for _, k := range list {
		id, n, ok := parseTask(t.dataCentre, k.ID)
		j := t.jobs[id]
		if !ok || j == nil || n <= j.record.Attempt {
			continue
		}
		j.record.Attempt, j.attemptOffset = n, n
		switch {
		case k.State == tasks.Done:
			j.record.State, j.record.EndedMillis, j.dirty = Done, nowMillis(), true
		case !k.State.Ended():
			j.record.State, j.record.Worker, j.dirty = Running, k.VM, true
			j.record.ReservedSize = j.record.Spec.job().Declared
		}
	}
}

// adoptRunning makes the placers place the recorded attempts on the workers that run them. For each worker, it gives the placer a list
// with this worker alone and with capacity for exactly its tasks. The real list of workers follows in updateWorkers.
func (t *term) adoptRunning() {
	type workerKey struct{ pool, worker string }
	jobs := map[workerKey][]place.Job{}
	size := map[workerKey]place.Size{}
	for _, j := range t.sortedJobs() {
		if j.record.State != Running {
			continue
		}
		s := workerKey{j.record.Spec.Pool, j.record.Worker}
		p := j.record.Spec.job()
		p.Declared = j.record.ReservedSize
		jobs[s] = append(jobs[s], p)
		size[s] = place.Size{
			Cores: size[s].Cores + p.Declared.Cores, MemoryMB: size[s].MemoryMB + p.Declared.MemoryMB,
			Accelerators: size[s].Accelerators + p.Declared.Accelerators,
		}
		j.attemptOffset, j.liveTaskID = j.record.Attempt-1, j.record.taskID()
	}
	for s, l := range jobs {
		p := t.placer(s.pool)
		p.Update(place.WorkersMsg{Workers: []place.Worker{{Name: s.worker, Size: size[s]}}})
		p.Update(place.SubmitMsg{AtMillis: nowMillis(), Jobs: l})
		p.Update(place.TickMsg{AtMillis: nowMillis()})
	}
}

// submit submits the job, and its cancellation, to the placer. The placer already knows jobs that were taken over.
func (t *term) submit(j *job) {
	pool := j.record.Spec.Pool
	t.feed(pool, place.SubmitMsg{AtMillis: nowMillis(), Jobs: []place.Job{j.record.Spec.job()}})
	if j.record.CancelRequested {
		t.feed(pool, place.CancelMsg{Jobs: []string{j.record.Spec.ID}})
	}
}

// sortedJobs returns the jobs sorted by id.
func (t *term) sortedJobs() []*job {
	l := make([]*job, 0, len(t.jobs))
	for _, j := range t.jobs {
		l = append(l, j)
	}
	slices.SortFunc(l, func(a, b *job) int { return strings.Compare(a.record.Spec.ID, b.record.Spec.ID) })
	return l
}
