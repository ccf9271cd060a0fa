package queue

import (
	"math"
	"time"
)

const (
	learnGain  = 1.0 / 64         // least weight of a new sample, reached at 64 samples
	rateTime   = 2.0              // time constant of the recent arrival rate
	settleStep = time.Millisecond // least time between two decays of a rate
	longTime   = 60.0             // time constant of the averages for background requests, which can wait
)

// times tracks the moving mean and mean deviation of service times.
type times struct {
	mean, dev float64 // seconds
	n         int
}

func (t *times) learn(d time.Duration) {
	x := d.Seconds()
	t.n++
	g := max(learnGain, 1/float64(t.n))
	if t.n == 1 {
		t.mean, t.dev = x, x/2
		return
	}
	t.dev += g * (math.Abs(x-t.mean) - t.dev)
	t.mean += g * (x - t.mean)
}

// level tracks the moving time average of a value that changes in steps.
type level struct {
	value, mean float64
	at          time.Duration
	set         bool
}

func (l *level) put(now time.Duration, x float64) {
	if !l.set {
		l.mean, l.set = x, true
	}
	if d := (now - l.at).Seconds(); d > 0 {
		l.mean += (l.value - l.mean) * (1 - math.Exp(-d/longTime))
	}
	l.value, l.at = x, now
}

// rate tracks the rate of events, recently and over the long term.
type rate struct {
	perSecond, long float64 // events per second
	at              time.Duration
}

func (r *rate) add(now time.Duration) {
	r.settle(now)
	r.perSecond += 1 / rateTime
	r.long += 1 / longTime
}

// settle decays the rates for the time that has passed.
func (r *rate) settle(now time.Duration) {
	if now-r.at < settleStep {
		return
	}
	if d := (now - r.at).Seconds(); d > 0 {
		r.perSecond *= math.Exp(-d / rateTime)
		r.long *= math.Exp(-d / longTime)
		r.at = now
	}
}
