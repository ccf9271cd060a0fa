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
	noTargetGrace      = time.Second // in which requests wait for a target to come back
	noTargetRetry      = time.Second
	tightFor           = time.Second // after a request was shed the service counts as overloaded
	minRetryAfter      = 20 * time.Millisecond
	maxRetryAfter      = 30 * time.Second
	invitedShare       = 0.8 // of the capacity is for requests that come back
	setAsideAtOnce     = 4   // requests that may wait for another target while the ones behind them go
	maxSpare           = 1024
)

// Scheduler decides for the requests of one service at one entry; it is changed only by Update and is not safe for concurrent use.
type Scheduler struct {
	service     string
	urgentStart time.Duration
	started     bool
	epoch       time.Time
	now         time.Duration

	gate   *admit.Gate
	line   *queue.Queue[*request]
	pool   *route.Pool
	budget *retry.Budget

	reqs     map[ID]*request
	spare    []*request
	aside    []*request
	targets  []Target
	shares   map[string]int
	emptied  time.Duration // when the last target went
	shedAt   time.Duration
	shedEver bool
	invited  time.Duration // when the last shed request is to come back
	urgentAt time.Duration
	urgents  bool
	meters   meters
	cmds     []Cmd
}

// New returns a Scheduler without targets for the named service.
func New(service string, opts ...Option) *Scheduler {
	c := defaults()
	for _, o := range opts {
		o(&c)
	}
	return &Scheduler{
		service: service, urgentStart: c.urgentStart, emptied: -noTargetGrace,
		gate: admit.New(), line: queue.New[*request](queue.WithBound(c.bound)),
		pool:   route.New(route.WithMaxEjected(c.maxEjected)),
		budget: retry.New(retry.WithShare(c.retryShare), retry.WithBurst(c.retryBurst)),
		reqs:   map[ID]*request{}, meters: newMeters(),
	}
}

// Service returns the service's name.
func (s *Scheduler) Service() string { return s.service }

// Taken sets in m the number of slots that are taken at each target, also by requests whose answer was lost and that may run on.
func (s *Scheduler) Taken(m map[string]int) { s.pool.Taken(m) }

// Update takes a message and returns what to do; the returned slice is reused by the next Update.
func (s *Scheduler) Update(m Msg) []Cmd {
	s.cmds = s.cmds[:0]
	switch m := m.(type) {
	case ArriveMsg:
		s.pass(m.Now)
		s.arrive(&m)
	case DoneMsg:
		s.pass(m.Now)
		s.done(&m)
	case CancelMsg:
		s.pass(m.Now)
		s.cancel(m.ID)
	case TickMsg:
		s.pass(m.Now)
	case TargetsMsg:
		s.pass(m.Now)
		s.setTargets(m.Targets)
	case SharesMsg:
		s.pass(m.Now)
		s.setShares(m.Shares)
	case QuotasMsg:
		s.pass(m.Now)
		s.gate.SetRates(m.Rates)
	case PolicyMsg:
		s.pass(m.Now)
		s.urgentStart = m.UrgentStart
		s.budget.SetShare(m.RetryShare)
	}
	s.dispatch()
	return s.cmds
}

// pass lets time go on; it never goes back.
func (s *Scheduler) pass(t time.Time) {
	if !s.started {
		s.started, s.epoch = true, t
	}
	s.now = max(s.now, t.Sub(s.epoch))
	s.pool.Pass(s.now)
}

func (s *Scheduler) arrive(m *ArriveMsg) {
	if _, ok := s.reqs[m.ID]; ok {
		return
	}
	c := queue.Class(min(m.Class, Background))
	s.meters.arrivals.add(s.now)
	s.line.Arrived(s.now, c)
	if c == queue.Urgent {
		s.urgents, s.urgentAt = true, s.now
	}
	r := s.take(m, c)
	if why, after := s.refuse(m.Team, r); why != "" {
		s.end(r, why, after)
		return
	}
	if s.line.Len() == 0 && s.pool.Free() > s.held(c) && s.send(r) {
		return
	}
	h, over := s.line.Push(s.now, c, r.deadline, r)
	if h == queue.None {
		s.shed(r, ReasonOverload, over)
		return
	}
	r.handle = h
}

// refuse returns why a request cannot be let in, and when to come back.
func (s *Scheduler) refuse(team string, r *request) (Reason, time.Duration) {
	if r.deadline <= s.now {
		return ReasonDeadline, 0
	}
	if s.pool.Listed() == 0 && s.now >= s.emptied+noTargetGrace {
		return ReasonNoTarget, noTargetRetry
	}
	spare := s.line.Len() == 0 && s.pool.Free() > s.held(r.class)
	v, after := s.gate.Arrive(s.now, team, admit.NewLoad(spare, s.tight(), s.capacity()))
	switch v {
	case admit.Over:
		return ReasonQuota, after
	case admit.Crowded:
		return ReasonOverload, after
	}
	return "", 0
}

func (s *Scheduler) tight() bool { return s.shedEver && s.now < s.shedAt+tightFor }

// capacity returns the requests a second that the slots in use can answer, 0 if unknown.
func (s *Scheduler) capacity() float64 {
	m := s.line.Mean()
	if m <= 0 {
		return 0
	}
	return float64(s.pool.Slots()) / m.Seconds()
}

// shed ends a request that cannot be answered in time.
func (s *Scheduler) shed(r *request, why Reason, over time.Duration) {
	s.shedEver, s.shedAt = true, s.now
	s.end(r, why, s.invite(over))
}

// invite returns when a shed request is to come back: after all that were told so before it, at the pace of the slots.
func (s *Scheduler) invite(over time.Duration) time.Duration {
	s.invited = max(s.invited, s.now+max(over, minRetryAfter))
	if c := s.capacity(); c > 0 {
		s.invited += time.Duration(float64(time.Second) / (c * invitedShare))
	}
	s.invited = min(s.invited, s.now+maxRetryAfter)
	return s.invited - s.now
}

// end gives a request its final answer.
func (s *Scheduler) end(r *request, why Reason, after time.Duration) {
	s.meters.ended[why]++
	s.cmds = append(s.cmds, EndCmd{ID: r.id, Reason: why, NotRun: !r.mayHaveRun && !r.sent, RetryAfter: after})
	r.over = true
	if !r.sent {
		s.forget(r)
	}
}

func (s *Scheduler) done(m *DoneMsg) {
	r, ok := s.reqs[m.ID]
	if !ok || !r.sent || r.target != m.Target {
		return
	}
	r.sent = false
	s.observe(r, m)
	if m.Result == Answered || m.Result == Withdrawn || r.over {
		s.forget(r)
		return
	}
	r.mayHaveRun = r.mayHaveRun || m.Result != NotRun
	s.again(r, m)
}

// observe tells the pool and the queue how a send ended.
func (s *Scheduler) observe(r *request, m *DoneMsg) {
	var took time.Duration
	o := route.Bad
	switch {
	case m.Result == Answered:
		o, took = route.Good, s.now-r.sentAt
		if !r.over && s.now <= r.deadline {
			s.meters.goodput.add(s.now)
		}
	case m.Result == Unknown:
		o = route.Lost
	case m.Result == Withdrawn, m.Leaving, r.over:
		o = route.Mute
	case m.Result == NotRun:
		o = route.Full
	}
	s.line.Finished(r.class, took)
	s.pool.Done(s.now, m.Target, o, s.line.Mean())
	if m.Leaving {
		s.pool.Leave(s.now, m.Target)
	}
	s.line.SetSlots(s.now, s.pool.Slots())
}

// again queues a request for another send, or ends it.
func (s *Scheduler) again(r *request, m *DoneMsg) {
	if r.deadline-s.now < s.line.Mean() || r.deadline <= s.now {
		s.end(r, lateReason(m.Result), 0)
		return
	}
	switch s.budget.Decide(outcome(m), r.attempts, r.idempotent) {
	case retry.Stop:
		s.end(r, stopReason(m.Result), 0)
	case retry.Spent:
		s.end(r, spentReason(m.Result), minRetryAfter)
	default:
		r.handle = s.line.PushBack(s.now, r.class, r.deadline, r)
	}
}

func (s *Scheduler) cancel(id ID) {
	r, ok := s.reqs[id]
	if !ok || r.over {
		return
	}
	if !r.sent {
		s.line.Remove(r.handle)
	}
	s.end(r, ReasonCancelled, 0)
}

func (s *Scheduler) setTargets(l []Target) {
	if len(l) == 0 && s.pool.Listed() > 0 {
		s.emptied = s.now
	}
	s.targets = append(s.targets[:0], l...)
	t := make([]route.Target, 0, len(l))
	for _, x := range l {
		t = append(t, route.NewTarget(x.name, x.rack, s.slots(x)))
	}
	s.pool.Set(s.now, t)
	s.line.SetSlots(s.now, s.pool.Slots())
}

func (s *Scheduler) setShares(m map[string]int) {
	s.shares = m
	for _, x := range s.targets {
		s.pool.SetSlots(x.name, s.slots(x))
	}
	s.line.SetSlots(s.now, s.pool.Slots())
}

// slots returns the slots that this entry may use at the target.
func (s *Scheduler) slots(t Target) int {
	if n, ok := s.shares[t.name]; ok {
		return n
	}
	return t.slots
}
