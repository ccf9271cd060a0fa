package owner

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

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

	// Former holds the terms before this one whose owners may still give orders, because they did not leave in order. The owner of this
	// term removes those that are over.
	Former []formerTerm `json:"former,omitempty"`
}

// formerTerm is a term whose owner may still give orders.
type formerTerm struct {
	Fence  int64  `json:"fence"`
	Holder string `json:"holder"`
	ForMs  int64  `json:"forMs"` // how long its orders may still be carried out, or extend a lease, from when the record was written.
}

// mayOrder returns the terms up to that of the record whose owners may still give orders. A process that is in a later term gives none
// of an earlier one.
func (f termRecord) mayOrder() []formerTerm {
	l := slices.Clone(f.Former)
	if f.Fence == 0 {
		return l
	}
	l = slices.DeleteFunc(l, func(o formerTerm) bool { return o.Holder == f.Holder })
	if !f.Left && f.Holder != "" {
		l = append(l, formerTerm{Fence: f.Fence, Holder: f.Holder, ForMs: maxOrderLifetime.Milliseconds()})
	}
	return l
}

// orderLifetime is how long the orders of this term and of those before it may still be carried out, or extend a lease, at workers that
// the successor cannot reach.
func (f termRecord) orderLifetime() time.Duration {
	if f.Fence == 0 {
		return 0
	}
	d := maxWorkerLease
	for _, o := range f.mayOrder() {
		d = max(d, time.Duration(o.ForMs)*time.Millisecond)
	}
	return d
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
	if f.Fence == int64(t.fence) { // an earlier attempt replaced the former record; of that, only the terms in Former are known now.
		t.recordRev.Store(int64(i.Rev()))
		f.Holder = "" // this term is no former one.
		t.formers.start(f.mayOrder(), time.Now())
		return f, nil
	}
	t.formers.start(f.mayOrder(), time.Now())
	return f, t.writeRecord(ctx, termRecord{Fence: int64(t.fence), Holder: t.o.holder, Former: f.mayOrder()}, i.Rev())
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

// recordHandover records that this process has stopped giving orders, and which owners before it may still give some. Without this
// record a successor waits longer.
func (t *term) recordHandover(ctx context.Context) {
	c, cancel := context.WithTimeout(context.WithoutCancel(ctx), handoverTimeout)
	defer cancel()
	rev := keyval.Revision(t.recordRev.Load())
	if rev == 0 {
		return
	}
	r := termRecord{Fence: int64(t.fence), Holder: t.o.holder, Left: true, Orders: t.o.lastOrders.Load().orders, Former: t.formers.mayOrder(time.Now())}
	err := t.writeRecord(c, r, rev)
	t.o.log.Info().Int64("fence", int64(t.fence)).Bool("noted", err == nil).Int("formers", len(r.Former)).Msg("ownership handed over")
}

// formerTerms holds the terms before this one whose owners may still give orders.
type formerTerms struct {
	mu      sync.Mutex
	byFence map[int64]*formerWait
}

// formerWait is the wait for the orders of one former term.
type formerWait struct {
	formerTerm
	until time.Time // its orders cannot take effect after this time.
	over  bool      // its owner gives no orders any more.
}

// start begins the wait for the terms in l.
func (f *formerTerms) start(l []formerTerm, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.byFence = map[int64]*formerWait{}
	for _, o := range l {
		f.byFence[o.Fence] = &formerWait{formerTerm: o, until: now.Add(time.Duration(o.ForMs) * time.Millisecond)}
	}
}

// end records that the owner of a term gives no orders any more. It returns how long orders of any former term may still take effect.
func (f *formerTerms) end(fence int64, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := now
	for _, o := range f.byFence {
		if u := now.Add(maxWorkerLease); o.Fence == fence {
			o.over = true
			if u.Before(o.until) {
				o.until = u
			}
		}
		if o.until.After(last) {
			last = o.until
		}
	}
	return last.Sub(now)
}

// mayOrder returns the terms whose owners may still give orders, and for how long.
func (f *formerTerms) mayOrder(now time.Time) []formerTerm {
	f.mu.Lock()
	defer f.mu.Unlock()
	var l []formerTerm
	for _, o := range f.byFence {
		if ms := o.until.Sub(now).Milliseconds(); !o.over && ms > maxWorkerLease.Milliseconds() {
			l = append(l, formerTerm{Fence: o.Fence, Holder: o.Holder, ForMs: ms})
		}
	}
	return l
}

// probeFormers shortens the wait for the orders of the terms up to that of f. Once none of their owners may give orders any more, it
// removes them from this term's record.
func (t *term) probeFormers(ctx context.Context, f termRecord) error {
	if f.Left {
		t.send(ctx, batch.OrdersMsg{Orders: f.Orders})
	}
	l := f.mayOrder()
	if len(l) == 0 {
		return nil
	}
	g, c := errgroup.WithContext(ctx)
	for _, o := range l {
		g.Go(func() error {
			t.probeFormer(c, o, !f.Left && o.Fence == f.Fence)
			return nil
		})
	}
	if err := g.Wait(); err != nil || ctx.Err() != nil {
		return err
	}
	if err := t.writeRecord(ctx, termRecord{Fence: int64(t.fence), Holder: t.o.holder}, keyval.Revision(t.recordRev.Load())); err != nil {
		t.o.log.Warn().Str("step", "former owners").Err(err).Msg("term record not updated") // a successor waits longer.
	}
	return nil
}

// probeFormer polls the address of a former owner until another process answers there, or the process answers that the term is over.
// The last former owner also says which machines it has ordered.
func (t *term) probeFormer(ctx context.Context, f formerTerm, last bool) {
	addr, _, _ := strings.Cut(f.Holder, "/")
	end := time.Now().Add(time.Duration(f.ForMs) * time.Millisecond)
	for ctx.Err() == nil && time.Now().Before(end) {
		c, cancel := context.WithTimeout(ctx, probeTimeout)
		r, err := t.o.peers.At(addr).Term(c, &desk.TermRequest{})
		cancel()
		if err == nil && (r.GetHolder() != f.Holder || r.GetFence() != f.Fence) {
			t.o.log.Info().Str("peer", addr).Int64("former", f.Fence).Bool("sameProcess", r.GetHolder() == f.Holder).Msg("former owner is gone")
			d := t.formers.end(f.Fence, time.Now())
			t.send(ctx, batch.BlindMsg{ForMs: d.Milliseconds() + t.o.settings.Model.LeaseExcessMs()})
			if last {
				t.send(ctx, batch.OrdersMsg{Orders: batch.Orders{AgeMs: r.GetOrderedMs(), SpanMs: r.GetSpanMs()}})
			}
			return
		}
		steady.Sleep(ctx, probeInterval)
	}
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
