package batch_test

import (
	"cmp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"burdockreach.dev/fleet/batch"
)

// listedWorkers is a model with workers whose lists a test sets. Starts and stops are answered at once; a run goes on until the test
// removes it.
type listedWorkers struct {
	m       *batch.Model
	running map[string][]batch.ActiveRun // by worker.
	full    bool                         // whether lists say that they name not all runs.
	delayMs int64                        // how long answers to polls are on their way.
	late    []batch.PolledMsg
	entries []batch.WorkerEntry
	starts  []batch.StartCmd
	stops   []batch.StopCmd
	doubled int // starts of tasks that were running elsewhere.

	loseAnswers bool // starts are carried out, and their answers are lost.
	loseStarts  bool // starts are not carried out, and not answered.
	unanswered  []lostStart

	machineOf map[string]string // names of machines by worker; a machine that is not named here has the name of its worker.
	stopping  bool              // stops end runs.
	percent   int               // progress of started runs.
	upkeeps   map[string]bool

	busy         bool // upkeep orders are answered as busy.
	upkeepOrders int

	rejecting bool             // machines refuse their upkeep, one after the other, as if it were done.
	rejectAt  map[string]int64 // by machine.

	writeMs    int64 // time of a write to the store.
	writing    []heldWrite
	waveWrites int
	overlaps   int // writes of a wave's record while another one was in flight.
}

// lostStart is a start that counts as unanswered at a later time.
type lostStart struct {
	dueAt int64
	cmd   batch.StartCmd
}

// heldWrite is a transaction that the store answers at a later time.
type heldWrite struct {
	doneAt int64
	cmd    batch.CommitCmd
}

func (h heldWrite) hasWave() bool {
	return slices.ContainsFunc(h.cmd.Rows, func(r batch.Row) bool { return strings.HasPrefix(r.Key, batch.WavePrefix) })
}

// newListedWorkers returns a model that has read the records in l, with the workers of the given names.
func newListedWorkers(l batch.LoadedMsg, names ...string) *listedWorkers {
	w := &listedWorkers{running: map[string][]batch.ActiveRun{}, upkeeps: map[string]bool{}, rejectAt: map[string]int64{}}
	for _, n := range names {
		w.entries = append(w.entries, batch.WorkerEntry{
			ID: n, Service: "s", Addr: n, Room: batch.Size{CPU: 2000, MemMB: 1000}, ClockMs: 5, Born: 500,
		})
	}
	w.m = batch.New(batch.Config{Fence: 9, Now: 1000, UnixMs: 1000, LeaseMs: 6000})
	w.m.Update(1000, batch.ServicesMsg{Services: []batch.Service{{Name: "s"}}})
	w.m.Update(1000, batch.WorkersMsg{All: true, Set: w.entries})
	w.m.Update(1000, l)
	w.m.Update(1000, batch.ClaimMsg{Fresh: true, RenewedAt: 1000})
	return w
}

// submit submits a job of one task that needs a quarter of a worker.
func (w *listedWorkers) submit(now int64, n int) {
	w.m.Update(now, batch.SubmitMsg{Ref: uint64(n), Job: quarterJob(n)})
}

func quarterJob(n int) batch.Job {
	return batch.Job{ID: jobID(n), Queue: "q", Service: "s", ObjectiveExtraMs: 60_000, Steps: []batch.Step{
		{Count: 1, Size: batch.Size{CPU: 500, MemMB: 10}, EstimateMs: 9_000, Checkpoints: true},
	}}
}

func (w *listedWorkers) run(from, until int64) {
	for now := from; now < until; now += 10 {
		for n, at := range w.rejectAt {
			if now >= at {
				delete(w.rejectAt, n)
				w.m.Update(now, batch.OrderDoneMsg{Machine: n, Wave: 1, Result: batch.OrderRejected})
			}
		}
		for len(w.writing) > 0 && now >= w.writing[0].doneAt {
			w.m.Update(now, batch.CommittedMsg{ID: w.writing[0].cmd.ID, Rev: now})
			w.writing = w.writing[1:]
		}
		for len(w.unanswered) > 0 && now >= w.unanswered[0].dueAt {
			k := w.unanswered[0].cmd
			w.unanswered = w.unanswered[1:]
			w.m.Update(now, batch.StartedMsg{Worker: k.Worker, Task: k.Task, Run: k.Run, Result: batch.NoAnswer})
		}
		for len(w.late) > 0 && now >= w.late[0].Sent+w.delayMs {
			w.m.Update(now, w.late[0])
			w.late = w.late[1:]
		}
		for _, c := range w.m.Commands(now) {
			w.perform(now, c)
		}
	}
}

func (w *listedWorkers) perform(now int64, c batch.Cmd) {
	switch k := c.(type) {
	case batch.CommitCmd:
		h := heldWrite{now + w.writeMs, k}
		if h.hasWave() {
			w.waveWrites++
			if slices.ContainsFunc(w.writing, heldWrite.hasWave) {
				w.overlaps++
			}
		}
		if w.writeMs > 0 {
			w.writing = append(w.writing, h)
			return
		}
		w.m.Update(now, batch.CommittedMsg{ID: k.ID, Rev: now})
	case batch.StartCmd:
		if w.isRunning(k.Task) {
			w.doubled++
		}
		w.starts = append(w.starts, k)
		if w.loseAnswers || w.loseStarts {
			w.unanswered = append(w.unanswered, lostStart{now + callTimeoutMs, k})
		}
		if w.loseStarts {
			return
		}
		w.running[k.Worker] = append(w.running[k.Worker], batch.ActiveRun{Task: k.Task, Run: k.Run, Percent: w.percent})
		if w.loseAnswers {
			return
		}
		w.m.Update(now, batch.StartedMsg{Worker: k.Worker, Task: k.Task, Run: k.Run, ClockMs: now, Sent: now})
	case batch.StopCmd:
		w.stops = append(w.stops, k)
		if w.stopping {
			w.running[k.Worker] = slices.DeleteFunc(w.running[k.Worker], func(r batch.ActiveRun) bool { return r.Task == k.Task })
		}
		w.m.Update(now, batch.StoppedMsg{Worker: k.Worker, Task: k.Task, Run: k.Run, ClockMs: now, Sent: now})
	case batch.ListMachinesCmd:
		w.m.Update(now, batch.MachinesMsg{Sent: now, List: w.machines()})
	case batch.UpkeepCmd:
		w.upkeeps[k.Machine] = true
		w.upkeepOrders++
		if w.busy {
			w.m.Update(now, batch.OrderDoneMsg{Machine: k.Machine, Wave: k.Wave, Result: batch.OrderBusy})
		}
		if w.rejecting {
			w.rejectAt[k.Machine] = now + 50*int64(len(w.upkeeps))
		}
	case batch.PollCmd:
		g := batch.PolledMsg{Worker: k.Worker, Sent: now, ClockMs: now, Born: 500, ListFull: w.full}
		if !w.full {
			g.Running = slices.Clone(w.running[k.Worker])
		}
		w.late = append(w.late, g)
	}
}

// machines returns the machine of each worker.
func (w *listedWorkers) machines() []batch.Machine {
	var l []batch.Machine
	for _, e := range w.entries {
		l = append(l, batch.Machine{Name: cmp.Or(w.machineOf[e.ID], e.ID), Pool: e.Service, State: batch.MachineUp, Room: e.Room, Worker: e.ID})
	}
	return l
}

func (w *listedWorkers) isRunning(t batch.TaskName) bool {
	for _, l := range w.running {
		if slices.ContainsFunc(l, func(r batch.ActiveRun) bool { return r.Task == t }) {
			return true
		}
	}
	return false
}

// A list that does not name all runs says nothing of those that are missing.
func TestFullListDropsNoRun(t *testing.T) {
	is := is.New(t)
	w := newListedWorkers(batch.LoadedMsg{}, "w")
	w.submit(1000, 1)
	w.run(1010, 1_500)
	w.full = true
	w.run(1_500, 4_000)
	is.Equal(len(w.starts), 1)
}

// The answer to a poll shows the worker as it was when the poll arrived. A run that was started since is not missing.
func TestLateListDropsNoNewerRun(t *testing.T) {
	is := is.New(t)
	w := newListedWorkers(batch.LoadedMsg{}, "w")
	w.delayMs = 400
	for n := int64(1); n < 4; n++ {
		w.submit(500+500*n, int(n))
		w.run(510+500*n, 1_000+500*n)
	}
	w.run(2_500, 4_000)
	is.Equal(len(w.starts), 3)
}

// A run that is being stopped goes on until a list sent after the stop does not name it.
func TestStoppingRunOutlastsLateList(t *testing.T) {
	is := is.New(t)
	w := newListedWorkers(batch.LoadedMsg{}, "w1", "w2")
	w.delayMs = 400
	w.submit(1000, 1)
	w.run(1010, 2_000)
	first := w.starts[0].Worker
	for n := 2; n < 5; n++ {
		w.submit(2_000+100*int64(n), n)
		w.run(2_000+100*int64(n), 2_100+100*int64(n))
	}
	for i := range w.entries {
		if w.entries[i].ID == first {
			w.entries[i].Draining, w.entries[i].DrainLeftMs = true, 5_000
		}
	}
	w.m.Update(2_500, batch.WorkersMsg{All: true, Set: w.entries})
	w.run(2_500, 4_500)
	is.True(len(w.stops) > 0)
	is.Equal(w.doubled, 0)
}

// A new owner stops runs of which no record knows, and all but one run of a task that allows no copies.
func TestUnknownRunsAreStopped(t *testing.T) {
	known := batch.TaskName{Job: jobID(1)}
	stopped := func(t *testing.T, lists map[string][]batch.ActiveRun) int {
		t.Helper()
		w := newListedWorkers(batch.LoadedMsg{Jobs: []batch.StoredJob{{Job: quarterJob(1), SubmittedMs: 900}}, BlindMs: 500}, "w1", "w2")
		w.running = lists
		w.run(1010, 1_300)
		return len(w.stops)
	}
	t.Run("a run without a job", func(t *testing.T) {
		is := is.New(t)
		is.True(stopped(t, map[string][]batch.ActiveRun{"w1": {{Task: batch.TaskName{Job: jobID(7)}, Run: 1}}}) > 0)
	})
	t.Run("a second run", func(t *testing.T) {
		is := is.New(t)
		is.True(stopped(t, map[string][]batch.ActiveRun{"w1": {{Task: known, Run: 1}}, "w2": {{Task: known, Run: 2}}}) > 0)
	})
	t.Run("a single run of a known task goes on", func(t *testing.T) {
		is := is.New(t)
		is.Equal(stopped(t, map[string][]batch.ActiveRun{"w1": {{Task: known, Run: 1}}}), 0)
	})
}
