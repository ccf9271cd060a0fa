package batch_test

import (
	"testing"

	"github.com/matryer/is"

	"burdockreach.dev/fleet/batch"
)

// startedUnderLoad runs a pool that small tasks keep full, and returns how many tasks of j have started by the end.
func startedUnderLoad(t *testing.T, workers int, labels map[int][]string, j batch.Job) int {
	t.Helper()
	w := newSimulation(t, 1, workers, faults{})
	w.labels = func(id string) []string {
		for i, l := range labels {
			if w.workers[i].ID() == id {
				return l
			}
		}
		return []string{"a", "r1"}
	}
	n := 100
	w.run(15_000, func() {
		if w.now%200 == 0 {
			for range 4 * workers {
				n++
				w.submit(batch.Job{ID: jobID(n), Queue: "q", Service: "s", Priority: 1, ObjectiveFactor: 8, Steps: []batch.Step{
					{Count: 2, Size: batch.Size{CPU: 1000, MemMB: 100}, EstimateMs: 400},
				}})
			}
		}
		if w.now == 5_000 {
			w.submit(j)
		}
	})
	w.report()
	started := 0
	for s, p := range j.Steps {
		for i := range p.Count {
			if len(w.judge.Runs(batch.TaskName{Job: j.ID, Step: s, Index: i}.String())) > 0 {
				started++
			}
		}
	}
	return started
}

// A large task gets a worker that it may run on emptied for it, however many small tasks wait.
func TestLargeTasksGetRoom(t *testing.T) {
	large := batch.Size{CPU: 6000, MemMB: 1000}
	t.Run("lasting, one on a worker", func(t *testing.T) {
		is := is.New(t)
		is.Equal(startedUnderLoad(t, 3, nil, batch.Job{ID: jobID(1), Queue: "l", Service: "s", Steps: []batch.Step{
			{Count: 3, Size: batch.Size{CPU: 4000, MemMB: 1000}, EstimateMs: 500, Lasting: true, PerWorker: 1, MayMiss: 1},
		}}), 3)
	})
	t.Run("beside a lasting task", func(t *testing.T) {
		is := is.New(t)
		is.Equal(startedUnderLoad(t, 3, nil, batch.Job{ID: jobID(1), Queue: "l", Service: "s", ObjectiveExtraMs: 20_000, Steps: []batch.Step{
			{Count: 2, Size: batch.Size{CPU: 500, MemMB: 15_900}, EstimateMs: 500, Lasting: true, PerWorker: 1},
			{Count: 2, Size: batch.Size{CPU: 6000, MemMB: 9000}, EstimateMs: 500},
		}}), 4)
	})
	t.Run("labelled", func(t *testing.T) {
		is := is.New(t)
		is.Equal(startedUnderLoad(t, 3, map[int][]string{1: {"b", "r1"}}, batch.Job{ID: jobID(1), Queue: "l", Service: "s", ObjectiveExtraMs: 20_000, Steps: []batch.Step{
			{Count: 1, Size: large, EstimateMs: 500, Label: "b"},
		}}), 1)
	})
	t.Run("gang", func(t *testing.T) {
		is := is.New(t)
		is.Equal(startedUnderLoad(t, 3, nil, batch.Job{ID: jobID(1), Queue: "l", Service: "s", ObjectiveExtraMs: 20_000, Steps: []batch.Step{
			{Count: 3, Size: large, EstimateMs: 500, Gang: true},
		}}), 3)
	})
}

// Large tasks that wait for room must not keep a mostly idle pool from smaller jobs of a lower priority.
func TestLargeTasksLeaveRoomInIdlePool(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 1, 4, faults{})
	w.runMs = func(n batch.TaskName) int64 {
		if n.Job < jobID(10) {
			return 60_000
		}
		return 400
	}
	job := func(n, priority int, s batch.Step) batch.Job {
		return batch.Job{ID: jobID(n), Queue: "q", Service: "s", Priority: priority, ObjectiveExtraMs: 90_000, Steps: []batch.Step{s}}
	}
	w.submit(job(1, 0, batch.Step{Count: 4, Size: batch.Size{CPU: 1000, MemMB: 100}, EstimateMs: 60_000, PerWorker: 1}))
	w.run(3_000, nil)
	for n := range 4 {
		w.submit(job(2+n, 0, batch.Step{Count: 1, Size: batch.Size{CPU: 7500, MemMB: 100}, EstimateMs: 60_000}))
	}
	w.run(3_500, nil)
	for n := range 5 {
		w.submit(job(10+n, 1, batch.Step{Count: 2, Size: batch.Size{CPU: 500, MemMB: 100}, EstimateMs: 400}))
	}
	w.run(6_500, nil)
	w.report()
	for n := range 5 {
		is.Equal(w.owners[0].m.State(jobID(10+n)), batch.StateCompleted)
	}
}
