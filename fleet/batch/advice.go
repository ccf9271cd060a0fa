package batch

import (
	"cmp"
	"slices"
)

// Requests for advice. The service handles the requests of this machine one after another, and a request that was given up keeps its place
// there. So the steps wait here, in service order, and the service has only as many requests as it needs to stay busy: each is answered
// before its time limit, which follows from the time that the service takes.

// Limits of requests for advice. Times are in ms unless noted.
const (
	maxAdviceWorkers   = 100   // that a request may name.
	maxAdviceInFlight  = 2     // one is on its way while the service handles the other.
	maxPipelinedMs     = 500   // of a request's handling; beside a longer one, the way to the service does not matter, and tickets would be old.
	minAdviceWaitMs    = 2_000 // for the way to the service and for what else it has to do.
	adviceWaitFactor   = 3     // multiple of the expected time; a former owner on this machine may have left as many requests as this one has.
	maxAdviceDoublings = 2     // of the time limit after requests without an answer.
	maxAdvicePauseMs   = 4_800 // between requests that fail; it begins with refusalBackoffMs and doubles.
	adviceOverdueMs    = 1_500 // after its time limit, a request without any result counts as failed.
	maxServiceLine     = 32    // requests of one machine that the service lets wait.
	adviceLearnRate    = 0.2   // weight of one request in what is learned of the service and of a queue.
	maxAdviceLookups   = 200   // steps for which workers are sought at a time.
	maxEarlyUse        = 0.5   // use of the service up to which steps without room are sent.
	earlyIntervalMs    = 1_000 // between those that are sent whatever the use: large tasks need a ticket to have room kept for them.
	maxAdviceTimeMs    = 600_000
	adviceUseMs        = 2_000               // time over which the use of the service is averaged.
	staleWantMs        = 2 * sweepIntervalMs // a step that has not wanted advice since has started its tasks.
)

// Times in ms for queues whose configuration is not known.
const (
	defaultDecideMs = 200
	defaultEachMs   = 10
)

// AdviceMsg replaces the configured times of advice, by queue.
type AdviceMsg struct{ Queues map[string]AdviceTimes }

// AdviceTimes holds, in ms, how long the service takes for a request, how much longer for each worker that it names, and how long tickets
// are valid.
type AdviceTimes struct{ DecideMs, EachMs, ValidMs int64 }

func (t AdviceTimes) handleMs(workers int) float64 {
	return float64(max(t.DecideMs+t.EachMs*int64(workers), 1))
}

// AdviseCmd asks which workers may run a step.
type AdviseCmd struct {
	Task    TaskName // any task of the step.
	Workers []string // by ID.
	WaitMs  int64    // time that the service may take, ms.
}

// AdvisedMsg is the answer to an AdviseCmd, which was sent at Sent. If Failed is set, there was no advice, and the request is to be repeated.
type AdvisedMsg struct {
	Task    TaskName
	Failed  bool
	Busy    bool  // failed because the service lets no more requests wait.
	ValidMs int64 // 0 for the configured time.
	Sent    int64
	Tickets map[string]string // by worker ID.
}

func (AdviceMsg) msg()  {}
func (AdviseCmd) cmd()  {}
func (AdvisedMsg) msg() {}

// adviceLine holds the steps that wait for advice, and what is known of the service.
type adviceLine struct {
	queues       map[string]*queueAdvice
	wanted       []*stage
	inFlight     []*adviceRequest
	slowness     float64 // multiple of the configured time that the service takes.
	use          float64 // share of the time in which requests were in flight, as of usedAt.
	usedAt       int64
	earlyAt      int64 // when a step without room was last sent.
	answeredAt   int64
	pausedUntil  int64
	failures     int          // in a row.
	failingSince int64        // when the first of them was sent; valid while failures is not 0.
	clearAt      int64        // by when the service has handled what filled its line, after it refused a request; 0 before.
	fruitless    string       // queue whose last answer granted nothing; empty if the last answer did.
	owed         []adviceDebt // of the accepted jobs, in the order of the line.
}

// queueAdvice is what is known of the advice for one queue.
type queueAdvice struct {
	AdviceTimes
	named   float64 // usual number of workers in a request.
	granted float64 // usual share of them that may run the step.
}

// adviceRequest is a request in flight.
type adviceRequest struct {
	stage    *stage
	born     map[string]int64 // start of the present lifetimes of the named workers, by ID.
	sentAt   int64
	dueAt    int64 // when it should be answered.
	deadline int64 // when it is given up.
	handleMs float64
}

func (a *adviceLine) start() { a.queues, a.slowness = map[string]*queueAdvice{}, 1 }

// queue returns what is known of a queue.
func (a *adviceLine) queue(name string) *queueAdvice {
	q := a.queues[name]
	if q == nil {
		q = &queueAdvice{AdviceTimes: AdviceTimes{DecideMs: defaultDecideMs, EachMs: defaultEachMs}, named: 10, granted: 0.5}
		a.queues[name] = q
	}
	return q
}

// setAdvice takes the configured times, each of maxAdviceTimeMs at most. Queues that are gone keep theirs, as their jobs still need advice.
func (m *Model) setAdvice(l map[string]AdviceTimes) {
	for n, t := range l {
		for _, ms := range []*int64{&t.DecideMs, &t.EachMs, &t.ValidMs} {
			*ms = min(max(*ms, 0), maxAdviceTimeMs)
		}
		m.advice.queue(n).AdviceTimes = t
	}
}

// wantAdvice puts the step, a task of which has found no worker, into the line, unless it needs no advice, or its last request is pending or
// was answered too recently.
func (m *Model) wantAdvice(s *stage) {
	v := &s.advice
	if !s.job.Advised || v.request != nil || m.now < v.nextAt {
		return
	}
	v.wantedAt = m.now
	if v.neededAt == 0 {
		v.neededAt = m.now
	}
	if !v.wanted {
		v.wanted = true
		m.advice.wanted = append(m.advice.wanted, s)
	}
}

// sendAdvice sends the requests of the most urgent steps that have room, as far as the service should have more. Only if none has is a step
// without room sent.
func (m *Model) sendAdvice() {
	a := &m.advice
	m.expireRequests()
	m.measureUse()
	if len(a.wanted) == 0 || m.now < a.pausedUntil || len(a.inFlight) >= a.limit() {
		return
	}
	slices.SortFunc(a.wanted, m.compareInLine)
	var next *stage
	var nextWorkers []*worker
	l := slices.Clone(a.wanted)
	for i, s := range l {
		if len(a.inFlight) >= a.limit() || i >= maxAdviceLookups {
			a.wanted = append(a.wanted[:0], l[i:]...)
			return
		}
		v := &s.advice
		v.wanted = false
		if s.job.phase != open || m.now-v.wantedAt > staleWantMs {
			continue
		}
		workers, room := m.workersToAsk(s)
		v.hopeless = len(workers) == 0
		if early := !room && len(workers) > 0 && m.now-a.earlyAt >= earlyIntervalMs; room || early {
			if early {
				a.earlyAt = m.now
			}
			m.requestAdvice(s, workers)
			continue
		}
		v.nextAt = m.now + sweepIntervalMs
		if len(workers) > 0 && next == nil {
			next, nextWorkers = s, workers
		}
	}
	a.wanted = a.wanted[:0]
	if next != nil && len(a.inFlight) == 0 && a.use < maxEarlyUse {
		m.requestAdvice(next, nextWorkers)
	}
}

// compareInLine orders the steps that wait. After an answer that granted nothing, those of other queues come first once, so that a queue whose
// steps are all denied does not hold them up.
func (m *Model) compareInLine(s, o *stage) int {
	if f := m.advice.fruitless; f != "" && s.job.Queue != o.job.Queue {
		switch f {
		case s.job.Queue:
			return 1
		case o.job.Queue:
			return -1
		}
	}
	return cmp.Or(
		cmp.Compare(s.rank.class, o.rank.class), cmp.Compare(m.band(s), m.band(o)), cmp.Compare(s.job.Priority, o.job.Priority),
		cmp.Compare(s.rank.due, o.rank.due), cmp.Compare(s.job.ID, o.job.ID), cmp.Compare(s.number, o.number),
	)
}

// band returns the part of the line to which the step belongs: what is late comes last, as in service order. But a step that has never had a
// ticket comes first once it is late by another objective, so that it does not wait for as long as the service has more load than it can handle.
func (m *Model) band(s *stage) int {
	switch {
	case s.advice.usableUntil == 0 && m.now > s.rank.due+s.job.dueAt-s.job.submittedAt:
		return 0
	case s.rank.late:
		return 2
	}
	return 1
}

// limit returns how many requests may be in flight.
func (a *adviceLine) limit() int {
	long := func(r *adviceRequest) bool { return r.handleMs*a.slowness > maxPipelinedMs }
	if a.failures > 0 || slices.ContainsFunc(a.inFlight, long) {
		return 1
	}
	return maxAdviceInFlight
}

func (m *Model) requestAdvice(s *stage, l []*worker) {
	a := &m.advice
	r := &adviceRequest{stage: s, born: map[string]int64{}, sentAt: m.now, handleMs: a.queue(s.job.Queue).handleMs(len(l))}
	ids := make([]string, 0, len(l))
	for _, w := range l {
		ids, r.born[w.ID] = append(ids, w.ID), w.Born
	}
	m.measureUse()
	ahead := m.lineMs()
	r.dueAt = m.now + int64(ahead+r.handleMs*a.slowness)
	wait := int64(minAdviceWaitMs+adviceWaitFactor*(ahead+r.handleMs*a.slowness)) << min(a.failures, maxAdviceDoublings)
	r.deadline = m.now + wait
	s.advice.request = r
	a.inFlight, a.fruitless = append(a.inFlight, r), ""
	m.emit(AdviseCmd{Task: s.tasks[0].name(), Workers: ids, WaitMs: wait})
}

// lineMs returns how long the service still takes for what stands in its line, as far as known. For a request that is overdue, it is
// expected to take as long again.
func (m *Model) lineMs() float64 {
	a := &m.advice
	ms := max(a.clearAt-m.now, 0)
	for _, r := range a.inFlight {
		ms = max(ms, r.dueAt-m.now, m.now-r.dueAt)
	}
	return float64(ms)
}

// measureUse updates the use of the service. It must be called before the requests in flight change.
func (m *Model) measureUse() {
	a, busy := &m.advice, 0.0
	if len(a.inFlight) > 0 {
		busy = 1
	}
	a.use += (busy - a.use) * min(float64(m.now-a.usedAt)/adviceUseMs, 1)
	a.usedAt = m.now
}

// adviceAnswered takes the answer to a request. A named worker that got no ticket must not run the step. A failed answer tells nothing of
// the workers.
func (m *Model) adviceAnswered(g AdvisedMsg) {
	a := &m.advice
	i := slices.IndexFunc(a.inFlight, func(r *adviceRequest) bool { return r.stage.has(g.Task) })
	if i < 0 {
		return // it was given up.
	}
	m.measureUse()
	r := a.inFlight[i]
	a.inFlight = slices.Delete(a.inFlight, i, i+1)
	r.stage.advice.request = nil
	m.pool(r.stage.job.Service).dirty = true
	if g.Failed {
		m.adviceFailed(r, g.Busy)
		return
	}
	a.failures, a.clearAt = 0, 0
	took := float64(m.now - max(r.sentAt, a.answeredAt))
	a.answeredAt = m.now
	a.slowness += adviceLearnRate * (took/r.handleMs - a.slowness)
	granted := m.takeTickets(r, g)
	q := a.queue(r.stage.job.Queue)
	q.named += adviceLearnRate * (float64(len(r.born)) - q.named)
	q.granted += adviceLearnRate * (float64(granted)/float64(len(r.born)) - q.granted)
	m.log("advice granted", g.Task.Job, "task", g.Task.String(), "workers", len(r.born), "granted", granted, "tookMs", m.now-r.sentAt,
		"waitedMs", r.sentAt-r.stage.advice.neededAt, "waiting", len(a.wanted), "jobsWaiting", len(a.owed))
	r.stage.advice.neededAt = 0
}

// adviceFailed pauses all requests. The service goes on with one that was given up, and refuses one only while its line is full.
func (m *Model) adviceFailed(r *adviceRequest, busy bool) {
	a := &m.advice
	if a.failures == 0 {
		a.failingSince = r.sentAt
	}
	a.pausedUntil = m.now + advicePauseMs(a.failures)
	a.failures++
	if busy {
		a.clearAt = m.now + int64(maxServiceLine*r.handleMs*a.slowness)
	}
	m.log("advice failed", r.stage.job.ID, "task", r.stage.tasks[0].name().String(), "busy", busy, "waitedMs", m.now-r.sentAt,
		"waiting", len(a.wanted), "failures", a.failures, "pauseMs", a.pausedUntil-m.now)
}

// advicePauseMs returns the time until the next request, after the given number of earlier failures in a row.
func advicePauseMs(failures int) int64 {
	p := int64(refusalBackoffMs)
	for range failures {
		p = min(2*p, maxAdvicePauseMs)
	}
	return p
}

// expireRequests gives up requests whose result has not come at all.
func (m *Model) expireRequests() {
	for _, r := range slices.Clone(m.advice.inFlight) {
		if m.now > r.deadline+adviceOverdueMs {
			m.adviceAnswered(AdvisedMsg{Task: r.stage.tasks[0].name(), Failed: true, Sent: r.sentAt})
		}
	}
}

// has reports whether the task with that name is one of s.
func (s *stage) has(n TaskName) bool {
	return s.job.ID == n.Job && s.round.number == n.Round && s.number == n.Step
}

// workersToAsk returns the workers that a request for the step names, and whether any has room now. They are the best of those that have,
// about as many as its waiting tasks need. The less the service is used, the more it names of the others, which may have room before their
// tickets expire. Without any that has room, it returns none while the step has valid tickets.
func (m *Model) workersToAsk(s *stage) (l []*worker, room bool) {
	v := &s.advice
	var later []*worker
	for _, w := range m.pool(s.job.Service).workers {
		switch {
		case !w.listed, w.Draining, v.denied[w.ID], m.isTicketValid(w, s), s.Label != "" && !slices.Contains(w.Labels, s.Label):
		case s.PerWorker > 0 && s.runsOn(w) >= s.PerWorker:
		case m.usable(w) && s.size().Fits(w.freeRoom()):
			l = append(l, w)
		case s.size().Fits(w.roomOnceEmptied()):
			later = append(later, w)
		}
	}
	if room = len(l) > 0; !room && v.usableUntil > m.now {
		return nil, false
	}
	better := func(a, b *worker) int {
		return cmp.Or(cmp.Compare(v.certainty(a), v.certainty(b)), cmp.Compare(m.cost(a, s.tasks[0]), m.cost(b, s.tasks[0])))
	}
	slices.SortStableFunc(l, better)
	slices.SortStableFunc(later, better)
	n := m.adviceWorkers(s, l)
	l = append(l, later...)
	n += int(float64(len(l)-n) * min(2*(1-m.advice.use), 1))
	return l[:min(max(n, 1), len(l), maxAdviceWorkers)], room
}

// certainty returns how certainly a ticket for w is of use: 0 for the worker to which a task is bound, 1 for others that may run the step, 2
// for those of which that is not known.
func (v *stageAdvice) certainty(w *worker) int {
	switch {
	case w.ID == v.bound:
		return 0
	case v.permits(w):
		return 1
	}
	return 2
}

// minGrantedShare is the smallest share of the named workers that is expected to be granted.
const minGrantedShare = 0.05

// adviceWorkers returns how many of the workers, the best first, a request for the step names: as many as should get tickets for all tasks
// that wait, and one more. After each answer that granted nothing, twice as many are needed. Which ones a gang in one rack needs is not known.
func (m *Model) adviceWorkers(s *stage, l []*worker) int {
	if s.Gang && s.SameRack {
		return len(l)
	}
	share := m.advice.queue(s.job.Queue).granted
	for range min(s.advice.fruitless, maxAdviceWorkers) {
		share /= 2
	}
	share = max(share, minGrantedShare)
	n, tasks := 0, float64(max(s.tasksWaiting, 1))
	for ; n < len(l) && tasks > 0; n++ {
		p := share
		if s.advice.permits(l[n]) {
			p = 1
		}
		tasks -= p * s.tasksFitting(l[n])
	}
	return min(n+1, len(l))
}

// tasksFitting returns how many tasks of s fit into the free room of w, at least 1.
func (s *stage) tasksFitting(w *worker) float64 {
	size, room, n := s.size(), w.freeRoom(), int64(s.tasksWaiting)
	for _, r := range [][2]int64{{size.CPU, room.CPU}, {size.MemMB, room.MemMB}, {size.GPU, room.GPU}} {
		if r[0] > 0 {
			n = min(n, r[1]/r[0])
		}
	}
	if s.PerWorker > 0 {
		n = min(n, int64(s.PerWorker-s.runsOn(w)))
	}
	return float64(max(n, 1))
}
