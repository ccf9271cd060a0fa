package wave

import (
	"fmt"
	"slices"

	"burdockreach.dev/fleet/pool"
)

const (
	worldShards = 2
	worldMaxOut = 2
)

// cell is one document of the store and its revision.
type cell[T any] struct {
	doc      T
	revision int64
}

// vm is the truth about one VM.
type vm struct {
	name, dc, rack, pool string
	alive, drained, gone bool
	boot                 int64
	ops                  map[string]bool
	planned              bool // down by a planned reboot.
}

// entry is one entry with its view and its requests in flight.
type entry struct {
	name, dc string
	view     pool.View
	flying   map[string]int
}

// leader is one planner, with commands not yet performed and writes whose answer is given up but that may yet land.
type leader struct {
	dc      string
	planner *Planner
	pending []Cmd
	ghosts  []Cmd
}

// world runs several leaders a data centre against one store and one platform and checks every act.
type world struct {
	now     int64
	rev     int64
	shards  map[string][]cell[pool.Shard]
	budgets map[string]cell[Budget]
	vms     []*vm
	lists   map[string][][]Host // the last lists of each data centre, newest last.
	entries []*entry
	leaders []*leader
	wave    Wave
	opts    []Option
	rules   []ServiceRule
	reboots int
	top     map[string]int64 // highest version that each shard had.
	faults  []string
}

// worldPools are the pools of each data centre's VMs; office serves nothing.
var worldPools = []string{"orders", "orders", "orders", "orders", "grants", "grants", "office"}

var worldServices = []ServiceRule{
	{Name: "orders", Pool: "orders", MaxOut: worldMaxOut, DrainMillis: 8000, RebootMillis: 20_000},
	{Name: "quotes", Pool: "orders", MaxOut: worldMaxOut + 1, DrainMillis: 8000, RebootMillis: 20_000},
	{Name: "grants", Pool: "grants", MaxOut: 1, DrainMillis: 8000, RebootMillis: 20_000},
}

func newWorld(opts ...Option) *world {
	w := &world{
		now: 1_000_000, shards: map[string][]cell[pool.Shard]{}, budgets: map[string]cell[Budget]{},
		lists: map[string][][]Host{}, opts: opts, rules: slices.Clone(worldServices), top: map[string]int64{},
		wave: Wave{ID: "w1", Pools: []string{"orders", "grants", "office"}},
	}
	for _, dc := range []string{"a", "b"} {
		for i := range worldShards {
			w.shards[dc] = append(w.shards[dc], cell[pool.Shard]{doc: pool.NewShard(i, worldShards)})
		}
		for i, p := range worldPools {
			w.vms = append(w.vms, &vm{
				name: fmt.Sprintf("%s%d", dc, i), dc: dc, rack: fmt.Sprintf("%s-r%d", dc, i%3),
				pool: p, alive: true, boot: 1, ops: map[string]bool{},
			})
		}
		for i := range 2 {
			w.entries = append(w.entries, &entry{name: fmt.Sprintf("%s-e%d", dc, i), dc: dc, view: pool.NewView(worldShards), flying: map[string]int{}})
			w.leaders = append(w.leaders, &leader{dc: dc})
		}
	}
	for _, l := range w.leaders {
		w.restart(l)
	}
	w.pass(0)
	return w
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

func (w *world) restart(l *leader) {
	l.ghosts = append(l.ghosts, l.pending...) // calls of the old process may still arrive.
	l.planner, l.pending = New(l.dc, worldShards, w.opts...), nil
	w.tell(l, PolicyMsg{At: w.now, Services: w.rules, Waves: []Wave{w.wave}})
}

func (w *world) tell(l *leader, m Msg) { l.pending = append(l.pending, l.planner.Update(m)...) }

// pass lets time go by and keeps the lists that a lagging platform may show.
func (w *world) pass(millis int64) {
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
				l = append(l, Host{Name: e.name, Entry: true})
			}
		}
		if millis >= DefaultListLag {
			w.lists[dc] = nil
		}
		w.lists[dc] = append(w.lists[dc], l)
	}
}

func (v *vm) state() HostState {
	switch {
	case v.gone:
		return Gone
	case v.drained || !v.alive:
		return Leaving
	default:
		return Live
	}
}

// hear gives the leader the platform's list, the entries' word and the state of VMs that entries see.
func (w *world) hear(l *leader, old uint32) {
	lists := w.lists[l.dc]
	w.tell(l, HostsMsg{At: w.now, Hosts: lists[int(old)%len(lists)]})
	for _, e := range w.entries {
		if e.dc == l.dc {
			w.tell(l, e.word(w.now))
		}
	}
	for _, v := range w.vms {
		if v.dc == l.dc && !v.alive {
			w.tell(l, FailedMsg{At: w.now, VM: v.name})
		} else if v.dc == l.dc {
			w.tell(l, RecoveredMsg{At: w.now, VM: v.name})
		}
	}
	w.tell(l, TickMsg{At: w.now})
}

func (e *entry) word(at int64) HeardMsg {
	m := HeardMsg{At: at, Entry: e.name, Numbers: e.view.Numbers()}
	for _, p := range []string{"orders", "grants", "office"} {
		for _, t := range e.view.InPool(p) {
			if t.State == pool.Draining && e.flying[t.VM] == 0 {
				m.Drained = append(m.Drained, Drained{VM: t.VM, Number: e.view.Number(t.VM)})
			}
		}
	}
	return m
}

// read gives the leader every document as it stands.
func (w *world) read(l *leader) {
	for i, c := range w.shards[l.dc] {
		w.tell(l, ShardMsg{At: w.now, Shard: w.shards[l.dc][i].doc, Revision: c.revision})
	}
	for _, s := range worldServices {
		c := w.budgets[s.Name]
		w.tell(l, BudgetMsg{At: w.now, Service: s.Name, Budget: c.doc, Revision: c.revision})
	}
}

// pull brings the entry's view up to the store.
func (w *world) pull(e *entry) {
	t := pool.NewTable(worldShards)
	for i, c := range w.shards[e.dc] {
		t = t.Replace(i, c.doc, c.revision)
	}
	v, err := e.view.Apply(pool.Whole(t))
	if err != nil {
		w.fault("entry %s: %v", e.name, err)
	}
	e.view = v
}

// send starts a request to some VM that the entry's view shows serving.
func (w *world) send(e *entry, n uint32) {
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
	if v.planned {
		w.fault("%s sent to %s during its planned reboot", e.name, v.name)
	}
	if v.alive {
		e.flying[v.name]++
	}
}

func (w *world) vm(name string) *vm {
	i := slices.IndexFunc(w.vms, func(v *vm) bool { return v.name == name })
	return w.vms[i]
}

// perform does one pending command; lose says what becomes of a write: 0 told, 1 applied but unknown, 2 never applied, 3 late.
func (w *world) perform(l *leader, i int, lose uint32) {
	if len(l.pending) == 0 {
		return
	}
	i %= len(l.pending)
	c := l.pending[i]
	l.pending = slices.Delete(l.pending, i, i+1)
	switch c := c.(type) {
	case WriteShardCmd:
		o, rev := w.write(l, c, lose)
		w.tell(l, WroteShardMsg{At: w.now, Index: c.Shard.Index(), Outcome: o, Revision: rev})
	case WriteBudgetCmd:
		o, rev := w.write(l, c, lose)
		w.tell(l, WroteBudgetMsg{At: w.now, Service: c.Service, Outcome: o, Revision: rev})
	case ReadShardCmd:
		d := w.shards[l.dc][c.Index]
		w.tell(l, ShardMsg{At: w.now, Shard: d.doc, Revision: d.revision})
	case ReadBudgetCmd:
		d := w.budgets[c.Service]
		w.tell(l, BudgetMsg{At: w.now, Service: c.Service, Budget: d.doc, Revision: d.revision})
	default:
		w.call(c)
		if lose%4 == 0 {
			w.answer(l, c)
		}
	}
}

func (w *world) write(l *leader, c Cmd, lose uint32) (Outcome, int64) {
	switch lose % 4 {
	case 1:
		w.store(l.dc, c)
	case 2:
	case 3:
		l.ghosts = append(l.ghosts, c)
	default:
		return w.store(l.dc, c)
	}
	return Unknown, 0
}

// land performs one call of a process that is paused, replaced or has given the answer up.
func (w *world) land(l *leader, i int) {
	if len(l.ghosts) == 0 {
		return
	}
	i %= len(l.ghosts)
	c := l.ghosts[i]
	l.ghosts = slices.Delete(l.ghosts, i, i+1)
	switch c.(type) {
	case WriteShardCmd, WriteBudgetCmd:
		w.store(l.dc, c)
	default:
		w.call(c)
	}
}

// store does a conditional write and checks what it changes.
func (w *world) store(dc string, c Cmd) (Outcome, int64) {
	switch c := c.(type) {
	case WriteShardCmd:
		d := &w.shards[dc][c.Shard.Index()]
		if d.revision != c.Revision {
			return Conflict, 0
		}
		w.checkShard(dc, d.doc, c.Shard)
		w.rev++
		d.doc, d.revision = c.Shard, w.rev
	case WriteBudgetCmd:
		d := w.budgets[c.Service]
		if d.revision != c.Revision {
			return Conflict, 0
		}
		w.checkBudget(c.Service, d.doc, c.Budget)
		w.rev++
		w.budgets[c.Service] = cell[Budget]{doc: c.Budget, revision: w.rev}
	}
	return Applied, w.rev
}

// call does what the platform is told.
func (w *world) call(c Cmd) {
	switch c := c.(type) {
	case DrainCmd:
		w.vm(c.VM).drained = true
	case UndrainCmd:
		w.vm(c.VM).drained = false
	case AssignCmd:
		w.vm(c.VM).pool = c.Pool
	case RebootCmd:
		w.reboot(w.vm(c.VM), c.Op)
	}
}

func (w *world) answer(l *leader, c Cmd) {
	switch c := c.(type) {
	case RebootCmd:
		w.tell(l, RebootedMsg{At: w.now, VM: c.VM, Op: c.Op})
	case AssignCmd:
		w.tell(l, AssignedMsg{At: w.now, VM: c.VM, Pool: c.Pool})
	}
}

func (w *world) reboot(v *vm, op string) {
	if v.ops[op] {
		return
	}
	v.ops[op] = true
	w.reboots++
	for _, e := range w.entries {
		if e.flying[v.name] > 0 {
			w.fault("reboot of %s cuts %d requests of %s", v.name, e.flying[v.name], e.name)
		}
	}
	w.checkReserved(v.name, "reboot")
	v.alive, v.planned, v.drained = false, true, false
}

// recover boots a VM that is down.
func (w *world) recover(v *vm) {
	if !v.alive {
		v.alive, v.planned, v.gone = true, false, false
		v.boot++
	}
}

func (w *world) crash(v *vm) {
	if !v.alive {
		return
	}
	v.alive = false
	for _, e := range w.entries {
		e.flying[v.name] = 0
	}
}
