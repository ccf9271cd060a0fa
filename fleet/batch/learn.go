package batch

import "math"

// Learning of run times. Callers' estimates are rough, so for each queue the model learns the relation between
// estimates and actual run times.
const (
	decayFactor = 0.995 // factor by which each new run reduces the weight of earlier ones: about 200 runs count.
	priorRuns   = 4.0   // weight of the prior that estimates are right, as a number of runs.
	priorVar    = 0.1   // variance of the logarithm of the estimates under that prior.
	maxSlowdown = 8.0   // a longer run counts as this multiple of the expected run time.
	minRunMs    = 1.0
)

// estimator predicts the run times of one queue's tasks by linear regression over the logarithms of estimates and run
// times.
type estimator struct {
	n, x, y, xx, xy, yy float64

	reports bool // its tasks report their progress.
}

// add records a task with the given estimate and actual run time in ms.
func (q *estimator) add(estimate, took float64) {
	x, y := math.Log(max(estimate, minRunMs)), math.Log(max(took, minRunMs))
	for _, s := range []*float64{&q.n, &q.x, &q.y, &q.xx, &q.xy, &q.yy} {
		*s *= decayFactor
	}
	q.n, q.x, q.y, q.xx, q.xy, q.yy = q.n+1, q.x+x, q.y+y, q.xx+x*x, q.xy+x*y, q.yy+y*y
}

// expectedMs returns the expected run time in ms of a task with the given estimate in ms.
func (q *estimator) expectedMs(estimate float64) float64 {
	if q.n == 0 || estimate <= 0 {
		return estimate
	}
	x := math.Log(max(estimate, minRunMs))
	mx, my := q.x/q.n, q.y/q.n
	vx := max(q.xx/q.n-mx*mx, 0)
	cxy := q.xy/q.n - mx*my
	vy := max(q.yy/q.n-my*my, 0)
	w := q.n / (q.n + priorRuns)
	slope := (q.n*cxy + priorRuns*priorVar) / (q.n*vx + priorRuns*priorVar)
	rest := max(vy-slope*slope*vx, 0)
	line := my + slope*(x-mx) + rest/2 // the mean of a lognormal distribution lies above its median.
	return math.Exp(w*line + (1-w)*x)
}

func (m *Model) estimator(name string) *estimator {
	q := m.estimators[name]
	if q == nil {
		q = &estimator{}
		m.estimators[name] = q
	}
	return q
}

// learnRunTime records the run time of a run that is done, for its queue and its worker.
func (m *Model) learnRunTime(w *worker, r *run) {
	s := r.task.stage
	if r.confirmedAt == 0 || s.EstimateMs == 0 || s.Lasting || r.resumed {
		return
	}
	took := float64(m.now - r.confirmedAt)
	q := m.estimator(s.job.Queue)
	if m.measures(r) {
		m.measure(r, fullPercent)
	} else if e := q.expectedMs(float64(s.EstimateMs)); e > 0 && !m.cfg.WorkerSpeed {
		w.slowdown += learnRate * (min(took/e, maxSlowdown) - w.slowdown)
	}
	if m.slowdown(w) < stuckFactor { // the run times of a slow worker say nothing about the queue.
		q.add(float64(s.EstimateMs), took)
	}
}
