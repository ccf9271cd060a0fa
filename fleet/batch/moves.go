package batch

import (
	"cmp"
	"math"
	"slices"
)

// Moves between pools.
const (
	quietMs    = 1_500   // a pool that has had no waiting task for so long is quiet.
	idleGiveMs = 300     // a worker that has been empty for so long may be given to a pool that lacks machines.
	idleSureMs = 1_000   // one that has been empty for so long is not needed, whatever the forecast says.
	idleParkMs = 2_500   // one that nobody needs for so long is parked: a move each way costs as much.
	headroom   = 1.1     // room that a pool is given for its present demand.
	backlogMs  = 1_500.0 // in which a backlog is to be worked off.
	minWorkers = 2       // a pool that is served keeps so many.
	mostMoves  = 64      // moves under way to one pool: the platform takes about as many orders a second.
	moveGapMs  = 100     // between two plans.
)

// planMoves brings idle machines to pools whose work waits or is about to come, and parks those that nobody needs.
func (m *Model) planMoves() {
	m.measure()
	if !m.mayOrder() || m.now-m.movedAt < moveGapMs {
		return
	}
	m.movedAt = m.now
	m.retryMoves()
	m.setWants()
	if l := m.byNeed(); len(l) > 0 {
		m.give(l)
	}
	m.park()
}

// setWants sets how many machines each pool should have now.
func (m *Model) setWants() {
	room := max(m.duty.room, 1)
	for _, p := range m.pools {
		need := p.demand.rate*headroom + p.backlog/backlogMs
		p.demand.want = max(int(math.Ceil((need+m.lastingCPU(p))/room)), minWorkers)
		if len(p.workers) == 0 && len(p.open) == 0 && p.demand.rate < 1 {
			p.demand.want = 0
		}
		p.demand.busyOnce = p.demand.busyOnce || p.demand.want > p.tally.machines && p.tally.machines > 0
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

// byNeed returns the pools that lack machines, the one whose work waits longest first.
func (m *Model) byNeed() []*pool {
	var l []*pool
	for _, n := range sortedKeys(m.pools) {
		if s, ok := m.services[n]; ok && !s.Standby && m.missingMachines(m.pools[n]) > 0 {
			l = append(l, m.pools[n])
		}
	}
	slices.SortStableFunc(l, func(a, b *pool) int { return cmp.Compare(b.demand.short, a.demand.short) })
	return l
}

// missingMachines is the number of machines that the pool lacks, those on their way aside.
func (m *Model) missingMachines(p *pool) int {
	return min(p.demand.want-p.tally.serving-p.tally.coming, mostMoves-p.tally.coming)
}

// tally counts the machines of each pool, for the plans of one round.
type tally struct {
	serving  int // workers that take tasks.
	coming   int // machines on their way.
	upkeep   int // machines that are out for upkeep, or about to be.
	machines int
	unseen   int // machines that are up with a worker that is not listed.
}

// count takes the tallies of all pools, and the mean CPU of a machine.
func (m *Model) count() {
	for _, p := range m.pools {
		p.tally = tally{}
		for _, w := range p.workers {
			if w.listed && !w.Draining && !w.cordoned && !w.over && w.silent == 0 {
				p.tally.serving++
			}
		}
	}
	cpu := int64(0)
	for _, k := range m.duty.list {
		cpu += k.Room.CPU
		t := &m.pool(k.Pool).tally
		if k.State == Up && k.Worker != "" && m.workerOf(k) == nil {
			t.unseen++
		}
		t.machines++
		if k.wave != nil {
			t.upkeep++
		}
		if k.target != "" && (k.done == 0 || m.now-k.done < comingMs) {
			m.pool(k.target).tally.coming++
		}
	}
	m.duty.room = float64(cpu) / float64(max(len(m.duty.list), 1))
}

// give moves idle machines to the pools that lack some, those first that their own pool misses least.
func (m *Model) give(to []*pool) {
	type offer struct {
		k    *machine
		cost float64
	}
	var l []offer
	for _, k := range m.duty.list {
		if k.State != Up || k.wave != nil || k.target != "" || !m.mayOrderTo(k) {
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
			m.move(l[i].k, p.name)
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
	if !m.spare(k) {
		return 0, false
	}
	return 1 + float64(p.demand.want)/float64(max(p.tally.serving, 1)), true
}

// spare reports whether the machine is idle and its pool has more than it wants.
func (m *Model) spare(k *machine) bool {
	w, p := m.workerOf(k), m.pool(k.Pool)
	if w == nil || !w.listed || w.Draining || w.cordoned || w.silent != 0 || !w.synced || !empty(w) {
		return false
	}
	idle := m.now - w.usedAt
	return idle >= idleGiveMs && p.tally.serving+p.tally.coming > p.demand.want || idle >= idleSureMs && p.demand.short == 0
}

// move orders an empty machine to another pool.
func (m *Model) move(k *machine, pool string) {
	if w := m.workerOf(k); w != nil {
		w.cordoned = true
	}
	p := m.pool(pool)
	m.log("machine moves", "", "machine", k.Name, "from", k.Pool, "to", pool, "want", p.demand.want, "has", p.tally.serving,
		"waitingCoreMs", int64(p.demand.short)/1000, "rateCores", int64(p.demand.rate)/1000)
	k.target, k.oldWorker, k.done = pool, k.Worker, 0
	m.noteOrder(k)
	p.tally.coming++
	m.pool(k.Pool).tally.serving--
	m.do(MoveCmd{Machine: k.Name, Pool: pool, Fence: m.cfg.Fence})
}

// park moves machines that nobody needs to a pool where they cost nothing.
func (m *Model) park() {
	to := ""
	for _, n := range sortedKeys(m.services) {
		if m.services[n].Standby {
			to = n
		}
	}
	if to == "" {
		return
	}
	for _, k := range m.duty.list {
		if k.State != Up || k.wave != nil || k.target != "" || m.services[k.Pool].Standby || !m.pool(k.Pool).demand.busyOnce ||
			!m.mayOrderTo(k) || !m.spare(k) {
			continue // a pool keeps its machines until its first turn.
		}
		if m.now-m.workerOf(k).usedAt >= idleParkMs {
			m.move(k, to)
		}
	}
}

// retryMoves repeats orders whose answer did not come, and forgets those that are long done.
func (m *Model) retryMoves() {
	for _, k := range m.duty.list {
		switch {
		case k.target == "":
		case k.done == 0 && m.now-k.ordered > listWaitMs && m.mayOrderTo(k):
			k.again = true
			m.noteOrder(k)
			m.do(MoveCmd{Machine: k.Name, Pool: k.target, Fence: m.cfg.Fence})
		case k.done != 0 && m.now-k.done > comingMs && k.State == Up && m.duty.listSent > k.done:
			m.release(k)
		}
	}
}
