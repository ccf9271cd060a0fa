package batch

// Advice: some queues allow a step only on workers for which a ticket was granted.

// adviceWorkers is the largest number of workers in one request for advice.
const adviceWorkers = 100

// ticket permits one step on one worker until a steady time.
type ticket struct {
	text       string
	validUntil int64
}

// AdviseCmd asks which workers may run a step.
type AdviseCmd struct {
	Task    TaskName // any task of the step.
	Workers []string
}

// AdvisedMsg is the answer to an AdviseCmd. If Failed is set, there is no answer and the request is to be repeated.
type AdvisedMsg struct {
	Task    TaskName
	Failed  bool
	ValidMs int64
	Sent    int64
	Tickets map[string]string // by worker ID.
}

func (AdviseCmd) cmd()  {}
func (AdvisedMsg) msg() {}

// hasTicket reports whether the step may run on w. It requests advice if that is not known.
func (m *Model) hasTicket(w *worker, s *stage) bool {
	if !s.job.Advised {
		return true
	}
	if t, ok := s.tickets[w.ID]; ok && t.validUntil > m.now+startExpiryMs/4 {
		return true
	}
	m.requestAdvice(s)
	return false
}

// requestAdvice requests tickets unless a request is pending or was answered recently.
func (m *Model) requestAdvice(s *stage) {
	if s.adviceInFlight || m.now < s.nextAdviceAt {
		return
	}
	var l []string
	for _, w := range m.pool(s.job.Service).workers {
		if w.listed && !w.Draining && len(l) < adviceWorkers && !s.denied[w.ID] {
			l = append(l, w.ID)
		}
	}
	if len(l) == 0 {
		return
	}
	s.adviceInFlight, s.askedWorkers = true, l
	m.emit(AdviseCmd{Task: s.tasks[0].name(), Workers: l})
}

// adviceAnswered stores the tickets. A worker that was asked for and got none must never run the step.
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
	s.tickets, s.denied = map[string]ticket{}, map[string]bool{}
	for w, x := range g.Tickets {
		s.tickets[w] = ticket{text: x, validUntil: g.Sent + g.ValidMs}
	}
	for _, w := range s.askedWorkers {
		s.denied[w] = s.tickets[w].text == ""
	}
}

func (s *stage) ticket(w *worker, now int64) string {
	if t := s.tickets[w.ID]; t.validUntil > now {
		return t.text
	}
	return ""
}
