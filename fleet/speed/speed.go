// Package speed estimates how much longer than expected a worker takes for its tasks, from their progress and their ends.
//
// Evidence is the ratio of the time that some work took to the time that was expected for it, weighted by the amount of work. It is averaged
// as a logarithm, because expected times are off by factors. Part of each ratio is due to the work itself: a job's tasks take longer
// everywhere than was expected of them. The ratios on all workers that run the same step tell the two apart.
package speed

import "math"

// Weights are in runs of an expected length: a run that is done has brought a weight of about 1. In trials with TestSlowWorkers, with a
// maxWeight of 3 to 8, a decay of 3 to 6 s, a prior of 0.5 to 1 and one of 0.25 to 1 for the bias, the share in time changed by 0.03 at most.
const (
	priorWeight = 1.0    // of the belief that a worker is as fast as expected.
	biasPrior   = 0.5    // of the belief that a step's work takes as long as expected.
	maxWeight   = 4.0    // of all evidence on a worker. Eight running tasks bring as much in half a run time, which replaces what was known.
	decayMs     = 3000.0 // without new evidence its weight falls by e in this time.
	runSpread   = 0.5    // standard deviation of the logarithm of one run's ratio, with learned run times.
	maxRatio    = 8.0    // a larger ratio, or a smaller one than its inverse, says no more.
)

// Meter holds what is known of one worker's speed. The zero Meter knows nothing.
type Meter struct {
	sum, weight float64 // of the logarithms of ratios, at the time at.
	at          int64
}

// Bias is how much longer than expected the tasks of one step take on any worker. The zero Bias knows nothing.
type Bias struct{ sum, weight float64 }

// Estimate is an estimate of the factor by which a worker takes longer than expected.
type Estimate struct {
	Factor float64
	Spread float64 // standard deviation of the logarithm of Factor.
}

// Observe adds evidence of the time now, in ms: work of the given weight, of a step with the bias b, took ratio times as long as expected.
func (m *Meter) Observe(now int64, b *Bias, ratio, weight float64) {
	if ratio <= 0 || weight <= 0 {
		return
	}
	l := math.Log(min(max(ratio, 1/maxRatio), maxRatio))
	usual := b.log()
	b.sum += weight * (l - math.Log(m.Estimate(now).Factor))
	b.weight += weight
	m.add(now, l-usual, min(weight, maxWeight))
}

// log returns the estimated logarithm of the bias.
func (b *Bias) log() float64 { return b.sum / (b.weight + biasPrior) }

// add adds a logarithm of a ratio. Evidence beyond maxWeight displaces older evidence.
func (m *Meter) add(now int64, l, weight float64) {
	k := m.decay(now)
	if old := m.weight * k; old+weight > maxWeight {
		k *= (maxWeight - weight) / old
	}
	m.sum, m.weight, m.at = m.sum*k+weight*l, m.weight*k+weight, max(now, m.at)
}

// decay returns the share of the weight that is left at the time now.
func (m *Meter) decay(now int64) float64 { return math.Exp(-float64(max(now-m.at, 0)) / decayMs) }

// Estimate returns the estimate for the time now, in ms.
func (m *Meter) Estimate(now int64) Estimate {
	k := m.decay(now)
	all := m.weight*k + priorWeight
	return Estimate{Factor: math.Exp(m.sum * k / all), Spread: runSpread / math.Sqrt(all)}
}
