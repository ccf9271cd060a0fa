package batch

import (
	"slices"
)

// Orders to machines: moves between pools and upkeep.

// Machine is one machine of the platform.
type Machine struct {
	Name, Pool, Zone string
	State            MachineState
	Room             Size
	Worker           string // id of its worker, empty while there is none.
}

// MachineState is what a machine does.
type MachineState string

// The states of a machine.
const (
	Up       MachineState = "up"
	Moving   MachineState = "moving"
	InUpkeep MachineState = "upkeep"
	Down     MachineState = "down"
)

// MachinesMsg is the platform's list of machines, asked for at Sent.
type MachinesMsg struct {
	Sent   int64
	Failed bool
	List   []Machine
}

// WaveMsg is the operator's order to maintain machines; Gone takes it back.
type WaveMsg struct {
	Number     int
	Machines   []string
	DurationMs int64
	Most       int // machines that may be down for it at once.
	Gone       bool
	Completed  bool // its status says so already.
}

// StoredWave is the progress of a wave in the store.
type StoredWave struct {
	Number int      `json:"number"`
	Begun  []string `json:"begun,omitempty"` // machines whose upkeep was or may have been ordered.
	Done   []string `json:"done,omitempty"`  // machines that are back.
	Rev    int64    `json:"-"`
}

// DutyDoneMsg is the answer to a MoveCmd or an UpkeepCmd.
type DutyDoneMsg struct {
	Machine string
	Wave    int // 0 for a move.
	Result  DutyResult
}

// OrdersMsg is what a former owner, which gives no orders any more, told of its last orders to machines.
type OrdersMsg struct{ Orders }

// Orders are the last orders to machines: their age in ms by the machine's name, as far as they were given within SpanMs.
type Orders struct {
	AgeMs  map[string]int64 `json:"ageMs,omitempty"`
	SpanMs int64            `json:"spanMs"`
}

// Aged returns the orders as they stand ms later.
func (o Orders) Aged(ms int64) Orders {
	a := make(map[string]int64, len(o.AgeMs))
	for n, x := range o.AgeMs {
		a[n] = x + ms
	}
	return Orders{AgeMs: a, SpanMs: o.SpanMs + ms}
}

// DutyResult is what became of an order to a machine.
type DutyResult int

// The results of an order to a machine.
const (
	DutyOK DutyResult = iota
	DutyBusy
	DutyRejected
	DutyUnsure
	DutyNotSent
)

// ListMachinesCmd asks for the platform's list of machines.
type ListMachinesCmd struct{}

// MoveCmd moves an empty machine to another pool.
type MoveCmd struct {
	Machine, Pool string
	Fence         int64
}

// UpkeepCmd begins the upkeep of a machine.
type UpkeepCmd struct {
	Machine string
	Wave    int
	Fence   int64
}

// ReportCmd tells the operator the state of a wave.
type ReportCmd struct {
	Wave      int
	Completed bool
}

func (MachinesMsg) msg()     {}
func (OrdersMsg) msg()       {}
func (WaveMsg) msg()         {}
func (DutyDoneMsg) msg()     {}
func (ListMachinesCmd) cmd() {}
func (MoveCmd) cmd()         {}
func (UpkeepCmd) cmd()       {}
func (ReportCmd) cmd()       {}

// Times in milliseconds.
const (
	listBusyMs   = 700   // between lists while machines move or are maintained.
	listCalmMs   = 6_000 // between lists otherwise.
	listWaitMs   = 2_500 // a list that was not answered for so long is asked for again.
	dutyRetryMs  = 500   // between orders to one machine.
	comingMs     = 6_000 // an ordered machine that is not back after so long no longer counts as coming.
	upkeepSpanMs = 5_500 // emptying a machine and its upkeep.
	claimEndMs   = 1_200 // after a claim the former owner may believe in its own for so long.
	clockSlackMs = 5_000 // by which clocks of machines may differ.
	waveMarginMs = 7_000 // a wave is to be over so long before its time.
	emptyWaitMs  = 4_000 // short tasks have so long to end before an upkeep that is urgent.
)

// duty is what the owner knows of machines, and the orders to them.
type duty struct {
	from     int64            // no orders before.
	span     int64            // since then all orders to machines are known.
	last     map[string]int64 // when this owner last ordered each machine.
	former   map[string]int64 // the same of former owners, as far as known.
	machines map[string]*machine
	list     []*machine // by name
	room     float64    // mean CPU of a machine, in thousandths of a core.
	waves    map[int]*wave
	asked    int64 // when the list was last asked for; 0 while none is under way.
	listed   int64 // when the list was last read.
	listSent int64 // when the list that was last read was asked for.
}

// machine is one machine and the order to it.
type machine struct {
	Machine
	wave      *wave  // whose upkeep it is being prepared for or has.
	since     int64  // when its preparation began.
	target    string // pool that it moves to; empty when it does not move.
	ordered   int64  // when the last order was sent; 0 for none.
	done      int64  // when the order was acknowledged.
	oldWorker string
	again     bool // the order may have been given before, so that its answer does not say when it was carried out.
}

func (d *duty) start(from int64) {
	d.from, d.span = from, from
	d.machines, d.waves = map[string]*machine{}, map[int]*wave{}
	d.last, d.former = map[string]int64{}, map[string]int64{}
}

// setMachines takes the list in.
func (m *Model) setMachines(g MachinesMsg) {
	d := &m.duty
	d.asked = 0
	if g.Failed {
		d.listed = max(d.listed, m.now-listCalmMs+listBusyMs)
		return
	}
	d.listed, d.listSent = m.now, g.Sent
	seen := map[string]bool{}
	for _, x := range g.List {
		seen[x.Name] = true
		k := d.machines[x.Name]
		if k == nil {
			k = &machine{}
			d.machines[x.Name] = k
		}
		k.Machine = x
		m.settleOrder(k, g.Sent)
	}
	d.list = d.list[:0]
	for _, n := range sortedKeys(d.machines) {
		if !seen[n] {
			delete(d.machines, n)
			continue
		}
		d.list = append(d.list, d.machines[n])
	}
	m.count()
}

// settleOrder ends the order to a machine that is up again with another worker.
func (m *Model) settleOrder(k *machine, sent int64) {
	if k.done == 0 || sent <= k.done || k.State != Up || k.Worker == "" || k.Worker == k.oldWorker && !k.again {
		return
	}
	m.log("machine back", "", "machine", k.Name, "pool", k.Pool, "worker", k.Worker, "tookMs", m.now-k.done)
	if k.wave != nil {
		m.finish(k.wave, k.Name)
	}
	m.release(k)
}

// finish notes that a machine needs no upkeep any more.
func (m *Model) finish(w *wave, name string) {
	w.finished[name] = true
	m.saveWave(w)
}

// saveWave has the progress of the wave written.
func (m *Model) saveWave(w *wave) {
	w.version++
	m.commits.waves[w.Number] = w
}

// planDuties asks for the list of machines where it is needed, and plans upkeep and moves.
func (m *Model) planDuties() {
	d := &m.duty
	gap := int64(listCalmMs)
	if m.dutyBusy() || m.now < m.blind && m.anyUnseen() {
		gap = listBusyMs
	}
	if d.asked != 0 && m.now-d.asked > listWaitMs {
		d.asked = 0
	}
	if d.asked == 0 && (d.listed == 0 || m.now-d.listed >= gap) {
		d.asked = m.now
		m.do(ListMachinesCmd{})
	}
	if d.listed == 0 {
		return
	}
	m.count()
	for _, n := range m.waveNumbers() {
		m.runWave(d.waves[n])
	}
	m.planMoves()
}

// mayOrder reports whether orders to machines may be given at all: a former owner's claim has certainly ended.
func (m *Model) mayOrder() bool { return m.fresh && m.now >= m.duty.from }

// mayOrderTo reports whether no former owner can have given the machine an order lately: its worker is older than that.
func (m *Model) mayOrderTo(k *machine) bool {
	last := m.duty.span
	if at, ok := m.duty.former[k.Name]; ok {
		last = max(last, at)
	}
	if m.now >= last+m.cfg.DutyGapMs {
		return true
	}
	w := m.workerOf(k)
	return w != nil && w.Born > 0 && w.Born < m.cfg.WallMs-m.cfg.DutyGapMs-clockSlackMs
}

// formerOrders takes in what the former owner ordered; it orders nothing any more.
func (m *Model) formerOrders(g OrdersMsg) {
	d := &m.duty
	d.from, d.span = min(d.from, m.now), min(d.span, m.now-g.SpanMs)
	for n, a := range g.AgeMs {
		if at, ok := d.former[n]; !ok || at < m.now-a {
			d.former[n] = m.now - a
		}
	}
	m.log("former orders known", "", "machines", len(g.AgeMs), "spanMs", g.SpanMs)
}

// noteOrder notes that the machine is ordered now.
func (m *Model) noteOrder(k *machine) { k.ordered, m.duty.last[k.Name] = m.now, m.now }

// Orders returns the orders to machines that a successor must keep its distance from.
func (m *Model) Orders(now int64) Orders {
	o := Orders{AgeMs: map[string]int64{}, SpanMs: max(now-m.duty.span, 0)}
	for _, l := range []map[string]int64{m.duty.former, m.duty.last} {
		for n, at := range l {
			if now-at < m.cfg.DutyGapMs {
				o.AgeMs[n] = now - at // our own are the later ones.
			}
		}
	}
	return o
}

// anyUnseen reports whether tasks may wait because a machine's worker is not listed.
func (m *Model) anyUnseen() bool {
	for _, p := range m.pools {
		if p.tally.unseen > 0 && len(p.open) > 0 {
			return true
		}
	}
	return false
}

func (m *Model) dutyBusy() bool {
	for _, k := range m.duty.list {
		if k.ordered != 0 || k.done != 0 {
			return true
		}
	}
	return false
}

// dutyDone takes in what became of an order to a machine.
func (m *Model) dutyDone(g DutyDoneMsg) {
	k := m.duty.machines[g.Machine]
	if k == nil || k.ordered == 0 {
		return
	}
	m.log("machine ordered", "", "machine", g.Machine, "wave", g.Wave, "pool", k.target, "result", int(g.Result))
	switch g.Result {
	case DutyOK:
		k.done = m.now
		if w := m.workers[k.oldWorker]; w != nil && !k.again {
			w.over, w.left = true, true
			m.pool(w.Service).dirty = true
		}
	case DutyRejected:
		if k.wave != nil {
			m.finish(k.wave, k.Name)
		}
		m.release(k)
	case DutyBusy, DutyNotSent:
		if g.Wave == 0 {
			m.release(k)
		} else {
			k.ordered = m.now
		}
	case DutyUnsure:
		k.again = true
	}
}

// release gives a machine back to its pool.
func (m *Model) release(k *machine) {
	if w := m.workers[k.Worker]; w != nil {
		w.cordoned = false
		m.pool(w.Service).dirty = true
	}
	k.wave, k.target, k.ordered, k.done, k.oldWorker, k.again = nil, "", 0, 0, "", false
}

// worker returns the machine's worker, nil when it is not known.
func (m *Model) workerOf(k *machine) *worker {
	if k.Worker == "" {
		return nil
	}
	return m.workers[k.Worker]
}

// empty reports whether w runs nothing and nothing of it is unsettled.
func empty(w *worker) bool { return len(w.runs) == 0 && len(w.marks) == 0 }

// mayLeave reports whether a lasting task may be stopped: few enough others of its step are away.
func (m *Model) mayLeave(r *run) bool {
	s := r.task.stage
	away := 0
	for _, t := range s.tasks {
		if t != r.task && !t.atWork() {
			away++
		}
	}
	return away < max(s.MayMiss, 1)
}

// atWork reports whether a lasting task has started up.
func (t *task) atWork() bool {
	return slices.ContainsFunc(t.runs, func(r *run) bool { return r.state == running && r.percent >= 100 && r.worker.silent == 0 })
}
