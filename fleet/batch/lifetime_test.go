package batch_test

import (
	"testing"

	"github.com/matryer/is"

	"burdockreach.dev/fleet/batch"
)

// lifetimes is a harness whose workers run what is started there and can start again under their IDs.
type lifetimes struct {
	*harness
	born   map[string]int64 // start of a worker's lifetime; 1 if it is not named.
	first  map[string]int   // number of starts before the worker's lifetime.
	silent map[string]bool  // workers that do not answer.
	polls  map[string]int   // polls that the present lifetime has answered.
}

func newLifetimes(workers ...string) *lifetimes {
	l := &lifetimes{harness: newUnreadHarness(workers...), born: map[string]int64{}, first: map[string]int{}, silent: map[string]bool{}, polls: map[string]int{}}
	l.polled = l.answer
	l.Update(l.now, batch.ServicesMsg{Services: []batch.Service{{Name: "s"}}})
	l.Update(l.now, batch.LoadedMsg{})
	l.advance(100)
	return l
}

func (l *lifetimes) answer(k batch.PollCmd) batch.PolledMsg {
	g := batch.PolledMsg{Worker: k.Worker, Sent: l.now, ClockMs: l.now, Born: max(l.born[k.Worker], 1)}
	if l.silent[k.Worker] {
		g.Result = batch.NoAnswer
		return g
	}
	l.polls[k.Worker]++
	for _, s := range l.starts[l.first[k.Worker]:] {
		if s.Worker == k.Worker {
			g.Running = append(g.Running, batch.ActiveRun{Task: s.Task, Run: s.Run, Percent: 1})
		}
	}
	return g
}

// restart begins a new lifetime of the worker. The owner learns of it from the worker's entry.
func (l *lifetimes) restart(worker string) {
	l.restartUnseen(worker)
	l.list(worker)
}

// restartUnseen begins a new lifetime of the worker whose entry does not reach the owner.
func (l *lifetimes) restartUnseen(worker string) {
	l.born[worker], l.first[worker], l.silent[worker], l.polls[worker] = l.now, len(l.starts), false, 0
}

// list delivers the worker's entry.
func (l *lifetimes) list(worker string) {
	l.Update(l.now, batch.WorkersMsg{Set: []batch.WorkerEntry{
		{ID: worker, Service: "s", Addr: worker, Room: batch.Size{CPU: 4000, MemMB: 8000}, ClockMs: 5, Born: max(l.born[worker], 1)},
	}})
}

// machines delivers a list of machines that was requested at sent. The machines of the workers in down are down.
func (l *lifetimes) machines(sent int64, workers []string, down ...string) {
	g := batch.MachinesMsg{Sent: sent}
	for _, w := range workers {
		g.List = append(g.List, batch.Machine{Name: "m-" + w, Pool: "s", State: batch.MachineUp, Room: batch.Size{CPU: 4000, MemMB: 8000}, Worker: w})
	}
	for _, w := range down {
		g.List = append(g.List, batch.Machine{Name: "m-" + w, Pool: "s", State: batch.MachineDown, Room: batch.Size{CPU: 4000, MemMB: 8000}})
	}
	l.Update(l.now, g)
}

// startsAt returns the number of starts at the worker.
func (l *lifetimes) startsAt(worker string) int {
	n := 0
	for _, s := range l.starts {
		if s.Worker == worker {
			n++
		}
	}
	return n
}

// An answer that was asked for before a worker started again must not end the worker's new lifetime: its tasks would start elsewhere while
// they run there.
func TestLateAnswerEndsNoNewLifetime(t *testing.T) {
	// play fills two workers with tasks and lets w1 start again, where its tasks start again. A third worker has room for them.
	play := func(late func(l *lifetimes, sent int64)) (l *lifetimes, starts int) {
		l = newLifetimes("w1", "w2")
		l.machines(l.now, []string{"w1", "w2"})
		j := fourTaskJob()
		j.Steps[0].Count, j.Steps[0].EstimateMs = 8, 60_000
		l.Update(l.now, batch.SubmitMsg{Ref: 1, Job: j})
		l.advance(600)
		sent := l.now
		l.advance(100)
		l.restart("w1")
		l.advance(500)
		starts = len(l.starts)
		l.list("w3")
		late(l, sent)
		l.advance(1_000)
		return l, starts
	}
	goesOn := func(t *testing.T, l *lifetimes, starts int) {
		t.Helper()
		is := is.New(t)
		is.Equal(starts, 12)
		is.Equal(l.startsAt("w1"), 8)
		is.Equal(len(l.starts), starts)
		is.Equal(l.Workers(), 3)
	}
	listDown := func(l *lifetimes, sent int64) { l.machines(sent, []string{"w2"}, "w1") }
	t.Run("list of machines", func(t *testing.T) {
		l, n := play(listDown)
		goesOn(t, l, n)
	})
	t.Run("list of machines without the machine of a silent worker", func(t *testing.T) {
		is := is.New(t)
		l := newLifetimes("w1", "w2")
		l.silent["w1"] = true
		l.Update(l.now, batch.SubmitMsg{Ref: 1, Job: fourTaskJob()})
		l.advance(3_000)
		sent := l.now
		l.restart("w1")
		l.silent["w1"] = true // its path is still cut.
		l.advance(100)
		l.machines(sent, []string{"w2"})
		l.advance(100)
		is.Equal(l.Workers(), 2)
	})
	t.Run("list of machines, and a start that the new lifetime has answered", func(t *testing.T) {
		is := is.New(t)
		l := newLifetimes("w1")
		l.machines(l.now, []string{"w1"})
		l.advance(10)
		sent := l.now
		l.restartUnseen("w1")
		l.silent["w1"] = true // answers to polls are lost, so that the owner does not learn of the restart.
		l.advance(10)
		l.Update(l.now, batch.SubmitMsg{Ref: 1, Job: fourTaskJob()})
		l.advance(50)
		is.Equal(l.startsAt("w1"), 4)
		l.list("w2")
		l.machines(sent, nil, "w1")
		l.silent["w1"] = false
		l.advance(1_000)
		is.Equal(len(l.starts), 4)
		is.Equal(l.Workers(), 2)
	})
	t.Run("list of machines while starts at the new lifetime are on their way", func(t *testing.T) {
		is := is.New(t)
		l := newLifetimes("w1")
		l.machines(l.now, []string{"w1"})
		l.advance(10)
		sent := l.now
		l.restartUnseen("w1")
		l.advance(10)
		l.Update(l.now, batch.SubmitMsg{Ref: 1, Job: fourTaskJob()})
		for range 3 {
			for _, c := range l.Commands(l.now) {
				switch k := c.(type) {
				case batch.CommitCmd:
					l.commit(k)
				case batch.StartCmd:
					l.starts = append(l.starts, k)
				}
			}
			l.now += 10
		}
		is.Equal(l.startsAt("w1"), 4)
		l.list("w2")
		l.machines(sent, nil, "w1")
		for _, s := range l.starts {
			l.Update(l.now, batch.StartedMsg{Worker: s.Worker, Task: s.Task, Run: s.Run, ClockMs: l.now, Sent: l.now - 10})
		}
		l.advance(1_000)
		is.Equal(len(l.starts), 4)
		is.Equal(l.Workers(), 2)
	})
	t.Run("another worker at the former address", func(t *testing.T) {
		l, n := play(func(l *lifetimes, sent int64) {
			l.Update(l.now, batch.PolledMsg{Worker: "w1", Sent: sent, Result: batch.WrongWorker})
		})
		goesOn(t, l, n)
	})
	t.Run("a list that was requested later ends it", func(t *testing.T) {
		is := is.New(t)
		l, n := play(func(l *lifetimes, _ int64) { listDown(l, l.now) })
		is.Equal(n, 12)
		is.True(l.startsAt("w3") > 0)
		is.Equal(l.Workers(), 2)
	})
}

// A worker that starts again has seen no fence. Its owner must call it and read its lists before it relies on the new lifetime: a former
// owner may start tasks there until then.
func TestNewLifetimeIsRead(t *testing.T) {
	t.Run("an idle worker is called", func(t *testing.T) {
		is := is.New(t)
		l := newLifetimes("w1")
		l.restart("w1")
		l.advance(100)
		is.True(l.polls["w1"] > 0)
	})
	t.Run("it is given no task before", func(t *testing.T) {
		is := is.New(t)
		l := newLifetimes("w1")
		l.polled = func(k batch.PollCmd) batch.PolledMsg {
			return batch.PolledMsg{Worker: k.Worker, Sent: l.now, ClockMs: l.now, Born: 1} // sent by the former lifetime.
		}
		l.restart("w1")
		l.Update(l.now, batch.SubmitMsg{Ref: 1, Job: fourTaskJob()})
		l.advance(300)
		is.Equal(len(l.starts), 0)
		l.polled = l.answer
		l.advance(300)
		is.Equal(len(l.starts), 4)
	})
	t.Run("a successor waits for it", func(t *testing.T) {
		is := is.New(t)
		m := newSuccessorWithMachines("w1", "w2")
		entry := func(id string, born int64) batch.WorkerEntry {
			return batch.WorkerEntry{ID: id, Service: "s", Addr: id, Room: batch.Size{CPU: 8000, MemMB: 8000}, ClockMs: 1, Born: born}
		}
		m.Update(1040, batch.WorkersMsg{Set: []batch.WorkerEntry{entry("w2", 900_000)}})
		m.Commands(1045)
		m.Update(1050, batch.PolledMsg{Worker: "w2", Sent: 1045, Born: 900_000, ClockMs: 2})
		m.Update(1055, batch.WorkersMsg{Set: []batch.WorkerEntry{entry("w2", 900_500)}})
		is.Equal(starts(m, 1100)+starts(m, 1200), 0)
		m.Update(1210, batch.PolledMsg{Worker: "w2", Sent: 1200, Born: 900_500, ClockMs: 3})
		is.Equal(starts(m, 1260)+starts(m, 1320), 4)
	})
}

// Without a certain claim, a successor may have fenced the workers. A start must then not reach a lifetime that has not seen its fence.
func TestStartWithoutClaimNamesLifetime(t *testing.T) {
	born := func(fresh bool) int64 {
		w := newListedWorkers(batch.LoadedMsg{}, "w")
		w.run(1010, 1_100)
		w.m.Update(1_100, batch.ClaimMsg{Fresh: fresh, RenewedAt: 1_090})
		w.submit(1_100, 1)
		w.run(1_100, 1_300)
		is.New(t).Equal(len(w.starts), 1)
		return w.starts[0].Born
	}
	t.Run("certain claim", func(t *testing.T) { is.New(t).Equal(born(true), int64(0)) })
	t.Run("uncertain claim", func(t *testing.T) { is.New(t).Equal(born(false), int64(500)) })
}

// Each lifetime has a clock of its own. The answer to a call to the former lifetime must not set the clock of the new one: its lease would
// seem to last for as long as the former lifetime did, and its tasks would not start elsewhere when it falls silent.
func TestLateAnswerLeavesClockOfNewLifetime(t *testing.T) {
	is := is.New(t)
	l := newLifetimes("w1")
	l.Update(l.now, batch.SubmitMsg{Ref: 1, Job: fourTaskJob()})
	l.advance(500)
	sent := l.now
	l.advance(100)
	l.restart("w1")
	l.advance(1_000)
	starts := len(l.starts)
	is.True(starts > 4)
	l.Update(l.now, batch.StoppedMsg{Worker: "w1", Task: l.starts[0].Task, Run: 1, ClockMs: 3_600_000, Sent: sent})
	l.advance(10)
	l.silent["w1"] = true
	l.list("w2")
	l.advance(7_000)
	is.True(len(l.starts) > starts)
}
