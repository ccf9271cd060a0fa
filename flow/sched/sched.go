package sched

import (
	"time"

	"burdockreach.dev/flow/admit"
	"burdockreach.dev/flow/queue"
	"burdockreach.dev/flow/retry"
	"burdockreach.dev/flow/route"
)

const (
	defaultUrgentStart = 1500 * time.Millisecond
	noTargetGrace      = time.Second // requests wait this long for a target to come back
	noTargetRetryAfter = time.Second // for requests that end because there is no target
	overloadedFor      = time.Second // the service counts as overloaded for this long after a request was shed
	minRetryAfter      = 20 * time.Millisecond
	maxRetryAfter      = 30 * time.Second
	retryCapacityShare = 0.8  // share of the capacity that retries of shed requests may use
	maxUnplaced        = 4    // requests that found no target and are set aside while those behind them are tried
	maxFreeRequests    = 1024 // request structs kept for reuse
)

// Scheduler schedules the requests of one service at one entry. It changes only through Update and is not safe for concurrent use.
type Scheduler struct {
	service     string
	urgentStart time.Duration
	started     bool
	epoch       time.Time
	now         time.Duration // since epoch

	gate        *admit.Gate
	queue       *queue.Queue[*request]
	pool        *route.Pool
	retryBudget *retry.Budget

	requests      map[ID]*request
	freeRequests  []*request // for reuse
	unplaced      []*request // to be queued again at the end of dispatch
	targets       []Target
	shares        map[string]int // slots that this entry may use, by target
	targetsGoneAt time.Duration  // when the last target was removed
	lastShedAt    time.Duration
	hasShed       bool
	lastRetryAt   time.Duration // latest time at which a shed request was told to come back
	lastUrgentAt  time.Duration
	hasUrgent     bool
	meters        meters
	cmds          []Cmd
}

// New returns a Scheduler for the named service, without targets.
func New(service string, opts ...Option) *Scheduler {
	c := defaults()
	for _, o := range opts {
		o(&c)
	}
	return &Scheduler{
		service: service, urgentStart: c.urgentStart, targetsGoneAt: -noTargetGrace,
		gate: admit.New(), queue: queue.New[*request](queue.WithCapacity(c.maxQueued)),
		pool:        route.New(route.WithMaxEjected(c.maxEjected)),
		retryBudget: retry.New(retry.WithShare(c.retryShare), retry.WithBurst(c.retryBurst)),
		requests:    map[ID]*request{}, meters: newMeters(),
	}
}

// Service returns the service's name.
func (s *Scheduler) Service() string { return s.service }

// Taken stores the number of occupied slots of each target in m. The slot of a request whose answer was lost counts while the
// request may still run.
func (s *Scheduler) Taken(m map[string]int) { s.pool.Taken(m) }

// Update processes a message and returns the commands to carry out. The next call reuses the returned slice.
func (s *Scheduler) Update(m Msg) []Cmd {
	s.cmds = s.cmds[:0]
	switch m := m.(type) {
	case ArriveMsg:
		s.advance(m.Now)
		s.arrive(&m)
	case DoneMsg:
		s.advance(m.Now)
		s.done(&m)
	case CancelMsg:
		s.advance(m.Now)
		s.cancel(m.ID)
	case TickMsg:
		s.advance(m.Now)
	case TargetsMsg:
		s.advance(m.Now)
		s.setTargets(m.Targets)
	case SharesMsg:
		s.advance(m.Now)
		s.setShares(m.Shares)
	case QuotasMsg:
		s.advance(m.Now)
		s.gate.SetRates(m.Rates)
	case ProfileMsg:
		s.advance(m.Now)
		s.urgentStart = m.UrgentStart
		s.retryBudget.SetShare(m.RetryShare)
	}
	s.dispatch()
	return s.cmds
}

// advance moves the time forward; it never goes back.
func (s *Scheduler) advance(t time.Time) {
	if !s.started {
		s.started, s.epoch = true, t
	}
	s.now = max(s.now, t.Sub(s.epoch))
	s.pool.Advance(s.now)
}

// arrive sends, queues or refuses a new request. It ignores an id that is in use.
func (s *Scheduler) arrive(m *ArriveMsg) {
	if _, ok := s.requests[m.ID]; ok {
		return
	}
	c := queue.Class(min(m.Class, Background))
	s.meters.arrivals.add(s.now)
	s.queue.Arrived(s.now, c)
	if c == queue.Urgent {
		s.hasUrgent, s.lastUrgentAt = true, s.now
	}
	r := s.newRequest(m, c)
	if reason, retryAfter := s.refusal(m.Team, r); reason != "" {
		s.end(r, reason, retryAfter)
		return
	}
	if s.queue.Len() == 0 && s.pool.Free() > s.urgentReserve(c) && s.trySend(r) {
		return
	}
	h, excess := s.queue.Push(s.now, c, r.deadline, r)
	if h == queue.None {
		s.shed(r, ReasonOverload, excess)
		return
	}
	r.queueHandle = h
}

// refusal returns the reason to refuse a request and when the caller may retry, or "" to admit it.
func (s *Scheduler) refusal(team string, r *request) (Reason, time.Duration) {
	if r.deadline <= s.now {
		return ReasonDeadline, 0
	}
	if s.pool.Listed() == 0 && s.now >= s.targetsGoneAt+noTargetGrace {
		return ReasonNoTarget, noTargetRetryAfter
	}
	idle := s.queue.Len() == 0 && s.pool.Free() > s.urgentReserve(r.class)
	v, retryAfter := s.gate.Arrive(s.now, team, admit.NewLoad(idle, s.overloaded(), s.capacity()))
	switch v {
	case admit.OverRate:
		return ReasonQuota, retryAfter
	case admit.Overloaded:
		return ReasonOverload, retryAfter
	}
	return "", 0
}

// overloaded reports whether a request was shed recently.
func (s *Scheduler) overloaded() bool { return s.hasShed && s.now < s.lastShedAt+overloadedFor }

// capacity returns the number of requests per second that the usable slots can answer, 0 if unknown.
func (s *Scheduler) capacity() float64 {
	m := s.queue.MeanServiceTime()
	if m <= 0 {
		return 0
	}
	return float64(s.pool.Slots()) / m.Seconds()
}

// shed ends a request that cannot be answered in time.
func (s *Scheduler) shed(r *request, reason Reason, excess time.Duration) {
	s.hasShed, s.lastShedAt = true, s.now
	s.end(r, reason, s.retryAfter(excess))
}

// retryAfter returns how long the caller of a shed request should wait before a retry. It is at least excess and at most
// maxRetryAfter. Each retry is scheduled after those of all requests shed before, so spaced that the retries take no more than
// retryCapacityShare of the capacity.
func (s *Scheduler) retryAfter(excess time.Duration) time.Duration {
	s.lastRetryAt = max(s.lastRetryAt, s.now+max(excess, minRetryAfter))
	if c := s.capacity(); c > 0 {
		s.lastRetryAt += time.Duration(float64(time.Second) / (c * retryCapacityShare))
	}
	s.lastRetryAt = min(s.lastRetryAt, s.now+maxRetryAfter)
	return s.lastRetryAt - s.now
}

// end gives the caller of a request its final answer.
func (s *Scheduler) end(r *request, reason Reason, retryAfter time.Duration) {
	s.meters.ended[reason]++
	s.cmds = append(s.cmds, EndCmd{ID: r.id, Reason: reason, NotRun: !r.mayHaveRun && !r.inFlight, RetryAfter: retryAfter})
	r.ended = true
	if !r.inFlight {
		s.recycle(r)
	}
}

// done processes the end of a send. It ignores a message that does not match the request's current send.
func (s *Scheduler) done(m *DoneMsg) {
	r, ok := s.requests[m.ID]
	if !ok || !r.inFlight || r.target != m.Target {
		return
	}
	r.inFlight = false
	s.recordOutcome(r, m)
	if m.Result == Answered || m.Result == NotSent || r.ended {
		s.recycle(r)
		return
	}
	r.mayHaveRun = r.mayHaveRun || m.Result != NotRun
	s.retryOrEnd(r, m)
}

// recordOutcome reports the outcome of a send to the pool and the queue.
func (s *Scheduler) recordOutcome(r *request, m *DoneMsg) {
	var took time.Duration
	o := route.Failed
	switch {
	case m.Result == Answered:
		o, took = route.Succeeded, s.now-r.sentAt
		if !r.ended && s.now <= r.deadline {
			s.meters.goodput.add(s.now)
		}
	case m.Result == Unknown:
		o = route.Lost
	case m.Result == NotSent, m.Leaving, r.ended:
		o = route.Inconclusive
	case m.Result == NotRun:
		o = route.Refused
	}
	s.queue.Finished(r.class, took)
	s.pool.Done(s.now, m.Target, o, s.queue.MeanServiceTime())
	if m.Leaving {
		s.pool.MarkLeaving(s.now, m.Target)
	}
	s.queue.SetSlots(s.now, s.pool.Slots())
}

// retryOrEnd queues a request for another send, or ends it if it is too late or may not be retried.
func (s *Scheduler) retryOrEnd(r *request, m *DoneMsg) {
	if r.deadline-s.now < s.queue.MeanServiceTime() || r.deadline <= s.now {
		s.end(r, deadlineReason(m.Result), 0)
		return
	}
	switch s.retryBudget.Decide(retryOutcome(m), r.attempts, r.idempotent) {
	case retry.Stop:
		s.end(r, noRetryReason(m.Result), 0)
	case retry.Exhausted:
		s.end(r, budgetSpentReason(m.Result), minRetryAfter)
	default:
		r.queueHandle = s.queue.Requeue(s.now, r.class, r.deadline, r)
	}
}

func (s *Scheduler) cancel(id ID) {
	r, ok := s.requests[id]
	if !ok || r.ended {
		return
	}
	if !r.inFlight {
		s.queue.Remove(r.queueHandle)
	}
	s.end(r, ReasonCancelled, 0)
}

func (s *Scheduler) setTargets(l []Target) {
	if len(l) == 0 && s.pool.Listed() > 0 {
		s.targetsGoneAt = s.now
	}
	s.targets = append(s.targets[:0], l...)
	t := make([]route.Target, 0, len(l))
	for _, x := range l {
		t = append(t, route.NewTarget(x.name, x.rack, s.usableSlots(x)))
	}
	s.pool.SetTargets(s.now, t)
	s.queue.SetSlots(s.now, s.pool.Slots())
}

func (s *Scheduler) setShares(m map[string]int) {
	s.shares = m
	for _, x := range s.targets {
		s.pool.SetSlots(x.name, s.usableSlots(x))
	}
	s.queue.SetSlots(s.now, s.pool.Slots())
}

// usableSlots returns the number of the target's slots that this entry may use.
func (s *Scheduler) usableSlots(t Target) int {
	if n, ok := s.shares[t.name]; ok {
		return n
	}
	return t.slots
}
