package place

import "math"

const (
	minWeight        = 0.2 // weight of the newest observation.
	marginDeviations = 2.0 // deviations of size that are reserved beyond the mean.
	memoryGrowth     = 2.0 // by which a task's memory grows after it was too small.
	minSamples       = 3   // observations below which declared values count.
)

// average is a running mean and its mean deviation.
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

// upperBound returns a value that few observations exceed; the fewer there are, the farther from the mean.
func (a *average) upperBound() float64 {
	return a.mean + (marginDeviations+2/float64(max(a.n, 1)))*a.dev
}

// kindStats is what was learned of jobs of one kindStats.
type kindStats struct{ cores, memory, run average }

// size returns what to reserve for a job of the kind.
func (k *kindStats) size(declared Size) Size {
	if k.cores.n < minSamples {
		return declared
	}
	return Size{Cores: k.cores.upperBound(), MemoryMB: k.memory.upperBound(), Accelerators: declared.Accelerators}
}

// runMillis returns the run time to reckon with; declared times are doubled, since they are far from the truth.
func (k *kindStats) runMillis(declared int64) int64 {
	if k.run.n < minSamples {
		return 2 * declared
	}
	return int64(k.run.upperBound())
}
