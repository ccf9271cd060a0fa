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
	listBusyIntervalMs = 700   // between lists while machines move or are maintained.
	listIdleIntervalMs = 6_000 // between lists otherwise.
	orderTimeoutMs     = 2_500 // a list that was not answered for so long is asked for again.
	upkeepRetryMs      = 500   // between orders to one machine.
	arrivalTimeoutMs   = 6_000 // an ordered machine that is not back after so long no longer counts as coming.
	upkeepDurationMs   = 5_500 // emptying a machine and its upkeep.
	formerClaimMs      = 1_200 // after a claim the former owner may believe in its own for so long.
	maxClockSkewMs     = 5_000 // by which clocks of machines may differ.
	waveMarginMs       = 7_000 // a wave is to be over so long before its time.
	shortTaskGraceMs   = 4_000 // short tasks have so long to end before an upkeep that is urgent.
)

// fleet is what the owner knows of machines, and the orders to them.
type fleet struct {
	noOrdersBefore   int64            // no orders before.
	ordersKnownSince int64            // since then all orders to machines are known.
	lastOrderAt      map[string]int64 // when this owner last ordered each machine.
	formerOrderAt    map[string]int64 // the same of former owners, as far as known.
	machines         map[string]*machine
	list             []*machine // by name
	meanCPU          float64    // mean CPU of a machine, in thousandths of a core.
	waves            map[int]*wave
	listAskedAt      int64 // when the list was last asked for; 0 while none is under way.
	listReadAt       int64 // when the list was last read.
	listSentAt       int64 // when the list that was last read was asked for.
}

// machine is one machine and the order to it.
type machine struct {
	Machine
	wave           *wave  // whose upkeep it is being prepared for or has.
	preparingSince int64  // when its preparation began.
	targetPool     string // pool that it moves to; empty when it does not move.
	orderedAt      int64  // when the last order was sent; 0 for none.
	ackedAt        int64  // when the order was acknowledged.
	oldWorkerID    string
	maybeRepeated  bool // the order may have been given before, so that its answer does not say when it was carried out.
}

func (d *fleet) start(from int64) {
	d.noOrdersBefore, d.ordersKnownSince = from, from
	d.machines, d.waves = map[string]*machine{}, map[int]*wave{}
	d.lastOrderAt, d.formerOrderAt = map[string]int64{}, map[string]int64{}
}

// setMachines takes the list in.
func (m *Model) setMachines(g MachinesMsg) {
	d := &m.fleet
	d.listAskedAt = 0
	if g.Failed {
		d.listReadAt = max(d.listReadAt, m.now-listIdleIntervalMs+listBusyIntervalMs)
		return
	}
	d.listReadAt, d.listSentAt = m.now, g.Sent
	seen := map[string]bool{}
	for _, x := range g.List {
		seen[x.Name] = true
		k := d.machines[x.Name]
		if k == nil {
			k = &machine{}
			d.machines[x.Name] = k
		}
		k.Machine = x
		m.completeOrder(k, g.Sent)
	}
	d.list = d.list[:0]
	for _, n := range sortedKeys(d.machines) {
		if !seen[n] {
			delete(d.machines, n)
			continue
		}
		d.list = append(d.list, d.machines[n])
	}
	m.countMachines()
}

// completeOrder ends the order to a machine that is up again with another worker.
func (m *Model) completeOrder(k *machine, sent int64) {
	if k.ackedAt == 0 || sent <= k.ackedAt || k.State != Up || k.Worker == "" || k.Worker == k.oldWorkerID && !k.maybeRepeated {
		return
	}
	m.log("machine back", "", "machine", k.Name, "pool", k.Pool, "worker", k.Worker, "tookMs", m.now-k.ackedAt)
	if k.wave != nil {
		m.markMaintained(k.wave, k.Name)
	}
	m.releaseMachine(k)
}

// markMaintained notes that a machine needs no upkeep any more.
func (m *Model) markMaintained(w *wave, name string) {
	w.finished[name] = true
	m.saveWave(w)
}

// saveWave has the progress of the wave written.
func (m *Model) saveWave(w *wave) {
	w.version++
	m.commits.dirtyWaves[w.Number] = w
}

// planMachineOrders asks for the list of machines where it is needed, and plans upkeep and moves.
func (m *Model) planMachineOrders() {
	d := &m.fleet
	gap := int64(listIdleIntervalMs)
	if m.ordersPending() || m.now < m.blindUntil && m.mayWaitForUnlisted() {
		gap = listBusyIntervalMs
	}
	if d.listAskedAt != 0 && m.now-d.listAskedAt > orderTimeoutMs {
		d.listAskedAt = 0
	}
	if d.listAskedAt == 0 && (d.listReadAt == 0 || m.now-d.listReadAt >= gap) {
		d.listAskedAt = m.now
		m.emit(ListMachinesCmd{})
	}
	if d.listReadAt == 0 {
		return
	}
	m.countMachines()
	for _, n := range m.waveNumbers() {
		m.advanceWave(d.waves[n])
	}
	m.planMoves()
}

// mayOrder reports whether orders to machines may be given at all: a former owner's claim has certainly ended.
func (m *Model) mayOrder() bool { return m.claimFresh && m.now >= m.fleet.noOrdersBefore }

// mayOrderTo reports whether no former owner can have given the machine an order lately: its worker is older than that.
func (m *Model) mayOrderTo(k *machine) bool {
	last := m.fleet.ordersKnownSince
	if at, ok := m.fleet.formerOrderAt[k.Name]; ok {
		last = max(last, at)
	}
	if m.now >= last+m.cfg.DutyGapMs {
		return true
	}
	w := m.workerOf(k)
	return w != nil && w.Born > 0 && w.Born < m.cfg.WallMs-m.cfg.DutyGapMs-maxClockSkewMs
}

// takeFormerOrders takes in what the former owner ordered; it orders nothing any more.
func (m *Model) takeFormerOrders(g OrdersMsg) {
	d := &m.fleet
	d.noOrdersBefore, d.ordersKnownSince = min(d.noOrdersBefore, m.now), min(d.ordersKnownSince, m.now-g.SpanMs)
	for n, a := range g.AgeMs {
		if at, ok := d.formerOrderAt[n]; !ok || at < m.now-a {
			d.formerOrderAt[n] = m.now - a
		}
	}
	m.log("former orders known", "", "machines", len(g.AgeMs), "spanMs", g.SpanMs)
}

// recordOrder notes that the machine is ordered now.
func (m *Model) recordOrder(k *machine) { k.orderedAt, m.fleet.lastOrderAt[k.Name] = m.now, m.now }

// Orders returns the orders to machines that a successor must keep its distance from.
func (m *Model) Orders(now int64) Orders {
	o := Orders{AgeMs: map[string]int64{}, SpanMs: max(now-m.fleet.ordersKnownSince, 0)}
	for _, l := range []map[string]int64{m.fleet.formerOrderAt, m.fleet.lastOrderAt} {
		for n, at := range l {
			if now-at < m.cfg.DutyGapMs {
				o.AgeMs[n] = now - at // our own are the later ones.
			}
		}
	}
	return o
}

// mayWaitForUnlisted reports whether tasks may wait because a machine's worker is not listed.
func (m *Model) mayWaitForUnlisted() bool {
	for _, p := range m.pools {
		if p.counts.unlisted > 0 && len(p.openJobs) > 0 {
			return true
		}
	}
	return false
}

func (m *Model) ordersPending() bool {
	for _, k := range m.fleet.list {
		if k.orderedAt != 0 || k.ackedAt != 0 {
			return true
		}
	}
	return false
}

// orderAnswered takes in what became of an order to a machine.
func (m *Model) orderAnswered(g DutyDoneMsg) {
	k := m.fleet.machines[g.Machine]
	if k == nil || k.orderedAt == 0 {
		return
	}
	m.log("machine ordered", "", "machine", g.Machine, "wave", g.Wave, "pool", k.targetPool, "result", int(g.Result))
	switch g.Result {
	case DutyOK:
		k.ackedAt = m.now
		if w := m.workers[k.oldWorkerID]; w != nil && !k.maybeRepeated {
			w.dead, w.machineTaken = true, true
			m.pool(w.Service).dirty = true
		}
	case DutyRejected:
		if k.wave != nil {
			m.markMaintained(k.wave, k.Name)
		}
		m.releaseMachine(k)
	case DutyBusy, DutyNotSent:
		if g.Wave == 0 {
			m.releaseMachine(k)
		} else {
			k.orderedAt = m.now
		}
	case DutyUnsure:
		k.maybeRepeated = true
	}
}

// releaseMachine gives a machine back to its pool.
func (m *Model) releaseMachine(k *machine) {
	if w := m.workers[k.Worker]; w != nil {
		w.cordoned = false
		m.pool(w.Service).dirty = true
	}
	k.wave, k.targetPool, k.orderedAt, k.ackedAt, k.oldWorkerID, k.maybeRepeated = nil, "", 0, 0, "", false
}

// worker returns the machine's worker, nil when it is not known.
func (m *Model) workerOf(k *machine) *worker {
	if k.Worker == "" {
		return nil
	}
	return m.workers[k.Worker]
}

// empty reports whether w runs nothing and nothing of it is unsettled.
func empty(w *worker) bool { return len(w.runs) == 0 && len(w.unsavedEnds) == 0 }

// mayStopLasting reports whether a lasting task may be stopped: few enough others of its step are away.
func (m *Model) mayStopLasting(r *run) bool {
	s := r.task.stage
	away := 0
	for _, t := range s.tasks {
		if t != r.task && !t.isServing() {
			away++
		}
	}
	return away < max(s.MayMiss, 1)
}

// isServing reports whether a lasting task has started up.
func (t *task) isServing() bool {
	return slices.ContainsFunc(t.runs, func(r *run) bool { return r.state == running && r.percent >= 100 && r.worker.silentSince == 0 })
}
