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

// Timeouts and limits of helpers.
const (
	chooseInterval      = time.Second            // between two choices of helpers.
	collectTimeout      = 800 * time.Millisecond // how long one request waits for answers at the helper.
	carryTimeout        = 1500 * time.Millisecond
	helperCooldown      = 5 * time.Second // a helper that did not answer gets no calls for this time.
	probeAfter          = time.Second     // a helper that has not answered for this time is asked whether it answers.
	maxAnswerAge        = 2 * time.Second // only a helper that answered within this time is chosen.
	maxOrdersPerRequest = 200
)

// HelperLister lists the entries that can make calls for an owner.
type HelperLister interface {
	Helpers() []string // peer addresses, those with the most cores first.
}

// helper is another entry that makes calls to workers for this term. It makes no decisions.
type helper struct {
	t    *term
	addr string

	mu            sync.Mutex
	session       *carrySession
	sessions      int // number of sessions so far.
	lastID        uint64
	queue         []*desk.Order
	inFlight      map[uint64]pendingOrder // orders without an answer, by id.
	sendSignal    chan struct{}           // wakes send: calls are queued.
	collectSignal chan struct{}           // wakes collect: calls are in flight.
	failedAt      time.Time
	answeredAt    time.Time // zero after a failure.
	probing       bool
}

func newHelper(ctx context.Context, t *term, addr string) *helper {
	p := &helper{t: t, addr: addr, inFlight: map[uint64]pendingOrder{}, sendSignal: make(chan struct{}, 1), collectSignal: make(chan struct{}, 1)}
	p.session = p.newSession(ctx)
	return p
}

// carrySession is a session at the helper. A failed request ends it: at the helper, that request may still be waiting for answers, and
// it takes those of its session only.
type carrySession struct {
	id     string
	ctx    context.Context //nolint:containedctx // canceled when a request of the session fails
	cancel context.CancelFunc
}

// newSession returns the next session of this term at the helper.
func (p *helper) newSession(ctx context.Context) *carrySession {
	p.sessions++
	s := &carrySession{id: fmt.Sprintf("%s/%d/%d", p.t.o.holder, p.t.fence, p.sessions)}
	s.ctx, s.cancel = context.WithCancel(ctx)
	return s
}

// pendingOrder is a call that a helper has not answered yet.
type pendingOrder struct {
	cmd    batch.Cmd
	sentMs int64
}

// helpers holds the helpers of a term. They are chosen again every second; a worker keeps its helper while that one answers.
// Lock order: helpers, then helper.
type helpers struct {
	mu     sync.Mutex
	byAddr map[string]*helper
	active []*helper
}

// manageHelpers adjusts the helpers to the number of workers, until ctx ends.
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

// chooseHelpers takes one helper for each HelperWorkers workers, in the order of Helpers. It skips those that failed lately or have not
// answered yet, and asks twice as many as it needs whether they answer.
func (t *term) chooseHelpers(ctx context.Context) {
	n := int(t.workerCount.Load()) / t.o.settings.HelperWorkers
	h := &t.helpers
	h.mu.Lock()
	defer h.mu.Unlock()
	var use []*helper
	asked := 0
	for _, a := range t.o.entries.Helpers() {
		if len(use) >= n || asked >= 2*n {
			break
		}
		p := h.byAddr[a]
		if p == nil {
			p = newHelper(ctx, t, a)
			h.byAddr[a] = p
			t.group.Go(func() error { return p.send(ctx) })
			t.group.Go(func() error { return p.collect(ctx) })
		}
		if !p.cooledDown() {
			continue
		}
		asked++
		p.probe(ctx)
		if p.hasAnswered() || slices.Contains(h.active, p) {
			use = append(use, p)
		}
	}
	if !slices.Equal(use, h.active) {
		t.o.log.Info().Int("helpers", len(use)).Int64("fence", int64(t.fence)).Msg("helpers chosen")
	}
	h.active = use
}

// helperOf returns the helper that makes the calls to a worker, or nil when the owner makes them itself. Rendezvous hashing keeps a
// worker on the same helper, and the helper's connection to it open, when other helpers are added or removed.
func (t *term) helperOf(worker string) *helper {
	h := &t.helpers
	h.mu.Lock()
	defer h.mu.Unlock()
	var best *helper
	bestHash := uint64(0)
	for _, p := range h.active {
		if n := xxhash.Sum64String(worker + p.addr); best == nil || n > bestHash {
			best, bestHash = p, n
		}
	}
	return best
}

// cooledDown reports whether the last failure is at least helperCooldown ago.
func (p *helper) cooledDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.failedAt) > helperCooldown
}

// hasAnswered reports whether the helper has answered within maxAnswerAge.
func (p *helper) hasAnswered() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.answeredAt) < maxAnswerAge
}

// probe sends an empty request to a helper that has not answered for probeAfter, and chooses helpers again once it answers.
func (p *helper) probe(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.probing || time.Since(p.answeredAt) < probeAfter {
		return
	}
	p.probing = true
	s := p.session
	p.t.group.Go(func() error {
		p.exchange(ctx, s, &desk.CarryRequest{})
		p.mu.Lock()
		p.probing = false
		p.mu.Unlock()
		if p.hasAnswered() {
			p.t.chooseHelpers(ctx)
		}
		return nil
	})
}

// enqueue queues a call for the helper and wakes its goroutines.
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
	case batch.PollCmd:
		return &desk.Order{Worker: k.Worker, Addr: k.Addr, Fence: k.Fence, Until: k.UntilMs, Seen: k.ForgetUpTo, Born: k.Born, WaitMs: k.WaitMs}
	case batch.StopCmd:
		return &desk.Order{Worker: k.Worker, Addr: k.Addr, Fence: k.Fence, Task: k.Task.String(), Run: int64(k.Run), Stop: true}
	case batch.StartCmd:
		return &desk.Order{
			Worker: k.Worker, Addr: k.Addr, Fence: k.Fence, Task: k.Task.String(), Run: int64(k.Run), Until: k.UntilMs,
			Spec: k.Spec, Saved: k.Checkpoint, Ticket: k.Ticket, Born: k.Born,
		}
	}
	panic(fmt.Sprintf("owner: %T cannot be sent through a helper", c)) // a bug in perform.
}

// send sends queued calls to the helper until ctx ends.
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
			s := p.session
			p.mu.Unlock()
			if n == 0 {
				break
			}
			p.exchange(ctx, s, &desk.CarryRequest{Orders: l})
		}
	}
}

// collect requests answers while calls are in flight, until ctx ends.
func (p *helper) collect(ctx context.Context) error {
	for ctx.Err() == nil {
		p.mu.Lock()
		idle, s := len(p.inFlight) == 0, p.session
		p.mu.Unlock()
		if idle {
			select {
			case <-p.collectSignal:
			case <-ctx.Done():
			}
			continue
		}
		p.exchange(ctx, s, &desk.CarryRequest{WaitMs: collectTimeout.Milliseconds()})
	}
	return nil
}

// exchange makes one Carry request of session s and passes the answers to the model. When the request fails, the outcome of all calls
// in flight is unknown. ctx is the term's, since answers that have arrived count also after the end of the session.
func (p *helper) exchange(ctx context.Context, s *carrySession, r *desk.CarryRequest) {
	c, cancel := context.WithTimeout(s.ctx, carryTimeout)
	defer cancel()
	r.Session = s.id
	a, err := p.t.o.peers.At(p.addr).Carry(c, r)
	if err != nil {
		p.fail(ctx, s, err)
		return
	}
	p.mu.Lock()
	if p.session == s {
		p.answeredAt = time.Now()
	}
	p.mu.Unlock()
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

// fail ends session s after a failed request, reports its calls in flight to the model as unanswered, and chooses helpers again.
// It does nothing if another request has ended s already.
func (p *helper) fail(ctx context.Context, s *carrySession, err error) {
	p.mu.Lock()
	if p.session != s {
		p.mu.Unlock()
		return
	}
	s.cancel()
	p.session = p.newSession(ctx)
	l := p.inFlight
	p.inFlight, p.queue = map[uint64]pendingOrder{}, nil
	p.failedAt, p.answeredAt = time.Now(), time.Time{}
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

// toMsg converts the answer to the message for the model.
func (o pendingOrder) toMsg(a *desk.Answer) batch.Msg {
	r := batch.Result(a.GetResult())
	switch k := o.cmd.(type) {
	case batch.PollCmd:
		g := decodeHeld(a, k.Worker, o.sentMs)
		g.Fence = k.Fence
		return g
	case batch.StopCmd:
		return batch.StoppedMsg{Worker: k.Worker, Task: k.Task, Run: k.Run, Result: r, ClockMs: a.GetClockMs(), Sent: o.sentMs, Fence: k.Fence}
	case batch.StartCmd:
		return batch.StartedMsg{Worker: k.Worker, Task: k.Task, Run: k.Run, Result: r, ClockMs: a.GetClockMs(), Sent: o.sentMs, Fence: k.Fence}
	}
	panic(fmt.Sprintf("owner: %T was sent through a helper", o.cmd)) // a bug in enqueue.
}
