package jobs

import (
	"context"
	"errors"
	"time"

	"burdockreach.dev/fleet/place"
	"burdockreach.dev/plat/hosts"
	"burdockreach.dev/plat/keyval"
	"burdockreach.dev/plat/tasks"
)

// step reads what has changed, places jobs, executes commands and writes changed records.
func (t *term) step(ctx context.Context) error {
	if !t.held() || t.recordsOutdated() {
		return errTermOver
	}
	x, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	if err := t.renewLeases(x); err != nil {
		return err
	}
	if err := t.followRecords(x); err != nil {
		return err
	}
	if err := t.auditRecords(x); err != nil {
		return err
	}
	if err := t.checkTasks(x); err != nil {
		return err
	}
	if err := t.updateWorkers(x); err != nil {
		return err
	}
	t.checkpointAndGiveUp()
	for pool := range t.placers {
		t.feed(pool, place.TickMsg{AtMillis: nowMillis()})
	}
	t.executePending(ctx)
	t.writeDirtyRecords(ctx)
	t.pruneEndedRecords(x)
	return nil
}

// recordsOutdated reports whether the writes of a job conflict so often that the stored records must differ from those that this term
// knows. This happens after the key-value service was restored to an older state.
func (t *term) recordsOutdated() bool {
	for _, j := range t.jobs {
		if j.conflicts >= maxConflicts {
			return true
		}
	}
	return false
}

// auditRecords lists all records every auditInterval. After the key-value service was restored to an older state and then written to,
// a watch does not report the loss.
func (t *term) auditRecords(ctx context.Context) error {
	if time.Since(t.auditedAt) < auditInterval {
		return nil
	}
	_, err := eachItem(ctx, t.store, prefix(t.dataCentre), func(i keyval.Item) error {
		r, err := parseRecord(i.Value())
		if err != nil {
			return nil
		}
		if _, ok := t.ended[r.Spec.ID]; ok && !r.State.Ended() {
			return errTermOver
		}
		return t.applyChange(keyval.NewEvent(i, false))
	})
	if err == nil {
		t.auditedAt = time.Now()
	}
	return err
}

// renewLeases renews the task leases of this term and of the tasks that it took over. It replaces its own lease if that has expired.
func (t *term) renewLeases(ctx context.Context) error {
	if time.Since(t.renewedAt) < renewInterval {
		return nil
	}
	leases := map[keyval.LeaseID]bool{t.taskLease: true}
	for _, j := range t.jobs {
		if j.liveTaskID != "" {
			leases[keyval.LeaseID(j.record.Lease)] = true
		}
	}
	for l := range leases {
		err := t.store.Renew(ctx, l)
		if errors.Is(err, keyval.ErrConflict) && l == t.taskLease {
			t.taskLease, err = t.store.Grant(ctx, taskLeaseTTL)
		}
		if err != nil && !errors.Is(err, keyval.ErrConflict) {
			return err
		}
	}
	t.renewedAt = time.Now()
	return nil
}

// followRecords applies the changes of records since the last step.
func (t *term) followRecords(ctx context.Context) error {
	for {
		events, rev, err := t.store.Watch(ctx, prefix(t.dataCentre), t.watchRevision, 0)
		if err != nil {
			return err
		}
		for _, e := range events {
			if err := t.applyChange(e); err != nil {
				return err
			}
		}
		t.watchRevision = rev
		if len(events) == 0 {
			return nil
		}
	}
}

// applyChange applies one change of a record. It keeps this term's decisions and adds an operator's cancellation. It returns errTermOver
// if a later leader has written the record, or if another one has recorded an attempt that this term does not know.
func (t *term) applyChange(e keyval.Event) error {
	i := e.Item()
	if e.Deleted() {
		return nil
	}
	r, err := parseRecord(i.Value())
	if err != nil {
		t.log.Error().Str("step", "readJob").Str("key", i.Key()).Err(err).Msg("malformed")
		return nil
	}
	j := t.jobs[r.Spec.ID]
	if r.Fence > int64(t.fence) || t.isUnknownAttempt(j, r) {
		return errTermOver
	}
	if j == nil {
		if _, ok := t.ended[r.Spec.ID]; ok {
			return nil
		}
		if j = t.addRecord(i); j != nil {
			t.submit(j)
		}
		return nil
	}
	if i.Rev() <= j.recordRevision {
		return nil
	}
	j.recordRevision = i.Rev()
	if r.CancelRequested && !j.record.CancelRequested {
		j.record.CancelRequested = true
		t.feed(j.record.Spec.Pool, place.CancelMsg{Jobs: []string{r.Spec.ID}})
	}
	if r.State == Canceled && j.liveTaskID == "" {
		delete(t.jobs, r.Spec.ID)
		t.ended[r.Spec.ID] = endedJob{rev: i.Rev(), endedAtMillis: r.EndedMillis}
		return nil
	}
	j.dirty = j.dirty || r.State != j.record.State
	return nil
}

// isUnknownAttempt reports whether another leader has recorded an attempt that this term does not know and must take over.
func (t *term) isUnknownAttempt(j *job, r Record) bool {
	return r.State == Running && r.Fence != int64(t.fence) && (j == nil || j.liveTaskID == "" || r.Attempt != j.record.Attempt)
}

// checkTasks compares the recorded tasks with the platform's list. It stops a recorded task that is not listed, so that its id can never
// start later, before the job gets another attempt.
func (t *term) checkTasks(ctx context.Context) error {
	list, err := t.platform.List(ctx, taskPrefix(t.dataCentre))
	if err != nil {
		return err
	}
	listed := make(map[string]tasks.Task, len(list))
	for _, k := range list {
		listed[k.ID] = k
	}
	for _, j := range t.sortedJobs() {
		if j.liveTaskID == "" {
			continue
		}
		k, ok := listed[j.liveTaskID]
		switch {
		case !ok:
			t.pending = append(t.pending, command{pool: j.record.Spec.Pool, Cmd: place.StopCmd{Task: j.task(), Worker: j.record.Worker}})
		case k.State.Ended():
			t.finish(j, k.State)
		default:
			t.reconcileTask(j, k)
		}
	}
	return nil
}

// reconcileTask passes a listed task's usage to the placer, and repeats a failed stop or checkpoint or corrects the throttle.
func (t *term) reconcileTask(j *job, k tasks.Task) {
	if k.UsedCores > 0 || k.UsedMemoryMB > 0 {
		t.feed(j.record.Spec.Pool, place.UsageMsg{Task: j.task(), Used: place.Size{Cores: k.UsedCores, MemoryMB: k.UsedMemoryMB}})
	}
	switch {
	case j.retry != nil:
		t.pending = append(t.pending, command{pool: j.record.Spec.Pool, Cmd: j.retry})
	case k.Throttled != j.throttled: // a throttle call was lost, or a former leader made it.
		t.pending = append(t.pending, command{pool: j.record.Spec.Pool, Cmd: place.ThrottleCmd{Task: j.task(), Worker: k.VM, On: j.throttled}})
	}
}

// task returns the recorded attempt with the placer's number for it.
func (j *job) task() place.Task {
	return place.Task{Job: j.record.Spec.ID, Attempt: j.record.Attempt - j.attemptOffset}
}

// endByState gives the placer's outcome for each state of an ended task.
var endByState = map[tasks.State]place.EndState{
	tasks.Done: place.Done, tasks.Failed: place.Failed, tasks.TooBig: place.OutOfMemory, tasks.Stopped: place.Stopped,
}

// finish updates the job's record after its recorded attempt has ended, and passes the outcome to the placer.
func (t *term) finish(j *job, s tasks.State) {
	j.liveTaskID, j.retry, j.throttled, j.dirty = "", nil, false, true
	switch {
	case s == tasks.Done:
		j.record.State, j.record.EndedMillis = Done, nowMillis()
	case j.record.CancelRequested:
		j.record.State, j.record.EndedMillis = Canceled, nowMillis()
	default:
		j.record.State = Waiting
	}
	t.log.Info().Str("step", "runJobs").Str("job", j.record.Spec.ID).Int("attempt", j.record.Attempt).
		Str("peer", j.record.Worker).Str("how", string(s)).Msg("taskEnded")
	t.feed(j.record.Spec.Pool, place.EndedMsg{AtMillis: nowMillis(), Task: j.task(), State: endByState[s]})
}

// updateWorkers reads the platform's list of VMs and passes each pool's workers to its placer.
func (t *term) updateWorkers(ctx context.Context) error {
	vms, err := t.hosts.List(ctx)
	if err != nil {
		return err
	}
	t.workersByPool = make(map[string][]place.Worker)
	t.leavingWorkers = make(map[string]bool)
	for _, v := range vms {
		if v.DataCentre() != t.dataCentre || v.Kind() != hosts.Worker || v.State() == hosts.Gone {
			continue
		}
		t.leavingWorkers[v.ID()] = v.State() == hosts.Leaving
		t.workersByPool[v.Pool()] = append(t.workersByPool[v.Pool()], place.Worker{
			Name: v.ID(), Rack: v.Rack(), Unschedulable: v.State() != hosts.Live,
			Size: place.Size{Cores: float64(v.Cores()), MemoryMB: float64(v.MemoryMB()), Accelerators: v.Accelerators()},
		})
	}
	for pool := range t.placers {
		t.feed(pool, place.WorkersMsg{Workers: t.workersByPool[pool]})
	}
	return nil
}

// checkpointAndGiveUp checkpoints the tasks of leaving workers and gives up jobs that no worker of their pool can run.
func (t *term) checkpointAndGiveUp() {
	for _, j := range t.sortedJobs() {
		s := j.record.Spec
		switch {
		case j.liveTaskID != "" && j.retry == nil && t.leavingWorkers[j.record.Worker]:
			t.pending = append(t.pending, command{pool: s.Pool, Cmd: place.CheckpointCmd{Task: j.task(), Worker: j.record.Worker}})
		case j.liveTaskID == "" && !j.record.State.Ended() && t.lacksAccelerators(s):
			t.feed(s.Pool, place.CancelMsg{Jobs: []string{s.ID}})
			t.giveUp(place.GiveUpCmd{Job: s.ID, Reason: place.NoWorker})
		}
	}
}

// lacksAccelerators reports whether the pool has workers but none with the accelerators that the job needs.
func (t *term) lacksAccelerators(s Spec) bool {
	for _, w := range t.workersByPool[s.Pool] {
		if w.Size.Accelerators >= s.Accelerators {
			return false
		}
	}
	return len(t.workersByPool[s.Pool]) > 0
}
