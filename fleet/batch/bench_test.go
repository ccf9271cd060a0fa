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
