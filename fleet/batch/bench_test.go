package batch_test

import (
	"fmt"
	"math/rand/v2"
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
		name      string
		factor    float64
		lookAhead bool
	}{{"full", 0.9, false}, {"overload", 1.4, false}, {"full, look-ahead", 0.9, true}, {"overload, look-ahead", 1.4, true}} {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				x := callerLoad{
					seed: 1, pools: pools(map[string]int{"s": workers}), until: 9_000, from: 2_000, to: 8_000, lookAhead: c.lookAhead,
					queues: map[string]queueLoad{"s": {kind: checks, cores: peak(0.3*cores, c.factor*cores, 3_000, 500, 8_000)}},
				}.play(&testing.T{})
				b.ReportMetric(x.modelSeconds/6, "cores")
			}
		})
	}
}

// BenchmarkWaitingJobs simulates a pool of 1,000 workers of 32 cores at which 10,000 jobs and more wait. It reports the owner's processor
// time per simulated time, in cores, and how many jobs wait at the end.
func BenchmarkWaitingJobs(b *testing.B) {
	const workers, jobs, runMs = 1_000, 14_000, 4_000
	for _, a := range []bool{false, true} {
		b.Run(fmt.Sprintf("look-ahead %v", a), func(b *testing.B) {
			for range b.N {
				w := newSimulation(&testing.T{}, 1, 0, faults{lookAhead: a})
				for range workers {
					w.fleet.add("s", batch.Size{CPU: machineCPU, MemMB: machineMemMB})
				}
				w.owners = nil
				w.startOwner()
				r := rand.New(rand.NewPCG(1, 99))
				all := map[string]*callerJob{}
				w.runMs = func(n batch.TaskName) int64 { return all[n.Job].runMs[n.Step][n.Index] }
				w.run(3_000, func() {
					for len(all) < jobs && w.now > 1_500 {
						j := newCallerJob(r, checks, len(all)+1, "s")
						j.ObjectiveExtraMs = 600_000
						all[j.ID] = j
						w.submit(j.Job)
					}
				})
				before := w.modelTime
				w.run(3_000+runMs, nil)
				b.ReportMetric((w.modelTime-before).Seconds()*1000/runMs, "cores")
				b.ReportMetric(float64(w.owners[0].m.Pending()["q-s"]), "waiting")
				b.ReportMetric(float64(w.judge.TaskCount()), "started")
			}
		})
	}
}
