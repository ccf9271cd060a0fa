package batch

import (
	"slices"
)

// Orders to machines: moves between pools, and upkeep, which is the maintenance of a machine.

// Machine is one machine of the platform.
type Machine struct {
	Name, Pool, Zone string
	State            MachineState
	Room             Size
	Worker           string // ID of its worker; empty if it has none.
}

// MachineState is the state of a machine.
type MachineState string

// The states of a machine.
const (
	MachineUp       MachineState = "up"
	MachineMoving   MachineState = "moving"
	MachineInUpkeep MachineState = "upkeep"
	MachineDown     MachineState = "down"
)

// MachinesMsg is the platform's list of machines; the request for it was sent at Sent.
type MachinesMsg struct {
	Sent   int64
	Failed bool
	List   []Machine
}

// WaveMsg is the operator's order to maintain machines. Gone withdraws it.
type WaveMsg struct {
	Number     int
	Machines   []string
	DurationMs int64
	MaxDown    int // most machines that may be down for the wave at once.
	Withdrawn  bool
	Completed  bool // the platform already shows the wave as completed.
}

// StoredWave is the progress of a wave in the store.
type StoredWave struct {
	Number int      `json:"number"`
	Begun  []string `json:"begun,omitempty"` // machines whose upkeep was or may have been ordered.
	Done   []string `json:"done,omitempty"`  // machines that are back.
	Rev    int64    `json:"-"`
}

// OrderDoneMsg is the answer to a MoveCmd or an UpkeepCmd.
type OrderDoneMsg struct {
	Machine string
	Wave    int // 0 for a move.
	Result  OrderResult
}

// OrdersMsg holds the last orders that a former owner gave to machines; it gives no more.
type OrdersMsg struct{ Orders }

// Orders are the last orders to machines: the age of each in ms, by machine name. SpanMs is the age up to which no
// order is missing.
type Orders struct {
	AgeMs  map[string]int64 `json:"ageMs,omitempty"`
	SpanMs int64            `json:"spanMs"`
}

// Aged returns the orders as of ms milliseconds later.
func (o Orders) Aged(ms int64) Orders {
	a := make(map[string]int64, len(o.AgeMs))
	for n, x := range o.AgeMs {
		a[n] = x + ms
	}
	return Orders{AgeMs: a, SpanMs: o.SpanMs + ms}
}

// OrderResult is the result of an order to a machine.
type OrderResult int

// The results of an order to a machine.
const (
	OrderOK OrderResult = iota
	OrderBusy
	OrderRejected
	OrderUnsure
	OrderNotSent
	OrderThrottled // the platform did not take the order because too many came within a second.
)

// ListMachinesCmd requests the platform's list of machines.
type ListMachinesCmd struct{}

// MoveCmd moves an empty machine to another pool.
type MoveCmd struct {
	Machine, Pool string
	Fence         int64
}

// UpkeepCmd starts the upkeep of a machine.
type UpkeepCmd struct {
	Machine string
	Wave    int
	Fence   int64
}

// ReportCmd reports the state of a wave to the operator.
type ReportCmd struct {
	Wave      int
	Completed bool
}

func (MachinesMsg) msg()     {}
func (OrdersMsg) msg()       {}
func (WaveMsg) msg()         {}
func (OrderDoneMsg) msg()    {}
func (ListMachinesCmd) cmd() {}
func (MoveCmd) cmd()         {}
func (UpkeepCmd) cmd()       {}
func (ReportCmd) cmd()       {}

// Times in milliseconds.
const (
	listBusyIntervalMs = 700   // between requests for the list while orders to machines are pending.
	listIdleIntervalMs = 6_000 // between requests for the list otherwise.
	listLostIntervalMs = 300   // before the list is requested because a worker with runs has just stopped answering.
	orderTimeoutMs     = 2_500 // a list request or a move without an answer is repeated after this.
	upkeepRetryMs      = 500   // between repeated upkeep orders to one machine.
	arrivalTimeoutMs   = 6_000 // a machine that is not back this long after its order no longer counts as arriving.
	upkeepDurationMs   = 5_500 // time to empty a machine and maintain it.
	formerClaimMs      = 1_200 // how long after a takeover the former owner may still believe that it holds the claim.
	maxClockSkewMs     = 5_000 // largest difference between the clocks of two machines.
	waveMarginMs       = 7_000 // a wave is planned to end this long before its deadline.
	shortTaskGraceMs   = 4_000 // how long short tasks may go on at a machine that is to be maintained; then they are evicted.
)

// fleet holds the known machines, the orders to them, and the waves.
type fleet struct {
	noOrdersBefore   int64            // no order to any machine is sent before this time.
	ordersKnownSince int64            // all orders to machines since this time are known.
	lastOrderAt      map[string]int64 // when this owner last ordered each machine.
	formerOrderAt    map[string]int64 // when former owners last ordered each machine, as far as known.

	loadedOrders      map[string]bool // machines that the former owner stored as ordered.
	loadedOrdersUntil int64           // until when it may have ordered them.

	machines      map[string]*machine
	list          []*machine // by name
	unplaced      []*worker  // listed workers that the list of machines does not name, because it is older than they are.
	meanCPU       float64    // mean CPU of a machine, in thousandths of a core.
	waves         map[int]*wave
	listAskedAt   int64 // when the pending list request was sent; 0 if none is pending.
	listKnown     bool  // the list has been received.
	listReadAt    int64 // when the list was last received; after a failed request, so that the next one is due soon.
	listSentAt    int64 // when the request for the last received list was sent.
	pace          orderPace
	moved         map[route][]string // machines that the present plan moves.
	poolsLoggedAt int64
}

// machine is one machine and the pending order to it.
type machine struct {
	Machine
	wave           *wave  // wave that the machine is being emptied or maintained for.
	preparingSince int64  // when the wave began to empty it.
	targetPool     string // pool that it moves to; empty if it does not move.
	orderedAt      int64  // when the last order was sent; 0 if there is none.
	ackedAt        int64  // when the order was acknowledged; 0 before.
	oldWorkerID    string
	unsentVersion  int   // version of the stored orders with which the planned order is sent; 0 if none is planned.
	maybeRepeated  bool  // an earlier order may have been carried out already, so the acknowledgement does not tell when.
	unsureSince    int64 // when an order to it had an unknown outcome; 0 once the machine has been listed after that.
}

func (d *fleet) start(from int64) {
	d.noOrdersBefore, d.ordersKnownSince = from, from
	d.moved = map[route][]string{}
	d.machines, d.waves = map[string]*machine{}, map[int]*wave{}
	d.lastOrderAt, d.formerOrderAt = map[string]int64{}, map[string]int64{}
}

// setMachines applies the platform's list of machines.
func (m *Model) setMachines(g MachinesMsg) {
	d := &m.fleet
	if g.Sent < d.listSentAt {
		return // a newer list has come before it.
	}
	d.listAskedAt = 0
	if g.Failed {
		d.listReadAt = max(d.listReadAt, m.now-listIdleIntervalMs+listBusyIntervalMs)
		return
	}
	d.listKnown, d.listReadAt, d.listSentAt = true, m.now, g.Sent
	seen := map[string]bool{}
	for _, x := range g.List {
		seen[x.Name] = true
		k := d.machines[x.Name]
		if k == nil {
			k = &machine{}
			d.machines[x.Name] = k
		}
		m.noteWorkerBack(x)
		m.noteGoneWorker(k, x, g.Sent)
		if k.Machine.Name != "" && (k.State != x.State || k.Worker != x.Worker) && k.orderedAt == 0 {
			m.log("machine changed", "", "machine", x.Name, "pool", x.Pool, "state", string(x.State), "before", string(k.State), "worker", x.Worker, "workerBefore", k.Worker)
		}
		k.Machine = x
		if g.Sent > k.unsureSince {
			k.unsureSince = 0
		}
		m.completeOrder(k, g.Sent)
	}
	if len(g.List) >= len(d.list) { // else machines may be missing from the list.
		m.noteUnnamedWorkers(g)
	}
	m.endGoneWorkers()
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

// noteWorkerBack has a worker called whose lifetime had ended, if the new entry x of the list shows it again: it is in a new lifetime, also
// if its entry has not come yet.
func (m *Model) noteWorkerBack(x Machine) {
	w := m.workers[x.Worker]
	if w == nil || !w.ended || w.machineTaken || x.State != MachineUp {
		return
	}
	w.ended, w.dead, w.goneState = false, false, ""
	m.suspectRestart(w, 0)
}

// noteGoneWorker records that the machine's worker has ended, if the new entry x of the list shows it: the machine is not up any more,
// or has another worker. The list was requested at sent.
func (m *Model) noteGoneWorker(k *machine, x Machine, sent int64) {
	w := m.workerOf(k)
	if w == nil || w.dead || w.heardSince(sent) || x.Worker == w.ID || x.State == MachineUp && x.Worker == "" {
		return
	}
	w.goneState = x.State
	if k.orderedAt != 0 {
		w.goneState = MachineMoving
	}
}

// heardSince reports whether w has become known or has answered since the given time. A list of machines that was requested then does not
// tell whether what runs at w is gone: it may show w between two lifetimes.
func (w *worker) heardSince(sent int64) bool { return w.lifetimeKnownAt >= sent || w.heardAt > sent }

// noteUnnamedWorkers records which workers that have stopped answering are on no machine of the list, which was requested after that.
// The silence may have begun in the lifetime before.
func (m *Model) noteUnnamedWorkers(g MachinesMsg) {
	named := make(map[string]bool, len(g.List))
	for _, x := range g.List {
		named[x.Worker] = true
	}
	for _, w := range m.workerList {
		if w.silentSince != 0 && w.silentSince < g.Sent && !w.heardSince(g.Sent) && !named[w.ID] && w.goneState == "" && !w.machineTaken {
			w.goneState = MachineDown
		}
	}
}

// endGoneWorkers ends the lifetimes that are over by the list of machines. Without a certain claim they may have ended by another
// owner's order, and their tasks may run elsewhere.
func (m *Model) endGoneWorkers() {
	if !m.claimFresh {
		return
	}
	for _, w := range m.workerList {
		if w.goneState == "" || w.dead {
			continue
		}
		if !w.Draining && (w.goneState == MachineDown || w.goneState == MachineUp) {
			m.markCrashed(w, "machine "+string(w.goneState))
			w.crashCounted = true
		}
		w.dead, w.ended, w.endedAt = true, true, m.now
		m.pool(w.Service).dirty = true
	}
}

// completeOrder ends the order to a machine that is up again with a new worker.
func (m *Model) completeOrder(k *machine, sent int64) {
	if k.ackedAt == 0 || sent <= k.ackedAt || k.State != MachineUp || k.Worker == "" || k.Worker == k.oldWorkerID && !k.maybeRepeated {
		return
	}
	m.log("machine back", "", "machine", k.Name, "pool", k.Pool, "worker", k.Worker, "tookMs", m.now-k.ackedAt)
	if k.wave != nil {
		m.markMaintained(k.wave, k.Name)
	}
	m.releaseMachine(k)
}

// markMaintained records that a machine needs no more upkeep for the wave.
func (m *Model) markMaintained(w *wave, name string) {
	w.finished[name] = true
	m.saveWave(w)
}

// saveWave queues the progress of the wave to be written.
func (m *Model) saveWave(w *wave) {
	w.version++
	m.commits.dirtyWaves[w.Number] = w
}

// planMachineOrders requests the list of machines when it is due, and plans upkeep and moves.
func (m *Model) planMachineOrders() {
	d := &m.fleet
	gap := int64(listIdleIntervalMs)
	if m.lostSinceList() {
		gap = listLostIntervalMs
	} else if m.ordersPending() || m.hasLostRuns() || m.blind() && m.mayWaitForUnlisted() {
		gap = listBusyIntervalMs
	}
	if d.listAskedAt != 0 && m.now-d.listAskedAt > orderTimeoutMs {
		d.listAskedAt = 0
	}
	if d.listAskedAt == 0 && (d.listReadAt == 0 || m.now-d.listReadAt >= gap) {
		d.listAskedAt = m.now
		m.emit(ListMachinesCmd{})
	}
	if !d.listKnown {
		return
	}
	m.endGoneWorkers()
	m.countMachines()
	m.markOrdersComplete()
	for _, n := range m.waveNumbers() {
		m.advanceWave(d.waves[n])
	}
	m.planMoves()
}

// mayOrder reports whether any machine may be ordered: the claim is held, and the former owner's has certainly ended.
func (m *Model) mayOrder() bool { return m.claimFresh && m.now >= m.fleet.noOrdersBefore }

// mayOrderTo reports whether certainly no former owner has ordered the machine recently: enough time has passed since
// its last possible order, or its worker is older than that. An order would have ended the worker, unless it repeated
// one that had been carried out before.
func (m *Model) mayOrderTo(k *machine) bool {
	last := m.fleet.ordersKnownSince
	orderedAt, ordered := m.fleet.formerOrderOf(k.Name)
	if ordered {
		last = max(last, orderedAt)
	}
	if m.now >= last+m.cfg.OrderGapMs {
		return true
	}
	if ordered || m.fleet.mayRepeatUpkeep(k.Name) {
		return false
	}
	w := m.workerOf(k)
	return w != nil && w.Born > 0 && w.Born < m.cfg.UnixMs-m.cfg.OrderGapMs-maxClockSkewMs
}

// mayRepeatUpkeep reports whether a former owner may have repeated the machine's upkeep, to learn whether it is done.
func (d *fleet) mayRepeatUpkeep(name string) bool {
	for _, w := range d.waves {
		if w.begun[name] && !w.finished[name] {
			return true
		}
	}
	return false
}

// takeFormerOrders records the orders of a former owner, which gives no more.
func (m *Model) takeFormerOrders(g OrdersMsg) {
	d := &m.fleet
	d.noOrdersBefore, d.ordersKnownSince = min(d.noOrdersBefore, m.now), min(d.ordersKnownSince, m.now-g.SpanMs)
	d.loadedOrders = nil // the times are known now.
	for n, a := range g.AgeMs {
		if orderedAt, ok := d.formerOrderAt[n]; !ok || orderedAt < m.now-a {
			d.formerOrderAt[n] = m.now - a
		}
	}
	m.log("former orders known", "", "machines", len(g.AgeMs), "spanMs", g.SpanMs)
}

// recordOrder records that the machine is ordered now.
func (m *Model) recordOrder(k *machine) { k.orderedAt, m.fleet.lastOrderAt[k.Name] = m.now, m.now }

// Orders returns the recent orders to machines. A successor must wait before it orders these machines.
func (m *Model) Orders(now int64) Orders {
	o := Orders{AgeMs: map[string]int64{}, SpanMs: max(now-m.fleet.ordersKnownSince, 0)}
	for n := range m.fleet.loadedOrders {
		if a := now - m.fleet.loadedOrdersUntil; a < m.cfg.OrderGapMs {
			o.AgeMs[n] = max(a, 0)
		}
	}
	for _, l := range []map[string]int64{m.fleet.formerOrderAt, m.fleet.lastOrderAt} {
		for n, orderedAt := range l {
			if now-orderedAt < m.cfg.OrderGapMs {
				o.AgeMs[n] = now - orderedAt // overwrites the former owner's entry, which is older.
			}
		}
	}
	return o
}

// mayWaitForUnlisted reports whether tasks may be waiting because a machine's worker is not listed.
func (m *Model) mayWaitForUnlisted() bool {
	for _, p := range m.pools {
		if p.counts.unlisted > 0 && len(p.openJobs) > 0 {
			return true
		}
	}
	return false
}

// lostSinceList reports whether a worker with runs has stopped answering since the list of machines was requested last. The list tells
// whether its lifetime has ended, long before its lease expires.
func (m *Model) lostSinceList() bool {
	return slices.ContainsFunc(m.workerList, func(w *worker) bool {
		return len(w.runs) > 0 && !w.dead && w.silentSince >= m.fleet.listSentAt && w.silentSince != 0
	})
}

// hasLostRuns reports whether a worker that runs something does not answer.
func (m *Model) hasLostRuns() bool {
	return slices.ContainsFunc(m.workerList, func(w *worker) bool { return len(w.runs) > 0 && !w.dead && w.silentSince != 0 })
}

func (m *Model) ordersPending() bool {
	for _, k := range m.fleet.list {
		if k.orderedAt != 0 || k.ackedAt != 0 || k.unsureSince != 0 || k.wave != nil && m.mayHaveNewWorker(k) {
			return true
		}
	}
	return false
}

// orderAnswered handles the answer to an order to a machine.
func (m *Model) orderAnswered(g OrderDoneMsg) {
	k := m.fleet.machines[g.Machine]
	if k == nil || k.orderedAt == 0 {
		return
	}
	if g.Result != OrderOK {
		m.log("machine not ordered", "", "machine", g.Machine, "wave", g.Wave, "pool", k.targetPool, "result", int(g.Result))
	}
	switch g.Result {
	case OrderOK:
		k.ackedAt = m.now
		if w := m.workers[k.oldWorkerID]; w != nil && !k.maybeRepeated && w.lifetimeKnownAt <= k.orderedAt {
			w.dead, w.machineTaken = true, true
			m.pool(w.Service).dirty = true
		}
	case OrderRejected:
		if k.wave != nil {
			m.markMaintained(k.wave, k.Name)
		}
		m.releaseMachine(k)
	case OrderBusy, OrderNotSent, OrderThrottled:
		if g.Result == OrderBusy {
			k.unsureSince = m.now // it is not up, and the list said that it is.
		}
		if g.Result == OrderThrottled {
			m.fleet.pace.pause(m.now)
		}
		if g.Wave == 0 {
			m.releaseMachine(k)
		} else {
			k.orderedAt = m.now
		}
	case OrderUnsure:
		k.maybeRepeated, k.unsureSince = true, m.now
	}
}

// releaseMachine ends the machine's order and lets its worker take tasks again.
func (m *Model) releaseMachine(k *machine) {
	if w := m.workers[k.Worker]; w != nil {
		w.cordoned = false
		m.pool(w.Service).dirty = true
	}
	k.wave, k.targetPool, k.orderedAt, k.ackedAt, k.oldWorkerID, k.maybeRepeated, k.unsentVersion = nil, "", 0, 0, "", false, 0
}

// mayHaveNewWorker reports whether a worker that is not known may run on the machine since the list of machines was read.
func (m *Model) mayHaveNewWorker(k *machine) bool {
	if w := m.workerOf(k); w != nil && !w.dead || m.services[k.Pool].Standby {
		return false
	}
	return slices.ContainsFunc(m.fleet.unplaced, func(w *worker) bool { return w.Zone == k.Zone })
}

// workerOf returns the machine's worker, or nil if it is not known.
func (m *Model) workerOf(k *machine) *worker {
	if k.Worker == "" {
		return nil
	}
	return m.workers[k.Worker]
}

// empty reports whether w has no runs and no ended runs that wait to be stored.
func empty(w *worker) bool { return len(w.runs) == 0 && !w.hasUnstoredEnds() }

// isVacant reports whether an order to the machine would end no run, as far as the owner and its list of machines know.
func (m *Model) isVacant(k *machine) bool {
	if w := m.workerOf(k); w != nil && !w.dead {
		return len(w.runs) == 0
	}
	return !m.mayHaveNewWorker(k)
}

// mayStopLasting reports whether a lasting task may be stopped: fewer than max(MayMiss, 1) other tasks of its step are
// not serving.
func (m *Model) mayStopLasting(r *run) bool {
	return r.task.othersAway() < max(r.task.stage.MayMiss, 1)
}

// othersAway returns the number of other tasks of t's step that are not serving.
func (t *task) othersAway() int {
	n := 0
	for _, o := range t.stage.tasks {
		if o != t && !o.isServing() {
			n++
		}
	}
	return n
}

// isServing reports whether a lasting task has started up and its worker answers.
func (t *task) isServing() bool {
	return slices.ContainsFunc(t.runs, func(r *run) bool { return r.state == running && r.percent >= 100 && r.worker.silentSince == 0 })
}
