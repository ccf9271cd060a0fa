package wave

import (
	"fmt"
	"slices"

	"burdockreach.dev/fleet/pool"
)

const (
	simShards = 2
	simMaxOut = 2
)

// storedDoc is a document in the store with its revision.
type storedDoc[T any] struct {
	doc      T
	revision int64
}

// simVM is the actual state of one VM, as opposed to what documents and host lists show.
type simVM struct {
	name, dc, rack, pool string
	alive, drained, gone bool
	boot                 int64
	seenOps              map[string]bool
	plannedReboot        bool // down by a planned reboot.
}

// simEntry is an entry with its view of the membership and its requests in flight by VM.
type simEntry struct {
	name, dc string
	view     pool.View
	inFlight map[string]int
}

// simLeader is a leader with its planner, the commands not performed yet, and late ones: commands of a former process and
// writes reported as unknown, which may still take effect.
type simLeader struct {
	dc       string
	planner  *Planner
	pending  []Cmd
	lateCmds []Cmd
}

// simulation runs several leaders in each data centre against one store and one platform, and checks each write and call.
type simulation struct {
	now             int64
	revision        int64
	shards          map[string][]storedDoc[pool.Shard]
	budgets         map[string]storedDoc[Budget]
	vms             []*simVM
	lists           map[string][][]Host // by data centre: the host lists that the platform may still show, newest last.
	entries         []*simEntry
	leaders         []*simLeader
	wave            Wave
	opts            []Option
	rules           []ServicePolicy
	reboots         int
	undrainsLost    bool
	stopsBefore     map[string]int64 // by VM: planned stops that had ended when the wave began.
	highestVersions map[string]int64 // highest version that each shard had.
	violations      []string
}

// simPools holds the pool of each VM of a data centre; office is an idle pool.
var simPools = []string{"orders", "orders", "orders", "orders", "grants", "grants", "office"}

var simServices = []ServicePolicy{
	{Name: "orders", Pool: "orders", MaxOut: simMaxOut, DrainMillis: 8000, RebootMillis: 20_000},
	{Name: "quotes", Pool: "orders", MaxOut: simMaxOut + 1, DrainMillis: 8000, RebootMillis: 20_000},
	{Name: "grants", Pool: "grants", MaxOut: 1, DrainMillis: 8000, RebootMillis: 20_000},
}

func newSimulation(opts ...Option) *simulation {
	w := &simulation{
		now: 1_000_000, shards: map[string][]storedDoc[pool.Shard]{}, budgets: map[string]storedDoc[Budget]{},
		lists: map[string][][]Host{}, stopsBefore: map[string]int64{}, opts: opts, rules: slices.Clone(simServices), highestVersions: map[string]int64{},
		wave: Wave{ID: "w1", Pools: []string{"orders", "grants", "office"}},
	}
	for _, dc := range []string{"a", "b"} {
		for i := range simShards {
			w.shards[dc] = append(w.shards[dc], storedDoc[pool.Shard]{doc: pool.NewShard(i, simShards)})
		}
		for i, p := range simPools {
			w.vms = append(w.vms, &simVM{
				name: fmt.Sprintf("%s%d", dc, i), dc: dc, rack: fmt.Sprintf("%s-r%d", dc, i%3),
				pool: p, alive: true, boot: 1, seenOps: map[string]bool{},
			})
		}
		for i := range 2 {
			w.entries = append(w.entries, &simEntry{name: fmt.Sprintf("%s-e%d", dc, i), dc: dc, view: pool.NewView(simShards), inFlight: map[string]int{}})
			w.leaders = append(w.leaders, &simLeader{dc: dc})
		}
	}
	for _, l := range w.leaders {
		w.restart(l)
	}
	w.advanceClock(0)
	return w
}

func (w *simulation) addViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

func (w *simulation) restart(l *simLeader) {
	l.lateCmds = append(l.lateCmds, l.pending...) // calls of the old process may still arrive.
	l.planner, l.pending = New(l.dc, simShards, w.opts...), nil
	w.deliver(l, PolicyMsg{At: w.now, Services: w.rules, Waves: []Wave{w.wave}})
}

func (w *simulation) deliver(l *simLeader, m Msg) {
	l.pending = append(l.pending, l.planner.Update(m)...)
}

// advanceClock advances the time and records the current host lists; those within the list lag are kept, since the platform
// may still show them.
func (w *simulation) advanceClock(millis int64) {
	w.now += millis
	for _, dc := range []string{"a", "b"} {
		var l []Host
		for _, v := range w.vms {
			if v.dc == dc {
				l = append(l, Host{Name: v.name, Pool: v.pool, Rack: v.rack, State: v.state(), Boot: v.boot})
			}
		}
		for _, e := range w.entries {
			if e.dc == dc {
				l = append(l, Host{Name: e.name, RunsEntry: true})
			}
		}
		if millis >= DefaultListLag {
			w.lists[dc] = nil
		}
		w.lists[dc] = append(w.lists[dc], l)
	}
}

func (v *simVM) state() HostState {
	switch {
	case v.gone:
		return Gone
	case v.drained || !v.alive:
		return Leaving
	default:
		return Live
	}
}

// deliverStatus delivers a host list, the entries' reports and the VMs' failures and recoveries to the leader, then a tick.
// old selects the host list.
func (w *simulation) deliverStatus(l *simLeader, old uint32) {
	lists := w.lists[l.dc]
	w.deliver(l, HostsMsg{At: w.now, Hosts: lists[int(old)%len(lists)]})
	for _, e := range w.entries {
		if e.dc == l.dc {
			w.deliver(l, e.report(w.now))
		}
	}
	for _, v := range w.vms {
		if v.dc == l.dc && !v.alive {
			w.deliver(l, FailedMsg{At: w.now, VM: v.name})
		} else if v.dc == l.dc {
			w.deliver(l, RecoveredMsg{At: w.now, VM: v.name})
		}
	}
	w.deliver(l, TickMsg{At: w.now})
}

// report returns the entry's report: the draining VMs that it has nothing in flight to.
func (e *simEntry) report(at int64) EntryReportMsg {
	m := EntryReportMsg{At: at, Entry: e.name, Versions: e.view.Versions()}
	for _, p := range []string{"orders", "grants", "office"} {
		for _, t := range e.view.InPool(p) {
			if t.State == pool.Draining && e.inFlight[t.VM] == 0 {
				m.Drained = append(m.Drained, Drained{VM: t.VM, Version: e.view.Version(t.VM)})
			}
		}
	}
	return m
}

// deliverDocuments delivers the current version of every document to the leader.
func (w *simulation) deliverDocuments(l *simLeader) {
	for i, c := range w.shards[l.dc] {
		w.deliver(l, ShardMsg{At: w.now, Shard: w.shards[l.dc][i].doc, Revision: c.revision})
	}
	for _, s := range simServices {
		c := w.budgets[s.Name]
		w.deliver(l, BudgetMsg{At: w.now, Service: s.Name, Budget: c.doc, Revision: c.revision})
	}
}

// refreshView updates the entry's view from the store.
func (w *simulation) refreshView(e *simEntry) {
	t := pool.NewTable(simShards)
	for i, c := range w.shards[e.dc] {
		t = t.Replace(i, c.doc, c.revision)
	}
	v, err := e.view.Apply(pool.FullDelta(t))
	if err != nil {
		w.addViolation("entry %s: %v", e.name, err)
	}
	e.view = v
}

// sendRequest starts a request to one of the VMs that the entry's view shows as serving.
func (w *simulation) sendRequest(e *simEntry, n uint32) {
	var l []string
	for _, t := range append(e.view.InPool("orders"), e.view.InPool("grants")...) {
		if t.State == pool.Serving {
			l = append(l, t.VM)
		}
	}
	if len(l) == 0 {
		return
	}
	v := w.vm(l[int(n)%len(l)])
	if v.plannedReboot {
		w.addViolation("%s sent to %s during its planned reboot", e.name, v.name)
	}
	if v.alive {
		e.inFlight[v.name]++
	}
}

func (w *simulation) vm(name string) *simVM {
	i := slices.IndexFunc(w.vms, func(v *simVM) bool { return v.name == name })
	return w.vms[i]
}

// perform runs pending command i. For writes, lose%4 selects the outcome: 0 reported, 1 applied but unknown, 2 never applied,
// 3 unknown and applied later. For other calls, the result is delivered only for 0.
func (w *simulation) perform(l *simLeader, i int, lose uint32) {
	if len(l.pending) == 0 {
		return
	}
	i %= len(l.pending)
	c := l.pending[i]
	l.pending = slices.Delete(l.pending, i, i+1)
	switch c := c.(type) {
	case WriteShardCmd:
		o, rev := w.performWrite(l, c, lose)
		w.deliver(l, ShardWrittenMsg{At: w.now, Index: c.Shard.Index(), Outcome: o, Revision: rev})
	case WriteBudgetCmd:
		o, rev := w.performWrite(l, c, lose)
		w.deliver(l, BudgetWrittenMsg{At: w.now, Service: c.Service, Outcome: o, Revision: rev})
	case ReadShardCmd:
		d := w.shards[l.dc][c.Index]
		w.deliver(l, ShardMsg{At: w.now, Shard: d.doc, Revision: d.revision})
	case ReadBudgetCmd:
		d := w.budgets[c.Service]
		w.deliver(l, BudgetMsg{At: w.now, Service: c.Service, Budget: d.doc, Revision: d.revision})
	default:
		w.applyCall(c)
		if lose%4 == 0 {
			w.acknowledge(l, c)
		}
	}
}

// performWrite runs a write with the outcome that lose selects.
func (w *simulation) performWrite(l *simLeader, c Cmd, lose uint32) (Outcome, int64) {
	switch lose % 4 {
	case 1:
		w.commitWrite(l.dc, c)
	case 2:
	case 3:
		l.lateCmds = append(l.lateCmds, c)
	default:
		return w.commitWrite(l.dc, c)
	}
	return Unknown, 0
}

// performLate runs late command i of the leader; no result is delivered.
func (w *simulation) performLate(l *simLeader, i int) {
	if len(l.lateCmds) == 0 {
		return
	}
	i %= len(l.lateCmds)
	c := l.lateCmds[i]
	l.lateCmds = slices.Delete(l.lateCmds, i, i+1)
	switch c.(type) {
	case WriteShardCmd, WriteBudgetCmd:
		w.commitWrite(l.dc, c)
	default:
		w.applyCall(c)
	}
}

// commitWrite applies a conditional write and checks the change.
func (w *simulation) commitWrite(dc string, c Cmd) (Outcome, int64) {
	switch c := c.(type) {
	case WriteShardCmd:
		d := &w.shards[dc][c.Shard.Index()]
		if d.revision != c.Revision {
			return Conflict, 0
		}
		w.checkShard(dc, d.doc, c.Shard)
		w.revision++
		d.doc, d.revision = c.Shard, w.revision
	case WriteBudgetCmd:
		d := w.budgets[c.Service]
		if d.revision != c.Revision {
			return Conflict, 0
		}
		w.checkBudget(c.Service, d.doc, c.Budget)
		w.revision++
		w.budgets[c.Service] = storedDoc[Budget]{doc: c.Budget, revision: w.revision}
	}
	return Applied, w.revision
}

// applyCall applies a call to the platform.
func (w *simulation) applyCall(c Cmd) {
	switch c := c.(type) {
	case DrainCmd:
		w.vm(c.VM).drained = true
	case UndrainCmd:
		w.vm(c.VM).drained = w.vm(c.VM).drained && w.undrainsLost
	case AssignCmd:
		w.vm(c.VM).pool = c.Pool
	case RebootCmd:
		w.reboot(w.vm(c.VM), c.Op)
	}
}

// acknowledge delivers the platform's result of a call.
func (w *simulation) acknowledge(l *simLeader, c Cmd) {
	switch c := c.(type) {
	case RebootCmd:
		w.deliver(l, RebootedMsg{At: w.now, VM: c.VM, Op: c.Op})
	case AssignCmd:
		w.deliver(l, AssignedMsg{At: w.now, VM: c.VM, Pool: c.Pool})
	}
}

// reboot takes the VM down, once for each op. No request may be in flight and every budget must hold the reservation.
func (w *simulation) reboot(v *simVM, op string) {
	if v.seenOps[op] {
		return
	}
	v.seenOps[op] = true
	w.reboots++
	for _, e := range w.entries {
		if e.inFlight[v.name] > 0 {
			w.addViolation("reboot of %s interrupts %d requests of %s", v.name, e.inFlight[v.name], e.name)
		}
	}
	w.checkReserved(v.name, "reboot")
	v.alive, v.plannedReboot, v.drained = false, true, false
}

// boot starts a VM that is down.
func (w *simulation) boot(v *simVM) {
	if !v.alive {
		v.alive, v.plannedReboot, v.gone = true, false, false
		v.boot++
	}
}

// crash takes the VM down without a plan; its requests in flight fail.
func (w *simulation) crash(v *simVM) {
	if !v.alive {
		return
	}
	v.alive = false
	for _, e := range w.entries {
		e.inFlight[v.name] = 0
	}
}
