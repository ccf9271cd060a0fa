package owner

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/fleet/batch"
	"burdockreach.dev/node/desk"
	"burdockreach.dev/node/stats"
)

// Carrying calls for an owner: an owner of many workers has other entries make its calls, as most of its processor time would go into
// them. They decide nothing: an order that they hold up or lose is an order without an answer.

// Times of carrying.
const (
	answerBatchWindow  = 4 * time.Millisecond // answers that come within it go together.
	sessionIdleTimeout = 15 * time.Second     // a session that nobody asks for is dropped.
	maxSessionOrders   = 20_000               // orders under way for one session.
)

// Carrier makes calls for owners.
type Carrier struct {
	workers Workers
	stats   *stats.Set
	log     zerolog.Logger
	ctx     context.Context //nolint:containedctx // the life of the process
	group   *errgroup.Group

	mu       sync.Mutex
	sessions map[string]*session
}

// session is the calls for one term of an owner.
type session struct {
	mu       sync.Mutex
	answers  []*desk.Answer
	answered chan struct{}
	inFlight int
	lastUsed time.Time
}

// NewCarrier returns a carrier whose calls end with ctx.
func NewCarrier(ctx context.Context, g *errgroup.Group, w Workers, s *stats.Set, l zerolog.Logger) *Carrier {
	return &Carrier{workers: w, stats: s, log: l, ctx: ctx, group: g, sessions: map[string]*session{}}
}

func (c *Carrier) session(id string) *session {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for n, s := range c.sessions {
		if now.Sub(s.lastUsed) > sessionIdleTimeout {
			delete(c.sessions, n)
		}
	}
	s := c.sessions[id]
	if s == nil {
		s = &session{answered: make(chan struct{}, 1)}
		c.sessions[id] = s
	}
	s.lastUsed = now
	return s
}

// Carry begins the orders and returns the answers that are there, or come within the wait.
func (c *Carrier) Carry(ctx context.Context, r *desk.CarryRequest) (*desk.CarryReply, error) {
	s := c.session(r.GetSession())
	for _, o := range r.GetOrders() {
		c.start(s, o)
	}
	if r.GetWaitMs() > 0 {
		s.waitAnswers(ctx, time.Duration(r.GetWaitMs())*time.Millisecond)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := &desk.CarryReply{Answers: s.answers}
	s.answers = nil
	return a, nil
}

// waitAnswers returns once there is an answer and those that come soon after it, or after d.
func (s *session) waitAnswers(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-s.answered:
		time.Sleep(answerBatchWindow)
	case <-t.C:
	case <-ctx.Done():
	}
}

func (c *Carrier) start(s *session, o *desk.Order) {
	s.mu.Lock()
	full := s.inFlight >= maxSessionOrders
	s.inFlight++
	s.mu.Unlock()
	if full {
		s.addAnswer(&desk.Answer{Id: o.GetId(), Result: int32(batch.NotSent)})
		return
	}
	c.group.Go(func() error {
		s.addAnswer(c.call(o))
		return nil
	})
}

func (s *session) addAnswer(a *desk.Answer) {
	s.mu.Lock()
	s.answers = append(s.answers, a)
	s.inFlight--
	s.mu.Unlock()
	select {
	case s.answered <- struct{}{}:
	default:
	}
}

// call makes one call; what went wrong is told by its result, and counted here.
func (c *Carrier) call(o *desk.Order) *desk.Answer {
	a, begin := &desk.Answer{Id: o.GetId()}, time.Now()
	if o.GetTask() == "" {
		g, err := c.workers.Hold(c.ctx, batch.HoldCmd{
			Worker: o.GetWorker(), Addr: o.GetAddr(), UntilMs: o.GetUntil(), LastSeen: o.GetSeen(), WaitMs: o.GetWaitMs(), Fence: o.GetFence(),
		})
		count(c.stats, c.log, "carried_hold", begin, err)
		encodeHeld(a, g)
		return a
	}
	t, err := batch.ParseTaskName(o.GetTask())
	if err != nil {
		count(c.stats, c.log, "carried_order", begin, err)
		a.Result = int32(batch.Rejected)
		return a
	}
	var r batch.Result
	if o.GetStop() {
		r, a.ClockMs, err = c.workers.Stop(c.ctx, batch.StopCmd{
			Worker: o.GetWorker(), Addr: o.GetAddr(), Task: t, Run: int(o.GetRun()), Fence: o.GetFence(),
		})
	} else {
		r, a.ClockMs, err = c.workers.Start(c.ctx, batch.StartCmd{
			Worker: o.GetWorker(), Addr: o.GetAddr(), Task: t, Run: int(o.GetRun()), Spec: o.GetSpec(), UntilMs: o.GetUntil(),
			Fence: o.GetFence(), Saved: o.GetSaved(), Ticket: o.GetTicket(),
		})
	}
	count(c.stats, c.log, "carried_order", begin, err)
	a.Result = int32(r)
	return a
}

func encodeHeld(a *desk.Answer, g batch.HeldMsg) {
	a.Result, a.ClockMs, a.Born, a.ListFull = int32(g.Result), g.ClockMs, g.Born, g.ListFull
	for _, r := range g.Running {
		a.Running = append(a.Running, &desk.Running{Task: r.Task.String(), Run: int64(r.Run), Saved: r.Saved, Percent: int64(r.Percent), Gauge: r.Gauge})
	}
	for _, e := range g.Ended {
		a.Ended = append(a.Ended, &desk.Ended{Number: e.Number, Task: e.Task.String(), Run: int64(e.Run), How: string(e.How), Saved: e.Saved})
	}
}

// decodeHeld returns the answer to a look; one with a name that cannot be read counts as no answer.
func decodeHeld(a *desk.Answer, worker string, sent int64) batch.HeldMsg {
	g := batch.HeldMsg{
		Worker: worker, Sent: sent, Result: batch.Result(a.GetResult()), Born: a.GetBorn(), ClockMs: a.GetClockMs(), ListFull: a.GetListFull(),
	}
	for _, r := range a.GetRunning() {
		t, err := batch.ParseTaskName(r.GetTask())
		if err != nil {
			return batch.HeldMsg{Worker: worker, Sent: sent, Result: batch.NoAnswer}
		}
		g.Running = append(g.Running, batch.Running{Task: t, Run: int(r.GetRun()), Saved: r.GetSaved(), Percent: int(r.GetPercent()), Gauge: r.GetGauge()})
	}
	for _, e := range a.GetEnded() {
		t, err := batch.ParseTaskName(e.GetTask())
		if err != nil {
			return batch.HeldMsg{Worker: worker, Sent: sent, Result: batch.NoAnswer}
		}
		g.Ended = append(g.Ended, batch.Ended{Number: e.GetNumber(), Task: t, Run: int(e.GetRun()), How: batch.How(e.GetHow()), Saved: e.GetSaved()})
	}
	return g
}
