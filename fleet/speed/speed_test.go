package speed

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// observe adds the evidence of so many runs, one each 100 ms, and returns the time of the last.
func observe(m *Meter, b *Bias, from int64, runs int, ratio float64) int64 {
	for i := range runs {
		m.Observe(from+int64(i)*100, b, ratio, 1)
	}
	return from + int64(runs)*100
}

// wantFactor fails the test unless the factor lies in the given range.
func wantFactor(t *testing.T, got, low, high float64) {
	t.Helper()
	if got < low || got > high {
		t.Errorf("factor %.2f, want %.1f to %.1f", got, low, high)
	}
}

func TestMeter(t *testing.T) {
	even := func() *Bias { return &Bias{weight: 1e9} } // known to be 1.
	t.Run("nothing known", func(t *testing.T) {
		is := is.New(t)
		var m Meter
		is.Equal(m.Estimate(5), Estimate{Factor: 1, Spread: runSpread})
	})
	t.Run("one slow run says little", func(t *testing.T) {
		var m Meter
		now := observe(&m, even(), 0, 1, 4)
		wantFactor(t, m.Estimate(now).Factor, 1.5, 2.1)
	})
	t.Run("several slow runs displace many fast ones", func(t *testing.T) {
		var m Meter
		now := observe(&m, even(), 0, 100, 1)
		now = observe(&m, even(), now, 4, 4)
		wantFactor(t, m.Estimate(now).Factor, 2, 4)
		now = observe(&m, even(), now, 4, 1)
		wantFactor(t, m.Estimate(now).Factor, 1, 1.5)
	})
	t.Run("forgets without evidence", func(t *testing.T) {
		is := is.New(t)
		var m Meter
		now := observe(&m, even(), 0, 8, 4)
		e := m.Estimate(now)
		wantFactor(t, m.Estimate(now+5_000).Factor, 1, 2)
		is.True(m.Estimate(now+5_000).Spread > e.Spread)
	})
	t.Run("extreme ratios", func(t *testing.T) {
		is := is.New(t)
		var m Meter
		for _, r := range []float64{0, -1, 1e300, math.Inf(1), 1e-300} {
			m.Observe(10, even(), r, 1e6)
		}
		is.True(!math.IsNaN(m.Estimate(10).Factor) && m.Estimate(10).Factor <= maxRatio)
	})
}

// A step whose tasks take three times as long everywhere makes no worker slow, and hides none that is.
func TestBias(t *testing.T) {
	const workers, slow = 8, 2
	r := rand.New(rand.NewPCG(1, 2))
	var l [workers]Meter
	now := int64(0)
	for range 6 { // steps
		var b Bias
		for range 4 {
			for i := range l {
				ratio := 3 * math.Exp(0.2*r.NormFloat64())
				if i == slow {
					ratio *= 4
				}
				l[i].Observe(now, &b, min(ratio, maxRatio), 0.25)
			}
			now += 50
		}
	}
	for i := range l {
		if i == slow {
			wantFactor(t, l[i].Estimate(now).Factor, 1.5, 4)
			continue
		}
		wantFactor(t, l[i].Estimate(now).Factor, 0.6, 1.6)
	}
}
