package sched

import (
	"time"

	"burdockreach.dev/flow/queue"
	"burdockreach.dev/flow/retry"
)

const (
	urgentReserveFor = 10 * time.Minute // a slot is reserved for this long after an urgent request
	minSlotReleases  = 3                // none is reserved if this many releases are expected within urgentStart
)

// request is a request that lacks its final answer or still occupies a slot.
type request struct {
	id          ID
	class       queue.Class
	deadline    time.Duration
	sentAt      time.Duration
	queueHandle queue.Handle
	target      string // of the latest send
	attempts    int
	idempotent  bool
	mayHaveRun  bool
	inFlight    bool // at a target, its slot is occupied
	ended       bool // the final answer was given
}

// newRequest adds a request to the table.
func (s *Scheduler) newRequest(m *ArriveMsg, c queue.Class) *request {
	var r *request
	if k := len(s.freeRequests); k > 0 {
		r, s.freeRequests = s.freeRequests[k-1], s.freeRequests[:k-1]
	} else {
		r = &request{}
	}
	*r = request{id: m.ID, class: c, deadline: m.Deadline.Sub(s.epoch), idempotent: m.Idempotent}
	s.requests[m.ID] = r
	return r
}

// recycle removes a request from the table and keeps the struct for reuse.
func (s *Scheduler) recycle(r *request) {
	delete(s.requests, r.id)
	if len(s.freeRequests) < maxFreeRequests {
		s.freeRequests = append(s.freeRequests, r)
	}
}

// urgentReserve returns the number of free slots that requests of class c must leave to urgent ones. It is 0 while enough slots
// are expected to be released within urgentStart.
func (s *Scheduler) urgentReserve(c queue.Class) int {
	if c == queue.Urgent || !s.hasUrgent || s.now > s.lastUrgentAt+urgentReserveFor {
		return 0
	}
	n := s.pool.Slots()
	if n < 2 || float64(n)*s.urgentStart.Seconds() >= minSlotReleases*s.queue.MeanServiceTime().Seconds() {
		return 0
	}
	return 1
}

// dispatch sheds queued requests that cannot meet their deadlines, and sends others while targets have free slots.
func (s *Scheduler) dispatch() {
	if s.queue.Len() == 0 {
		return
	}
	s.queue.Sweep(s.now)
	if s.pool.Listed() == 0 && s.now >= s.targetsGoneAt+noTargetGrace {
		s.endQueued()
	}
	for s.queue.Len() > 0 && s.pool.Ready(s.now) && len(s.unplaced) < maxUnplaced {
		r, ok := s.queue.Pop(s.now, s.pool.Free() <= s.urgentReserve(queue.Normal))
		if !ok {
			break
		}
		if !s.trySend(r) {
			s.unplaced = append(s.unplaced, r)
		}
	}
	for _, r := range s.unplaced {
		r.queueHandle = s.queue.Requeue(s.now, r.class, r.deadline, r)
	}
	s.unplaced = s.unplaced[:0]
	s.endShed()
}

// endShed ends the requests that the queue has shed.
func (s *Scheduler) endShed() {
	for _, d := range s.queue.Dropped() {
		reason := ReasonOverload
		if d.Late() {
			reason = ReasonDeadline
		}
		s.shed(d.Value(), reason, s.queue.MeanServiceTime())
	}
}

// endQueued ends all queued requests because there is no target.
func (s *Scheduler) endQueued() {
	for {
		r, ok := s.queue.Pop(s.now, false)
		if !ok {
			return
		}
		s.end(r, ReasonNoTarget, noTargetRetryAfter)
	}
}

// trySend sends a request if a target has a free slot for it.
func (s *Scheduler) trySend(r *request) bool {
	careful := !r.idempotent || r.class == queue.Urgent // rarely sent as a trial to an ejected target
	t, ok := s.pool.Pick(s.now, r.target, careful)
	if !ok {
		return false
	}
	if r.attempts == 0 {
		s.retryBudget.AddFirstSend()
	}
	r.attempts++
	r.inFlight, r.target, r.sentAt, r.queueHandle = true, t, s.now, queue.None
	s.queue.Started(r.class)
	s.cmds = append(s.cmds, SendCmd{ID: r.id, Target: t, Attempt: r.attempts})
	return true
}

func retryOutcome(m *DoneMsg) retry.Outcome {
	switch {
	case m.Result == NotRun && m.Leaving:
		return retry.Leaving
	case m.Result == NotRun:
		return retry.NotRun
	case m.Result == Failed:
		return retry.Failed
	}
	return retry.Unknown
}

func noRetryReason(r Result) Reason {
	if r == Failed {
		return ReasonFailed
	}
	return ReasonUnknown
}

func deadlineReason(r Result) Reason {
	if r == Failed {
		return ReasonFailed
	}
	return ReasonDeadline
}

func budgetSpentReason(r Result) Reason {
	if r == Failed {
		return ReasonFailed
	}
	return ReasonRetryBudget
}
