package batch

import (
	"math"
	"slices"
)

// Looks at workers, which extend their leases and read their lists.

// tailPollWaitMs is the longest wait of a look at a worker where filling tasks run beside lasting ones.
const tailPollWaitMs = 600

// workerClock returns what the worker's clock shows now, as far as known.
func (m *Model) workerClock(w *worker) int64 { return w.clockMs + m.now - w.clockAt }

// expiresBy returns the steady time at which an end on the worker's clock has certainly passed.
func (w *worker) expiresBy(until int64) int64 {
	return w.clockAt + int64(math.Ceil(float64(max(until-w.clockMs, 0))/minClockRate)) + expirySlackMs
}

func (m *Model) setClock(w *worker, clock int64) {
	if clock > 0 {
		w.clockMs, w.clockAt = clock, m.now
	}
}

// requestedLeaseMs returns the longest lease to ask for.
func (m *Model) requestedLeaseMs() int64 {
	if m.cfg.LeaseMs > 0 {
		return min(workerLeaseMs, m.cfg.LeaseMs)
	}
	return workerLeaseMs
}

// Gap between two looks at a worker whose tasks end, in ms: busy workers are read less often, as each look costs as much as a start.
const (
	minPollGapMs    = 10
	pollGapPerRunMs = 2
	maxPollGapMs    = 50
)

// pollWorkers looks at the workers that run something or whose lists have not been read.
func (m *Model) pollWorkers() {
	m.nextPollAt = m.now + sweepIntervalMs
	if !m.loaded {
		return
	}
	for _, w := range slices.Clone(m.workerList) {
		m.timeOutPoll(w)
		if m.retire(w) || w.polling || w.dead {
			continue
		}
		if at := max(w.nextPollAt, w.noPollBefore); m.now < at {
			m.nextPollAt = min(m.nextPollAt, at)
			continue
		}
		if w.synced && len(w.runs) == 0 && len(w.unsavedEnds) == 0 && w.silentSince == 0 && w.lastEnd == w.sentAck {
			continue
		}
		if !w.synced && !w.listed && m.now > m.blindUntil {
			continue
		}
		m.poll(w)
	}
}

func (m *Model) poll(w *worker) {
	h := HoldCmd{Worker: w.ID, Addr: w.Addr, LastSeen: w.forgettableEnd(), WaitMs: maxPollWaitMs, Fence: m.cfg.Fence}
	if w.clockAt > 0 && w.silentSince == 0 && (len(w.runs) > 0 || !w.synced) { // a silent worker's lease must come to its end.
		h.UntilMs = m.workerClock(w) + m.requestedLeaseMs()
		w.leaseUntil = max(w.leaseUntil, h.UntilMs)
	}
	switch {
	case !w.synced || w.silentSince != 0 || len(w.unsavedEnds) > 0 || w.shortPoll || len(w.runs) == 0:
		h.WaitMs = 0
	case w.needsPacing():
		h.WaitMs = tailPollWaitMs
	}
	w.shortPoll = false
	w.polling, w.pollSentAt, w.sentAck = true, m.now, h.LastSeen
	if h.LastSeen == w.confirmedAck {
		h.LastSeen = 0 // should the worker have restarted unnoticed, its new ends must not be forgotten.
	}
	m.emit(h)
}

// timeOutPoll takes a look whose answer is long overdue as not answered, so that the worker's lease is extended by another one.
func (m *Model) timeOutPoll(w *worker) {
	if !w.polling || m.now-w.pollSentAt < callTimeoutMs {
		return
	}
	m.log("look overdue", "", "worker", w.ID, "addr", w.Addr, "runs", len(w.runs), "sinceMs", m.now-w.pollSentAt)
	w.polling = false
	m.markUnreachable(w)
}

// forgettableEnd returns the number up to which ends may be forgotten.
func (w *worker) forgettableEnd() int64 {
	for i, k := range w.unsavedEnds {
		if k.job.storedVersion < k.version {
			w.unsavedEnds = w.unsavedEnds[i:]
			return max(w.sentAck, k.number-1)
		}
	}
	w.unsavedEnds = nil
	return w.lastEnd
}

// leaseExpired reports whether the worker's lease has passed, with no other owner that could have extended it before.
func (m *Model) leaseExpired(w *worker) bool { return m.soleOwnerUntil >= w.expiresBy(w.leaseUntil) }

// retire gives up the runs of a worker whose lease has certainly lapsed, and forgets workers that are gone.
func (m *Model) retire(w *worker) bool {
	if w.silentSince != 0 && m.leaseExpired(w) {
		for _, r := range w.runsCopy() {
			m.log("run lapsed", r.task.stage.job.ID, "task", r.task.name().String(), "run", r.number, "worker", w.ID)
			m.dropRun(r)
		}
	}
	if w.dead && len(w.runs) > 0 {
		for _, r := range w.runsCopy() {
			m.dropRun(r)
		}
	}
	if !w.listed && len(w.runs) == 0 && !w.polling && (w.dead || w.silentSince != 0 || w.synced) && (w.synced || m.now > m.blindUntil) {
		m.forget(w)
		return true
	}
	return false
}

func (m *Model) pollAnswered(g HeldMsg) {
	w := m.workers[g.Worker]
	if w == nil {
		return
	}
	w.polling = false
	switch g.Result {
	case OK:
	case Fenced:
		m.emit(DeposedCmd{Reason: "worker " + w.ID + " has seen a newer fence"})
		return
	case Foreign:
		m.log("worker replaced", "", "worker", w.ID, "addr", w.Addr, "runs", len(w.runs))
		w.dead, w.listed = true, false
		m.pool(w.Service).dirty = true
		return
	default:
		m.markUnreachable(w)
		return
	}
	m.markReachable(w)
	if g.Born != 0 && w.Born != 0 && g.Born != w.Born {
		if g.Born < w.Born {
			return // an answer of the former lifetime.
		}
		m.restart(w, g.Born)
	}
	if g.Born != 0 {
		w.Born = g.Born
	}
	m.setClock(w, g.ClockMs)
	w.confirmedAck = w.sentAck
	first := !w.synced
	m.applyEnded(w, g, first)
	m.applyRunning(w, g, first)
	if first {
		w.synced = true
		m.pool(w.Service).dirty = true
	}
	if len(w.unsavedEnds) > 0 {
		w.nextPollAt = m.now + unsavedPollMs
	}
	if len(g.Ended) > 0 {
		w.noPollBefore = m.now + min(minPollGapMs+pollGapPerRunMs*int64(len(w.runs)), maxPollGapMs)
	}
}

// markReachable notes that the worker can be reached.
func (m *Model) markReachable(w *worker) {
	if w.silentSince == 0 {
		return
	}
	m.log("worker regained", "", "worker", w.ID, "silentMs", m.now-w.silentSince)
	w.silentSince, w.nextPollAt = 0, 0
	m.pool(w.Service).dirty = true
}

// markUnreachable notes that the worker did not answer.
func (m *Model) markUnreachable(w *worker) {
	if w.silentSince == 0 {
		w.silentSince = m.now
		m.log("worker lost", "", "worker", w.ID, "addr", w.Addr, "runs", len(w.runs), "leaseMs", w.expiresBy(w.leaseUntil)-m.now)
	}
	w.nextPollAt = m.now + pollRetryMs
	m.pool(w.Service).dirty = true
}
