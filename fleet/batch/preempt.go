package batch

import (
	"cmp"
	"slices"
)

// preempt stops tasks at w that come after s in service order, to make room for a task of s. It stops only tasks that
// resume from a checkpoint, and none if that does not make enough room.
func (m *Model) preempt(w *worker, s *stage) {
	free := w.freeRoom()
	var l []*run
	for _, r := range w.runs {
		switch {
		case r.state == stopping && r.evicted:
			free = free.plus(r.task.stage.size())
		case r.state == running && yieldsTo(r.task.stage, s):
			l = append(l, r)
		}
	}
	slices.SortFunc(l, func(a, b *run) int { return cmp.Compare(b.confirmedAt, a.confirmedAt) }) // the youngest runs lose the least work.
	n := 0
	for n < len(l) && !s.size().Fits(free) {
		free = free.plus(l[n].task.stage.size())
		n++
	}
	if !s.size().Fits(free) {
		return
	}
	for _, r := range l[:n] {
		j := r.task.stage.job
		m.log("run preempted", j.ID, "task", r.task.name().String(), "run", r.number, "worker", w.ID, "for", s.job.ID, "percent", r.percent)
		r.evicted = true
		m.stopRun(r)
	}
}

// yieldsTo reports whether tasks of o may be stopped in favour of s.
func yieldsTo(o, s *stage) bool {
	if !o.Checkpoints || o.Lasting || o.Gang {
		return false
	}
	if priorityClass(s) != priorityClass(o) {
		return priorityClass(s) < priorityClass(o)
	}
	return !s.rank.late && s.job.Priority < o.job.Priority
}
