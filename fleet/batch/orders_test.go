package batch_test

import (
	"encoding/json"
	"slices"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"burdockreach.dev/fleet/batch"
)

// firstMoves runs an owner that takes over at 1000 milliseconds. There are two idle machines in pool o, which pool s needs.
// It returns when the owner first orders each machine to move. At 1100 milliseconds the owner receives the given messages
// about the former owner's orders.
func firstMoves(messages ...batch.Msg) map[string]int64 {
	return firstMovesAfter(batch.LoadedMsg{}, messages...)
}

// firstMovesAfter does the same with the records that the owner loads.
func firstMovesAfter(loaded batch.LoadedMsg, messages ...batch.Msg) map[string]int64 {
	return moveLoad{loaded: loaded, messages: messages, born: 999_000}.firstMoves()
}

// moveLoad is the case of firstMoves with what an owner knows at its takeover.
type moveLoad struct {
	loaded   batch.LoadedMsg
	messages []batch.Msg
	born     int64 // of the workers, Unix time in ms; the takeover is at 1,000,000.
	stale    bool  // the claim is not certain.
}

func (o moveLoad) firstMoves() map[string]int64 {
	m := batch.New(batch.Config{Fence: 9, Now: 1000, UnixMs: 1_000_000, LeaseMs: 6000, OrderGapMs: 3500})
	room := batch.Size{CPU: 8000, MemMB: 8000}
	m.Update(1000, batch.ServicesMsg{Services: []batch.Service{{Name: "s"}, {Name: "o"}}})
	var set []batch.WorkerEntry
	var list []batch.Machine
	for _, n := range []string{"1", "2"} {
		set = append(set, batch.WorkerEntry{ID: "w" + n, Service: "o", Addr: n, Room: room, ClockMs: 5, Born: o.born})
		list = append(list, batch.Machine{Name: "m" + n, Pool: "o", State: batch.MachineUp, Room: room, Worker: "w" + n})
	}
	m.Update(1000, batch.WorkersMsg{All: true, Set: set})
	m.Update(1000, o.loaded)
	j := plainJob(1)
	j.ObjectiveExtraMs = 60_000
	m.Update(1000, batch.SubmitMsg{Ref: 1, Job: j})
	firstOrderAt := map[string]int64{}
	for now := int64(1000); now < 9_000; now += 10 {
		m.Update(now, batch.ClaimMsg{Fresh: !o.stale, RenewedAt: now})
		if now == 1100 {
			for _, g := range o.messages {
				m.Update(now, g)
			}
		}
		for _, c := range m.Commands(now) {
			switch k := c.(type) {
			case batch.CommitCmd:
				m.Update(now, batch.CommittedMsg{ID: k.ID, Rev: now})
			case batch.PollCmd:
				m.Update(now, batch.PolledMsg{Worker: k.Worker, Sent: now, ClockMs: now, Born: o.born})
			case batch.ListMachinesCmd:
				m.Update(now, batch.MachinesMsg{Sent: now, List: list})
			case batch.MoveCmd:
				if firstOrderAt[k.Machine] == 0 {
					firstOrderAt[k.Machine] = now
				}
				m.Update(now, batch.OrderDoneMsg{Machine: k.Machine, Result: batch.OrderUnsure})
			}
		}
	}
	return firstOrderAt
}

// Between the orders of two owners to one machine, the configured gap must pass. A successor that is told the former
// owner's orders may order all other machines without that wait, if no order as recent as the gap can be missing from what
// it was told. A successor that is told nothing must also wait for the end of the former owner's claim.
func TestSuccessorOrdersMachines(t *testing.T) {
	// Both in milliseconds: how long after the takeover the former owner may still order, and the configured gap.
	const claimEnd, gap = 1_200, 3_500
	t.Run("nothing is known", func(t *testing.T) {
		is := is.New(t)
		at := firstMoves()
		is.True(at["m1"] >= 1000+claimEnd+gap && at["m2"] >= 1000+claimEnd+gap)
	})
	t.Run("one was ordered lately", func(t *testing.T) {
		is := is.New(t)
		at := firstMoves(batch.OrdersMsg{Orders: batch.Orders{AgeMs: map[string]int64{"m1": 500}, SpanMs: 60_000}})
		is.True(at["m1"] >= 1100-500+gap)
		is.True(at["m2"] > 0 && at["m2"] < 2_500) // it only has to be idle for long enough.
	})
	t.Run("the former owner had just begun", func(t *testing.T) {
		is := is.New(t)
		at := firstMoves(batch.OrdersMsg{Orders: batch.Orders{SpanMs: 100}})
		is.True(at["m1"] >= 1000+gap && at["m2"] >= 1000+gap)
	})
}

// An owner orders no machine while the former owner may still hold the claim, nor while its own claim is not certain, also if the
// machine's worker shows that it was not ordered lately.
func TestOrdersNeedClaim(t *testing.T) {
	const claimEnd, longAgo = 1_200, 900_000
	t.Run("after the former claim", func(t *testing.T) {
		is := is.New(t)
		at := moveLoad{born: longAgo}.firstMoves()
		is.True(at["m1"] >= 1000+claimEnd && at["m2"] >= 1000+claimEnd)
	})
	t.Run("uncertain", func(t *testing.T) {
		is.New(t).Equal(len(moveLoad{born: longAgo, stale: true}.firstMoves()), 0)
	})
}

// An order that repeats a finished upkeep does not end the worker, so that the worker's age does not show it.
func TestRepeatedOrderLeavesOldWorker(t *testing.T) {
	const claimEnd, gap, longAgo, former = 1_200, 3_500, 900_000, 7
	first := func(l batch.LoadedMsg, g ...batch.Msg) int64 {
		return moveLoad{loaded: l, messages: g, born: longAgo}.firstMoves()["m1"]
	}
	t.Run("the former owner names the machine", func(t *testing.T) {
		o := batch.Orders{AgeMs: map[string]int64{"m1": 500}, SpanMs: 60_000}
		is.New(t).True(first(batch.LoadedMsg{}, batch.OrdersMsg{Orders: o}) >= 1100-500+gap)
	})
	t.Run("its incomplete record names the machine", func(t *testing.T) {
		o := batch.StoredOrders{Fence: former, Machines: []string{"m1"}}
		is.New(t).True(first(batch.LoadedMsg{FormerFence: former, Orders: o}) >= 1000+claimEnd+gap)
	})
	t.Run("the upkeep of the machine has begun", func(t *testing.T) {
		l := []batch.StoredWave{{Number: 1, Begun: []string{"m1"}}}
		is.New(t).True(first(batch.LoadedMsg{Waves: l}) >= 1000+claimEnd+gap)
	})
	t.Run("nothing is known", func(t *testing.T) {
		is := is.New(t)
		at := first(batch.LoadedMsg{})
		is.True(at > 0 && at < 1000+gap)
	})
}

// drive lets time pass from 1000 ms to until. The owner holds its claim, and perform carries out its commands.
func drive(m *batch.Model, until int64, perform func(now int64, c batch.Cmd)) {
	for now := int64(1000); now < until; now += 10 {
		m.Update(now, batch.ClaimMsg{Fresh: true, RenewedAt: now})
		for _, c := range m.Commands(now) {
			perform(now, c)
		}
	}
}

// parkedMachine returns a model with a job for the pool s, which has no machine, and one machine in a parked pool.
func parkedMachine(l batch.LoadedMsg) (*batch.Model, batch.Machine) {
	m := batch.New(batch.Config{Fence: 9, Now: 1000, UnixMs: 1_000_000, LeaseMs: 6000})
	m.Update(1000, batch.ServicesMsg{Services: []batch.Service{{Name: "s"}, {Name: "parked", Standby: true}}})
	m.Update(1000, l)
	submitPatient(m)
	return m, batch.Machine{Name: "m1", Pool: "parked", State: batch.MachineUp, Room: batch.Size{CPU: 8000, MemMB: 8000}}
}

// submitPatient submits a job that is not refused for want of room.
func submitPatient(m *batch.Model) {
	j := plainJob(1)
	j.ObjectiveExtraMs = 60_000
	m.Update(1000, batch.SubmitMsg{Ref: 1, Job: j})
}

// movesBeforeList orders a parked machine, with the given answer to each order, while only the first request for the list of machines is
// answered. It returns the number of orders.
func movesBeforeList(is *is.I, r batch.OrderResult) int {
	is.Helper()
	m, parked := parkedMachine(batch.LoadedMsg{})
	lists, moves := 0, 0
	drive(m, 9_000, func(now int64, c batch.Cmd) {
		switch k := c.(type) {
		case batch.CommitCmd:
			m.Update(now, batch.CommittedMsg{ID: k.ID, Rev: now})
		case batch.ListMachinesCmd:
			lists++
			m.Update(now, batch.MachinesMsg{Sent: now, Failed: lists > 1, List: []batch.Machine{parked}})
		case batch.MoveCmd:
			moves++
			m.Update(now, batch.OrderDoneMsg{Machine: k.Machine, Result: r})
		}
	})
	is.True(lists > 1)
	return moves
}

// A parked machine that may have moved, or that was not up, is not ordered again before it has been listed.
func TestMoveWaitsForListAfterUnsureOrder(t *testing.T) {
	t.Run("no answer", func(t *testing.T) {
		is := is.New(t)
		is.Equal(movesBeforeList(is, batch.OrderUnsure), 1)
	})
	t.Run("busy", func(t *testing.T) {
		is := is.New(t)
		is.Equal(movesBeforeList(is, batch.OrderBusy), 1)
	})
	t.Run("refused for the rate", func(t *testing.T) {
		is := is.New(t)
		is.True(movesBeforeList(is, batch.OrderThrottled) > 1)
	})
}

// A move without an answer is not repeated while the machine's new worker runs a task.
func TestMoveSparesReplacedWorker(t *testing.T) {
	is := is.New(t)
	room := batch.Size{CPU: 8000, MemMB: 8000}
	m := batch.New(batch.Config{Fence: 9, Now: 1000, UnixMs: 1_000_000, LeaseMs: 6000})
	m.Update(1000, batch.ServicesMsg{Services: []batch.Service{{Name: "s"}, {Name: "o"}}})
	entry := batch.WorkerEntry{ID: "w1", Service: "o", Addr: "1", Room: room, ClockMs: 5, Born: 500}
	m.Update(1000, batch.WorkersMsg{All: true, Set: []batch.WorkerEntry{entry}})
	m.Update(1000, batch.LoadedMsg{})
	submitPatient(m)
	moves, running := 0, []batch.ActiveRun(nil)
	drive(m, 9_000, func(now int64, c batch.Cmd) {
		switch k := c.(type) {
		case batch.CommitCmd:
			m.Update(now, batch.CommittedMsg{ID: k.ID, Rev: now})
		case batch.StartCmd:
			running = append(running, batch.ActiveRun{Task: k.Task, Run: k.Run, Percent: 100})
			m.Update(now, batch.StartedMsg{Worker: k.Worker, Task: k.Task, Run: k.Run, ClockMs: now})
		case batch.PollCmd:
			m.Update(now, batch.PolledMsg{Worker: k.Worker, Sent: now, ClockMs: now, Born: 500, Running: running})
		case batch.ListMachinesCmd:
			l := batch.Machine{Name: "m1", Pool: "o", State: batch.MachineUp, Room: room, Worker: entry.ID}
			m.Update(now, batch.MachinesMsg{Sent: now, List: []batch.Machine{l}})
		case batch.MoveCmd:
			moves++
			m.Update(now, batch.OrderDoneMsg{Machine: k.Machine, Result: batch.OrderUnsure})
			if entry.ID == "w1" {
				entry.ID = "w9"
				m.Update(now, batch.WorkersMsg{Set: []batch.WorkerEntry{entry}, Gone: []string{"w1"}})
				x := lastingStepJob(2, 1, 1)
				x.Service = "o"
				m.Update(now, batch.SubmitMsg{Ref: 2, Job: x})
			}
		}
	})
	is.Equal(len(running), 1)
	is.Equal(moves, 1)
}

// A write of the stored orders that is carried out late must not replace a newer one, which names more machines.
func TestLateWriteKeepsNewerOrders(t *testing.T) {
	is := is.New(t)
	m, parked := parkedMachine(batch.LoadedMsg{Orders: batch.StoredOrders{Rev: 7}})
	var revs []int64 // at which the writes expect the stored orders.
	moves := 0
	drive(m, 4_000, func(now int64, c batch.Cmd) {
		switch k := c.(type) {
		case batch.CommitCmd:
			g := batch.CommittedMsg{ID: k.ID, Rev: 60}
			if i := slices.IndexFunc(k.Rows, func(r batch.Row) bool { return r.Key == batch.OrdersKey }); i >= 0 {
				is.True(k.Rows[i].Guarded)
				revs = append(revs, k.Rows[i].Rev)
				switch len(revs) {
				case 1:
					g.Outcome = batch.Unknown
				case 2: // the first write was carried out meanwhile.
					g.Outcome, g.Current = batch.Conflict, []batch.Row{{Key: batch.OrdersKey, Rev: 50}}
				}
			}
			m.Update(now, g)
		case batch.ListMachinesCmd:
			m.Update(now, batch.MachinesMsg{Sent: now, List: []batch.Machine{parked}})
		case batch.MoveCmd:
			moves++
		}
	})
	is.Equal(revs, []int64{7, 7, 50})
	is.Equal(moves, 1)
}

// Orders includes the former owners' orders that the model knows of. Their ages grow with time, and an order whose age has
// reached the configured gap is left out.
func TestOrdersAge(t *testing.T) {
	is := is.New(t)
	m := batch.New(batch.Config{Fence: 9, Now: 1000, OrderGapMs: 3500})
	m.Update(1100, batch.OrdersMsg{Orders: batch.Orders{AgeMs: map[string]int64{"m1": 500, "m2": 3_400}, SpanMs: 9_000}})
	o := m.Orders(1300)
	is.Equal(o.AgeMs, map[string]int64{"m1": 700})
	is.Equal(o.SpanMs, int64(9_200))
	is.Equal(o.Aged(50).AgeMs["m1"], int64(750))
	is.Equal(o.Aged(50).SpanMs, int64(9_250))
}

// A successor that reads the stored orders of the former term may at once order the machines that they do not name.
func TestSuccessorReadsStoredOrders(t *testing.T) {
	const claimEnd, gap, former = 1_200, 3_500, 7
	stored := func(fence int64, complete bool) batch.LoadedMsg {
		return batch.LoadedMsg{FormerFence: former, Orders: batch.StoredOrders{Fence: fence, Machines: []string{"m1"}, Complete: complete}}
	}
	t.Run("of the former term", func(t *testing.T) {
		is := is.New(t)
		at := firstMovesAfter(stored(former, true))
		is.True(at["m1"] >= 1000+claimEnd+gap)
		is.True(at["m2"] > 0 && at["m2"] < 2_500)
	})
	t.Run("of an earlier term", func(t *testing.T) {
		is := is.New(t)
		at := firstMovesAfter(stored(former-1, true))
		is.True(at["m1"] >= 1000+claimEnd+gap && at["m2"] >= 1000+claimEnd+gap)
	})
	t.Run("that may lack some", func(t *testing.T) {
		is := is.New(t)
		at := firstMovesAfter(stored(former, false))
		is.True(at["m1"] >= 1000+claimEnd+gap && at["m2"] >= 1000+claimEnd+gap)
	})
	t.Run("and then hears from the former owner", func(t *testing.T) {
		is := is.New(t)
		at := firstMovesAfter(stored(former, true), batch.OrdersMsg{Orders: batch.Orders{AgeMs: map[string]int64{"m1": 2_000}, SpanMs: 60_000}})
		is.True(at["m1"] >= 1100-2_000+gap && at["m1"] < 1000+claimEnd+gap)
	})
}

// Orders are sent only once the store has them: without that, a successor would not know of them.
func TestOrdersWaitForStore(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 1, 0, faults{})
	w.fleet.services = []batch.Service{{Name: "s", Guards: true}, {Name: "o", Guards: true}}
	for range 6 {
		w.fleet.add("o", batch.Size{CPU: 8000, MemMB: 16_000})
	}
	w.owners = nil
	w.startOwner()
	w.run(6_000, nil)
	w.storeDown = true
	w.submit(plainJob(1)) // its demand is known at once, and the claim stays fresh for 900 ms.
	w.run(6_800, nil)
	is.Equal(w.fleet.moves, 0)
	w.storeDown = false
	w.run(9_000, nil)
	is.True(w.fleet.moves > 0)
	w.report()
}

// slowStoreMoves moves machines one after another while each write takes writeMs milliseconds, and the store takes none for
// downMs from second 4 on. It returns the number of orders, and of those to machines that the stored record did not name.
func slowStoreMoves(t *testing.T, writeMs, downMs int64) (orders, unnamed int) {
	t.Helper()
	const downFrom = 4_000
	m := batch.New(batch.Config{Fence: 9, Now: 1000, UnixMs: 1_000_000, LeaseMs: 6000, OrderGapMs: 3500, OrdersPerSec: 10})
	room := batch.Size{CPU: 8000, MemMB: 8000}
	m.Update(1000, batch.ServicesMsg{Services: []batch.Service{{Name: "s"}, {Name: "o"}}})
	var set []batch.WorkerEntry
	var list []batch.Machine
	for i := range 8 {
		n := strconv.Itoa(i)
		set = append(set, batch.WorkerEntry{ID: "w" + n, Service: "o", Addr: n, Room: room, ClockMs: 5, Born: 900_000})
		list = append(list, batch.Machine{Name: "m" + n, Pool: "o", State: batch.MachineUp, Room: room, Worker: "w" + n})
	}
	m.Update(1000, batch.WorkersMsg{All: true, Set: set})
	m.Update(1000, batch.LoadedMsg{})
	var named []string
	type write struct {
		at  int64
		cmd batch.CommitCmd
	}
	var writes []write
	for now := int64(1000); now < downFrom+downMs+9_000; now += 10 {
		if n := int((now - 3_800) / 10); n > 0 && n <= 8 {
			j := plainJob(n)
			j.ObjectiveExtraMs = 60_000
			m.Update(now, batch.SubmitMsg{Ref: uint64(n), Job: j})
		}
		m.Update(now, batch.ClaimMsg{Fresh: true, RenewedAt: now})
		for len(writes) > 0 && writes[0].at <= now {
			k := writes[0].cmd
			writes = writes[1:]
			if now >= downFrom && now < downFrom+downMs {
				m.Update(now, batch.CommittedMsg{ID: k.ID, Outcome: batch.Unwritten})
				continue
			}
			for _, r := range k.Rows {
				if r.Key == batch.OrdersKey {
					var s batch.StoredOrders
					is.New(t).NoErr(json.Unmarshal(r.Value, &s))
					named = s.Machines
				}
			}
			m.Update(now, batch.CommittedMsg{ID: k.ID, Rev: now})
		}
		for _, c := range m.Commands(now) {
			switch k := c.(type) {
			case batch.CommitCmd:
				writes = append(writes, write{now + writeMs, k})
			case batch.PollCmd:
				m.Update(now, batch.PolledMsg{Worker: k.Worker, Sent: now, ClockMs: now, Born: 900_000})
			case batch.ListMachinesCmd:
				m.Update(now, batch.MachinesMsg{Sent: now, List: list})
			case batch.MoveCmd:
				orders++
				if !slices.Contains(named, k.Machine) {
					unnamed++
				}
			}
		}
	}
	return orders, unnamed
}

// An order is sent only once the stored record names its machine: not with the record of an earlier order, and also if the store
// took nothing for longer than the gap between two owners' orders.
func TestRecordNamesOrderedMachines(t *testing.T) {
	check := func(name string, writeMs, downMs int64) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			orders, unnamed := slowStoreMoves(t, writeMs, downMs)
			is.True(orders > 2)
			is.Equal(unnamed, 0)
		})
	}
	check("slow writes", 250, 0)
	check("store down", 20, 5_000)
}

// Machines move between two pools whose load peaks alternate, while owners are deposed and answers are lost. The
// simulation checks that two owners never order one machine within the gap.
func TestMovesUnderFaults(t *testing.T) {
	is := is.New(t)
	moves := 0
	seeds := []uint64{
		100, // an order that waited for the store for longer than the gap was missing from the stored ones.
		129, // a write of the stored orders that was carried out late replaced a newer one.
	}
	for s := uint64(1); s <= 2**chaosSeeds; s++ {
		seeds = append(seeds, s)
	}
	for _, s := range seeds {
		w := newSimulation(t, s, 0, faults{depose: 2, lost: 20, storeLost: 20, storeDown: 1})
		w.fleet.services = []batch.Service{{Name: "s", Guards: true}, {Name: "o", Guards: true}, {Name: "parked", Standby: true}}
		for i := range 18 {
			w.fleet.add([]string{"s", "o", "parked"}[i%3], batch.Size{CPU: 8000, MemMB: 16_000})
		}
		w.owners = nil
		w.startOwner()
		n := 0
		w.run(40_000, func() {
			if w.now > 3_000 && w.now%60 == 0 {
				n++
				j := plainJob(n)
				j.Service = []string{"s", "o"}[w.now/6_000%2]
				w.submit(j)
			}
		})
		w.faults, w.storeDown = faults{}, false
		w.run(80_000, func() {
			if len(w.owners) == 0 && w.now%1000 == 0 {
				w.startOwner()
			}
		})
		w.checkSettled()
		w.report()
		moves += w.fleet.moves
	}
	is.True(moves > 0)
}
