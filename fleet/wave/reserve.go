package wave

import (
	"cmp"
	"slices"

	"burdockreach.dev/fleet/pool"
)

// writeBudgets returns the writes that lead the services' budgets on by one step.
func (p *Planner) writeBudgets() []Cmd {
	var l []Cmd
	for _, name := range p.poolNames() {
		for i, s := range p.services[name] {
			d := p.budgets[s.Name]
			if !d.writable() || !p.isRead() {
				continue
			}
			b := p.settle(s, d.budget)
			b = p.count(s, b)
			if i == 0 {
				b = p.reserve(name, b)
			} else {
				b = p.follow(name, s, b)
			}
			if b.Number() == d.budget.Number() && !d.restore {
				continue
			}
			d.writing, d.wrote, d.sent = true, p.now, b
			l = append(l, WriteBudgetCmd{Service: s.Name, Budget: b, Revision: d.revision})
		}
	}
	return l
}

func (p *Planner) poolNames() []string {
	l := make([]string, 0, len(p.services))
	for n := range p.services {
		l = append(l, n)
	}
	slices.Sort(l)
	return l
}

// isRead tells whether the whole membership has been read.
func (p *Planner) isRead() bool {
	for _, d := range p.shards {
		if !d.known {
			return false
		}
	}
	return true
}

// settle releases what has ended and turns ended stops of failed VMs into failures.
func (p *Planner) settle(s ServiceRule, b Budget) Budget {
	for _, a := range b.Absences() {
		if a.DataCentre != p.dataCentre {
			continue
		}
		m, ok := p.table.Find(a.VM)
		switch {
		case !ok:
			if p.hasPassed(a) {
				b = b.Release(a.VM)
			}
		case m.Pool != s.Pool && m.Seq >= a.Seq:
			b = b.Release(a.VM)
		case a.Planned() && a.Seq > m.Seq:
			if m.State == pool.Failed && m.Op != "" {
				b = b.Fail(a)
			}
		case m.State == pool.Serving && !p.failing[a.VM]:
			if a.Planned() || p.isFresh(p.shards[p.table.Index(a.VM)]) {
				b = b.Release(a.VM)
			}
		case a.Planned():
			b = b.Release(a.VM).Fail(p.failure(m))
		}
	}
	return b
}

// hasPassed tells whether the absence belongs to a VM that has left the membership, not to one that this planner has yet
// to see join: a VM joins with the shard's version as its count of stops, so no later stop has the absence's number.
func (p *Planner) hasPassed(a Absence) bool {
	i := p.table.Index(a.VM)
	return a.Seq <= p.table.Shard(i).Number() && (a.Planned() || p.isFresh(p.shards[i]))
}

// count adds every VM of the pool that is out and not yet counted.
func (p *Planner) count(s ServiceRule, b Budget) Budget {
	for vm := range p.failing {
		if m, ok := p.table.Find(vm); ok && m.Pool == s.Pool {
			b = p.countOne(b, m)
		}
	}
	for m := range p.table.Busy() {
		if m.Pool == s.Pool && m.State != pool.Serving {
			b = p.countOne(b, m)
		}
	}
	return b
}

func (p *Planner) countOne(b Budget, m pool.Member) Budget {
	if _, ok := b.Find(m.VM); ok {
		return b
	}
	return b.Fail(p.failure(m))
}

func (p *Planner) failure(m pool.Member) Absence {
	return Absence{VM: m.VM, DataCentre: p.dataCentre, Rack: m.Rack, Since: m.Since}
}

// reserve adds planned stops for the pool's next VMs while every budget concerned has room.
func (p *Planner) reserve(name string, b Budget) Budget {
	if !p.isCalm() || !p.isHearing() || !p.areBudgetsFresh(name) {
		return b
	}
	wrecked, room := p.wrecked(name), p.services[name][0].MaxOut
	for _, t := range p.queues[name] {
		if t.wave == wrecked && wrecked != "" || p.holds[t.vm].until > p.now || !p.isUp(t.vm) {
			continue // the queue is of the last tick; starts would withdraw it at once.
		}
		m, ok := p.table.Find(t.vm)
		if !ok || m.State != pool.Serving || m.Pool != name || !p.isOpen(name, t, b, room) {
			continue
		}
		if _, out := b.Find(m.VM); out || !p.isFresh(p.shards[p.table.Index(m.VM)]) {
			continue
		}
		if b.Out() >= room {
			break
		}
		n, err := b.Reserve(p.absence(m, t.wave), room)
		if err != nil || !p.hasRoom(name, n) {
			break
		}
		b = n
	}
	return b
}

// wrecked returns the pool's wave if that has stopped itself.
func (p *Planner) wrecked(name string) string {
	if w, ok := p.waveOf(name); ok && p.isWrecked(w.ID) {
		return w.ID
	}
	return ""
}

// hasRoom tells whether the pool's other services can follow the reservations of the first.
func (p *Planner) hasRoom(name string, first Budget) bool {
	for _, s := range p.services[name][1:] {
		n := p.budgets[s.Name].budget.Out()
		for _, a := range first.absences {
			if _, ok := p.budgets[s.Name].budget.Find(a.VM); !ok {
				n++
			}
		}
		if n > s.MaxOut {
			return false
		}
	}
	return true
}

// follow adds the reservations that the pool's first service holds for this data centre.
func (p *Planner) follow(name string, s ServiceRule, b Budget) Budget {
	if !p.isCalm() || !p.areBudgetsFresh(name) {
		return b
	}
	for _, a := range p.budgets[p.services[name][0].Name].budget.Absences() {
		m, ok := p.table.Find(a.VM)
		_, out := b.Find(a.VM)
		if !ok || out || a.DataCentre != p.dataCentre || !a.Planned() || a.Seq != m.Seq+1 {
			continue
		}
		if n, err := b.Reserve(a, s.MaxOut); err == nil {
			b = n
		}
	}
	return b
}

func (p *Planner) absence(m pool.Member, w string) Absence {
	return Absence{
		VM: m.VM, DataCentre: p.dataCentre, Rack: m.Rack, Since: p.now,
		Wave: w, Op: opOf(p.dataCentre, m, w), Seq: m.Seq + 1,
	}
}

// isOpen tells whether the task may be reserved in b, a budget of room VMs, as far as its wave is concerned.
func (p *Planner) isOpen(name string, t task, b Budget, room int) bool {
	if t.wave == "" || room < canaryRoom {
		return true
	}
	if p.limits.canary == 0 || p.finished[stage{wave: t.wave, pool: name}] {
		return true
	}
	n := 0
	for _, a := range b.absences {
		if a.Wave == t.wave && a.DataCentre == p.dataCentre {
			n++
		}
	}
	return n < p.limits.canary
}

func (p *Planner) areBudgetsFresh(name string) bool {
	for _, s := range p.services[name] {
		if !p.isFresh(p.budgets[s.Name].document) {
			return false
		}
	}
	return true
}

// reserved returns the serving VMs of this data centre that some budget holds a reservation for.
func (p *Planner) reserved() []pool.Member {
	var l []pool.Member
	for _, name := range p.poolNames() {
		for _, s := range p.services[name] {
			for _, a := range p.budgets[s.Name].budget.absences {
				m, ok := p.table.Find(a.VM)
				if ok && m.State == pool.Serving && m.Pool == name && a.DataCentre == p.dataCentre && a.Seq == m.Seq+1 &&
					!p.failing[a.VM] && !slices.Contains(l, m) {
					l = append(l, m)
				}
			}
		}
	}
	return l
}

// reservation returns the reservation for the VM's next planned stop.
func (p *Planner) reservation(m pool.Member) Absence {
	for _, s := range p.services[m.Pool] {
		if a, ok := p.budgets[s.Name].budget.Find(m.VM); ok && a.Seq == m.Seq+1 {
			return a
		}
	}
	return Absence{}
}

// isStartable tells whether the reserved stop is still wanted and within every budget; if not, it is withdrawn.
func (p *Planner) isStartable(m pool.Member, a Absence) bool {
	if p.isOver(m) || p.holds[m.VM].until > p.now || !p.isUp(m.VM) {
		return false
	}
	if a.Wave == "" {
		v, ok := p.moves[m.VM]
		return ok && v.From == m.Pool
	}
	w, ok := p.waveOf(m.Pool)
	return ok && w.ID == a.Wave && !w.Paused && m.Wave != w.ID && !p.isWrecked(w.ID)
}

// isClear tells whether the reserved stop may start now: every budget concerned holds it, and all that is known is young.
func (p *Planner) isClear(m pool.Member) bool {
	if !p.isCalm() || !p.isHearing() || !p.areBudgetsFresh(m.Pool) || !p.isFresh(p.shards[p.table.Index(m.VM)]) {
		return false
	}
	for _, s := range p.services[m.Pool] {
		a, ok := p.budgets[s.Name].budget.Find(m.VM)
		if !ok || a.Seq != m.Seq+1 {
			return false
		}
	}
	return true
}

// isOver tells whether failures have used up the budget that the VM's planned stop was reserved in; the newest give way first.
func (p *Planner) isOver(m pool.Member) bool {
	for _, s := range p.services[m.Pool] {
		b := p.budgets[s.Name].budget
		over := b.Out() - s.MaxOut
		if a, ok := b.Find(m.VM); ok && over > 0 && newer(b, a) < over {
			return true
		}
	}
	return false
}

// newer counts the planned stops that were reserved after a.
func newer(b Budget, a Absence) int {
	n := 0
	for _, o := range b.absences {
		if o.Planned() && !o.Failed && cmp.Or(cmp.Compare(o.Since, a.Since), cmp.Compare(o.VM, a.VM)) > 0 {
			n++
		}
	}
	return n
}
