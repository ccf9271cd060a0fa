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

// step reads what has changed, places jobs, performs the commands and writes the records.
func (t *term) step(ctx context.Context) error {
	if !t.held() || t.behind() {
		return errTermOver
	}
	x, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	if err := t.renew(x); err != nil {
		return err
	}
	if err := t.follow(x); err != nil {
		return err
	}
	if err := t.audit(x); err != nil {
		return err
	}
	if err := t.look(x); err != nil {
		return err
	}
	if err := t.workers(x); err != nil {
		return err
	}
	t.sweep()
	for pool := range t.placers {
		t.feed(pool, place.TickMsg{At: now()})
	}
	t.perform(ctx)
	t.flush(ctx)
	t.prune(x)
	return nil
}

// behind reports whether the records cannot be as this term knows them, as when the service has come back older.
func (t *term) behind() bool {
	for _, j := range t.jobs {
		if j.lost >= maxLost {
			return true
		}
	}
	return false
}

// audit lists the records now and then, since a service that came back older and was written to since tells no watch of it.
func (t *term) audit(ctx context.Context) error {
	if time.Since(t.audited) < auditEvery {
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
		return t.take(keyval.NewEvent(i, false))
	})
	if err == nil {
		t.audited = time.Now()
	}
	return err
}

// renew keeps the leases of this term's tasks and of those that it took over; a lapsed one is replaced for new tasks.
func (t *term) renew(ctx context.Context) error {
	if time.Since(t.renewed) < renewEvery {
		return nil
	}
	leases := map[keyval.LeaseID]bool{t.lease: true}
	for _, j := range t.jobs {
		if j.live != "" {
			leases[keyval.LeaseID(j.rec.Lease)] = true
		}
	}
	for l := range leases {
		err := t.store.Renew(ctx, l)
		if errors.Is(err, keyval.ErrConflict) && l == t.lease {
			t.lease, err = t.store.Grant(ctx, leaseFor)
		}
		if err != nil && !errors.Is(err, keyval.ErrConflict) {
			return err
		}
	}
	t.renewed = time.Now()
	return nil
}

// follow takes in the records that have changed.
func (t *term) follow(ctx context.Context) error {
	for {
		events, rev, err := t.store.Watch(ctx, prefix(t.dataCentre), t.rev, 0)
		if err != nil {
			return err
		}
		for _, e := range events {
			if err := t.take(e); err != nil {
				return err
			}
		}
		t.rev = rev
		if len(events) == 0 {
			return nil
		}
	}
}

// take takes one change in; what this term has decided stays, an operator's cancellation is added.
func (t *term) take(e keyval.Event) error {
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
	if r.Fence > int64(t.fence) || t.isStranger(j, r) {
		return errTermOver
	}
	if j == nil {
		if _, ok := t.ended[r.Spec.ID]; ok {
			return nil
		}
		if j = t.read(i); j != nil {
			t.admit(j)
		}
		return nil
	}
	if i.Rev() <= j.rev {
		return nil
	}
	j.rev = i.Rev()
	if r.Cancel && !j.rec.Cancel {
		j.rec.Cancel = true
		t.feed(j.rec.Spec.Pool, place.CancelMsg{Jobs: []string{r.Spec.ID}})
	}
	if r.State == Canceled && j.live == "" {
		delete(t.jobs, r.Spec.ID)
		t.ended[r.Spec.ID] = ended{rev: i.Rev(), at: r.Ended}
		return nil
	}
	j.dirty = j.dirty || r.State != j.rec.State
	return nil
}

// isStranger reports whether another leader has recorded an attempt that this term does not know, which has to be taken over.
func (t *term) isStranger(j *job, r Record) bool {
	return r.State == Running && r.Fence != int64(t.fence) && (j == nil || j.live == "" || r.Attempt != j.rec.Attempt)
}

// look asks the platform for the tasks; a recorded one that it does not list is stopped for good before it is made again.
func (t *term) look(ctx context.Context) error {
	list, err := t.platform.List(ctx, taskPrefix(t.dataCentre))
	if err != nil {
		return err
	}
	seen := make(map[string]tasks.Task, len(list))
	for _, k := range list {
		seen[k.ID] = k
	}
	for _, j := range t.sorted() {
		if j.live == "" {
			continue
		}
		k, ok := seen[j.live]
		switch {
		case !ok:
			t.pending = append(t.pending, command{pool: j.rec.Spec.Pool, Cmd: place.StopCmd{Task: j.task(), Worker: j.rec.Worker}})
		case k.State.Ended():
			t.finish(j, k.State)
		default:
			t.usage(j, k)
		}
	}
	return nil
}

func (t *term) usage(j *job, k tasks.Task) {
	if k.UsedCores > 0 || k.UsedMemoryMB > 0 {
		t.feed(j.rec.Spec.Pool, place.UsageMsg{Task: j.task(), Used: place.Size{Cores: k.UsedCores, MemoryMB: k.UsedMemoryMB}})
	}
	switch {
	case j.again != nil:
		t.pending = append(t.pending, command{pool: j.rec.Spec.Pool, Cmd: j.again})
	case k.Throttled != j.calm: // a call was lost, or a former leader made it.
		t.pending = append(t.pending, command{pool: j.rec.Spec.Pool, Cmd: place.ThrottleCmd{Task: j.task(), Worker: k.VM, On: j.calm}})
	}
}

// task returns the recorded attempt as the placer numbers it.
func (j *job) task() place.Task {
	return place.Task{Job: j.rec.Spec.ID, Attempt: j.rec.Attempt - j.base}
}

var ends = map[tasks.State]place.End{
	tasks.Done: place.Done, tasks.Failed: place.Failed, tasks.TooBig: place.TooBig, tasks.Stopped: place.Stopped,
}

// finish notes how the recorded attempt has ended.
func (t *term) finish(j *job, s tasks.State) {
	j.live, j.again, j.calm, j.dirty = "", nil, false, true
	switch {
	case s == tasks.Done:
		j.rec.State, j.rec.Ended = Done, now()
	case j.rec.Cancel:
		j.rec.State, j.rec.Ended = Canceled, now()
	default:
		j.rec.State = Waiting
	}
	t.log.Info().Str("step", "runJobs").Str("job", j.rec.Spec.ID).Int("attempt", j.rec.Attempt).
		Str("peer", j.rec.Worker).Str("how", string(s)).Msg("taskEnded")
	t.feed(j.rec.Spec.Pool, place.EndedMsg{At: now(), Task: j.task(), How: ends[s]})
}

// workers hands each pool's workers to its placer.
func (t *term) workers(ctx context.Context) error {
	vms, err := t.hosts.List(ctx)
	if err != nil {
		return err
	}
	t.pools = make(map[string][]place.Worker)
	t.leaving = make(map[string]bool)
	for _, v := range vms {
		if v.DataCentre() != t.dataCentre || v.Kind() != hosts.Worker || v.State() == hosts.Gone {
			continue
		}
		t.leaving[v.ID()] = v.State() == hosts.Leaving
		t.pools[v.Pool()] = append(t.pools[v.Pool()], place.Worker{
			Name: v.ID(), Rack: v.Rack(), Out: v.State() != hosts.Live,
			Size: place.Size{Cores: float64(v.Cores()), MemoryMB: float64(v.MemoryMB()), Accelerators: v.Accelerators()},
		})
	}
	for pool := range t.placers {
		t.feed(pool, place.WorkersMsg{Workers: t.pools[pool]})
	}
	return nil
}

// sweep saves the tasks of workers that leave, and gives up jobs that no worker of their pool can run.
func (t *term) sweep() {
	for _, j := range t.sorted() {
		s := j.rec.Spec
		switch {
		case j.live != "" && j.again == nil && t.leaving[j.rec.Worker]:
			t.pending = append(t.pending, command{pool: s.Pool, Cmd: place.CheckpointCmd{Task: j.task(), Worker: j.rec.Worker}})
		case j.live == "" && !j.rec.State.Ended() && t.lacks(s):
			t.feed(s.Pool, place.CancelMsg{Jobs: []string{s.ID}})
			t.giveUp(place.GiveUpCmd{Job: s.ID, Reason: place.NoWorker})
		}
	}
}

// lacks reports whether the pool has workers, none of which has the accelerators that the job asks for.
func (t *term) lacks(s Spec) bool {
	for _, w := range t.pools[s.Pool] {
		if w.Size.Accelerators >= s.Accelerators {
			return false
		}
	}
	return len(t.pools[s.Pool]) > 0
}
