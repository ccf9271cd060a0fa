package burn

import "time"

const (
	fineStep      = 30 * time.Second
	fineBuckets   = 120 // one hour
	coarseStep    = 5 * time.Minute
	coarseBuckets = 864 // three days
)

// bucket holds the counts of one time step.
type bucket [outcomeCount]uint32

// ring holds the counts of the latest time steps. Steps are aligned to the Unix epoch, so that the counts of several entries
// can be added step by step.
type ring struct {
	step    time.Duration
	newest  int64 // number of the newest step since the epoch
	buckets []bucket
}

func newRing(step time.Duration, n int) ring {
	return ring{step: step, buckets: make([]bucket, n)}
}

// stepNumber returns the number of the step that holds t.
func (r *ring) stepNumber(t time.Time) int64 { return t.UnixNano() / int64(r.step) }

// advance moves the newest step to now and clears the buckets that are reused.
func (r *ring) advance(now time.Time) {
	i := r.stepNumber(now)
	n := int64(len(r.buckets))
	for k := max(r.newest+1, i-n+1); k <= i; k++ {
		r.buckets[k%n] = bucket{}
	}
	r.newest = max(r.newest, i)
}

// add adds c to the step of now, or to the newest step if now lies before it.
func (r *ring) add(now time.Time, c Counts) {
	r.advance(now)
	b := &r.buckets[r.newest%int64(len(r.buckets))]
	b[Good] += uint32(c.Good)
	b[Late] += uint32(c.Late)
	b[Failed] += uint32(c.Failed)
	b[Refused] += uint32(c.Refused)
}

// sum returns the counts of the last w, including the step in progress.
func (r *ring) sum(w time.Duration) Counts {
	var c Counts
	n := min(int64(w/r.step), int64(len(r.buckets)))
	for k := max(0, r.newest-n+1); k <= r.newest; k++ {
		c = c.Plus(r.stepCounts(k))
	}
	return c
}

// stepCounts returns the counts of step k, which must be within the ring.
func (r *ring) stepCounts(k int64) Counts {
	b := r.buckets[k%int64(len(r.buckets))]
	return Counts{int64(b[Good]), int64(b[Late]), int64(b[Failed]), int64(b[Refused])}
}

// points returns the counts of the steps that have requests, grouped by span, oldest first.
func (r *ring) points(span time.Duration) []Point {
	var ps []Point
	for k := max(0, r.newest-int64(len(r.buckets))+1); k <= r.newest; k++ {
		c := r.stepCounts(k)
		if c.Total() == 0 {
			continue
		}
		s := time.Unix(0, k*int64(r.step)).UTC().Truncate(span)
		if n := len(ps); n > 0 && ps[n-1].Start.Equal(s) {
			ps[n-1].Counts = ps[n-1].Counts.Plus(c)
			continue
		}
		ps = append(ps, Point{Start: s, Counts: c})
	}
	return ps
}
