package batch

import (
	"math"
	"slices"
)

// Looks at workers, which extend their leases and read their lists.

// tailWaitMs is the longest wait of a look at a worker where filling tasks run beside lasting ones.
const tailWaitMs = 600

// clockNow returns what the worker's clock shows now, as far as known.
func (m *Model) clockNow(w *worker) int64 { return w.clock + m.now - w.clockAt }

// leaseOver returns the steady time at which an end on the worker's clock has certainly passed.
func (w *worker) leaseOver(until int64) int64 {
	return w.clockAt + int64(math.Ceil(float64(max(until-w.clock, 0))/slowClock)) + lapseSlackMs
}

func (m *Model) setClock(w *worker, clock int64) {
	if clock > 0 {
		w.clock, w.clockAt = clock, m.now
	}
}

// leaseFor returns the longest lease to ask for.
func (m *Model) leaseFor() int64 {
	if m.cfg.LeaseMs > 0 {
		return min(leaseMs, m.cfg.LeaseMs)
	}
	return leaseMs
}

// Gap between two looks at a worker whose tasks end, in ms: busy workers are read less often, as each look costs as much as a start.
const (
	leastGapMs  = 10
	gapPerRunMs = 2
	mostGapMs   = 50
)

// holdWorkers looks at the workers that run something or whose lists have not been read.
func (m *Model) holdWorkers() {
	m.nextHold = m.now + sweepMs
	if !m.loaded {
		return
	}
	for _, w := range slices.Clone(m.list) {
		m.giveUpLook(w)
		if m.retire(w) || w.holding || w.over {
			continue
		}
		if at := max(w.holdAt, w.gapAt); m.now < at {
			m.nextHold = min(m.nextHold, at)
			continue
		}
		if w.synced && len(w.runs) == 0 && len(w.marks) == 0 && w.silent == 0 && w.heard == w.seen {
			continue
		}
		if !w.synced && !w.listed && m.now > m.blind {
			continue
		}
		m.hold(w)
	}
}

func (m *Model) hold(w *worker) {
	h := HoldCmd{Worker: w.ID, Addr: w.Addr, LastSeen: w.noted(), WaitMs: holdWaitMs, Fence: m.cfg.Fence}
	if w.clockAt > 0 && w.silent == 0 && (len(w.runs) > 0 || !w.synced) { // a silent worker's lease must come to its end.
		h.UntilMs = m.clockNow(w) + m.leaseFor()
		w.until = max(w.until, h.UntilMs)
	}
	switch {
	case !w.synced || w.silent != 0 || len(w.marks) > 0 || w.hasty || len(w.runs) == 0:
		h.WaitMs = 0
	case w.hasTarget():
		h.WaitMs = tailWaitMs
	}
	w.hasty = false
	w.holding, w.heldAt, w.seen = true, m.now, h.LastSeen
	if h.LastSeen == w.acked {
		h.LastSeen = 0 // should the worker have restarted unnoticed, its new ends must not be forgotten.
	}
	m.do(h)
}

// giveUpLook takes a look whose answer is long overdue as not answered, so that the worker's lease is extended by another one.
func (m *Model) giveUpLook(w *worker) {
	if !w.holding || m.now-w.heldAt < overdueMs {
		return
	}
	m.log("look overdue", "", "worker", w.ID, "addr", w.Addr, "runs", len(w.runs), "sinceMs", m.now-w.heldAt)
	w.holding = false
	m.unheard(w)
}

// noted returns the number up to which ends may be forgotten.
func (w *worker) noted() int64 {
	for i, k := range w.marks {
		if k.job.stored < k.version {
			w.marks = w.marks[i:]
			return max(w.seen, k.number-1)
		}
	}
	w.marks = nil
	return w.heard
}

// lapsed reports whether the worker's lease has passed, with no other owner that could have extended it before.
func (m *Model) lapsed(w *worker) bool { return m.checked >= w.leaseOver(w.until) }

// retire gives up the runs of a worker whose lease has certainly lapsed, and forgets workers that are gone.
func (m *Model) retire(w *worker) bool {
	if w.silent != 0 && m.lapsed(w) {
		for _, r := range w.all() {
			m.log("run lapsed", r.task.stage.job.ID, "task", r.task.name().String(), "run", r.number, "worker", w.ID)
			m.drop(r)
		}
	}
	if w.over && len(w.runs) > 0 {
		for _, r := range w.all() {
			m.drop(r)
		}
	}
	if !w.listed && len(w.runs) == 0 && !w.holding && (w.over || w.silent != 0 || w.synced) && (w.synced || m.now > m.blind) {
		m.forget(w)
		return true
	}
	return false
}

func (m *Model) held(g HeldMsg) {
	w := m.workers[g.Worker]
	if w == nil {
		return
	}
	w.holding = false
	switch g.Result {
	case OK:
	case Fenced:
		m.do(DeposedCmd{Reason: "worker " + w.ID + " has seen a newer fence"})
		return
	case Foreign:
		m.log("worker replaced", "", "worker", w.ID, "addr", w.Addr, "runs", len(w.runs))
		w.over, w.listed = true, false
		m.pool(w.Service).dirty = true
		return
	default:
		m.unheard(w)
		return
	}
	m.answered(w)
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
	w.acked = w.seen
	first := !w.synced
	m.takeEnds(w, g, first)
	m.takeRunning(w, g, first)
	if first {
		w.synced = true
		m.pool(w.Service).dirty = true
	}
	if len(w.marks) > 0 {
		w.holdAt = m.now + endRetryMs
	}
	if len(g.Ended) > 0 {
		w.gapAt = m.now + min(leastGapMs+gapPerRunMs*int64(len(w.runs)), mostGapMs)
	}
}

// answered notes that the worker can be reached.
func (m *Model) answered(w *worker) {
	if w.silent == 0 {
		return
	}
	m.log("worker regained", "", "worker", w.ID, "silentMs", m.now-w.silent)
	w.silent, w.holdAt = 0, 0
	m.pool(w.Service).dirty = true
}

// unheard notes that the worker did not answer.
func (m *Model) unheard(w *worker) {
	if w.silent == 0 {
		w.silent = m.now
		m.log("worker lost", "", "worker", w.ID, "addr", w.Addr, "runs", len(w.runs), "leaseMs", w.leaseOver(w.until)-m.now)
	}
	w.holdAt = m.now + holdRetryMs
	m.pool(w.Service).dirty = true
}
