package queue

import (
	"math"
	"time"
)

const (
	minWeight       = 1.0 / 64         // least weight of a new sample, reached at 64 samples
	recentSeconds   = 2.0              // time constant of the recent arrival rate
	minDecayStep    = time.Millisecond // least time between two decays of a rate
	longTermSeconds = 60.0             // time constant of the averages for background requests, which can wait
)

// timeStats tracks the moving mean and mean deviation of service times.
type timeStats struct {
	mean, dev float64 // seconds
	n         int
}

func (t *timeStats) add(d time.Duration) {
	x := d.Seconds()
	t.n++
	g := max(minWeight, 1/float64(t.n))
	if t.n == 1 {
		t.mean, t.dev = x, x/2
		return
	}
	t.dev += g * (math.Abs(x-t.mean) - t.dev)
	t.mean += g * (x - t.mean)
}

// timeAverage tracks the moving time average of a value that changes in steps.
type timeAverage struct {
	value, mean float64
	updated     time.Duration
	set         bool
}

func (l *timeAverage) update(now time.Duration, x float64) {
	if !l.set {
		l.mean, l.set = x, true
	}
	if d := (now - l.updated).Seconds(); d > 0 {
		l.mean += (l.value - l.mean) * (1 - math.Exp(-d/longTermSeconds))
	}
	l.value, l.updated = x, now
}

// eventRate tracks the rate of events, recently and over the long term.
type eventRate struct {
	recent, longTerm float64 // events per second
	updated          time.Duration
}

func (r *eventRate) add(now time.Duration) {
	r.decay(now)
	r.recent += 1 / recentSeconds
	r.longTerm += 1 / longTermSeconds
}

// decay decays the rates for the time that has passed.
func (r *eventRate) decay(now time.Duration) {
	if now-r.updated < minDecayStep {
		return
	}
	if d := (now - r.updated).Seconds(); d > 0 {
		r.recent *= math.Exp(-d / recentSeconds)
		r.longTerm *= math.Exp(-d / longTermSeconds)
		r.updated = now
	}
}
