package batch_test

import (
	"testing"

	"burdockreach.dev/fleet/batch"
)

// BenchmarkOwner simulates ten seconds of heavy load: workers of 32 cores, and 140 jobs of 13 tasks each per second.
func BenchmarkOwner(b *testing.B) {
	b.Run("room for all", func(b *testing.B) { heavyLoad(b, 85) })
	b.Run("overload", func(b *testing.B) { heavyLoad(b, 20) })
}

func heavyLoad(b *testing.B, workers int) {
	b.Helper()
	for range b.N {
		w := newSimulation(&testing.T{}, 1, workers, faults{})
		for _, f := range w.workers {
			f.SetCapacity(batch.Size{CPU: 32_000, MemMB: 64_000})
		}
		w.owners = nil
		w.startOwner()
		n := 0
		w.run(11_000, func() {
			for range 140 * stepMs / 10 / 100 * 1 {
				n++
				j := plainJob(n)
				j.Steps[0].Count, j.Steps[1].Count = 8, 5
				w.submit(j)
			}
			if w.now%20 == 0 {
				n++
				w.submit(plainJob(n))
			}
		})
		b.ReportMetric(float64(w.judge.TaskCount()), "tasks")
	}
}

// BenchmarkLargePool simulates a pool of 600 workers of 32 cores in a load peak. It reports the owner's processor time
// per simulated time, in cores.
func BenchmarkLargePool(b *testing.B) {
	const workers, cores = 600, 600 * 32
	for _, c := range []struct {
		name   string
		factor float64
		speeds bool
	}{{"full", 0.9, false}, {"overload", 1.4, false}, {"overload, speeds learned", 1.4, true}} {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				x := callerLoad{
					seed: 1, pools: pools(map[string]int{"s": workers}), until: 9_000, from: 2_000, to: 8_000, speeds: c.speeds,
					queues: map[string]queueLoad{"s": {checks, peak(0.3*cores, c.factor*cores, 3_000, 500, 8_000)}},
				}.play(&testing.T{})
				b.ReportMetric(x.modelSeconds/6, "cores")
			}
		})
	}
}
