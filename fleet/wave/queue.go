package wave

import (
	"cmp"
	"slices"
	"strings"

	"burdockreach.dev/fleet/pool"
)

// task is a planned stop that waits for room in the budget; the wave is empty for a move.
type task struct {
	vm, wave string
	rack     *rack
}

// rack is what the order of a pool's VMs depends on.
type rack struct {
	name            string
	out, done, left int
}

// survey looks over the whole fleet: which VMs are dead, new or astray, and which come next in each pool.
func (p *Planner) survey() {
	clear(p.failing)
	p.newcomers, p.strays, p.astray = nil, nil, nil
	if p.hostsAt == 0 {
		return
	}
	p.surveyHosts()
	racks := map[string]*rack{}
	todo := map[string][]task{}
	for m := range p.table.All() {
		p.surveyMember(m)
		r := racks[m.Rack]
		if r == nil {
			r = &rack{name: m.Rack}
			racks[m.Rack] = r
		}
		w, ok := p.waveOf(m.Pool)
		switch {
		case m.State != pool.Serving || p.failing[m.VM]:
			r.out++
		case ok && m.Wave == w.ID:
			r.done++
			p.finished[stage{wave: w.ID, pool: m.Pool}] = true
		case ok && !w.Paused && p.isUp(m.VM) && p.holds[m.VM].until <= p.now:
			r.left++
			todo[m.Pool] = append(todo[m.Pool], task{vm: m.VM, wave: w.ID, rack: r})
		}
	}
	p.order(todo)
}

// surveyHosts notes listed VMs that the membership lacks, and when VMs were first seen gone.
func (p *Planner) surveyHosts() {
	for vm, h := range p.hosts {
		if h.Entry {
			continue
		}
		if _, ok := p.table.Find(vm); !ok {
			p.newcomers = append(p.newcomers, vm)
		}
	}
	slices.Sort(p.newcomers)
	for vm := range p.goneAt {
		if _, ok := p.table.Find(vm); !ok || !p.isGone(vm) {
			delete(p.goneAt, vm)
		}
	}
}

func (p *Planner) surveyMember(m pool.Member) {
	if p.isGone(m.VM) {
		if _, ok := p.goneAt[m.VM]; !ok {
			p.goneAt[m.VM] = p.now
		}
	}
	if m.State != pool.Serving {
		return
	}
	h := p.hosts[m.VM]
	switch {
	case p.isDown(m.VM):
		p.failing[m.VM] = true
	case h.State == Leaving && (m.Shut || m.Wave != "" && p.now-m.Since < strayMillis):
		p.strays = append(p.strays, m.VM)
	case h.State == Leaving:
		p.failing[m.VM] = true
	case h.Pool != m.Pool && p.hostsAt > m.Since+p.limits.listLag:
		p.astray = append(p.astray, m)
	}
}

// order queues each pool's moves and then its VMs rack by rack: first racks that miss VMs already, then racks that are begun.
func (p *Planner) order(todo map[string][]task) {
	clear(p.queues)
	for vm, v := range p.moves {
		m, ok := p.table.Find(vm)
		late := m.State == pool.Serving && p.now-v.at > wishMillis
		if !ok || m.Pool != v.From || v.From == v.To || late {
			delete(p.moves, vm)
			continue
		}
		if p.holds[vm].until <= p.now && p.isUp(vm) {
			p.queues[m.Pool] = append(p.queues[m.Pool], task{vm: vm})
		}
	}
	for _, q := range p.queues {
		slices.SortFunc(q, func(a, b task) int { return strings.Compare(a.vm, b.vm) })
	}
	for name, l := range todo {
		if p.wrecked(name) != "" {
			continue
		}
		slices.SortFunc(l, before)
		for _, t := range l {
			if _, moving := p.moves[t.vm]; !moving {
				p.queues[name] = append(p.queues[name], t)
			}
		}
	}
}

func before(a, b task) int {
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

// isKnown tells whether the operators still want the wave, paused or not.
func (p *Planner) isKnown(id string) bool {
	return slices.ContainsFunc(p.waves, func(w Wave) bool { return w.ID == id })
}

// isWanted tells whether the VM's running stop is still wanted.
func (p *Planner) isWanted(m pool.Member) bool { return m.Doing == "" || p.isKnown(m.Doing) }

// isWrecked tells whether so many VMs of the wave did not come back that it stops itself.
func (p *Planner) isWrecked(id string) bool {
	lost := map[string]bool{}
	for _, d := range p.budgets {
		for _, a := range d.budget.absences {
			if a.Failed && a.Wave == id {
				lost[a.VM] = true
			}
		}
	}
	for m := range p.table.Busy() {
		if m.State == pool.Failed && m.Doing == id {
			lost[m.VM] = true
		}
	}
	return len(lost) >= p.limits.wreckLimit
}

// idleStarts returns the VMs of pools that serve nothing and that now begin to drain; no budget is concerned.
func (p *Planner) idleStarts() []pool.Member {
	var l []pool.Member
	for name, q := range p.queues {
		if len(p.services[name]) > 0 || !p.isCalm() {
			continue
		}
		room := p.limits.idleOut - p.idleOut(name)
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
			l = append(l, p.start(m, p.absence(m, t.wave)))
		}
	}
	return l
}

func (p *Planner) idleOut(name string) int {
	n := 0
	for m := range p.table.Busy() {
		if m.Pool == name && m.To == "" && m.State != pool.Serving {
			n++
		}
	}
	return n
}
