package batch

import "slices"

// Pacing of filling tasks. They use the CPU that other tasks leave free, and must not make lasting tasks miss their
// latency target.
const (
	paceIntervalMs = 500  // between two changes at one worker, ms.
	paceStepUp     = 20   // percent
	slowDownAbove  = 0.85 // share of the target; filling tasks are slowed down when the tail latency is above it.
	speedUpBelow   = 0.6  // share of the target; filling tasks are sped up when the tail latency is below it.
	paceSlowdown   = 0.5
	minPace        = 10 // percent; a task that would go below it is paused.
)

// paceWorkers adapts the pace of the filling tasks of each worker to the tail latency of the lasting tasks beside them.
func (m *Model) paceWorkers() {
	for _, w := range m.workerList {
		if m.now-w.pacedAt < paceIntervalMs || w.silentSince != 0 || len(w.runs) == 0 {
			continue
		}
		tail := 0.0
		var fill []*run
		for _, r := range w.runs {
			s := r.task.stage
			switch {
			case r.state != running:
			case s.Fills:
				fill = append(fill, r)
			case s.TargetMs > 0:
				tail = max(tail, float64(r.gauge)/float64(s.TargetMs))
			}
		}
		if len(fill) > 0 {
			m.adjustPace(w, fill, tail)
		}
	}
}

func (m *Model) adjustPace(w *worker, fill []*run, tail float64) {
	w.pacedAt = m.now
	for _, r := range fill {
		next := r.pace
		switch {
		case tail > 1:
			next = 0
		case tail > slowDownAbove:
			next = int(float64(r.pace) * paceSlowdown)
			if next < minPace {
				next = 0
			}
		case tail < speedUpBelow:
			next = min(r.pace+paceStepUp, fullPace)
		}
		if next == r.pace {
			continue
		}
		r.pace = next
		m.emit(PaceCmd{Worker: w.ID, Addr: w.Addr, Task: r.task.name(), Run: r.number, Percent: next, Fence: w.fence})
	}
}

// paceAnswered handles the answer to a change of pace. A change that may not have been carried out is repeated.
func (m *Model) paceAnswered(g PacedMsg) {
	w, t := m.workers[g.Worker], m.task(g.Task)
	if g.Result == OK || w == nil || t == nil {
		return
	}
	if r := t.findRun(g.Run); r != nil && r.worker == w && r.pace == g.Percent {
		r.pace = min(max(g.Percent+1, 1), fullPace-1) // differs from any pace that is requested next, so the change is repeated.
	}
}

// needsPacing reports whether w runs a lasting task with a latency target beside filling tasks.
func (w *worker) needsPacing() bool {
	fills, serves := false, false
	for _, r := range w.runs {
		fills = fills || r.task.stage.Fills
		serves = serves || r.task.stage.TargetMs > 0 && !r.task.stage.Fills
	}
	return fills && serves
}

// hasLastingSteps reports whether the job has steps with lasting tasks.
func hasLastingSteps(j *job) bool {
	return slices.ContainsFunc(j.Steps, func(s Step) bool { return s.Lasting })
}
