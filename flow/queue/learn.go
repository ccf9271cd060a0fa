package queue

import (
	"math"
	"time"
)

const (
	learnGain  = 1.0 / 64         // of a sample, once there are that many
	rateTime   = 2.0              // seconds over which arrivals are averaged
	settleStep = time.Millisecond // between two settlements of a rate
	longTime   = 60.0             // seconds over which they, and slots, are averaged for entries that can wait
)

// times learns the mean and the mean deviation of service times.
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

// level learns the mean of a value that changes in steps.
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

// rate learns how many events a second come.
type rate struct {
	perSecond, long float64
	at              time.Duration
}

func (r *rate) add(now time.Duration) {
	r.settle(now)
	r.perSecond += 1 / rateTime
	r.long += 1 / longTime
}

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
