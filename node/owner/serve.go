package owner

import (
	"context"
	"encoding/json"

	"burdockreach.dev/fleet/batch"
	"burdockreach.dev/node/desk"
	"burdockreach.dev/plat/keyval"
)

var _ desk.Desk = (*Owner)(nil)

// register adds a pending request and returns its number and the channel for its reply. It returns false when the term is over or
// has too many pending requests.
func (t *term) register() (uint64, chan batch.ReplyCmd, bool) {
	c := make(chan batch.ReplyCmd, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pending == nil || len(t.pending) >= maxPendingRequests {
		return 0, nil, false
	}
	t.lastRef++
	t.pending[t.lastRef] = c
	return t.lastRef, c, true
}

func (t *term) unregister(ref uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.pending, ref)
}

// reply passes a reply of the model to the request that waits for it.
func (t *term) reply(k batch.ReplyCmd) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.pending[k.Ref]; c != nil {
		c <- k
		delete(t.pending, k.Ref)
	}
}

// abandonPending answers all pending requests with an unknown outcome and accepts no new ones.
func (t *term) abandonPending() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for r, c := range t.pending {
		c <- batch.ReplyCmd{Ref: r, Verdict: batch.MaybeAccepted}
		delete(t.pending, r)
	}
	t.pending = nil
}

// Submit implements desk.Desk.
func (o *Owner) Submit(ctx context.Context, r *desk.SubmitRequest) (*desk.Reply, error) {
	var j batch.Job
	if err := json.Unmarshal(r.GetJob(), &j); err != nil {
		return &desk.Reply{Verdict: int32(batch.Malformed), Reason: err.Error()}, nil
	}
	return o.request(ctx, func(ref uint64) batch.Msg {
		return batch.SubmitMsg{Ref: ref, Job: j, AgeMs: r.GetAgeMs(), Attempt: r.GetAttempt()}
	})
}

// Cancel implements desk.Desk.
func (o *Owner) Cancel(ctx context.Context, r *desk.JobRequest) (*desk.Reply, error) {
	return o.request(ctx, func(ref uint64) batch.Msg { return batch.CancelMsg{Ref: ref, ID: r.GetId()} })
}

// request passes a message to the model and waits for the reply.
func (o *Owner) request(ctx context.Context, msg func(uint64) batch.Msg) (*desk.Reply, error) {
	t := o.term.Load()
	if t == nil {
		return nil, desk.NotOwnerError()
	}
	ref, c, ok := t.register()
	if !ok {
		return nil, desk.NotOwnerError()
	}
	defer t.unregister(ref)
	select {
	case t.msgs <- msg(ref):
	case <-ctx.Done():
		return nil, desk.NotOwnerError()
	}
	select {
	case k := <-c:
		if k.Verdict == batch.MaybeAccepted {
			return nil, desk.OutcomeUnknownError()
		}
		return &desk.Reply{Verdict: int32(k.Verdict), RetryAfterMs: k.RetryAfterMs, Reason: k.Reason}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// withModel calls f with the model, between two messages. It returns false when this process is not the owner or ctx ends first.
func (o *Owner) withModel(ctx context.Context, f func(*batch.Model)) bool {
	t := o.term.Load()
	if t == nil {
		return false
	}
	a := modelQuery{f: f, done: make(chan struct{})}
	select {
	case t.queries <- a:
	case <-ctx.Done():
		return false
	}
	select {
	case <-a.done:
		return true
	case <-ctx.Done():
		return false
	}
}

// State implements desk.Desk.
func (o *Owner) State(ctx context.Context, r *desk.JobRequest) (*desk.StateReply, error) {
	a := &desk.StateReply{}
	if !o.withModel(ctx, func(m *batch.Model) {
		a.Ready, a.State = m.Ready(), string(m.State(r.GetId()))
	}) {
		return nil, desk.NotOwnerError()
	}
	return a, nil
}

// Pending implements desk.Desk.
func (o *Owner) Pending(ctx context.Context, _ *desk.PendingRequest) (*desk.PendingReply, error) {
	a := &desk.PendingReply{Queues: map[string]int64{}}
	if !o.withModel(ctx, func(m *batch.Model) {
		a.Ready = m.Ready()
		for q, n := range m.Pending() {
			a.Queues[q] = int64(n)
		}
	}) {
		return nil, desk.NotOwnerError()
	}
	return a, nil
}

// ReadState reads the state of a job from the store, and why it has failed. It returns batch.StateAbsent for a job that was never
// accepted.
func ReadState(ctx context.Context, s Getter, id string) (batch.State, string, error) {
	if e, reason, err := lookupEnd(ctx, s, id); err != nil || e != batch.StateAbsent {
		return e, reason, err
	}
	j, err := s.Get(ctx, batch.JobPrefix+id)
	if err != nil {
		return batch.StateAbsent, "", err
	}
	if j.Found() {
		return batch.StateQueued, "", nil
	}
	return lookupEnd(ctx, s, id) // the job record is deleted when the job ends, maybe between the two reads above.
}

// lookupEnd reads the final state of a job, and why it has failed. It returns batch.StateAbsent for a job that has not ended.
func lookupEnd(ctx context.Context, s Getter, id string) (batch.State, string, error) {
	r, err := s.Get(ctx, batch.RunPrefix+id)
	if err != nil || !r.Found() {
		return batch.StateAbsent, "", err
	}
	var d batch.StoredRun
	err = json.Unmarshal(r.Value(), &d)
	return d.State, d.Reason, err
}

// Getter reads one key of the store.
type Getter interface {
	Get(ctx context.Context, key string) (keyval.Item, error)
}
