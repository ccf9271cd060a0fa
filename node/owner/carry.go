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

// An owner of many workers has other entries, its helpers, make its calls, because the calls would take most of its processor time.
// Helpers make no decisions. If a helper delays or loses an order, the owner treats it as an order without an answer.

// Timeouts and limits of a Carrier.
const (
	answerBatchWindow  = 4 * time.Millisecond // answers that arrive within this time share one reply.
	sessionIdleTimeout = 15 * time.Second     // a session without requests for this time is dropped.
	maxSessionOrders   = 20_000               // orders in flight for one session.
)

// Carrier makes calls to workers for owners in other entries.
type Carrier struct {
	workers Workers
	stats   *stats.Registry
	log     zerolog.Logger
	ctx     context.Context //nolint:containedctx // canceled when the process ends
	group   *errgroup.Group

	mu       sync.Mutex
	sessions map[string]*session

	lists workerLists
}

// session holds the calls and answers of one term of an owner.
type session struct {
	mu       sync.Mutex
	answers  []*desk.Answer
	answered chan struct{}
	inFlight int
	lastUsed time.Time
}

// NewCarrier returns a Carrier whose calls end when ctx is canceled.
func NewCarrier(ctx context.Context, g *errgroup.Group, w Workers, s *stats.Registry, l zerolog.Logger) *Carrier {
	return &Carrier{workers: w, stats: s, log: l, ctx: ctx, group: g, sessions: map[string]*session{}, lists: workerLists{byWorker: map[string]workerList{}}}
}

// session returns the session with this id, which it creates if needed, and drops idle ones.
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

// Carry implements desk.Desk. It starts the orders and returns the answers that are ready or arrive within the requested wait.
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

// waitAnswers returns answerBatchWindow after the first answer, or after d without one.
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

// start makes the call in a new goroutine, or answers NotSent when the session has too many orders in flight.
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

// call makes one call to a worker. The answer's result gives the failure; the error itself is counted and logged here.
func (c *Carrier) call(o *desk.Order) *desk.Answer {
	a, begin := &desk.Answer{Id: o.GetId()}, time.Now()
	if o.GetTask() == "" {
		g, err := c.poll(c.ctx, batch.PollCmd{
			Worker: o.GetWorker(), Addr: o.GetAddr(), UntilMs: o.GetUntil(), ForgetUpTo: o.GetSeen(), Born: o.GetBorn(), WaitMs: o.GetWaitMs(),
			Fence: o.GetFence(),
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
		r, a.ClockMs, err = c.startRun(c.ctx, batch.StartCmd{
			Worker: o.GetWorker(), Addr: o.GetAddr(), Task: t, Run: int(o.GetRun()), Spec: o.GetSpec(), UntilMs: o.GetUntil(),
			Fence: o.GetFence(), Checkpoint: o.GetSaved(), Ticket: o.GetTicket(), Born: o.GetBorn(),
		})
	}
	count(c.stats, c.log, "carried_order", begin, err)
	a.Result = int32(r)
	return a
}

func encodeHeld(a *desk.Answer, g batch.PolledMsg) {
	a.Result, a.ClockMs, a.Born, a.ListFull = int32(g.Result), g.ClockMs, g.Born, g.ListFull
	a.SeenWithheld = g.AckWithheld
	for _, r := range g.Running {
		a.Running = append(a.Running, &desk.Running{Task: r.Task.String(), Run: int64(r.Run), Saved: r.Checkpoint, Percent: int64(r.Percent), Gauge: r.Gauge})
	}
	for _, e := range g.Ended {
		a.Ended = append(a.Ended, &desk.Ended{Number: e.Number, Task: e.Task.String(), Run: int64(e.Run), How: string(e.Reason), Saved: e.Checkpoint})
	}
}

// decodeHeld decodes the answer to a hold call. An answer with an invalid task name counts as no answer.
func decodeHeld(a *desk.Answer, worker string, sent int64) batch.PolledMsg {
	g := batch.PolledMsg{
		Worker: worker, Sent: sent, Result: batch.Result(a.GetResult()), Born: a.GetBorn(), ClockMs: a.GetClockMs(), ListFull: a.GetListFull(),
		AckWithheld: a.GetSeenWithheld(),
	}
	for _, r := range a.GetRunning() {
		t, err := batch.ParseTaskName(r.GetTask())
		if err != nil {
			return batch.PolledMsg{Worker: worker, Sent: sent, Result: batch.NoAnswer}
		}
		g.Running = append(g.Running, batch.ActiveRun{Task: t, Run: int(r.GetRun()), Checkpoint: r.GetSaved(), Percent: int(r.GetPercent()), Gauge: r.GetGauge()})
	}
	for _, e := range a.GetEnded() {
		t, err := batch.ParseTaskName(e.GetTask())
		if err != nil {
			return batch.PolledMsg{Worker: worker, Sent: sent, Result: batch.NoAnswer}
		}
		g.Ended = append(g.Ended, batch.EndedRun{Number: e.GetNumber(), Task: t, Run: int(e.GetRun()), Reason: batch.EndReason(e.GetHow()), Checkpoint: e.GetSaved()})
	}
	return g
}
