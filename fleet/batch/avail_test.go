package batch_test

import (
	"testing"

	"github.com/matryer/is"

	"burdockreach.dev/fakes/worker"
	"burdockreach.dev/fleet/batch"
)

// playLostStarts starts three lasting tasks, one of which may be away. For 1.5 s polls take 2 s to be answered and starts are lost as lose
// says; then all calls are answered.
func playLostStarts(lose func(*listedWorkers)) *listedWorkers {
	w := newListedWorkers(batch.LoadedMsg{}, "w0", "w1", "w2", "w3", "w4", "w5")
	w.stopping, w.percent = true, 100
	w.run(1_010, 1_500)
	lose(w)
	w.delayMs = 2_000
	j := lastingStepJob(1, 3, 1)
	j.Steps[0].Size.MemMB = 10
	w.m.Update(1_500, batch.SubmitMsg{Ref: 1, Job: j})
	w.run(1_500, 3_000)
	w.loseAnswers, w.loseStarts, w.delayMs = false, false, 0
	w.run(3_000, 9_000)
	return w
}

// tasksRunning returns how many of the three tasks run.
func (w *listedWorkers) tasksRunning() int {
	n := 0
	for i := range 3 {
		if w.isRunning(batch.TaskName{Job: jobID(1), Index: i}) {
			n++
		}
	}
	return n
}

// A start whose answer is lost must not end the task that it has started, which serves by the time at which it is given up.
func TestUnansweredStartEndsNoServingTask(t *testing.T) {
	is := is.New(t)
	w := playLostStarts(func(w *listedWorkers) { w.loseAnswers = true })
	is.Equal(len(w.stops), 0)
	is.Equal(len(w.starts), 3)
	is.Equal(w.tasksRunning(), 3)
}

// A lasting task whose start was lost is started again.
func TestLostStartIsRepeated(t *testing.T) {
	is := is.New(t)
	w := playLostStarts(func(w *listedWorkers) { w.loseStarts = true })
	is.Equal(len(w.starts), 6)
	is.Equal(w.doubled, 0)
	is.Equal(w.tasksRunning(), 3)
}

// The owner's stops leave as many tasks of a lasting step at work as it requires, while tasks fail, workers crash and answers are lost.
func TestStopsLeaveLastingTasksAtWork(t *testing.T) {
	for _, c := range []struct {
		name string
		f    faults
	}{
		{"calm", faults{}},
		{"answers lost", faults{lost: 150}},
		{"late orders", faults{late: 60, lost: 60}},
		{"cuts", faults{cut: 10, lost: 20}},
		{"crashes", faults{crash: 6, restart: 3, lost: 60}},
		{"owners", faults{depose: 2, lost: 60, cut: 4}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for s := uint64(1); s <= *chaosSeeds; s++ {
				playLasting(t, s, c.f)
				if t.Failed() {
					return
				}
			}
		})
	}
}

// playLasting runs three jobs of lasting tasks, which fail now and then, and two waves under faults.
func playLasting(t *testing.T, seed uint64, f faults) {
	t.Helper()
	w := newSimulation(t, seed, 14, f)
	w.lastingFails = true
	for n := range 3 {
		w.submit(lastingStepJob(900_000+n, 8, 2))
	}
	w.run(8_000, nil)
	w.fleet.orderWave(batch.WaveMsg{Number: 1, Machines: w.fleet.names(), DurationMs: 25_000, MaxDown: 4})
	w.run(50_000, nil)
	w.report()
}

// lastingStepJob returns a job with one step of lasting tasks.
func lastingStepJob(n, count, mayMiss int) batch.Job {
	return batch.Job{ID: jobID(n), Queue: "l", Service: "s", Steps: []batch.Step{
		{Count: count, Size: batch.Size{CPU: 1000, MemMB: 1000}, EstimateMs: 500, Lasting: true, PerWorker: 1, MayMiss: mayMiss},
	}}
}

// lastingPlan returns a run that fails after 3 to 20 s.
func (w *simulation) lastingPlan(s batch.Step) worker.Plan {
	return worker.Plan{RunMs: 3_000 + w.rnd.Int64N(17_000), Reason: batch.EndFailed, Size: s.Size, Lasting: true}
}
