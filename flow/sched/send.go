package sched

import (
	"time"

	"burdockreach.dev/flow/queue"
	"burdockreach.dev/flow/retry"
)

const (
	urgentSeenFor = 10 * time.Minute // after an urgent request slots are held for the next
	releases      = 3                // of slots, expected within the time in which urgent requests are to start
)

// request is one that has come and has neither its final answer nor its slot back.
type request struct {
	id         ID
	class      queue.Class
	deadline   time.Duration
	sentAt     time.Duration
	handle     queue.Handle
	target     string // of the last send
	attempts   int
	idempotent bool
	mayHaveRun bool
	sent       bool
	over       bool
}

// take returns a request that is in the table.
func (s *Scheduler) take(m *ArriveMsg, c queue.Class) *request {
	var r *request
	if k := len(s.spare); k > 0 {
		r, s.spare = s.spare[k-1], s.spare[:k-1]
	} else {
		r = &request{}
	}
	*r = request{id: m.ID, class: c, deadline: m.Deadline.Sub(s.epoch), idempotent: m.Idempotent}
	s.reqs[m.ID] = r
	return r
}

func (s *Scheduler) forget(r *request) {
	delete(s.reqs, r.id)
	if len(s.spare) < maxSpare {
		s.spare = append(s.spare, r)
	}
}

// held returns the free slots that requests of class c must leave to urgent ones:
// none while enough slots become free in the time in which urgent requests are to start.
func (s *Scheduler) held(c queue.Class) int {
	if c == queue.Urgent || !s.urgents || s.now > s.urgentAt+urgentSeenFor {
		return 0
	}
	n := s.pool.Slots()
	if n < 2 || float64(n)*s.urgentStart.Seconds() >= releases*s.line.Mean().Seconds() {
		return 0
	}
	return 1
}

// dispatch sheds what is hopeless and sends while a target has a free slot.
func (s *Scheduler) dispatch() {
	if s.line.Len() == 0 {
		return
	}
	s.line.Sweep(s.now)
	if s.pool.Listed() == 0 && s.now >= s.emptied+noTargetGrace {
		s.giveUp()
	}
	for s.line.Len() > 0 && s.pool.Ready(s.now) && len(s.aside) < setAsideAtOnce {
		r, ok := s.line.Pop(s.now, s.pool.Free() <= s.held(queue.Normal))
		if !ok {
			break
		}
		if !s.send(r) {
			s.aside = append(s.aside, r)
		}
	}
	for _, r := range s.aside {
		r.handle = s.line.PushBack(s.now, r.class, r.deadline, r)
	}
	s.aside = s.aside[:0]
	s.drop()
}

// drop ends what the queue has shed.
func (s *Scheduler) drop() {
	for _, d := range s.line.Dropped() {
		why := ReasonOverload
		if d.Late() {
			why = ReasonDeadline
		}
		s.shed(d.Value(), why, s.line.Mean())
	}
}

// giveUp ends all that wait for a target.
func (s *Scheduler) giveUp() {
	for {
		r, ok := s.line.Pop(s.now, false)
		if !ok {
			return
		}
		s.end(r, ReasonNoTarget, noTargetRetry)
	}
}

// send sends a request if a target has a slot for it.
func (s *Scheduler) send(r *request) bool {
	careful := !r.idempotent || r.class == queue.Urgent
	t, ok := s.pool.Pick(s.now, r.target, careful)
	if !ok {
		return false
	}
	if r.attempts == 0 {
		s.budget.First()
	}
	r.attempts++
	r.sent, r.target, r.sentAt, r.handle = true, t, s.now, queue.None
	s.line.Started(r.class)
	s.cmds = append(s.cmds, SendCmd{ID: r.id, Target: t, Attempt: r.attempts})
	return true
}

func outcome(m *DoneMsg) retry.Outcome {
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

func stopReason(r Result) Reason {
	if r == Failed {
		return ReasonFailed
	}
	return ReasonUnknown
}

func lateReason(r Result) Reason {
	if r == Failed {
		return ReasonFailed
	}
	return ReasonDeadline
}

func spentReason(r Result) Reason {
	if r == Failed {
		return ReasonFailed
	}
	return ReasonRetries
}
