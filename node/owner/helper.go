package owner

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"burdockreach.dev/fleet/batch"
	"burdockreach.dev/node/desk"
)

// Helpers of an owner.
const (
	helpersEvery  = time.Second            // between two looks at who can help.
	collectWait   = 800 * time.Millisecond // of one request for answers.
	carryWithin   = 1500 * time.Millisecond
	helperRest    = 5 * time.Second // a helper that did not answer gets no calls for so long.
	helperStarted = 200             // orders that one request carries at most.
)

// Entries knows which entries can make calls for an owner, the ablest first.
type Entries interface {
	Helpers() []string // addresses for peers.
}

// helper is an entry that makes calls for this term.
type helper struct {
	t    *term
	addr string

	mu     sync.Mutex
	next   uint64
	queue  []*desk.Order
	under  map[uint64]order // under way.
	wake   chan struct{}    // calls are queued.
	work   chan struct{}    // calls are under way.
	failed time.Time
}

func newHelper(t *term, addr string) *helper {
	return &helper{t: t, addr: addr, under: map[uint64]order{}, wake: make(chan struct{}, 1), work: make(chan struct{}, 1)}
}

// order is a call that a helper makes.
type order struct {
	cmd  batch.Cmd
	sent int64
}

// helpers are chosen anew every second; workers stay with their helper while it answers. Lock order: helpers, then helper.
type helpers struct {
	mu   sync.Mutex
	all  map[string]*helper
	used []*helper
}

// manage keeps as many helpers as the number of workers asks for.
func (t *term) manage(ctx context.Context) error {
	k := time.NewTicker(helpersEvery)
	defer k.Stop()
	for {
		t.chooseHelpers(ctx)
		select {
		case <-k.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (t *term) chooseHelpers(ctx context.Context) {
	n := int(t.workers.Load()) / t.o.set.HelperWorkers
	h := &t.helpers
	h.mu.Lock()
	defer h.mu.Unlock()
	var use []*helper
	for _, a := range t.o.entries.Helpers() {
		if len(use) >= n {
			break
		}
		p := h.all[a]
		if p == nil {
			p = newHelper(t, a)
			h.all[a] = p
			t.group.Go(func() error { return p.send(ctx) })
			t.group.Go(func() error { return p.collect(ctx) })
		}
		if p.rested() {
			use = append(use, p)
		}
	}
	if !slices.Equal(use, h.used) {
		t.o.log.Info().Int("helpers", len(use)).Int64("fence", int64(t.fence)).Msg("helpers chosen")
	}
	h.used = use
}

// helperOf returns the helper for a worker's calls, nil when the owner makes them itself. By rendezvous hashing a worker keeps its
// helper, and that one its connection, when others come and go.
func (t *term) helperOf(worker string) *helper {
	h := &t.helpers
	h.mu.Lock()
	defer h.mu.Unlock()
	var best *helper
	high := uint64(0)
	for _, p := range h.used {
		if n := xxhash.Sum64String(worker + p.addr); best == nil || n > high {
			best, high = p, n
		}
	}
	return best
}

func (p *helper) rested() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.failed) > helperRest
}

// push queues a call.
func (p *helper) push(c batch.Cmd) {
	p.mu.Lock()
	p.next++
	o := encodeOrder(c)
	o.Id = p.next
	p.queue = append(p.queue, o)
	p.under[p.next] = order{cmd: c, sent: p.t.o.now()}
	p.mu.Unlock()
	for _, c := range []chan struct{}{p.wake, p.work} {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

func encodeOrder(c batch.Cmd) *desk.Order {
	switch k := c.(type) {
	case batch.HoldCmd:
		return &desk.Order{Worker: k.Worker, Addr: k.Addr, Fence: k.Fence, Until: k.UntilMs, Seen: k.LastSeen, WaitMs: k.WaitMs}
	case batch.StopCmd:
		return &desk.Order{Worker: k.Worker, Addr: k.Addr, Fence: k.Fence, Task: k.Task.String(), Run: int64(k.Run), Stop: true}
	case batch.StartCmd:
		return &desk.Order{
			Worker: k.Worker, Addr: k.Addr, Fence: k.Fence, Task: k.Task.String(), Run: int64(k.Run), Until: k.UntilMs,
			Spec: k.Spec, Saved: k.Saved, Ticket: k.Ticket,
		}
	}
	panic(fmt.Sprintf("owner: %T cannot be carried", c)) // a defect of perform.
}

func (p *helper) session() string { return fmt.Sprintf("%s/%d", p.t.o.holder, p.t.fence) }

// send passes queued calls on.
func (p *helper) send(ctx context.Context) error {
	for {
		select {
		case <-p.wake:
		case <-ctx.Done():
			return nil
		}
		for {
			p.mu.Lock()
			n := min(len(p.queue), helperStarted)
			l := p.queue[:n]
			p.queue = p.queue[n:]
			p.mu.Unlock()
			if n == 0 {
				break
			}
			p.carry(ctx, &desk.CarryRequest{Session: p.session(), Orders: l})
		}
	}
}

// collect asks for answers while calls are under way.
func (p *helper) collect(ctx context.Context) error {
	for ctx.Err() == nil {
		p.mu.Lock()
		idle := len(p.under) == 0
		p.mu.Unlock()
		if idle {
			select {
			case <-p.work:
			case <-ctx.Done():
			}
			continue
		}
		p.carry(ctx, &desk.CarryRequest{Session: p.session(), WaitMs: collectWait.Milliseconds()})
	}
	return nil
}

// carry makes one request; when it fails, nothing is known of the calls that are under way.
func (p *helper) carry(ctx context.Context, r *desk.CarryRequest) {
	c, cancel := context.WithTimeout(ctx, carryWithin)
	defer cancel()
	a, err := p.t.o.peers.At(p.addr).Carry(c, r)
	if err != nil {
		p.lose(ctx, err)
		return
	}
	for _, x := range a.GetAnswers() {
		p.mu.Lock()
		o, ok := p.under[x.GetId()]
		delete(p.under, x.GetId())
		p.mu.Unlock()
		if ok {
			p.t.tell(ctx, o.answer(x))
		}
	}
}

// lose tells the model that the calls under way have no answer.
func (p *helper) lose(ctx context.Context, err error) {
	p.mu.Lock()
	l := p.under
	p.under, p.queue = map[uint64]order{}, nil
	p.failed = time.Now()
	p.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	p.t.o.log.Warn().Str("peer", p.addr).Int("calls", len(l)).Err(err).Msg("helper lost")
	p.t.o.peers.Reset(p.addr)
	p.t.chooseHelpers(ctx)
	for _, o := range l {
		p.t.tell(ctx, o.answer(&desk.Answer{Result: int32(batch.NoAnswer)}))
	}
}

// answer returns the message to the model.
func (o order) answer(a *desk.Answer) batch.Msg {
	r := batch.Result(a.GetResult())
	switch k := o.cmd.(type) {
	case batch.HoldCmd:
		return decodeHeld(a, k.Worker, o.sent)
	case batch.StopCmd:
		return batch.StoppedMsg{Worker: k.Worker, Task: k.Task, Run: k.Run, Result: r, ClockMs: a.GetClockMs(), Sent: o.sent}
	case batch.StartCmd:
		return batch.StartedMsg{Worker: k.Worker, Task: k.Task, Run: k.Run, Result: r, ClockMs: a.GetClockMs(), Sent: o.sent}
	}
	panic(fmt.Sprintf("owner: %T was carried", o.cmd)) // a defect of push.
}
