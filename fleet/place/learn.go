package place

import "math"

const (
	minWeight        = 0.2 // least weight of the newest observation.
	marginDeviations = 2.0 // mean deviations beyond the mean that upperBound allows for.
	memoryGrowth     = 2.0 // factor on a reservation that ran out of memory.
	minSamples       = 3   // with fewer observations, declared values are used.
)

// average is a moving mean and mean deviation.
type average struct {
	mean, dev float64
	n         int
}

func (a *average) add(x float64) {
	a.n++
	k := max(minWeight, 1/float64(a.n))
	a.dev += k * (math.Abs(x-a.mean)*min(1, float64(a.n-1)) - a.dev)
	a.mean += k * (x - a.mean)
}

// upperBound returns a value that few observations exceed. The fewer observations there are, the larger the margin.
func (a *average) upperBound() float64 {
	return a.mean + (marginDeviations+2/float64(max(a.n, 1)))*a.dev
}

// kindStats holds the measurements of the jobs of one kind.
type kindStats struct{ cores, memory, run average }

// size returns the size to reserve for a job of the kind.
func (k *kindStats) size(declared Size) Size {
	if k.cores.n < minSamples {
		return declared
	}
	return Size{Cores: k.cores.upperBound(), MemoryMB: k.memory.upperBound(), Accelerators: declared.Accelerators}
}

// runMillis returns the estimated run time. Declared times are doubled, since they are far from the real ones.
func (k *kindStats) runMillis(declared int64) int64 {
	if k.run.n < minSamples {
		return 2 * declared
	}
	return int64(k.run.upperBound())
}
