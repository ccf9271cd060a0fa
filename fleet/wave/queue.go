package wave

import (
	"cmp"
	"slices"
	"strings"

	"burdockreach.dev/fleet/pool"
)

// queuedStop is a planned stop that waits for room in the budgets; the wave is empty for a move.
type queuedStop struct {
	vm, wave string
	rack     *rack
}

// rack holds the counts by which a pool's VMs are ordered: VMs of the rack that are out, done with the wave and left to do.
type rack struct {
	name            string
	out, done, left int
}

// scan goes through the host list and the membership. It finds the VMs that are failing, new or in the wrong pool, and queues
// the next stops of each pool.
func (p *Planner) scan() {
	clear(p.failing)
	p.newHosts, p.lateDrains, p.misassigned = nil, nil, nil
	if p.listedAt == 0 {
		return
	}
	p.scanHosts()
	racks := map[string]*rack{}
	todo := map[string][]queuedStop{}
	for m := range p.table.All() {
		p.scanMember(m)
		r := racks[m.Rack]
		if r == nil {
			r = &rack{name: m.Rack}
			racks[m.Rack] = r
		}
		w, ok := p.waveOf(m.Pool)
		switch {
		case m.State != pool.Serving || p.failing[m.VM]:
			r.out++
		case ok && m.FinishedWave == w.ID:
			r.done++
			p.canaryPassed[wavePool{wave: w.ID, pool: m.Pool}] = true
		case ok && !w.Paused && p.isUp(m.VM) && p.backoffs[m.VM].until <= p.now:
			r.left++
			todo[m.Pool] = append(todo[m.Pool], queuedStop{vm: m.VM, wave: w.ID, rack: r})
		}
	}
	p.buildQueues(todo)
}

// scanHosts collects the listed VMs that the membership lacks, and clears the gone times of VMs that are back or dropped.
func (p *Planner) scanHosts() {
	for vm, h := range p.hosts {
		if h.RunsEntry {
			continue
		}
		if _, ok := p.table.Find(vm); !ok {
			p.newHosts = append(p.newHosts, vm)
		}
	}
	slices.Sort(p.newHosts)
	for vm := range p.goneSince {
		if _, ok := p.table.Find(vm); !ok || !p.isGone(vm) {
			delete(p.goneSince, vm)
		}
	}
}

// scanMember records whether the VM is gone, failing, drained by a late call or in the wrong pool.
func (p *Planner) scanMember(m pool.Member) {
	if p.isGone(m.VM) {
		if _, ok := p.goneSince[m.VM]; !ok {
			p.goneSince[m.VM] = p.now
		}
	}
	if m.State != pool.Serving {
		return
	}
	h := p.hosts[m.VM]
	switch {
	case p.isDown(m.VM):
		p.failing[m.VM] = true
	case h.State == Leaving && (m.MaybeDrained || m.FinishedWave != "" && p.now-m.StateSince < lateDrainMillis):
		p.lateDrains = append(p.lateDrains, m.VM)
	case h.State == Leaving:
		p.failing[m.VM] = true
	case h.Pool != m.Pool && p.listedAt > m.StateSince+p.limits.listLag:
		p.misassigned = append(p.misassigned, m)
	}
}

// buildQueues queues each pool's moves and then its wave stops, rack by rack: racks with VMs out first, then racks that the wave
// has begun.
func (p *Planner) buildQueues(todo map[string][]queuedStop) {
	clear(p.queues)
	for vm, v := range p.moveRequests {
		m, ok := p.table.Find(vm)
		late := m.State == pool.Serving && p.now-v.requestedAt > moveTimeoutMillis
		if !ok || m.Pool != v.From || v.From == v.To || late {
			delete(p.moveRequests, vm)
			continue
		}
		if p.backoffs[vm].until <= p.now && p.isUp(vm) {
			p.queues[m.Pool] = append(p.queues[m.Pool], queuedStop{vm: vm})
		}
	}
	for _, q := range p.queues {
		slices.SortFunc(q, func(a, b queuedStop) int { return strings.Compare(a.vm, b.vm) })
	}
	for name, l := range todo {
		if p.stoppedWave(name) != "" {
			continue
		}
		slices.SortFunc(l, compareStops)
		for _, t := range l {
			if _, moving := p.moveRequests[t.vm]; !moving {
				p.queues[name] = append(p.queues[name], t)
			}
		}
	}
}

// compareStops orders the stops of a wave by rack: most VMs out, begun by the wave, fewest left, name; then by VM.
func compareStops(a, b queuedStop) int {
	x, y := a.rack, b.rack
	return cmp.Or(
		cmp.Compare(y.out, x.out),
		cmp.Compare(min(y.done, 1), min(x.done, 1)),
		cmp.Compare(x.left, y.left),
		strings.Compare(x.name, y.name),
		strings.Compare(a.vm, b.vm),
	)
}

// waveOf returns the newest wave that names the pool.
func (p *Planner) waveOf(name string) (Wave, bool) {
	for i := len(p.waves) - 1; i >= 0; i-- {
		if slices.Contains(p.waves[i].Pools, name) {
			return p.waves[i], true
		}
	}
	return Wave{}, false
}

// isWaveWanted reports whether the wave is still configured, paused or not.
func (p *Planner) isWaveWanted(id string) bool {
	return slices.ContainsFunc(p.waves, func(w Wave) bool { return w.ID == id })
}

// isStopWanted reports whether the VM's running stop is a move, or of a wave that is still configured.
func (p *Planner) isStopWanted(m pool.Member) bool {
	return m.RunningWave == "" || p.isWaveWanted(m.RunningWave)
}

// isWaveStopped reports whether so many VMs failed during their stop for the wave that the wave stops.
func (p *Planner) isWaveStopped(id string) bool {
	lost := map[string]bool{}
	for _, d := range p.budgets {
		for _, a := range d.budget.absences {
			if a.Failed && a.Wave == id {
				lost[a.VM] = true
			}
		}
	}
	for m := range p.table.Busy() {
		if m.State == pool.Failed && m.RunningWave == id {
			lost[m.VM] = true
		}
	}
	return len(lost) >= p.limits.failureLimit
}

// idleStarts returns the VMs of idle pools, which have no services and so no budgets, that begin to drain.
func (p *Planner) idleStarts() []pool.Member {
	var l []pool.Member
	for name, q := range p.queues {
		if len(p.services[name]) > 0 || !p.areStopsAllowed() {
			continue
		}
		room := p.limits.maxIdleOut - p.countIdleOut(name)
		for _, t := range q {
			m, ok := p.table.Find(t.vm)
			if !ok || m.State != pool.Serving || m.Pool != name || !p.isFresh(p.shards[p.table.Index(m.VM)]) {
				continue
			}
			if t.wave != "" {
				if room <= 0 {
					break
				}
				room--
			}
			l = append(l, p.startDrain(m, p.newReservation(m, t.wave)))
		}
	}
	return l
}

// countIdleOut returns how many VMs of an idle pool are out, not counting moves.
func (p *Planner) countIdleOut(name string) int {
	n := 0
	for m := range p.table.Busy() {
		if m.Pool == name && m.MoveTo == "" && m.State != pool.Serving {
			n++
		}
	}
	return n
}
