package batch

// Tickets: a step of a job with Advised set may run only on workers for which it was granted a ticket. The owner obtains
// tickets by asking for advice.

// maxAdviceWorkers is the largest number of workers in one request for advice.
const maxAdviceWorkers = 100

// ticket permits one step on one worker.
type ticket struct {
	text       string
	validUntil int64 // time on the steady clock, in milliseconds.
}

// AdviseCmd asks which workers may run a step.
type AdviseCmd struct {
	Task    TaskName // any task of the step.
	Workers []string
}

// AdvisedMsg is the answer to an AdviseCmd, which was sent at Sent. If Failed is set, there was no answer, and the request
// is to be repeated.
type AdvisedMsg struct {
	Task    TaskName
	Failed  bool
	ValidMs int64 // how long the tickets are valid, from Sent on.
	Sent    int64
	Tickets map[string]string // by worker ID.
}

func (AdviseCmd) cmd()  {}
func (AdvisedMsg) msg() {}

// hasTicket reports whether the step may be started on w. A ticket that expires within a quarter of startExpiryMs does not
// count. Without a ticket that counts, it requests advice.
func (m *Model) hasTicket(w *worker, s *stage) bool {
	if !s.job.Advised {
		return true
	}
	if m.isTicketValid(w, s) {
		return true
	}
	m.requestAdvice(s)
	return false
}

// isTicketValid reports whether the step's ticket for w is valid for long enough to start a task with it.
func (m *Model) isTicketValid(w *worker, s *stage) bool {
	return s.tickets[w.ID].validUntil > m.now+startExpiryMs/4
}

// requestAdvice requests tickets for the step, unless a request is pending or was answered less than refusalBackoffMs ago.
// It does not ask for workers that were denied or have a valid ticket.
func (m *Model) requestAdvice(s *stage) {
	if s.adviceInFlight || m.now < s.nextAdviceAt {
		return
	}
	var l []string
	for _, w := range m.pool(s.job.Service).workers {
		if w.listed && !w.Draining && len(l) < maxAdviceWorkers && !s.denied[w.ID] && !m.isTicketValid(w, s) {
			l = append(l, w.ID)
		}
	}
	if len(l) == 0 {
		return
	}
	s.adviceInFlight, s.askedWorkers = true, l
	m.emit(AdviseCmd{Task: s.tasks[0].name(), Workers: l})
}

// adviceAnswered takes the step's tickets from the answer. A worker that was asked for and got none must not run the step, and is
// denied until an answer grants it a ticket. Workers that were not asked for keep their tickets and denials. A failed answer changes
// neither.
func (m *Model) adviceAnswered(g AdvisedMsg) {
	t := m.task(g.Task)
	if t == nil {
		return
	}
	s := t.stage
	s.adviceInFlight, s.nextAdviceAt = false, m.now+refusalBackoffMs
	m.pool(s.job.Service).dirty = true
	if g.Failed {
		return
	}
	if len(s.askedWorkers) == maxAdviceWorkers {
		s.nextAdviceAt = m.now // there may be more workers to ask for.
	}
	if s.tickets == nil {
		s.tickets, s.denied = map[string]ticket{}, map[string]bool{}
	}
	for _, w := range s.askedWorkers {
		delete(s.tickets, w)
		s.denied[w] = true
	}
	for w, x := range g.Tickets {
		if x == "" {
			continue // not granted.
		}
		s.tickets[w] = ticket{text: x, validUntil: g.Sent + g.ValidMs}
		delete(s.denied, w)
	}
}

// ticket returns the text of the step's ticket for w, or an empty string if there is none that is valid at now.
func (s *stage) ticket(w *worker, now int64) string {
	if t := s.tickets[w.ID]; t.validUntil > now {
		return t.text
	}
	return ""
}
