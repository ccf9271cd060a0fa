package batch_test

import (
	"strconv"
	"testing"

	"github.com/matryer/is"

	"burdockreach.dev/fleet/batch"
)

// playWave runs n workers, each with a machine, and lasting tasks that each take up a worker. After 10 s a wave over the machines that
// run them, or over all if there are none, is ordered and must end soon. Tasks that are started again do not get ready.
func playWave(workers, lasting int) *listedWorkers {
	var names []string
	for i := range workers {
		names = append(names, "w"+strconv.Itoa(i))
	}
	w := newListedWorkers(batch.LoadedMsg{}, names...)
	w.stopping, w.percent = true, 100
	if lasting > 0 {
		w.m.Update(1000, batch.SubmitMsg{Ref: 1, Job: batch.Job{ID: jobID(1), Queue: "l", Service: "s", Steps: []batch.Step{
			{Count: lasting, Size: batch.Size{CPU: 2000, MemMB: 10}, EstimateMs: 500, Lasting: true, PerWorker: 1, MayMiss: 1},
		}}})
	}
	w.run(1010, 10_000)
	machines := names
	if lasting > 0 {
		machines = nil
		for _, s := range w.starts {
			machines = append(machines, s.Worker)
		}
	}
	w.percent = 0
	w.m.Update(10_000, batch.WaveMsg{Number: 1, Machines: machines, DurationMs: 8_000, MaxDown: len(machines)})
	w.run(10_000, 18_000)
	return w
}

// A wave stops a lasting task only if another worker has room for it, and no second one of its step before the first serves again.
func TestWaveKeepsLastingTasks(t *testing.T) {
	t.Run("no other room", func(t *testing.T) {
		is := is.New(t)
		w := playWave(2, 2)
		is.Equal(len(w.stops), 0)
		is.Equal(len(w.upkeeps), 0)
	})
	t.Run("one after the other", func(t *testing.T) {
		is := is.New(t)
		w := playWave(6, 3)
		is.Equal(len(w.starts), 4)
		is.Equal(len(w.upkeeps), 1)
	})
}

// A wave leaves two thirds of a pool's machines in service, also if the operator's order allows more.
func TestWaveLeavesPoolInService(t *testing.T) {
	is := is.New(t)
	w := playWave(9, 0)
	is.True(len(w.upkeeps) > 0)
	is.True(len(w.upkeeps) <= 3)
}

// A new owner whose first requests for the list of machines fail does not know the machines of a wave. It must not say that the wave is
// completed.
func TestWaveIsNotCompletedWithoutList(t *testing.T) {
	is := is.New(t)
	b := newHarness("w1")
	b.noList = true
	b.Update(b.now, batch.WaveMsg{Number: 1, Machines: []string{"m1"}, DurationMs: 30_000, MaxDown: 1})
	b.advance(20_000)
	is.True(b.listRequests > 1)
	is.Equal(b.completed, 0)
}

// A wave's record is written by one transaction at a time: a second one would conflict with the first, together with the jobs that it
// accepts.
func TestWaveRecordIsWrittenOnceAtATime(t *testing.T) {
	is := is.New(t)
	w := newListedWorkers(batch.LoadedMsg{}, "w0", "w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8")
	w.run(1010, 10_000)
	w.writeMs, w.rejecting = 300, true
	w.m.Update(10_000, batch.WaveMsg{Number: 1, Machines: []string{"w0", "w1", "w2", "w3", "w4", "w5"}, DurationMs: 30_000, MaxDown: 2})
	for n := range 200 {
		w.submit(10_000+int64(n)*20, n+1)
		w.run(10_000+int64(n)*20, 10_020+int64(n)*20)
	}
	is.True(w.waveWrites > 0)
	is.Equal(w.overlaps, 0)
}

// replaceWorker replaces the only worker, w0, by w9 on the same machine, and runs a lasting task there from now to until.
func (w *listedWorkers) replaceWorker(is *is.I, now, until int64) {
	is.Helper()
	w.machineOf = map[string]string{"w9": "w0"}
	w.entries[0].ID, w.entries[0].Addr = "w9", "w9"
	w.m.Update(now, batch.WorkersMsg{Set: w.entries, Gone: []string{"w0"}})
	j := lastingStepJob(1, 1, 1)
	j.Steps[0].Size.MemMB = 10
	w.m.Update(now, batch.SubmitMsg{Ref: 1, Job: j})
	w.run(now, until)
	is.Equal(len(w.running["w9"]), 1)
}

// A machine whose worker was replaced must not be maintained while the new worker runs a task that has no other room.
func TestUpkeepSparesReplacedWorker(t *testing.T) {
	wave := batch.WaveMsg{Number: 1, Machines: []string{"w0"}, DurationMs: 8_000, MaxDown: 1}
	start := func() *listedWorkers {
		w := newListedWorkers(batch.LoadedMsg{}, "w0")
		w.percent, w.stopping = 100, true
		w.run(1_010, 8_000)
		return w
	}
	t.Run("before the list is read", func(t *testing.T) {
		is := is.New(t)
		w := start()
		w.replaceWorker(is, 8_000, 8_200)
		w.m.Update(8_200, wave)
		w.run(8_200, 16_000)
		is.Equal(w.upkeepOrders, 0)
		is.Equal(len(w.stops), 0)
	})
	t.Run("between two orders", func(t *testing.T) {
		is := is.New(t)
		w := start()
		w.busy = true
		w.m.Update(8_000, wave)
		w.run(8_000, 9_000)
		n := w.upkeepOrders
		is.True(n > 0)
		w.replaceWorker(is, 9_000, 9_400)
		n = max(n, w.upkeepOrders)
		w.run(9_400, 16_000)
		is.Equal(w.upkeepOrders, n)
		is.Equal(len(w.stops), 0)
	})
	t.Run("which is emptied", func(t *testing.T) {
		is := is.New(t)
		w := start()
		w.busy = true
		w.m.Update(8_000, wave)
		w.run(8_000, 9_000)
		w.replaceWorker(is, 9_000, 9_400)
		n := w.upkeepOrders
		other := w.entries[0]
		other.ID, other.Addr = "w1", "w1"
		w.entries = append(w.entries, other)
		w.m.Update(9_400, batch.WorkersMsg{Set: w.entries})
		w.run(9_400, 16_000)
		is.Equal(len(w.stops), 1)
		is.Equal(len(w.running["w1"]), 1)
		is.True(w.upkeepOrders > n)
	})
}
