package batch

import (
	"cmp"
	"slices"
)

// Starts that got no answer. A worker may carry out such a start for lateCallMs, also after it has acknowledged a stop of the run, if it
// restarts in between: its next lifetime knows neither the stop nor the owner's fence. No call names a lifetime, so until then
//   - the task is started at that worker only, whose lifetimes exclude each other and which must have been read, and
//   - the end of the task is not acknowledged: an end that is lost with its lifetime makes a later run of the task harmless.
//
// The starts are stored, so that a successor does the same.

// LateStartsKey is the key of the stored starts that got no answer.
const LateStartsKey = "own/lateStarts"

const (
	maxWithheldEnds   = 64    // ended runs that a worker keeps because one of them must not be acknowledged yet; it lists 500 at a time.
	lateStartsWriteMs = 200   // between two writes of the record.
	unstoredLogMs     = 1_000 // after which a record that is not stored is logged, each time.
)

// StoredLateStarts holds the starts that got no answer and may still be carried out.
type StoredLateStarts struct {
	Fence  int64             `json:"fence"` // of the term.
	Starts []StoredLateStart `json:"starts,omitempty"`
}

// StoredLateStart is a start that got no answer.
type StoredLateStart struct {
	Task   string `json:"task"` // JOB.ROUND.STEP.INDEX
	Run    int    `json:"run"`
	Worker string `json:"worker"` // ID.
}

// lateStart is a start that got no answer and has not been seen at its worker.
type lateStart struct {
	worker string // ID.
	run    int
	sentAt int64
}

// lateStarts holds the late starts by task, and the versions of their record.
type lateStarts struct {
	byTask          map[TaskName][]lateStart
	changed         bool // since a version was planned.
	plannedAt       int64
	loggedAt        int64 // when it was last logged that the record is not stored.
	planned, stored int
	writing         bool
}

func (c *lateStarts) waiting() bool { return !c.writing && c.planned > c.stored }

// noteLateStart records that the start of r got no answer. Steps with copies may run twice.
func (m *Model) noteLateStart(r *run) {
	c, n := &m.commits.lateStarts, r.task.name()
	if r.task.stage.Copies || slices.ContainsFunc(c.byTask[n], func(l lateStart) bool { return l.run == r.number }) {
		return
	}
	c.byTask[n] = append(c.byTask[n], lateStart{worker: r.worker.ID, run: r.number, sentAt: r.startSentAt})
	c.changed = true
}

// endLateStart records that the start of a run has been carried out or refused.
func (m *Model) endLateStart(n TaskName, run int) {
	if len(m.commits.lateStarts.byTask) > 0 {
		m.keepLateStarts(n, func(l lateStart) bool { return l.run != run })
	}
}

// keepLateStarts drops the late starts of a task that keep does not accept, and returns the others.
func (m *Model) keepLateStarts(n TaskName, keep func(lateStart) bool) []lateStart {
	c := &m.commits.lateStarts
	l, ok := c.byTask[n]
	if !ok {
		return nil
	}
	l = slices.DeleteFunc(l, func(s lateStart) bool { return !keep(s) })
	c.byTask[n] = l
	if len(l) == 0 {
		delete(c.byTask, n)
		c.changed = c.changed || len(c.byTask) == 0
	}
	return l
}

// planLateStarts drops the late starts that are over, and has the record written if there is news for a successor.
func (m *Model) planLateStarts() {
	c := &m.commits.lateStarts
	if len(c.byTask) == 0 && !c.changed || m.now-c.plannedAt < lateStartsWriteMs {
		return
	}
	for n := range c.byTask {
		m.keepLateStarts(n, func(l lateStart) bool { return m.now < l.sentAt+lateCallMs+lastsAtMost(m.longestLeaseMs()) })
	}
	if c.changed {
		c.changed, c.plannedAt = false, m.now
		if c.planned == c.stored {
			c.loggedAt = m.now
		}
		c.planned++
	}
}

// logUnstoredLateStarts logs that a successor would not know of late starts, because their record cannot be stored.
func (m *Model) logUnstoredLateStarts() {
	c := &m.commits.lateStarts
	if c.planned > c.stored && m.now-c.loggedAt >= unstoredLogMs {
		c.loggedAt = m.now
		m.logError("late starts not stored", "", "tasks", len(c.byTask), "version", c.planned, "stored", c.stored)
	}
}

// logBound logs for how long t has waited for the worker of its late start, now that it is started at w.
func (m *Model) logBound(t *task, w *worker) {
	if t.boundSince != 0 {
		m.log("bound task started", t.stage.job.ID, "task", t.name().String(), "worker", w.ID, "waitedMs", m.now-t.boundSince)
		t.boundSince = 0
	}
}

// lateStartsRow returns the row that stores the late starts, and its version.
func (m *Model) lateStartsRow() (Row, int) {
	c := &m.commits.lateStarts
	s := StoredLateStarts{Fence: m.cfg.Fence}
	for n, l := range c.byTask {
		for _, x := range l {
			if m.now < x.sentAt+lateCallMs {
				s.Starts = append(s.Starts, StoredLateStart{Task: n.String(), Run: x.run, Worker: x.worker})
			}
		}
	}
	slices.SortFunc(s.Starts, func(a, b StoredLateStart) int { return cmp.Or(cmp.Compare(a.Task, b.Task), a.Run-b.Run) })
	return Row{Key: LateStartsKey, Value: encode(s)}, c.planned
}

// loadLateStarts takes over the late starts of former owners. These may have been sent until now.
func (m *Model) loadLateStarts(s StoredLateStarts) {
	c := &m.commits.lateStarts
	for _, x := range s.Starts {
		n, err := ParseTaskName(x.Task)
		if err != nil {
			m.logError("stored late start not usable", "", "task", x.Task, "reason", err.Error())
			continue
		}
		c.byTask[n] = append(c.byTask[n], lateStart{worker: x.Worker, run: x.Run, sentAt: m.now})
		c.changed = true
	}
}

// boundTo reports whether t must not be started at any worker but one, and returns that worker, or nil if it must not be started at all.
func (m *Model) boundTo(t *task) (w *worker, bound bool) {
	if len(m.commits.lateStarts.byTask) == 0 {
		return nil, false
	}
	binding := 0
	for _, l := range m.commits.lateStarts.byTask[t.name()] {
		if !m.bindsTask(t, l) {
			continue
		}
		k := m.workers[l.worker]
		if binding++; binding > 1 && k != w {
			return nil, true
		}
		w = k
	}
	return w, binding > 0
}

// bindsTask reports whether l may still begin a run of t, or have begun one that this owner cannot see.
func (m *Model) bindsTask(t *task, l lateStart) bool {
	w := m.workers[l.worker]
	switch {
	case w == nil:
		return m.soleOwnerUntil < l.sentAt+lateCallMs+lastsAtMost(m.longestLeaseMs())
	case !w.answers():
		return m.soleOwnerUntil < m.lateStartEnd(w, l.sentAt)
	case t.stage.Lasting && !m.hasRoomAt(w, t.stage):
		return m.now < l.sentAt+maxReserveMs
	}
	return m.soleOwnerUntil < l.sentAt+lateCallMs
}

// answers reports whether the lists of w's present lifetime have been read, and it has not fallen silent since.
func (w *worker) answers() bool { return w.synced && w.silentSince == 0 && !w.dead }

// lateStartEnd returns the steady time by which a start that was sent to w at sentAt, and that w does not answer for, neither begins a run
// nor has one going on. It is 0 if another worker has the machine or the address.
func (m *Model) lateStartEnd(w *worker, sentAt int64) int64 {
	switch {
	case w.machineTaken, w.goneState == MachineUp, w.dead && w.goneState == "":
		return 0
	case w.goneState != "":
		return min(w.endedAt+maxReserveMs, sentAt+lateCallMs)
	}
	return sentAt + lateCallMs + lastsAtMost(m.longestLeaseMs())
}

// hasRoomAt reports whether a task of s may be started at w now, or once it has a ticket.
func (m *Model) hasRoomAt(w *worker, s *stage) bool {
	return m.usable(w) && s.size().Fits(w.freeRoom()) && m.suits(w, s) && !s.advice.denied[w.ID]
}

// isGangBound reports whether a task of the gang s must not be started at any worker but one.
func (m *Model) isGangBound(s *stage) bool {
	return slices.ContainsFunc(s.tasks, func(t *task) bool {
		_, bound := m.boundTo(t)
		return bound
	})
}

// placeBound starts t at w, the only worker that may be given it, unless w cannot take it now.
func (m *Model) placeBound(c *candidates, t *task, w *worker) {
	if w == nil || t.suspected() && m.placeSuspect(c, t) || !m.hasRoomAt(w, t.stage) {
		return
	}
	if !m.hasTicket(w, t.stage) {
		t.stage.advice.bound = w.ID
		m.wantAdvice(t.stage)
		return
	}
	m.startRun(t, w, t.lastRun+1)
	c.started(t.stage, w)
}

// withholdEndUntil returns until when the end of a task must not be acknowledged; 0 if it may be. The end of a gang's task is that of all
// of them. t is the task if its job is known.
func (m *Model) withholdEndUntil(n TaskName, t *task, how EndReason) int64 {
	c := &m.commits.lateStarts
	if how != EndDone && how != EndFailed || len(c.byTask) == 0 {
		return 0
	}
	until := lastCallAt(c.byTask[n])
	if t != nil && t.stage.Gang {
		for _, o := range t.stage.tasks {
			until = max(until, lastCallAt(c.byTask[o.name()]))
		}
	}
	return until
}

// lastCallAt returns the latest time at which one of the starts may be carried out, or 0 if there is none.
func lastCallAt(l []lateStart) int64 {
	at := int64(0)
	for _, s := range l {
		at = max(at, s.sentAt+lateCallMs)
	}
	return at
}
