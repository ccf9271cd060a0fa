package batch_test

import (
	"testing"

	"github.com/matryer/is"

	"burdockreach.dev/fleet/batch"
)

// Workers that start whatever they are told to, and whose capacity shrinks and grows while they run, are never brought over it.
func TestShrunkWorkersAreNotOverfilled(t *testing.T) {
	for _, c := range []struct {
		name string
		f    faults
	}{
		{"shrinking", faults{shrink: 10}},
		{"crashes", faults{shrink: 10, crash: 4, restart: 2}},
		{"look-ahead", faults{shrink: 10, crash: 2, lookAhead: true}},
		{"owners", faults{shrink: 10, depose: 2, cut: 4, lost: 10}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for s := uint64(1); s <= *chaosSeeds; s++ {
				playShrinking(t, s, c.f)
				if t.Failed() {
					return
				}
			}
		})
	}
}

// playShrinking runs a load of jobs at six workers that do not guard their capacity.
func playShrinking(t *testing.T, seed uint64, f faults) {
	t.Helper()
	w := newSimulation(t, seed, 0, f)
	w.fleet.services = []batch.Service{{Name: "s"}}
	for range 6 {
		w.fleet.add("s", batch.Size{CPU: 8000, MemMB: 16000})
	}
	w.owners = nil
	w.startOwner()
	for _, k := range w.workers {
		k.SetUnguarded()
	}
	w.submit(longJob(900_000))
	n := 0
	w.run(31_000, func() {
		if w.now%70 == 0 {
			n++
			w.submit(w.job(n))
		}
	})
	w.faults = faults{}
	for _, a := range w.owners {
		clear(a.unreachable)
	}
	w.run(80_000, func() {
		if len(w.owners) == 0 && w.now%1000 == 0 {
			w.startOwner()
		}
	})
	w.checkSettled()
	w.report()
}

// A run that no record knows is being stopped, and still takes room of unknown size: a worker that does not guard its capacity starts
// nothing beside it.
func TestNoStartBesideUnknownRun(t *testing.T) {
	play := func(guards bool) (before, after int) {
		m := batch.New(batch.Config{Fence: 9, Now: 1000, UnixMs: 1000, LeaseMs: 6000})
		m.Update(1000, batch.ServicesMsg{Services: []batch.Service{{Name: "s", Guards: guards}}})
		m.Update(1000, batch.WorkersMsg{All: true, Set: []batch.WorkerEntry{
			{ID: "w", Service: "s", Addr: "w", Room: batch.Size{CPU: 8000, MemMB: 16000}, ClockMs: 5, Born: 500},
		}})
		m.Update(1000, batch.LoadedMsg{})
		m.Update(1000, batch.ClaimMsg{Fresh: true, RenewedAt: 1000})
		m.Update(1000, batch.SubmitMsg{Ref: 1, Job: plainJob(1)})
		stray := []batch.ActiveRun{{Task: batch.TaskName{Job: jobID(7)}, Run: 1}}
		for now := int64(1010); now < 3_000; now += 10 {
			if now == 2_000 {
				stray, before, after = nil, after, 0
			}
			for _, c := range m.Commands(now) {
				switch k := c.(type) {
				case batch.CommitCmd:
					m.Update(now, batch.CommittedMsg{ID: k.ID, Rev: now})
				case batch.StartCmd:
					after++
				case batch.StopCmd:
					m.Update(now, batch.StoppedMsg{Worker: k.Worker, Task: k.Task, Run: k.Run, ClockMs: now})
				case batch.PollCmd:
					m.Update(now, batch.PolledMsg{Worker: "w", Sent: now, ClockMs: now, Born: 500, Running: stray})
				}
			}
		}
		return before, after
	}
	t.Run("worker that does not guard", func(t *testing.T) {
		is := is.New(t)
		before, after := play(false)
		is.Equal(before, 0)
		is.Equal(after, 4)
	})
	t.Run("worker that guards", func(t *testing.T) {
		is := is.New(t)
		before, _ := play(true)
		is.Equal(before, 4)
	})
}

// A worker whose lasting tasks hold more than is left of its capacity takes none of the capacity of the others away.
func TestShrunkWorkerLeavesRoomOfOthers(t *testing.T) {
	is := is.New(t)
	b := newHarness("w0", "w1")
	j := lastingStepJob(1, 1, 1)
	j.Steps[0].Size.CPU = 3900
	b.Update(b.now, batch.SubmitMsg{Ref: 1, Job: j})
	b.advance(100)
	b.Update(b.now, batch.WorkersMsg{Set: []batch.WorkerEntry{
		{ID: b.starts[0].Worker, Service: "s", Addr: "w", Room: batch.Size{MemMB: 8000}, ClockMs: 5, Born: 1},
	}})
	for n := 2; n <= 4; n++ {
		b.Update(b.now, batch.SubmitMsg{Ref: uint64(n), Job: plainJob(n)})
		b.advance(100)
		is.Equal(b.replies[len(b.replies)-1].Verdict, batch.Accepted)
	}
}

// A job whose tasks would not fit into an owner's memory is refused, and one whose rounds come faster than they end opens only as many
// as fit: each owner would be ended in turn.
func TestJobsFitIntoMemory(t *testing.T) {
	t.Run("steps", func(t *testing.T) {
		is := is.New(t)
		b := newHarness("w0")
		j := plainJob(1)
		j.Steps = nil
		for range 60 {
			j.Steps = append(j.Steps, batch.Step{Count: 10_000, Size: batch.Size{CPU: 10}, EstimateMs: 100})
		}
		b.Update(b.now, batch.SubmitMsg{Ref: 1, Job: j})
		b.advance(100)
		is.Equal(b.replies[0].Verdict, batch.Malformed)
	})
	t.Run("rounds", func(t *testing.T) {
		is := is.New(t)
		b := newHarness("w0")
		j := plainJob(1)
		j.Steps = []batch.Step{{Count: 10_000, Size: batch.Size{CPU: 9_000_000}, EstimateMs: 100}}
		j.FirstMs, j.EveryMs, j.Rounds = 1, 1, 500
		b.Update(b.now, batch.SubmitMsg{Ref: 1, Job: j})
		b.advance(200)
		is.Equal(b.replies[0].Verdict, batch.Accepted)
		is.Equal(batch.OpenTasks(b.Model, jobID(1)), 50_000)
	})
}
