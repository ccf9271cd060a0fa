package batch

import (
	"cmp"
	"slices"
)

// Speeds of workers. A worker may be several times slower than others for some seconds. The progress of its runs tells so before they end.

// Least evidence that is counted at a time: smaller steps are mostly rounding.
const (
	minMeasuredPercent = 10  // progress, or
	minMeasuredShare   = 0.2 // time, as a share of the expected run time.
)

// Slow workers get no tasks.
const (
	slowFactor   = 2.0   // a worker that takes so many times longer is slow: a job's objective is 1.6 to 2.2 times its work.
	maxSlowShare = 3     // one worker of so many counts as slow: if all are, the expected run times are wrong.
	slowWaitMs   = 2_000 // a step that has lacked room for so long may start at a slow worker: no job must wait for 3 s beside free room.
)

// slowdown returns the factor by which w takes longer than expected.
func (m *Model) slowdown(w *worker) float64 {
	if !m.cfg.WorkerSpeed {
		return w.slowdown
	}
	return w.speed.Estimate(m.now).Factor
}

// splitSlow divides workers into those that may get tasks and slow ones. It brings their slowdown up to date: a placement compares it for
// each task and worker, which must cost little.
func (m *Model) splitSlow(l []*worker) (rest, slow []*worker) {
	if !m.cfg.WorkerSpeed {
		return l, nil
	}
	for _, w := range l {
		if m.updateSlow(w); w.slow {
			slow = append(slow, w)
		}
	}
	if len(slow) == 0 {
		return l, nil
	}
	slices.SortStableFunc(slow, func(a, b *worker) int { return cmp.Compare(b.slowdown, a.slowdown) })
	slow = slow[:min(len(slow), len(l)/maxSlowShare)]
	return slices.DeleteFunc(l, func(w *worker) bool { return slices.Contains(slow, w) }), slow
}

// updateSlow brings w's slowdown up to date.
func (m *Model) updateSlow(w *worker) {
	e := w.speed.Estimate(m.now)
	w.slowdown = e.Factor
	if s := e.Factor >= slowFactor; s != w.slow {
		w.slow = s
		m.log("worker slow", "", "worker", w.ID, "slow", s, "percent", int(fullPercent*e.Factor), "spread", int(fullPercent*e.Spread), "runs", len(w.runs))
	}
}

// mayUseSlow reports whether tasks of s, for which the other workers lack room, may be started at slow workers by now.
func (c *candidates) mayUseSlow(s *stage) bool {
	if len(c.slow) == 0 {
		return false
	}
	if s.noRoomSince == 0 {
		s.noRoomSince = c.m.now
	}
	return c.m.now-s.noRoomSince >= slowWaitMs
}

// chooseSlow returns a slow worker for t if it may be started there, or nil.
func (c *candidates) chooseSlow(t *task) *worker {
	if !c.mayUseSlow(t.stage) {
		return nil
	}
	w, _ := c.m.cheapest(c.slow, t)
	return w
}

// noteProgress counts the progress of a listed run for its worker's speed.
func (m *Model) noteProgress(r *run, percent int) {
	s := r.task.stage
	if !m.measures(r) {
		return
	}
	q := m.estimator(s.job.Queue)
	q.reports = q.reports || percent > 0 && percent < fullPercent
	if r.measuredAt == 0 {
		r.measuredAt = r.confirmedAt
		if r.resumed || !r.ownStart {
			r.measuredAt, r.measured = m.now, percent // how long this took is not known.
		}
	}
	if q.reports && (percent-r.measured >= minMeasuredPercent || float64(m.now-r.measuredAt) >= minMeasuredShare*s.runMs) {
		m.measure(r, percent)
	}
}

// measures reports whether the time that r takes says something of its worker. That of filling tasks, and of tasks away from their data or
// from each other, depends on other things.
func (m *Model) measures(r *run) bool {
	s := r.task.stage
	return m.cfg.WorkerSpeed && !s.Lasting && !s.Fills && !s.SameRack && (s.DataRack == "" || s.DataRack == r.worker.rack) && s.runMs > 0
}

// measure counts what r has done since it was last measured.
func (m *Model) measure(r *run, percent int) {
	s := r.task.stage
	took := float64(m.now-max(r.measuredAt, r.confirmedAt)) / s.runMs
	done := float64(max(percent-r.measured, 1)) / fullPercent
	r.worker.speed.Observe(m.now, &s.bias, took/done, max(took, done))
	r.measuredAt, r.measured = m.now, percent
}
