package owner

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"burdockreach.dev/fleet/batch"
	"burdockreach.dev/node/desk"
	"burdockreach.dev/plat/keyval"
	"burdockreach.dev/plat/steady"
)

// termKey holds the termRecord of the last owner. Its successor derives from it how long that owner's orders may still take effect.
const termKey = "own/term"

// Timeouts at the end of a term and at the start of the next one.
const (
	handoverTimeout = 800 * time.Millisecond // part of the time that a process has to stop.
	probeInterval   = 400 * time.Millisecond
	probeTimeout    = 300 * time.Millisecond
)

// termRecord identifies a term and the process that gave orders in it.
type termRecord struct {
	Fence  int64        `json:"fence"`
	Holder string       `json:"holder"`
	Left   bool         `json:"left"`   // the process has stopped giving orders.
	Orders batch.Orders `json:"orders"` // to machines, as of the end of the term; set with Left.
}

// orderLifetime is how long the orders of this term may still be carried out, or extend a lease, at workers that the successor
// cannot reach.
func (f termRecord) orderLifetime() time.Duration {
	switch {
	case f.Fence == 0:
		return 0
	case f.Left:
		return maxWorkerLease
	}
	return maxOrderLifetime
}

// recordStart writes the record of this term, before any order is given, and returns the record of the former term.
func (t *term) recordStart(ctx context.Context) (termRecord, error) {
	var f termRecord
	i, err := t.o.store.Get(ctx, termKey)
	if err != nil {
		return f, err
	}
	if i.Found() {
		if err := json.Unmarshal(i.Value(), &f); err != nil {
			return f, eris.Wrapf(err, "key %q", termKey)
		}
	}
	if f.Fence == int64(t.fence) { // an earlier attempt replaced the former record, which is unknown now.
		return termRecord{Fence: f.Fence}, nil
	}
	return f, t.writeRecord(ctx, termRecord{Fence: int64(t.fence), Holder: t.o.holder}, i.Rev())
}

// writeRecord writes the term record in a transaction that fails unless this term still holds the claim.
func (t *term) writeRecord(ctx context.Context, f termRecord, rev keyval.Revision) error {
	b, err := json.Marshal(f)
	if err != nil {
		return eris.Wrap(err, "encode term record")
	}
	r, err := t.o.store.Txn(ctx, keyval.Txn{
		Guards: []keyval.Guard{t.claimGuard(), {Key: termKey, Rev: rev}}, Writes: []keyval.Write{{Key: termKey, Value: b}},
	})
	var c *keyval.ConflictError
	if errors.As(err, &c) {
		for _, i := range c.Items() {
			if i.Key() == ClaimKey && i.Rev() != t.fence {
				return errClaimLost
			}
		}
	}
	if err == nil {
		t.recordRev.Store(int64(r))
	}
	return err
}

// recordHandover records that this process has stopped giving orders. Without this record a successor waits longer.
func (t *term) recordHandover(ctx context.Context) {
	c, cancel := context.WithTimeout(context.WithoutCancel(ctx), handoverTimeout)
	defer cancel()
	rev := keyval.Revision(t.recordRev.Load())
	if rev == 0 {
		return
	}
	err := t.writeRecord(c, termRecord{Fence: int64(t.fence), Holder: t.o.holder, Left: true, Orders: t.o.lastOrders.Load().orders}, rev)
	t.o.log.Info().Int64("fence", int64(t.fence)).Bool("noted", err == nil).Msg("ownership handed over")
}

// probeFormer shortens the wait for the orders of the former owner f. It polls that owner's address until another process answers
// there, or the process answers that this term is over.
func (t *term) probeFormer(ctx context.Context, f termRecord) error {
	if f.Left {
		t.send(ctx, batch.OrdersMsg{Orders: f.Orders})
		return nil
	}
	if f.Holder == "" {
		return nil
	}
	addr, _, _ := strings.Cut(f.Holder, "/")
	end := time.Now().Add(maxOrderLifetime)
	for ctx.Err() == nil && time.Now().Before(end) {
		c, cancel := context.WithTimeout(ctx, probeTimeout)
		r, err := t.o.peers.At(addr).Term(c, &desk.TermRequest{})
		cancel()
		if err == nil && (r.GetHolder() != f.Holder || r.GetFence() != f.Fence) {
			t.o.log.Info().Str("peer", addr).Int64("former", f.Fence).Bool("sameProcess", r.GetHolder() == f.Holder).Msg("former owner is gone")
			t.send(ctx, batch.BlindMsg{ForMs: maxWorkerLease.Milliseconds()})
			t.send(ctx, batch.OrdersMsg{Orders: batch.Orders{AgeMs: r.GetOrderedMs(), SpanMs: r.GetSpanMs()}})
			return nil
		}
		steady.Sleep(ctx, probeInterval)
	}
	return nil
}

// lastOrders holds the last orders to machines at the end of this process's latest term.
type lastOrders struct {
	recordedMs int64 // of Owner.now
	orders     batch.Orders
}

// Term implements desk.Desk. Between terms it returns the age of the last orders to machines.
func (o *Owner) Term(context.Context, *desk.TermRequest) (*desk.TermReply, error) {
	if t := o.term.Load(); t != nil {
		return &desk.TermReply{Holder: o.holder, Fence: int64(t.fence)}, nil
	}
	p := o.lastOrders.Load()
	a := p.orders.Aged(o.now() - p.recordedMs)
	return &desk.TermReply{Holder: o.holder, OrderedMs: a.AgeMs, SpanMs: a.SpanMs}, nil
}
