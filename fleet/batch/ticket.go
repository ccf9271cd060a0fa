package batch

import "cmp"

// Tickets: a step of a job with Advised set may run only on workers for which it was granted a ticket. Which workers may run it never
// changes, but a ticket expires, and holds for one lifetime of its worker.

// minTicketMs is how long a ticket must still be valid when a start is sent with it, or a quarter of its validity, if that is less.
const minTicketMs = startExpiryMs / 4

// ticket permits one step on one worker.
type ticket struct {
	text       string
	born       int64 // start of the worker's lifetime that it is for, Unix ms.
	validUntil int64 // steady time, ms.
	marginMs   int64 // for which it must still be valid when a start is sent with it.
}

// stageAdvice is what is known of the workers that may run a step, and its request for advice.
type stageAdvice struct {
	tickets     map[string]ticket // by worker ID; expired ones are kept, as their workers still may run the step.
	denied      map[string]bool   // IDs of workers that must not run the step.
	usableUntil int64             // until when a start may be sent with one of its tickets.
	request     *adviceRequest    // in flight; nil without one.
	wanted      bool              // it is in the line.
	wantedAt    int64             // when a task of it last found no worker.
	neededAt    int64             // when that first happened since the last answer; 0 if it has not.
	nextAt      int64             // no request before.
	bound       string            // ID of the only worker at which one of its tasks may be started; empty without one.
	hopeless    bool              // when it last had its turn, there was no worker to ask for.
	fruitless   int               // answers in a row that granted nothing.
	refused     int               // tickets in a row that workers refused.
}

// permits reports whether w is known to be one of the workers that may run the step.
func (v *stageAdvice) permits(w *worker) bool {
	_, ok := v.tickets[w.ID]
	return ok
}

// hasTicket reports whether the step may be started on w.
func (m *Model) hasTicket(w *worker, s *stage) bool { return !s.job.Advised || m.isTicketValid(w, s) }

// isTicketValid reports whether the step's ticket for w is valid for long enough to start a task with it.
func (m *Model) isTicketValid(w *worker, s *stage) bool {
	t, ok := s.advice.tickets[w.ID]
	return ok && t.born == w.Born && t.validUntil > m.now+t.marginMs
}

// ticket returns the text of the step's ticket for w, or an empty string if there is none that is valid at now.
func (s *stage) ticket(w *worker, now int64) string {
	if t := s.advice.tickets[w.ID]; t.validUntil > now {
		return t.text
	}
	return ""
}

// takeTickets takes the step's tickets from the answer to r, and returns their number. The service answers once it has taken its time for
// the request, so that the tickets are valid from then on at the earliest.
func (m *Model) takeTickets(r *adviceRequest, g AdvisedMsg) int {
	v := &r.stage.advice
	if v.tickets == nil {
		v.tickets, v.denied = map[string]ticket{}, map[string]bool{}
	}
	valid := cmp.Or(g.ValidMs, m.advice.queue(r.stage.job.Queue).ValidMs)
	until := min(m.now, g.Sent+int64(r.handleMs)) + valid
	margin := min(minTicketMs, valid/4)
	if until <= m.now+margin {
		until = m.now + valid // the service is slower than configured. Its workers refuse tickets that have expired.
	}
	n := 0
	for id, born := range r.born {
		x := g.Tickets[id]
		if x == "" {
			v.denied[id] = true
			delete(v.tickets, id)
			continue
		}
		n++
		v.tickets[id] = ticket{text: x, born: born, validUntil: until, marginMs: margin}
		v.usableUntil = max(v.usableUntil, until-margin)
	}
	if n > 0 {
		v.fruitless = 0
		return n
	}
	v.fruitless++
	m.advice.fruitless = r.stage.job.Queue
	return 0
}

// ticketRefused drops the ticket that w has refused, because it has begun a new lifetime or the ticket has expired. The next request waits
// longer each time.
func (m *Model) ticketRefused(w *worker, s *stage) {
	v := &s.advice
	if t, ok := v.tickets[w.ID]; ok {
		t.validUntil = 0
		v.tickets[w.ID] = t
	}
	v.nextAt = m.now + advicePauseMs(v.refused)
	v.refused++
}
