package wave

import (
	"cmp"
	"slices"

	"burdockreach.dev/fleet/pool"
)

// writeBudgets returns a write for each service's budget that changes or must be restored. The first service of a pool, by
// name, reserves the pool's stops; the others copy its reservations.
func (p *Planner) writeBudgets() []Cmd {
	var l []Cmd
	for _, name := range p.servedPools() {
		for i, s := range p.services[name] {
			d := p.budgets[s.Name]
			if !d.writable() || !p.isMembershipLoaded() {
				continue
			}
			b := p.reconcile(s, d.budget)
			b = p.countOut(s, b)
			if i == 0 {
				b = p.reserveStops(name, b)
			} else {
				b = p.copyReservations(name, s, b)
			}
			if b.Version() == d.budget.Version() && !d.mustRestore {
				continue
			}
			d.writing, d.writeSentAt, d.sent = true, p.now, b
			l = append(l, WriteBudgetCmd{Service: s.Name, Budget: b, Revision: d.revision})
		}
	}
	return l
}

// servedPools returns the pools that have services, sorted by name.
func (p *Planner) servedPools() []string {
	l := make([]string, 0, len(p.services))
	for n := range p.services {
		l = append(l, n)
	}
	slices.Sort(l)
	return l
}

// isMembershipLoaded reports whether every shard of the membership has been read.
func (p *Planner) isMembershipLoaded() bool {
	for _, d := range p.shards {
		if !d.loaded {
			return false
		}
	}
	return true
}

// reconcile releases the absences that have ended, and turns planned stops of VMs that failed into failures. It leaves the
// absences of other data centres to their planners.
func (p *Planner) reconcile(s ServicePolicy, b Budget) Budget {
	for _, a := range b.Absences() {
		if a.DataCentre != p.dataCentre {
			continue
		}
		m, ok := p.table.Find(a.VM)
		switch {
		case !ok:
			if p.hasLeftMembership(a) {
				b = b.Release(a.VM)
			}
		case m.Pool != s.Pool && m.EndedStops >= a.StopNumber:
			b = b.Release(a.VM)
		case a.Planned() && a.StopNumber > m.EndedStops:
			if m.State == pool.Failed && m.Op != "" {
				b = b.Fail(a)
			}
		case m.State == pool.Serving && m.MaybeDrained:
			// The platform may still drain the VM, so it counts as out until a later host list shows it as live.
		case m.State == pool.Serving && !p.failing[a.VM]:
			if a.Planned() || p.isFresh(p.shards[p.table.Index(a.VM)]) {
				b = b.Release(a.VM)
			}
		case a.Planned():
			b = b.Release(a.VM).Fail(p.newFailure(m))
		}
	}
	return b
}

// hasLeftMembership reports whether the absence's VM has left the membership, as opposed to having joined in a version that
// this planner has not read yet. A VM joins with a stop number above the shard's version, so no later stop has the
// absence's number.
func (p *Planner) hasLeftMembership(a Absence) bool {
	i := p.table.Index(a.VM)
	return a.StopNumber <= p.table.Shard(i).Version() && (a.Planned() || p.isFresh(p.shards[i]))
}

// countOut adds every VM of the pool that is out and not in the budget yet.
func (p *Planner) countOut(s ServicePolicy, b Budget) Budget {
	for vm := range p.failing {
		if m, ok := p.table.Find(vm); ok && m.Pool == s.Pool {
			b = p.countVM(b, m)
		}
	}
	for m := range p.table.Busy() {
		if m.Pool == s.Pool && m.State != pool.Serving {
			b = p.countVM(b, m)
		}
	}
	return b
}

// countVM adds the VM as failed unless the budget has it already.
func (p *Planner) countVM(b Budget, m pool.Member) Budget {
	if _, ok := b.Find(m.VM); ok {
		return b
	}
	return b.Fail(p.newFailure(m))
}

// newFailure returns the absence of a VM that is out without a planned stop.
func (p *Planner) newFailure(m pool.Member) Absence {
	since := m.StateSince
	if m.State == pool.Serving {
		since = p.now // the failure has just been found.
	}
	return Absence{VM: m.VM, DataCentre: p.dataCentre, Rack: m.Rack, Since: since}
}

// reserveStops adds planned stops for the next VMs of the pool's queue while the budget of every service of the pool has room.
func (p *Planner) reserveStops(name string, b Budget) Budget {
	if !p.areStopsAllowed() || !p.haveSendersReported() || !p.areBudgetsFresh(name) {
		return b
	}
	stopped, room := p.stoppedWave(name), p.services[name][0].MaxOut
	for _, t := range p.queues[name] {
		if t.wave == stopped && stopped != "" || p.backoffs[t.vm].until > p.now || !p.isUp(t.vm) {
			continue // the queue is as old as the last scan; starts would withdraw the reservation at once.
		}
		m, ok := p.table.Find(t.vm)
		if !ok || m.State != pool.Serving || m.Pool != name || !p.canaryAllows(name, t, b, room) {
			continue
		}
		if _, out := b.Find(m.VM); out || !p.isFresh(p.shards[p.table.Index(m.VM)]) {
			continue
		}
		if b.Out() >= room {
			break
		}
		n, err := b.Reserve(p.newReservation(m, t.wave), room)
		if err != nil || !p.othersHaveRoom(name, n) {
			break
		}
		b = n
	}
	return b
}

// stoppedWave returns the id of the pool's wave if the wave has stopped because of lost VMs, or "".
func (p *Planner) stoppedWave(name string) string {
	if w, ok := p.waveOf(name); ok && p.isWaveStopped(w.ID) {
		return w.ID
	}
	return ""
}

// othersHaveRoom reports whether the budgets of the pool's other services have room for the absences of the first.
func (p *Planner) othersHaveRoom(name string, first Budget) bool {
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

// copyReservations adds the reservations that the budget of the pool's first service holds for this data centre.
func (p *Planner) copyReservations(name string, s ServicePolicy, b Budget) Budget {
	if !p.areStopsAllowed() || !p.areBudgetsFresh(name) {
		return b
	}
	for _, a := range p.budgets[p.services[name][0].Name].budget.Absences() {
		m, ok := p.table.Find(a.VM)
		_, out := b.Find(a.VM)
		if !ok || out || a.DataCentre != p.dataCentre || !a.Planned() || a.StopNumber != m.EndedStops+1 {
			continue
		}
		if n, err := b.Reserve(a, s.MaxOut); err == nil {
			b = n
		}
	}
	return b
}

// newReservation returns the absence that reserves the VM's next planned stop; w is the wave, empty for a move.
func (p *Planner) newReservation(m pool.Member, w string) Absence {
	return Absence{
		VM: m.VM, DataCentre: p.dataCentre, Rack: m.Rack, Since: p.now,
		Wave: w, Op: opID(p.dataCentre, m, w), StopNumber: m.EndedStops + 1,
	}
}

// canaryAllows reports whether the canary limit of the stop's wave allows a reservation in b, a budget of room VMs.
func (p *Planner) canaryAllows(name string, t queuedStop, b Budget, room int) bool {
	if t.wave == "" || room < minCanaryBudget {
		return true
	}
	if p.limits.canaryVMs == 0 || p.canaryPassed[wavePool{wave: t.wave, pool: name}] {
		return true
	}
	n := 0
	for _, a := range b.absences {
		if a.Wave == t.wave && a.DataCentre == p.dataCentre {
			n++
		}
	}
	return n < p.limits.canaryVMs
}

// areBudgetsFresh reports whether the budget of every service of the pool is fresh.
func (p *Planner) areBudgetsFresh(name string) bool {
	for _, s := range p.services[name] {
		if !p.isFresh(p.budgets[s.Name].document) {
			return false
		}
	}
	return true
}

// reservedMembers returns the serving VMs of this data centre for whose next stop any budget holds a reservation.
func (p *Planner) reservedMembers() []pool.Member {
	var l []pool.Member
	for _, name := range p.servedPools() {
		for _, s := range p.services[name] {
			for _, a := range p.budgets[s.Name].budget.absences {
				m, ok := p.table.Find(a.VM)
				if ok && m.State == pool.Serving && m.Pool == name && a.DataCentre == p.dataCentre && a.StopNumber == m.EndedStops+1 &&
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
		if a, ok := p.budgets[s.Name].budget.Find(m.VM); ok && a.StopNumber == m.EndedStops+1 {
			return a
		}
	}
	return Absence{}
}

// isStartable reports whether the reserved stop is still wanted and within every budget; if not, the stop is withdrawn.
func (p *Planner) isStartable(m pool.Member, a Absence) bool {
	if p.isOverBudget(m) || p.backoffs[m.VM].until > p.now || !p.isUp(m.VM) {
		return false
	}
	if a.Wave == "" {
		v, ok := p.moveRequests[m.VM]
		return ok && v.From == m.Pool
	}
	w, ok := p.waveOf(m.Pool)
	return ok && w.ID == a.Wave && !w.Paused && m.FinishedWave != w.ID && !p.isWaveStopped(w.ID)
}

// canStartNow reports whether the reserved stop may start now: the budget of every service of the pool holds the reservation,
// every sender has reported, and the host list and documents are fresh.
func (p *Planner) canStartNow(m pool.Member) bool {
	if !p.areStopsAllowed() || !p.haveSendersReported() || !p.areBudgetsFresh(m.Pool) || !p.isFresh(p.shards[p.table.Index(m.VM)]) {
		return false
	}
	for _, s := range p.services[m.Pool] {
		a, ok := p.budgets[s.Name].budget.Find(m.VM)
		if !ok || a.StopNumber != m.EndedStops+1 {
			return false
		}
	}
	return true
}

// isOverBudget reports whether the VM's planned stop must give way because failures exceed a budget that it is reserved in.
// The newest stops give way first.
func (p *Planner) isOverBudget(m pool.Member) bool {
	for _, s := range p.services[m.Pool] {
		b := p.budgets[s.Name].budget
		over := b.Out() - s.MaxOut
		if a, ok := b.Find(m.VM); ok && over > 0 && countNewerStops(b, a) < over {
			return true
		}
	}
	return false
}

// countNewerStops counts the planned stops of VMs that have not failed and that were reserved after a.
func countNewerStops(b Budget, a Absence) int {
	n := 0
	for _, o := range b.absences {
		if o.Planned() && !o.Failed && cmp.Or(cmp.Compare(o.Since, a.Since), cmp.Compare(o.VM, a.VM)) > 0 {
			n++
		}
	}
	return n
}
