package wave

import (
	"flag"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"burdockreach.dev/fleet/pool"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "5s")
	_ = flag.Set("rapid.checks", "60")
}

// checkBudget checks a write of a budget: no planned stop is added beyond MaxOut, and no running stop is released.
func (w *simulation) checkBudget(service string, o, n Budget) {
	maxOut := 0
	for _, s := range w.rules {
		if s.Name == service {
			maxOut = s.MaxOut
		}
	}
	for _, a := range n.Absences() {
		if old, ok := o.Find(a.VM); (!ok || !old.Planned()) && a.Planned() && n.Out() > maxOut {
			w.addViolation("%s: %s reserved with %d of %d out", service, a.VM, n.Out(), maxOut)
		}
	}
	for _, a := range o.Absences() {
		m := w.member(a.VM)
		if _, ok := n.Find(a.VM); !ok && m.Op != "" && serves(m.Pool) {
			w.addViolation("%s: %s released while it is %s", service, a.VM, m.State)
		}
	}
}

// checkShard checks a write of a shard: versions grow, drains are reserved, moved VMs get no requests, and no VM serves during
// its planned reboot.
func (w *simulation) checkShard(dc string, o, n pool.Shard) {
	k := fmt.Sprint(dc, n.Index())
	if n.Version() <= w.highestVersions[k] {
		w.addViolation("shard %s goes from version %d to %d", k, w.highestVersions[k], n.Version())
	}
	w.highestVersions[k] = max(w.highestVersions[k], n.Version())
	for _, v := range w.vms {
		a, was := o.Find(v.name)
		b, is := n.Find(v.name)
		if v.dc != dc || !was || !is {
			continue
		}
		if b.State == pool.Draining && a.State != pool.Draining && serves(b.Pool) {
			w.checkReserved(v.name, "drain")
		}
		if a.Pool != b.Pool {
			w.checkMove(a)
		}
		if b.State == pool.Serving && a.State != pool.Serving && v.plannedReboot {
			w.addViolation("%s serves before its planned reboot ends", v.name)
		}
	}
}

func serves(name string) bool { return name != "office" }

// checkMove checks a change of pool: no entry may still send to the VM in its old pool.
func (w *simulation) checkMove(m pool.Member) {
	for _, e := range w.entries {
		if t, ok := e.view.Find(m.VM); ok && serves(m.Pool) && t.Pool == m.Pool && t.State == pool.Serving {
			w.addViolation("%s moves while %s still sends to it", m.VM, e.name)
		}
		if e.inFlight[m.VM] > 0 {
			w.addViolation("%s moves with %d requests of %s", m.VM, e.inFlight[m.VM], e.name)
		}
	}
}

// checkReserved checks a drain or reboot: the budget of every service of the pool must hold the reservation at this moment.
func (w *simulation) checkReserved(vm, act string) {
	m := w.member(vm)
	for _, s := range w.rules {
		if s.Pool != m.Pool {
			continue
		}
		if a, ok := w.budgets[s.Name].doc.Find(vm); !ok || !a.Planned() || a.StopNumber != m.EndedStops+1 {
			w.addViolation("%s of %s without a reservation by %s", act, vm, s.Name)
		}
	}
}

func (w *simulation) member(vm string) pool.Member {
	m, _ := w.shards[w.vm(vm).dc][pool.Index(vm, simShards)].doc.Find(vm)
	return m
}

// checkPools checks the entries' views: no two entries may see a VM as serving in different pools.
func (w *simulation) checkPools() {
	for _, v := range w.vms {
		in := ""
		for _, e := range w.entries {
			t, ok := e.view.Find(v.name)
			if !ok || t.State != pool.Serving || e.dc != v.dc || !serves(t.Pool) {
				continue
			}
			if in != "" && in != t.Pool {
				w.addViolation("%s serves in %s and %s", v.name, in, t.Pool)
			}
			in = t.Pool
		}
	}
}

// runRound delivers all documents and statuses to the leader and performs its commands without loss.
func (w *simulation) runRound(l *simLeader, old uint32) {
	w.deliverDocuments(l)
	w.deliverStatus(l, old)
	for range 40 {
		w.perform(l, 0, 0)
	}
}

// doAction runs the action that u encodes.
func (w *simulation) doAction(u uint32) {
	a, n := u%16, u/16
	l, e, v := w.leaders[n%4], w.entries[n%4], w.vms[n%14]
	n /= 16
	switch a {
	case 0, 1, 2, 3:
		w.runRound(l, n)
		w.advanceClock(int64(n%3) * 500)
	case 4, 5:
		w.perform(l, int(n), n/8)
	case 6:
		w.performLate(l, int(n))
	case 7:
		w.deliverStatus(l, n)
	case 8, 9:
		w.refreshView(e)
	case 10:
		w.sendRequest(e, n)
	case 11, 12:
		clear(e.inFlight)
		w.boot(v)
	case 13:
		w.advanceClock(int64(n%8) * 1000)
	case 14:
		w.injectFault(l, v, n)
	case 15:
		to := []string{"orders", "office", "grants"}[n%3]
		w.deliver(l, MoveMsg{At: w.now, Moves: []Move{{VM: v.name, From: w.member(v.name).Pool, To: to}}})
	}
}

// injectFault crashes the VM, restarts the leader, makes the VM gone on the platform, or changes whether another data
// centre can be reached.
func (w *simulation) injectFault(l *simLeader, v *simVM, n uint32) {
	switch n % 4 {
	case 0:
		w.crash(v)
	case 1:
		w.restart(l)
	case 2:
		w.crash(v)
		v.gone = true
	case 3:
		w.deliver(l, UnreachableMsg{At: w.now, DataCentres: []string{"c"}[:n/4%2]})
	}
}

// runHealthy ends all failures and runs one leader in each data centre for the given number of seconds, or until the wave is
// done.
func (w *simulation) runHealthy(seconds int) {
	for i := range seconds {
		if i%25 == 24 && len(w.unfinished()) == 0 {
			return
		}
		w.advanceClock(1000)
		for _, e := range w.entries {
			w.refreshView(e)
			clear(e.inFlight)
		}
		for _, v := range w.vms {
			if i%10 == 9 {
				w.boot(v)
			}
		}
		for _, l := range []*simLeader{w.leaders[0], w.leaders[2]} {
			w.deliver(l, UnreachableMsg{At: w.now})
			w.runRound(l, 0)
		}
	}
}

// unfinished describes each VM and budget that keeps the wave from being done or the fleet from being healthy.
func (w *simulation) unfinished() []string {
	var l []string
	for _, v := range w.vms {
		if m := w.member(v.name); m.State != pool.Serving || m.FinishedWave != w.wave.ID || m.Op != "" || !v.alive || v.drained || v.pool != m.Pool {
			l = append(l, fmt.Sprintf("%s is left as %+v, platform %s, drained %v", v.name, m, v.pool, v.drained))
		}
	}
	for _, s := range w.rules {
		if b := w.budgets[s.Name].doc; b.Out() != 0 {
			l = append(l, fmt.Sprintf("%s is left with %+v", s.Name, b.Absences()))
		}
	}
	return l
}

// TestRandomTraces runs random actions, with lost and late writes, racing leaders and failures. It checks each write and call,
// and that the wave finishes once the failures end.
func TestRandomTraces(t *testing.T) {
	reboots, runs := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(WithFailureLimit(100))
		for _, u := range rapid.SliceOfN(rapid.Uint32(), 100, 500).Draw(t, "trace") {
			w.doAction(u)
			w.checkPools()
			if len(w.violations) > 0 {
				t.Fatal(w.violations)
			}
		}
		reboots, runs = reboots+w.reboots, runs+1
		w.runHealthy(1500)
		w.violations = append(w.violations, w.unfinished()...)
		if len(w.violations) > 0 {
			t.Fatal(w.violations)
		}
	})
	is.New(t).True(reboots > runs) // the traces are long enough to reboot VMs.
	t.Log("planned reboots during the faulty parts:", reboots)
}
