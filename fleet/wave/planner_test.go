package wave

import (
	"testing"

	"github.com/matryer/is"

	"burdockreach.dev/fleet/pool"
)

// run runs one leader in each data centre for the given seconds; boots says whether rebooted VMs come back.
func (w *simulation) run(seconds int, boots bool) {
	for range seconds {
		w.advanceClock(1000)
		for _, e := range w.entries {
			w.refreshView(e)
		}
		for _, v := range w.vms {
			if boots && v.plannedReboot {
				w.boot(v)
			}
		}
		for _, l := range []*simLeader{w.leaders[0], w.leaders[2]} {
			w.runRound(l, 0)
		}
	}
}

// newJoinedSimulation returns a simulation whose VMs have joined the membership and whose wave is paused.
func newJoinedSimulation(opts ...Option) *simulation {
	w := newSimulation(opts...)
	w.setWavePaused(true)
	w.run(5, true)
	for _, v := range w.vms {
		w.stopsBefore[v.name] = w.member(v.name).EndedStops
	}
	return w
}

// setWavePaused pauses or resumes the wave and delivers the policy to every leader.
func (w *simulation) setWavePaused(paused bool) {
	w.wave.Paused = paused
	for _, l := range w.leaders {
		w.deliver(l, PolicyMsg{At: w.now, Services: w.rules, Waves: []Wave{w.wave}})
	}
}

// checkStops checks whether any planned stop of a serving pool has started, those included that have ended.
func (w *simulation) checkStops(t *testing.T, want bool) {
	t.Helper()
	got := 0
	for _, v := range w.vms {
		if m := w.member(v.name); m.Pool != "office" && (m.Op != "" || m.FinishedWave != "" || m.EndedStops > w.stopsBefore[v.name]) {
			got++
		}
	}
	is.New(t).Equal(got > 0, want) // whether planned stops have started.
	is.New(t).Equal(w.violations, nil)
}

// TestGates checks that no planned stop starts while the wave is paused, an entry or data centre cannot be reached, or the
// documents or the host list are too old.
func TestGates(t *testing.T) {
	t.Run("open", func(t *testing.T) {
		w := newJoinedSimulation()
		w.setWavePaused(false)
		w.run(10, true)
		w.checkStops(t, true)
	})
	t.Run("paused wave", func(t *testing.T) {
		w := newJoinedSimulation()
		w.run(10, true)
		w.checkStops(t, false)
	})
	t.Run("data centre unreachable", func(t *testing.T) {
		w := newJoinedSimulation()
		for _, l := range w.leaders {
			w.deliver(l, UnreachableMsg{At: w.now, DataCentres: []string{"c"}})
		}
		w.setWavePaused(false)
		w.run(10, true)
		w.checkStops(t, false)
	})
	t.Run("entry without a report", func(t *testing.T) {
		w := newJoinedSimulation()
		w.entries[0].name, w.entries[2].name = "a-new", "b-new" // the host list still shows the old names.
		w.setWavePaused(false)
		for range 20 {
			w.advanceClock(1000)
			for _, l := range w.leaders {
				l.planner.handleHosts(HostsMsg{At: w.now, Hosts: w.lists[l.dc][0]})
				w.deliver(l, DocumentsFreshMsg{At: w.now})
				w.deliver(l, TickMsg{At: w.now})
			}
			w.performAll()
		}
		w.checkStops(t, false)
	})
	t.Run("documents too old", func(t *testing.T) {
		w := newJoinedSimulation()
		w.advanceClock(DefaultMaxAge + 1)
		w.checkNoWrites(t, func(l *simLeader) { w.deliverStatus(l, 0) })
	})
	t.Run("host list too old", func(t *testing.T) {
		w := newJoinedSimulation()
		w.advanceClock(DefaultMaxAge + 1)
		w.checkNoWrites(t, func(l *simLeader) {
			w.deliverDocuments(l)
			for _, e := range w.entries {
				w.deliver(l, e.report(w.now))
			}
			w.deliver(l, TickMsg{At: w.now})
		})
	})
}

// performAll runs the pending commands of all leaders, up to 40 each.
func (w *simulation) performAll() {
	for _, l := range w.leaders {
		for range 40 {
			w.perform(l, 0, 0)
		}
	}
}

// checkNoWrites resumes the wave, delivers only what refresh does, and checks that the first leader writes nothing. Then it
// delivers everything and checks that planned stops start.
func (w *simulation) checkNoWrites(t *testing.T, refresh func(*simLeader)) {
	t.Helper()
	w.wave.Paused = false
	for _, l := range w.leaders[:1] {
		w.deliver(l, PolicyMsg{At: w.now, Services: w.rules, Waves: []Wave{w.wave}})
		refresh(l)
		for _, c := range l.pending {
			_, shard := c.(WriteShardCmd)
			_, budget := c.(WriteBudgetCmd)
			is.New(t).True(!shard && !budget)
		}
		l.pending = nil
	}
	w.run(10, true)
	w.checkStops(t, true)
}

func TestStopsEnd(t *testing.T) {
	t.Run("a request in flight cancels the drain", func(t *testing.T) {
		w := newJoinedSimulation()
		before := map[string]int64{}
		for _, v := range w.vms {
			before[v.name] = w.member(v.name).EndedStops
			for _, e := range w.entries {
				if serves(v.pool) {
					e.inFlight[v.name] = 1
				}
			}
		}
		w.setWavePaused(false)
		w.run(400, true)
		is.New(t).Equal(w.violations, nil)
		for _, v := range w.vms {
			is.New(t).True(serves(v.pool) == (w.member(v.name).FinishedWave == "")) // only VMs of the idle pool were rebooted.
		}
		tries := 0
		for _, v := range w.vms {
			n := int(w.member(v.name).EndedStops - before[v.name])
			tries += n
			is.New(t).True(n <= 6) // each timed-out drain doubles the backoff.
		}
		is.New(t).True(tries >= 6)
	})
	t.Run("an entry missing from the host list delays a drain", func(t *testing.T) {
		w := newJoinedSimulation()
		w.setWavePaused(false)
		for range 5 { // the time stands still: the host list lacks the new entry, which has not reported yet.
			for _, o := range w.entries {
				w.refreshView(o)
			}
			w.runRound(w.leaders[0], 0)
		}
		e := &simEntry{name: "a-late", dc: "a", view: pool.NewView(simShards), inFlight: map[string]int{}}
		for _, v := range w.vms {
			if serves(v.pool) {
				is.New(t).True(w.member(v.name).State != pool.Rebooting)
				e.inFlight[v.name] = 1
			}
		}
		w.entries = append(w.entries, e)
		w.run(5, true)
		w.checkStops(t, true)
	})
	t.Run("reboots that never come back stop the wave", func(t *testing.T) {
		w := newJoinedSimulation(WithFailureLimit(1))
		w.setWavePaused(false)
		w.run(60, false)
		lost := w.reboots
		for i := range w.rules {
			w.rules[i].MaxOut = len(w.vms)
		}
		w.setWavePaused(false)
		w.run(60, false)
		is.New(t).Equal(w.reboots, lost)
		for _, v := range w.vms {
			w.boot(v)
		}
		w.run(60, true)
		is.New(t).Equal(w.unfinished(), nil) // the wave continues once all VMs are back.
	})
	t.Run("a canary limits the VMs lost to a bad wave", func(t *testing.T) {
		w := newJoinedSimulation(WithCanaryVMs(1))
		for i := range w.rules {
			w.rules[i].MaxOut = len(w.vms)
		}
		w.setWavePaused(false)
		w.run(60, false)
		for _, dc := range []string{"a", "b"} {
			n := 0
			for _, v := range w.vms {
				if m := w.member(v.name); v.dc == dc && m.Pool == "orders" && m.State != pool.Serving {
					n++
				}
			}
			is.New(t).Equal(n, 1)
		}
	})
	t.Run("failures that exceed the budget cancel drains", func(t *testing.T) {
		w := newJoinedSimulation()
		for _, e := range w.entries {
			e.inFlight["a0"], e.inFlight["a1"], e.inFlight["b0"], e.inFlight["b1"] = 1, 1, 1, 1
			e.inFlight["a2"], e.inFlight["a3"], e.inFlight["b2"], e.inFlight["b3"] = 1, 1, 1, 1
		}
		w.setWavePaused(false)
		w.run(3, true)
		w.checkStops(t, true)
		n := 0
		for _, v := range w.vms {
			if m := w.member(v.name); m.Pool == "orders" && m.State == pool.Serving && n < simMaxOut {
				w.crash(v)
				n++
			}
		}
		w.run(3, true)
		for _, v := range w.vms {
			if m := w.member(v.name); m.Pool == "orders" {
				is.New(t).True(m.State != pool.Draining)
			}
		}
	})
}

// A VM whose drain is cancelled stays drained at the platform until its undrain has been carried out. Until then it counts
// as out, so that no other VM of the pool is drained beyond the budget.
func TestCancelledDrainCounts(t *testing.T) {
	w := newJoinedSimulation()
	for i := range w.rules {
		w.rules[i].MaxOut = 1
	}
	for _, v := range w.vms {
		for _, e := range w.entries {
			if serves(v.pool) {
				e.inFlight[v.name] = 1 // no drain ends before it times out.
			}
		}
	}
	w.setWavePaused(false)
	w.undrainsLost = true
	cancelled, most := false, 0
	for range 60 {
		w.run(1, true)
		out := 0
		for _, v := range w.vms {
			if m := w.member(v.name); v.pool == "orders" && v.drained {
				out++
				cancelled = cancelled || m.State == pool.Serving
			}
		}
		most = max(most, out)
	}
	is.New(t).True(cancelled)
	is.New(t).Equal(most, 1)
	is.New(t).Equal(w.violations, nil)
}

// The absence of a VM that fails while it serves begins when the failure is found.
func TestFailureBeginsWhenFound(t *testing.T) {
	w := newJoinedSimulation()
	w.run(10, true)
	v, crashed := w.vms[0], w.now
	w.crash(v)
	w.run(20, true)
	a, ok := w.budgets["orders"].doc.Find(v.name)
	is.New(t).True(ok)
	is.New(t).True(a.Since >= crashed)
}

func TestDocumentsAreReadAgain(t *testing.T) {
	w := newJoinedSimulation()
	w.advanceClock(DefaultMaxAge/2 + 1)
	l := w.leaders[0]
	w.deliver(l, TickMsg{At: w.now})
	is.New(t).Equal(len(l.pending), simShards+len(w.rules)) // no message has confirmed them as the newest.
	w.performAll()
	w.deliver(l, TickMsg{At: w.now})
	is.New(t).Equal(len(l.pending), 0)
}

func TestMoves(t *testing.T) {
	ask := func(w *simulation) {
		w.deliver(w.leaders[0], MoveMsg{At: w.now, Moves: []Move{{VM: "a0", From: "orders", To: "grants"}, {VM: "a6", From: "office", To: "orders"}}})
	}
	t.Run("drained, then moved", func(t *testing.T) {
		w := newJoinedSimulation()
		w.entries[0].inFlight["a0"] = 1
		ask(w)
		w.run(4, true)
		is.New(t).Equal(w.member("a0").State, pool.Draining) // a request is in flight.
		is.New(t).Equal(w.member("a6").Pool, "orders")       // the idle pool gets no requests, so the move needs no drain.
		clear(w.entries[0].inFlight)
		w.run(4, true)
		is.New(t).Equal(w.member("a0").Pool, "grants")
		is.New(t).Equal(w.vm("a0").pool, "grants") // the platform has moved it too.
		is.New(t).Equal(w.budgets["orders"].doc.Out(), 0)
		is.New(t).Equal(w.violations, nil)
	})
	t.Run("no room in the budget of the old pool", func(t *testing.T) {
		w := newJoinedSimulation()
		w.crash(w.vm("a1"))
		w.crash(w.vm("a2"))
		w.run(2, true)
		ask(w)
		w.run(4, true)
		is.New(t).Equal(w.member("a0").Pool, "orders")
		is.New(t).Equal(w.member("a6").Pool, "orders")
	})
}

// TestRejoin guards against a VM that leaves the membership and joins again with a stop number used before.
func TestRejoin(t *testing.T) {
	w := newJoinedSimulation()
	v := w.vms[0]
	w.setWavePaused(false)
	w.run(60, true)
	before := w.member(v.name)
	w.crash(v)
	v.gone = true
	w.run(retentionMillis/1000+10, true)
	is.New(t).Equal(w.member(v.name), pool.Member{}) // removed from the membership and not out any more.
	is.New(t).Equal(w.budgets["orders"].doc.Out(), 0)
	w.boot(v)
	w.run(2, true)
	is.New(t).True(w.member(v.name).EndedStops > before.EndedStops) // stop numbers are never used twice.
}

// TestOlderStore guards against a store that comes back with an older shard: versions must not repeat, and the wave must finish.
func TestOlderStore(t *testing.T) {
	// runRestored puts an older version of one shard into the store during a wave, with the revision that the callback returns.
	runRestored := func(t *testing.T, revision func(w *simulation, old int64) int64) {
		w := newJoinedSimulation()
		old := w.shards["a"][0]
		w.setWavePaused(false)
		w.run(40, true)
		version := w.shards["a"][0].doc.Version()
		is.New(t).True(version > old.doc.Version())
		w.shards["a"][0] = storedDoc[pool.Shard]{doc: old.doc, revision: revision(w, old.revision)}
		w.leaders[0].planner.shards[0].mustRead = true // as after a write that conflicted with the older revision.
		w.run(1, true)
		is.New(t).True(w.shards["a"][0].doc.Version() > version) // entries never see a version twice.
		w.run(60, true)
		for _, v := range w.vms {
			is.New(t).Equal(w.member(v.name).FinishedWave, "w1")
		}
		is.New(t).Equal(w.violations, nil)
	}
	t.Run("with its old revision", func(t *testing.T) {
		runRestored(t, func(_ *simulation, old int64) int64 { return old })
	})
	t.Run("with its old revision and new leaders", func(t *testing.T) {
		runRestored(t, func(w *simulation, old int64) int64 {
			for _, l := range w.leaders {
				w.restart(l)
			}
			return old
		})
	})
	t.Run("with a newer revision of another writer", func(t *testing.T) {
		runRestored(t, func(w *simulation, _ int64) int64 {
			w.revision++
			return w.revision
		})
	})
}

func TestRackOrder(t *testing.T) {
	racks := []*rack{{name: "hit", out: 1, left: 3}, {name: "begun", done: 1, left: 2}, {name: "small", left: 1}, {name: "big", left: 4}}
	for i := range len(racks) - 1 {
		is.New(t).True(compareStops(queuedStop{vm: "b", rack: racks[i]}, queuedStop{vm: "a", rack: racks[i+1]}) < 0) // racks[i] goes first.
	}
}
