package batch

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// near fails the test unless got is within the given share of want.
func near(t *testing.T, name string, got, want, share float64) {
	t.Helper()
	if math.Abs(got-want) > share*want {
		t.Errorf("%s is %.0f, want %.0f within %.0f%%", name, got, want, 100*share)
	}
}

func TestQueueLearnsRunTimes(t *testing.T) {
	t.Run("without runs the estimate counts", func(t *testing.T) {
		is := is.New(t)
		q := &estimator{}
		is.Equal(q.expectedMs(800), 800.0)
	})
	t.Run("rough estimates", func(t *testing.T) {
		r := rand.New(rand.NewPCG(1, 2))
		q := &estimator{}
		sum, n := 0.0, 0
		for i := range 2000 {
			took := 1300 * math.Exp(0.5*r.NormFloat64()-0.125)
			estimate := took * math.Exp(0.9*r.NormFloat64())
			if i >= 500 {
				sum += q.expectedMs(estimate) - took
				n++
			}
			q.add(estimate, took)
		}
		near(t, "mean run time expected", 1300+sum/float64(n), 1300, 0.05)
		near(t, "run time behind an estimate four times too high", q.expectedMs(5200), 1300*math.Pow(4, 0.24), 0.15)
	})
	t.Run("estimates off by a factor", func(t *testing.T) {
		q := &estimator{}
		for i := range 100 {
			e := 500 + 10*float64(i)
			q.add(e, 2*e)
		}
		near(t, "run time", q.expectedMs(1000), 2000, 0.05)
	})
}
