package batch

import "math"

// Learning of run times: callers' estimates are rough, so the model learns for each queue how they relate to what tasks took.
const (
	decayFactor = 0.995 // weight that past runs keep with each new one: about 200 runs count.
	priorRuns   = 4.0   // weight of the belief that estimates are right, in runs.
	priorVar    = 0.1   // variance of the logarithm of an estimate, in that belief.
	maxSlowdown = 8.0   // a run that took so many times the expected time counts as that.
	minRunMs    = 1.0
)

// estimator is what has been learned of one estimator's jobs: a line through the logarithms of estimates and run times.
type estimator struct {
	n, x, y, xx, xy, yy float64
}

// add takes in a task that was estimated and took so many ms.
func (q *estimator) add(estimate, took float64) {
	x, y := math.Log(max(estimate, minRunMs)), math.Log(max(took, minRunMs))
	for _, s := range []*float64{&q.n, &q.x, &q.y, &q.xx, &q.xy, &q.yy} {
		*s *= decayFactor
	}
	q.n, q.x, q.y, q.xx, q.xy, q.yy = q.n+1, q.x+x, q.y+y, q.xx+x*x, q.xy+x*y, q.yy+y*y
}

// expectedMs returns the expected run time in ms of a task with that estimate.
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
	line := my + slope*(x-mx) + rest/2 // the mean of a lognormal lies above its median.
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

// learnRunTime takes in how long a run took, for its queue and its worker.
func (m *Model) learnRunTime(w *worker, r *run) {
	s := r.task.stage
	if r.confirmedAt == 0 || s.EstimateMs == 0 || s.Lasting || r.resumed {
		return
	}
	took := float64(m.now - r.confirmedAt)
	q := m.estimator(s.job.Queue)
	if e := q.expectedMs(float64(s.EstimateMs)); e > 0 {
		w.slowdown += learnRate * (min(took/e, maxSlowdown) - w.slowdown)
	}
	if w.slowdown < stuckFactor { // a slow worker says nothing about the queue.
		q.add(float64(s.EstimateMs), took)
	}
}
