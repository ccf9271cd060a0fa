package batch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
)

// Planning of moves between pools. Times in milliseconds.
const (
	quietAfterMs    = 1_500   // a pool without a waiting task for this long is quiet.
	minIdleToGiveMs = 300     // a worker empty for this long may be given to a pool that lacks machines.
	unneededIdleMs  = 1_000   // a worker empty for this long is not needed while no work waits, whatever the forecast says.
	parkAfterIdleMs = 2_500   // an unneeded worker empty for this long is parked: a move each way costs about as much.
	demandHeadroom  = 1.1     // room that a pool is given, relative to its present demand.
	backlogDrainMs  = 1_500.0 // time within which a pool's backlog is to be worked off.
	minWorkers      = 2       // least number of machines for a pool in use.
	planIntervalMs  = 100     // between two plans.
)

// planMoves moves idle machines to pools whose work waits or is about to come, and parks those that no pool needs.
func (m *Model) planMoves() {
	m.measureWaiting()
	if !m.mayOrder() || m.now-m.movesPlannedAt < planIntervalMs {
		return
	}
	m.movesPlannedAt = m.now
	m.retryMoves()
	m.setWantedMachines()
	if l := m.poolsByNeed(); len(l) > 0 {
		m.giveMachines(l)
	}
	m.parkIdle()
	m.logMoves()
	m.logPools()
}

// setWantedMachines sets how many machines each pool should have now.
func (m *Model) setWantedMachines() {
	room := max(m.fleet.meanCPU, 1)
	for _, p := range m.pools {
		need := p.demand.rate*demandHeadroom + p.runnableBacklog/backlogDrainMs
		p.demand.wantedMachines = max(int(math.Ceil((need+m.lastingCPU(p))/room)), minWorkers)
		if len(p.workers) == 0 && len(p.openJobs) == 0 && p.demand.rate < 1 {
			p.demand.wantedMachines = 0
		}
		if p.demand.wantedMachines > p.counts.serving {
			p.demand.lastLackedAt = m.now
		}
		p.demand.everLackedMachines = p.demand.everLackedMachines || p.demand.wantedMachines > p.counts.machines && p.counts.machines > 0
	}
}

// lastingCPU returns the CPU that lasting tasks hold in the pool, in thousandths of a core.
func (m *Model) lastingCPU(p *pool) float64 {
	n := int64(0)
	for _, w := range p.workers {
		n += w.lasting.CPU
	}
	return float64(n)
}

// poolsByNeed returns the pools that lack machines, those with the most waiting work first.
func (m *Model) poolsByNeed() []*pool {
	var l []*pool
	for _, n := range sortedKeys(m.pools) {
		if s, ok := m.services[n]; ok && !s.Standby && m.missingMachines(m.pools[n]) > 0 {
			l = append(l, m.pools[n])
		}
	}
	slices.SortStableFunc(l, func(a, b *pool) int { return cmp.Compare(b.demand.waitingWork, a.demand.waitingWork) })
	return l
}

// missingMachines returns the number of machines to move to the pool, not counting those on their way.
func (m *Model) missingMachines(p *pool) int {
	return p.demand.wantedMachines - p.counts.serving - p.counts.arriving
}

// poolCounts holds the numbers of machines of one pool that the plans use.
type poolCounts struct {
	serving  int // workers that accept tasks.
	arriving int // machines on their way to the pool.
	upkeep   int // machines that are being emptied or maintained.
	machines int
	unlisted int // machines that are up and whose worker is not listed.
}

// countMachines sets the counts of all pools and the mean CPU of a machine.
func (m *Model) countMachines() {
	for _, p := range m.pools {
		p.counts = poolCounts{}
		for _, w := range p.workers {
			if w.listed && !w.Draining && !w.cordoned && !w.dead && w.silentSince == 0 {
				p.counts.serving++
			}
		}
	}
	cpu := int64(0)
	known := make(map[string]bool, len(m.fleet.list))
	for _, k := range m.fleet.list {
		cpu += k.Room.CPU
		known[k.Worker] = true
		t := &m.pool(k.Pool).counts
		if k.State == MachineUp && k.Worker != "" && m.workerOf(k) == nil {
			t.unlisted++
		}
		t.machines++
		if k.wave != nil {
			t.upkeep++
		}
		if k.targetPool != "" && (k.ackedAt == 0 || m.now-k.ackedAt < arrivalTimeoutMs) {
			m.pool(k.targetPool).counts.arriving++
		}
	}
	m.fleet.unplaced = m.fleet.unplaced[:0]
	for _, w := range m.workerList {
		if !w.listed || w.dead || known[w.ID] {
			continue
		}
		m.fleet.unplaced = append(m.fleet.unplaced, w)
		if p := m.pool(w.Service); p.counts.arriving > 0 {
			p.counts.arriving-- // it has arrived since the list of machines was read.
		}
	}
	m.fleet.meanCPU = float64(cpu) / float64(max(len(m.fleet.list), 1))
}

// giveMachines moves idle machines to the pools that lack some, beginning with the machines that cost their own pool
// least.
func (m *Model) giveMachines(to []*pool) {
	type offer struct {
		k    *machine
		cost float64
	}
	var l []offer
	for _, k := range m.fleet.list {
		if c, ok := m.mayGive(k); ok {
			l = append(l, offer{k, c})
		}
	}
	slices.SortStableFunc(l, func(a, b offer) int { return cmp.Compare(a.cost, b.cost) })
	for _, p := range to {
		n := m.missingMachines(p)
		for i := 0; i < len(l) && n > 0; {
			if _, ok := m.giveCost(l[i].k); !ok || l[i].k.Pool == p.name {
				i++
				continue
			}
			if !m.takeOrder() {
				return
			}
			m.moveMachine(l[i].k, p.name)
			l = slices.Delete(l, i, i+1)
			n--
		}
	}
}

// mayGive returns the cost of giving the machine away, and false if it must stay or may not be ordered now.
func (m *Model) mayGive(k *machine) (float64, bool) {
	if k.State != MachineUp || k.wave != nil || k.targetPool != "" || k.unsureSince != 0 || !m.mayOrderTo(k) {
		return 0, false
	}
	return m.giveCost(k)
}

// giveCost returns the cost to the machine's pool of giving the machine away, and false if it must stay.
func (m *Model) giveCost(k *machine) (float64, bool) {
	if m.services[k.Pool].Standby {
		return 0, true
	}
	p := m.pool(k.Pool)
	if !m.canSpare(k) {
		return 0, false
	}
	return 1 + float64(p.demand.wantedMachines)/float64(max(p.counts.serving, 1)), true
}

// canSpare reports whether the machine is idle and its pool has more machines than it wants, or has no waiting work.
func (m *Model) canSpare(k *machine) bool {
	w, p := m.workerOf(k), m.pool(k.Pool)
	if w == nil || !w.listed || w.Draining || w.cordoned || w.silentSince != 0 || !w.synced || !empty(w) {
		return false
	}
	idle := m.now - w.lastUsedAt
	return idle >= minIdleToGiveMs && p.counts.serving > p.demand.wantedMachines || idle >= unneededIdleMs && p.demand.waitingWork == 0
}

// moveMachine orders an empty machine to another pool.
func (m *Model) moveMachine(k *machine, pool string) {
	if w := m.workerOf(k); w != nil {
		w.cordoned = true
	}
	p := m.pool(pool)
	r := route{from: k.Pool, to: pool}
	m.fleet.moved[r] = append(m.fleet.moved[r], k.Name)
	k.targetPool, k.oldWorkerID, k.ackedAt = pool, k.Worker, 0
	m.sendOrder(k)
	p.counts.arriving++
	m.pool(k.Pool).counts.serving--
}

// route is the direction of a move.
type route struct{ from, to string }

func compareRoutes(a, b route) int {
	return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to))
}

// maxLoggedNames limits the length of a log line.
const maxLoggedNames = 100

// logMoves logs the moves of one plan, one line for each direction.
func (m *Model) logMoves() {
	for _, r := range slices.SortedFunc(maps.Keys(m.fleet.moved), compareRoutes) {
		l, p := m.fleet.moved[r], m.pool(r.to)
		m.log("machines move", "", "from", r.from, "to", r.to, "count", len(l), "machines", strings.Join(l[:min(len(l), maxLoggedNames)], " "),
			"want", p.demand.wantedMachines, "has", p.counts.serving, "waitingCoreMs", int64(p.demand.waitingWork)/1000, "rateCores", int64(p.demand.rate)/1000,
			"listAgeMs", m.now-m.fleet.listSentAt)
	}
	clear(m.fleet.moved)
}

// poolLogIntervalMs is the time between two log lines on pools that lack machines, in ms.
const poolLogIntervalMs = 1_000

// logPools logs the pools that lack machines.
func (m *Model) logPools() {
	if m.now-m.fleet.poolsLoggedAt < poolLogIntervalMs {
		return
	}
	m.fleet.poolsLoggedAt = m.now
	for _, n := range sortedKeys(m.pools) {
		p := m.pools[n]
		if c := p.counts; !m.services[n].Standby && p.demand.wantedMachines > c.serving {
			m.log("pool lacks machines", "", "pool", n, "want", p.demand.wantedMachines, "has", c.serving, "arriving", c.arriving, "upkeep", c.upkeep,
				"spareElsewhere", m.spareMachines(n), "waitingCoreMs", int64(p.demand.waitingWork)/1000, "rateCores", int64(p.demand.rate)/1000,
				"backlogCoreMs", int64(p.backlog)/1000)
		}
	}
}

// spareMachines returns the number of machines in other pools that could be moved now.
func (m *Model) spareMachines(pool string) int {
	n := 0
	for _, k := range m.fleet.list {
		if _, ok := m.mayGive(k); ok && k.Pool != pool {
			n++
		}
	}
	return n
}

// parkIdle moves machines that no pool needs to a pool where they cost nothing.
func (m *Model) parkIdle() {
	to := ""
	for _, n := range sortedKeys(m.services) {
		if m.services[n].Standby {
			to = n
		}
	}
	if to == "" {
		return
	}
	for _, k := range m.fleet.list {
		if k.State != MachineUp || k.wave != nil || k.targetPool != "" || k.unsureSince != 0 || m.services[k.Pool].Standby || !m.pool(k.Pool).demand.everLackedMachines ||
			!m.mayOrderTo(k) || !m.canSpare(k) {
			continue // a pool keeps its machines until its first load peak.
		}
		if m.now-m.workerOf(k).lastUsedAt < parkAfterIdleMs || m.now-m.pool(k.Pool).demand.lastLackedAt < parkAfterIdleMs {
			continue
		}
		if !m.takeOrder() {
			return
		}
		m.moveMachine(k, to)
	}
}

// retryMoves repeats unanswered orders and ends those that were carried out long ago.
func (m *Model) retryMoves() {
	for _, k := range m.fleet.list {
		switch {
		case k.targetPool == "":
		case k.unsentVersion != 0:
			if m.now-k.orderedAt > orderTimeoutMs && !k.maybeRepeated {
				m.releaseMachine(k) // the store does not take it, and it was never sent.
			}
		case k.ackedAt == 0 && m.now-k.orderedAt > orderTimeoutMs && k.unsureSince == 0 && m.mayOrderTo(k):
			m.repeatMove(k)
		case k.ackedAt != 0 && m.now-k.ackedAt > arrivalTimeoutMs && k.State == MachineUp && m.fleet.listSentAt > k.ackedAt:
			m.releaseMachine(k)
		}
	}
}

// repeatMove sends a move that was not answered again, unless the machine has a new worker that runs tasks.
func (m *Model) repeatMove(k *machine) {
	if !m.isVacant(k) {
		m.releaseMachine(k)
		return
	}
	if m.takeOrder() {
		k.maybeRepeated = true
		m.sendOrder(k)
	}
}
