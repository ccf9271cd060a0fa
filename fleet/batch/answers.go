package batch

import "slices"

// Answers to starts and stops.

func (m *Model) startAnswered(g StartedMsg) {
	w, t := m.workers[g.Worker], m.task(g.Task)
	if w == nil || t == nil {
		return
	}
	r := t.findRun(g.Run)
	if r == nil || r.worker != w {
		return
	}
	m.noteAnswer(w, g.Result, g.ClockMs, g.Sent)
	if g.Result != NoAnswer {
		m.endLateStart(g.Task, g.Run)
	}
	switch g.Result {
	case OK:
		m.revive(w)
		t.stage.advice.refused = 0
		m.startConfirmed(r)
	case NoAnswer:
		m.startUnanswered(r)
	case Fenced:
		if w.isSupersededFence(g.Fence) {
			m.startRefused(r, g.Result, g.Sent)
			return
		}
		m.emit(DeposedCmd{Reason: "worker " + w.ID + " has seen a newer fence"})
	default:
		m.startRefused(r, g.Result, g.Sent)
	}
}

func (m *Model) startConfirmed(r *run) {
	if r.confirmedAt == 0 {
		r.confirmedAt, r.advancedAt = m.now, m.now
	}
	if r.state == starting || r.state == unconfirmed {
		r.setState(running)
	}
	if r.state == stopping {
		m.stopRun(r)
	}
}

// revive takes it back that the list of machines has shown the end of w's lifetime, because w has carried out a start: the next lifetime may
// have done so. Polls show which one it is.
func (m *Model) revive(w *worker) {
	if !w.ended || w.machineTaken {
		return
	}
	m.log("worker regained", "", "worker", w.ID, "silentMs", w.silentMs(m.now))
	w.ended, w.dead, w.goneState, w.nextPollAt, w.shortPoll = false, false, "", 0, true
	m.pool(w.Service).dirty = true
}

// startUnanswered handles a start whose outcome is unknown. A short task is stopped, so that this lifetime does not carry the start out late. A lasting
// task may serve by now: it is kept until its worker's list shows that it runs, or that its start has expired.
func (m *Model) startUnanswered(r *run) {
	m.log("start unanswered", r.task.stage.job.ID, "task", r.task.name().String(), "run", r.number, "worker", r.worker.ID)
	if r.confirmedAt > 0 {
		return
	}
	m.noteLateStart(r)
	r.worker.shortPoll = true
	if r.state == starting {
		r.setState(unconfirmed)
	}
	if !r.task.stage.Lasting {
		m.stopRun(r)
	}
	if !slices.Contains(r.task.avoidWorkers, r.worker.ID) {
		r.task.avoidWorkers = append(r.task.avoidWorkers, r.worker.ID)
	}
}

// startRefused handles a start, sent at sent, that certainly did nothing.
func (m *Model) startRefused(r *run, why Result, sent int64) {
	w, t := r.worker, r.task
	m.log("start refused", t.stage.job.ID, "task", t.name().String(), "run", r.number, "worker", w.ID, "why", int(why))
	m.endTrial(r)
	m.dropRun(r)
	switch why {
	case NoRoom:
		w.noStartsBefore = m.now + refusalBackoffMs
	case Unhealthy:
		w.noStartsBefore = m.now + refusalBackoffMs
		w.quarantineMs = min(max(2*w.quarantineMs, minQuarantineMs), maxQuarantineMs)
		w.quarantinedUntil = m.now + w.quarantineMs
	case WrongWorker:
		m.workerReplaced(w, sent)
	case NotSent:
		m.markUnreachable(w, why)
	case NoTicket:
		m.ticketRefused(w, t.stage)
	case Rejected:
		t.notBefore = m.now + minQuarantineMs
	}
}

func (m *Model) stopAnswered(g StoppedMsg) {
	w, t := m.workers[g.Worker], m.task(g.Task)
	if w == nil {
		return
	}
	if g.Result == Fenced && w.isSupersededFence(g.Fence) {
		return // it is sent again.
	}
	if g.Result == Fenced {
		m.emit(DeposedCmd{Reason: "worker " + w.ID + " has seen a newer fence"})
		return
	}
	if g.Result == WrongWorker {
		m.workerReplaced(w, g.Sent)
		return
	}
	if g.Result != OK {
		return
	}
	m.noteAnswer(w, g.Result, g.ClockMs, g.Sent)
	w.shortPoll = true
	if t == nil {
		return
	}
	r := t.findRun(g.Run)
	if r == nil || r.worker != w || r.state != stopping {
		return
	}
	if r.stopAckedAt == 0 {
		r.stopAckedAt = m.now
	}
}
