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
	chooseInterval      = time.Second            // between two looks at who can help.
	collectTimeout      = 800 * time.Millisecond // of one request for answers.
	carryTimeout        = 1500 * time.Millisecond
	helperCooldown      = 5 * time.Second // a helper that did not answer gets no calls for so long.
	maxOrdersPerRequest = 200             // orders that one request carries at most.
)

// Entries knows which entries can make calls for an owner, the ablest first.
type Entries interface {
	Helpers() []string // addresses for peers.
}

// helper is an entry that makes calls for this term.
type helper struct {
	t    *term
	addr string

	mu            sync.Mutex
	lastID        uint64
	queue         []*desk.Order
	inFlight      map[uint64]pendingOrder // under way.
	sendSignal    chan struct{}           // calls are queued.
	collectSignal chan struct{}           // calls are under way.
	failedAt      time.Time
}

func newHelper(t *term, addr string) *helper {
	return &helper{t: t, addr: addr, inFlight: map[uint64]pendingOrder{}, sendSignal: make(chan struct{}, 1), collectSignal: make(chan struct{}, 1)}
}

// pendingOrder is a call that a helper makes.
type pendingOrder struct {
	cmd    batch.Cmd
	sentMs int64
}

// helpers are chosen anew every second; workers stay with their helper while it answers. Lock order: helpers, then helper.
type helpers struct {
	mu     sync.Mutex
	byAddr map[string]*helper
	active []*helper
}

// manageHelpers keeps as many helpers as the number of workers asks for.
func (t *term) manageHelpers(ctx context.Context) error {
	k := time.NewTicker(chooseInterval)
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
	n := int(t.workerCount.Load()) / t.o.settings.HelperWorkers
	h := &t.helpers
	h.mu.Lock()
	defer h.mu.Unlock()
	var use []*helper
	for _, a := range t.o.entries.Helpers() {
		if len(use) >= n {
			break
		}
		p := h.byAddr[a]
		if p == nil {
			p = newHelper(t, a)
			h.byAddr[a] = p
			t.group.Go(func() error { return p.send(ctx) })
			t.group.Go(func() error { return p.collect(ctx) })
		}
		if p.cooledDown() {
			use = append(use, p)
		}
	}
	if !slices.Equal(use, h.active) {
		t.o.log.Info().Int("helpers", len(use)).Int64("fence", int64(t.fence)).Msg("helpers chosen")
	}
	h.active = use
}

// helperOf returns the helper for a worker's calls, nil when the owner makes them itself. By rendezvous hashing a worker keeps its
// helper, and that one its connection, when others come and go.
func (t *term) helperOf(worker string) *helper {
	h := &t.helpers
	h.mu.Lock()
	defer h.mu.Unlock()
	var best *helper
	high := uint64(0)
	for _, p := range h.active {
		if n := xxhash.Sum64String(worker + p.addr); best == nil || n > high {
			best, high = p, n
		}
	}
	return best
}

func (p *helper) cooledDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.failedAt) > helperCooldown
}

// enqueue queues a call.
func (p *helper) enqueue(c batch.Cmd) {
	p.mu.Lock()
	p.lastID++
	o := encodeOrder(c)
	o.Id = p.lastID
	p.queue = append(p.queue, o)
	p.inFlight[p.lastID] = pendingOrder{cmd: c, sentMs: p.t.o.now()}
	p.mu.Unlock()
	for _, c := range []chan struct{}{p.sendSignal, p.collectSignal} {
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

func (p *helper) sessionID() string { return fmt.Sprintf("%s/%d", p.t.o.holder, p.t.fence) }

// send passes queued calls on.
func (p *helper) send(ctx context.Context) error {
	for {
		select {
		case <-p.sendSignal:
		case <-ctx.Done():
			return nil
		}
		for {
			p.mu.Lock()
			n := min(len(p.queue), maxOrdersPerRequest)
			l := p.queue[:n]
			p.queue = p.queue[n:]
			p.mu.Unlock()
			if n == 0 {
				break
			}
			p.exchange(ctx, &desk.CarryRequest{Session: p.sessionID(), Orders: l})
		}
	}
}

// collect asks for answers while calls are under way.
func (p *helper) collect(ctx context.Context) error {
	for ctx.Err() == nil {
		p.mu.Lock()
		idle := len(p.inFlight) == 0
		p.mu.Unlock()
		if idle {
			select {
			case <-p.collectSignal:
			case <-ctx.Done():
			}
			continue
		}
		p.exchange(ctx, &desk.CarryRequest{Session: p.sessionID(), WaitMs: collectTimeout.Milliseconds()})
	}
	return nil
}

// exchange makes one request; when it fails, nothing is known of the calls that are under way.
func (p *helper) exchange(ctx context.Context, r *desk.CarryRequest) {
	c, cancel := context.WithTimeout(ctx, carryTimeout)
	defer cancel()
	a, err := p.t.o.peers.At(p.addr).Carry(c, r)
	if err != nil {
		p.fail(ctx, err)
		return
	}
	for _, x := range a.GetAnswers() {
		p.mu.Lock()
		o, ok := p.inFlight[x.GetId()]
		delete(p.inFlight, x.GetId())
		p.mu.Unlock()
		if ok {
			p.t.send(ctx, o.toMsg(x))
		}
	}
}

// fail tells the model that the calls under way have no answer.
func (p *helper) fail(ctx context.Context, err error) {
	p.mu.Lock()
	l := p.inFlight
	p.inFlight, p.queue = map[uint64]pendingOrder{}, nil
	p.failedAt = time.Now()
	p.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	p.t.o.log.Warn().Str("peer", p.addr).Int("calls", len(l)).Err(err).Msg("helper lost")
	p.t.o.peers.Reset(p.addr)
	p.t.chooseHelpers(ctx)
	for _, o := range l {
		p.t.send(ctx, o.toMsg(&desk.Answer{Result: int32(batch.NoAnswer)}))
	}
}

// toMsg returns the message to the model.
func (o pendingOrder) toMsg(a *desk.Answer) batch.Msg {
	r := batch.Result(a.GetResult())
	switch k := o.cmd.(type) {
	case batch.HoldCmd:
		return decodeHeld(a, k.Worker, o.sentMs)
	case batch.StopCmd:
		return batch.StoppedMsg{Worker: k.Worker, Task: k.Task, Run: k.Run, Result: r, ClockMs: a.GetClockMs(), Sent: o.sentMs}
	case batch.StartCmd:
		return batch.StartedMsg{Worker: k.Worker, Task: k.Task, Run: k.Run, Result: r, ClockMs: a.GetClockMs(), Sent: o.sentMs}
	}
	panic(fmt.Sprintf("owner: %T was carried", o.cmd)) // a defect of push.
}
