package sched

import "time"

const (
	defaultRetryShare  = 0.1
	defaultRetryBurst  = 10
	defaultUrgentStart = 1500 * time.Millisecond
	maxAttempts        = 3
)

// Option changes a Scheduler at its making.
type Option func(*Scheduler)

// WithRetryBudget sets the retries allowed as a share of first sends, and the burst of retries allowed at once.
func WithRetryBudget(share float64, burst int) Option {
	return func(s *Scheduler) { s.retryShare, s.retryBurst = share, float64(burst) }
}

// WithUrgentStart sets the time within which urgent requests are to be sent.
func WithUrgentStart(d time.Duration) Option { return func(s *Scheduler) { s.urgentStart = d } }

// WithSeed sets the seed of the choices that are random.
func WithSeed(n uint64) Option { return func(s *Scheduler) { s.seed = n } }

// Scheduler decides for the requests of one service at one entry; it is changed only by Update and is not safe for concurrent use.
type Scheduler struct {
	service     string
	retryShare  float64
	retryBurst  float64
	urgentStart time.Duration
	seed        uint64

	budget  float64
	queue   [3][]*request
	reqs    map[ID]*request
	targets []*slotter
	shares  map[string]int
	stats   Stats
	cmds    []Cmd
}

type request struct {
	id         ID
	class      Class
	deadline   time.Time
	idempotent bool
	attempts   int
	mayHaveRun bool
	sent       bool
	over       bool
	last       string
}

type slotter struct {
	Target
	busy    int
	leaving bool
}

// New returns a Scheduler without targets for the named service.
func New(service string, opts ...Option) *Scheduler {
	s := &Scheduler{
		service: service, retryShare: defaultRetryShare, retryBurst: defaultRetryBurst,
		urgentStart: defaultUrgentStart, reqs: map[ID]*request{}, shares: map[string]int{},
	}
	for _, o := range opts {
		o(s)
	}
	s.budget = s.retryBurst
	s.stats.ended = map[Reason]int64{}
	return s
}

// Service returns the service's name.
func (s *Scheduler) Service() string { return s.service }

// Stats returns what the scheduler counts.
func (s *Scheduler) Stats() Stats {
	t := s.stats
	for c := range s.queue {
		t.queued[c] = len(s.queue[c])
	}
	for _, x := range s.targets {
		t.busy += x.busy
		t.idle += max(0, s.slots(x)-x.busy)
	}
	return t
}

// Update takes a message and returns what to do; the returned slice may be reused by the next Update.
func (s *Scheduler) Update(m Msg) []Cmd {
	s.cmds = s.cmds[:0]
	switch m := m.(type) {
	case ArriveMsg:
		s.arrive(m)
		s.dispatch(m.Now)
	case DoneMsg:
		s.done(m)
		s.dispatch(m.Now)
	case CancelMsg:
		s.cancel(m)
	case TickMsg:
		s.dispatch(m.Now)
	case TargetsMsg:
		s.setTargets(m)
		s.dispatch(m.Now)
	case SharesMsg:
		s.shares = m.Shares
		s.dispatch(m.Now)
	}
	return s.cmds
}

func (s *Scheduler) arrive(m ArriveMsg) {
	if _, ok := s.reqs[m.ID]; ok {
		return
	}
	r := &request{id: m.ID, class: min(m.Class, Background), deadline: m.Deadline, idempotent: m.Idempotent}
	s.reqs[m.ID] = r
	if len(s.targets) == 0 {
		s.end(r, ReasonNoTarget, time.Second)
		return
	}
	s.queue[r.class] = append(s.queue[r.class], r)
}

func (s *Scheduler) end(r *request, why Reason, after time.Duration) {
	if r.over {
		return
	}
	r.over = true
	if !r.sent {
		delete(s.reqs, r.id)
	}
	s.stats.ended[why]++
	s.cmds = append(s.cmds, EndCmd{ID: r.id, Reason: why, NotRun: !r.mayHaveRun && !r.sent, RetryAfter: after})
}

func (s *Scheduler) done(m DoneMsg) {
	for _, x := range s.targets {
		if x.name == m.Target {
			x.busy = max(0, x.busy-1)
			x.leaving = x.leaving || m.Leaving
		}
	}
	r, ok := s.reqs[m.ID]
	if !ok || !r.sent || r.last != m.Target {
		return
	}
	r.sent = false
	if m.Result == Answered || m.Result == Withdrawn || r.over {
		delete(s.reqs, r.id)
		return
	}
	r.mayHaveRun = r.mayHaveRun || m.Result != NotRun
	switch {
	case r.mayHaveRun && !r.idempotent && m.Result == Failed:
		s.end(r, ReasonFailed, 0)
	case r.mayHaveRun && !r.idempotent:
		s.end(r, ReasonUnknown, 0)
	case r.attempts >= maxAttempts || s.budget < 1:
		s.end(r, ReasonRetries, time.Second)
	default:
		s.budget--
		s.queue[r.class] = append(s.queue[r.class], r)
	}
}

func (s *Scheduler) cancel(m CancelMsg) {
	r, ok := s.reqs[m.ID]
	if !ok {
		return
	}
	s.end(r, ReasonCancelled, 0)
}

func (s *Scheduler) setTargets(m TargetsMsg) {
	old := map[string]*slotter{}
	for _, x := range s.targets {
		old[x.name] = x
	}
	s.targets = s.targets[:0]
	for _, t := range m.Targets {
		x := old[t.name]
		if x == nil {
			x = &slotter{}
		}
		x.Target = t
		s.targets = append(s.targets, x)
	}
}

func (s *Scheduler) slots(x *slotter) int {
	if n, ok := s.shares[x.name]; ok {
		return n
	}
	return x.Target.slots
}

func (s *Scheduler) pick(avoid string) *slotter {
	var best *slotter
	for _, x := range s.targets {
		if x.leaving || x.busy >= s.slots(x) {
			continue
		}
		if best == nil || best.name == avoid || x.name != avoid && x.busy < best.busy {
			best = x
		}
	}
	return best
}

func (s *Scheduler) dispatch(now time.Time) {
	for c := range s.queue {
		for len(s.queue[c]) > 0 {
			r := s.queue[c][0]
			if r.over || !now.Before(r.deadline) {
				s.end(r, ReasonDeadline, 0)
				s.queue[c] = s.queue[c][1:]
				continue
			}
			x := s.pick(r.last)
			if x == nil {
				return
			}
			s.queue[c] = s.queue[c][1:]
			s.send(r, x)
		}
	}
}

func (s *Scheduler) send(r *request, x *slotter) {
	if r.attempts == 0 {
		s.budget = min(s.retryBurst, s.budget+s.retryShare)
	}
	x.busy++
	r.attempts++
	r.sent, r.last = true, x.name
	s.cmds = append(s.cmds, SendCmd{ID: r.id, Target: x.name, Attempt: r.attempts})
}
