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
		speeds    bool
	}{
		{"full", 0.9, false, false},
		{"overload", 1.4, false, false},
		{"full, look-ahead", 0.9, true, false},
		{"overload, look-ahead", 1.4, true, false},
		{"overload, speeds learned", 1.4, false, true},
	} {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				x := callerLoad{
					seed: 1, pools: pools(map[string]int{"s": workers}), until: 9_000, from: 2_000, to: 8_000, lookAhead: c.lookAhead, speeds: c.speeds,
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

// BenchmarkTeams measures a placement with 10,000 waiting jobs of 1,000 teams on 1,000 workers of 32 cores: one task ends before each, and
// the next placement follows. Each team has ten jobs of 40 tasks that wait for room, or for the limit of their team.
func BenchmarkTeams(b *testing.B) {
	for _, c := range []struct {
		name  string
		teams bool
		cpu   int64 // limit of each team.
	}{{"no teams", false, 0}, {"no limits", true, 0}, {"limits above the use", true, 400_000}, {"limits reached", true, 16_000}} {
		b.Run(c.name, func(b *testing.B) { placeWaiting(b, c.teams, c.cpu) })
	}
}

func setBenchTeams(h *harness, limit int64) {
	var l []batch.Team
	for i := range 1_000 {
		l = append(l, batch.Team{Name: "t" + jobID(i), Limit: batch.Size{CPU: limit}})
	}
	h.Update(h.now, batch.TeamsMsg{Teams: l})
}

func placeWaiting(b *testing.B, teams bool, limit int64) {
	b.Helper()
	h := &harness{stored: map[string][]byte{}, Model: batch.New(batch.Config{Fence: 9, Now: 1000, UnixMs: 1_000_000, LeaseMs: 6000}), now: 1000}
	var set []batch.WorkerEntry
	for i := range 1_000 {
		id := "w" + jobID(i)
		set = append(set, batch.WorkerEntry{ID: id, Service: "s", Addr: id, Room: batch.Size{CPU: 32_000, MemMB: 64_000}, ClockMs: 5, Born: 1})
	}
	h.Update(h.now, batch.WorkersMsg{All: true, Set: set})
	if teams {
		setBenchTeams(h, limit)
	}
	h.Update(h.now, batch.LoadedMsg{})
	h.advance(100)
	for n := range 10_000 {
		j := batch.Job{ID: jobID(n), Queue: "q", Service: "s", ObjectiveExtraMs: 900_000, Steps: []batch.Step{{Count: 40, Size: batch.Size{CPU: 1_000, MemMB: 500}, EstimateMs: 1}}}
		if teams {
			j.Team = "t" + jobID(n%1_000)
		}
		h.Update(h.now, batch.SubmitMsg{Ref: uint64(n), Job: j})
	}
	h.advance(2_000)
	b.ResetTimer()
	for i := range b.N {
		s := h.starts[i%len(h.starts)]
		h.Update(h.now, batch.PolledMsg{Worker: s.Worker, Sent: h.now, ClockMs: h.now, Born: 1, Ended: []batch.EndedRun{{Number: int64(i + 1), Task: s.Task, Run: s.Run, Reason: batch.EndStopped}}})
		h.now += 4
		h.Update(h.now, batch.ClaimMsg{Fresh: true, RenewedAt: h.now})
		h.Commands(h.now)
	}
	b.ReportMetric(float64(len(h.starts)), "running")
}
