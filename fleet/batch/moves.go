package batch

import (
	"cmp"
	"math"
	"slices"
)

// Moves between pools.
const (
	quietAfterMs    = 1_500   // a pool that has had no waiting task for so long is quiet.
	minIdleToGiveMs = 300     // a worker that has been empty for so long may be given to a pool that lacks machines.
	unneededIdleMs  = 1_000   // one that has been empty for so long is not needed, whatever the forecast says.
	parkAfterIdleMs = 2_500   // one that nobody needs for so long is parked: a move each way costs as much.
	demandHeadroom  = 1.1     // room that a pool is given for its present demand.
	backlogDrainMs  = 1_500.0 // in which a backlog is to be worked off.
	minWorkers      = 2       // a pool that is served keeps so many.
	maxPoolMoves    = 64      // moves under way to one pool: the platform takes about as many orders a second.
	planIntervalMs  = 100     // between two plans.
)

// planMoves brings idle machines to pools whose work waits or is about to come, and parks those that nobody needs.
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
}

// setWantedMachines sets how many machines each pool should have now.
func (m *Model) setWantedMachines() {
	room := max(m.fleet.meanCPU, 1)
	for _, p := range m.pools {
		need := p.demand.rate*demandHeadroom + p.backlog/backlogDrainMs
		p.demand.wantedMachines = max(int(math.Ceil((need+m.lastingCPU(p))/room)), minWorkers)
		if len(p.workers) == 0 && len(p.openJobs) == 0 && p.demand.rate < 1 {
			p.demand.wantedMachines = 0
		}
		p.demand.everShort = p.demand.everShort || p.demand.wantedMachines > p.counts.machines && p.counts.machines > 0
	}
}

// lastingCPU is the CPU that lasting tasks hold in the pool, in thousandths of a core.
func (m *Model) lastingCPU(p *pool) float64 {
	n := int64(0)
	for _, w := range p.workers {
		for _, r := range w.runs {
			if r.task.stage.Lasting {
				n += r.task.stage.size().CPU
			}
		}
	}
	return float64(n)
}

// poolsByNeed returns the pools that lack machines, the one whose work waits longest first.
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

// missingMachines is the number of machines that the pool lacks, those on their way aside.
func (m *Model) missingMachines(p *pool) int {
	return min(p.demand.wantedMachines-p.counts.serving-p.counts.arriving, maxPoolMoves-p.counts.arriving)
}

// poolCounts counts the machines of each pool, for the plans of one round.
type poolCounts struct {
	serving  int // workers that take tasks.
	arriving int // machines on their way.
	upkeep   int // machines that are out for upkeep, or about to be.
	machines int
	unlisted int // machines that are up with a worker that is not listed.
}

// countMachines takes the tallies of all pools, and the mean CPU of a machine.
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
	for _, k := range m.fleet.list {
		cpu += k.Room.CPU
		t := &m.pool(k.Pool).counts
		if k.State == Up && k.Worker != "" && m.workerOf(k) == nil {
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
	m.fleet.meanCPU = float64(cpu) / float64(max(len(m.fleet.list), 1))
}

// giveMachines moves idle machines to the pools that lack some, those first that their own pool misses least.
func (m *Model) giveMachines(to []*pool) {
	type offer struct {
		k    *machine
		cost float64
	}
	var l []offer
	for _, k := range m.fleet.list {
		if k.State != Up || k.wave != nil || k.targetPool != "" || !m.mayOrderTo(k) {
			continue
		}
		if c, ok := m.giveCost(k); ok {
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
			m.moveMachine(l[i].k, p.name)
			l = slices.Delete(l, i, i+1)
			n--
		}
	}
}

// giveCost weighs what the machine's pool loses; it reports false when the machine must stay.
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

// canSpare reports whether the machine is idle and its pool has more than it wants.
func (m *Model) canSpare(k *machine) bool {
	w, p := m.workerOf(k), m.pool(k.Pool)
	if w == nil || !w.listed || w.Draining || w.cordoned || w.silentSince != 0 || !w.synced || !empty(w) {
		return false
	}
	idle := m.now - w.lastUsedAt
	return idle >= minIdleToGiveMs && p.counts.serving+p.counts.arriving > p.demand.wantedMachines || idle >= unneededIdleMs && p.demand.waitingWork == 0
}

// moveMachine orders an empty machine to another pool.
func (m *Model) moveMachine(k *machine, pool string) {
	if w := m.workerOf(k); w != nil {
		w.cordoned = true
	}
	p := m.pool(pool)
	m.log("machine moves", "", "machine", k.Name, "from", k.Pool, "to", pool, "want", p.demand.wantedMachines, "has", p.counts.serving,
		"waitingCoreMs", int64(p.demand.waitingWork)/1000, "rateCores", int64(p.demand.rate)/1000)
	k.targetPool, k.oldWorkerID, k.ackedAt = pool, k.Worker, 0
	m.recordOrder(k)
	p.counts.arriving++
	m.pool(k.Pool).counts.serving--
	m.emit(MoveCmd{Machine: k.Name, Pool: pool, Fence: m.cfg.Fence})
}

// parkIdle moves machines that nobody needs to a pool where they cost nothing.
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
		if k.State != Up || k.wave != nil || k.targetPool != "" || m.services[k.Pool].Standby || !m.pool(k.Pool).demand.everShort ||
			!m.mayOrderTo(k) || !m.canSpare(k) {
			continue // a pool keeps its machines until its first turn.
		}
		if m.now-m.workerOf(k).lastUsedAt >= parkAfterIdleMs {
			m.moveMachine(k, to)
		}
	}
}

// retryMoves repeats orders whose answer did not come, and forgets those that are long done.
func (m *Model) retryMoves() {
	for _, k := range m.fleet.list {
		switch {
		case k.targetPool == "":
		case k.ackedAt == 0 && m.now-k.orderedAt > orderTimeoutMs && m.mayOrderTo(k):
			k.maybeRepeated = true
			m.recordOrder(k)
			m.emit(MoveCmd{Machine: k.Name, Pool: k.targetPool, Fence: m.cfg.Fence})
		case k.ackedAt != 0 && m.now-k.ackedAt > arrivalTimeoutMs && k.State == Up && m.fleet.listSentAt > k.ackedAt:
			m.releaseMachine(k)
		}
	}
}
