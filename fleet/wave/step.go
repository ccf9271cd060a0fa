package wave

import (
	"fmt"

	"burdockreach.dev/fleet/pool"
)

// writeShards returns a write for each shard that has changes to make or must be restored.
func (p *Planner) writeShards() []Cmd {
	var l []Cmd
	changes := p.changes()
	for i, d := range p.shards {
		s := p.table.Shard(i)
		behind := d.mustRestore || s.Version() < p.minVersions[i]
		if !d.writable() || len(changes[i].puts)+len(changes[i].drops) == 0 && !behind {
			continue
		}
		if s.Version() < p.minVersions[i] {
			changes[i] = shardChange{puts: p.restoreMembers(s, p.minVersions[i])}
		}
		n, err := s.RaiseVersion(p.minVersions[i]).Change(changes[i].puts, changes[i].drops)
		if err != nil {
			continue
		}
		d.writing, d.writeSentAt, p.sentShards[i] = true, p.now, n
		l = append(l, WriteShardCmd{Shard: n, Revision: d.revision})
	}
	return l
}

// restoreMembers returns the members to write when the store holds an older version of a shard than one seen before.
// Drains are cancelled; members with a running reboot are left out. Stop numbers continue from at least minVersion, so that
// no reservation or op of the lost versions matches a later stop.
func (p *Planner) restoreMembers(s pool.Shard, minVersion int64) []pool.Member {
	var l []pool.Member
	for m := range s.All() {
		switch {
		case m.State == pool.Draining:
			m = p.cancelDrain(m)
		case m.Op != "":
			continue
		}
		m.EndedStops = max(m.EndedStops, minVersion)
		l = append(l, m)
	}
	return l
}

// shardChange holds the members that the next write of one shard puts and drops.
type shardChange struct {
	puts  []pool.Member
	drops []string
}

// changes returns the change of each shard: next steps of busy members, new failures, starts and new members.
func (p *Planner) changes() []shardChange {
	l := make([]shardChange, p.table.Count())
	put := func(m pool.Member) {
		i := p.table.Index(m.VM)
		l[i].puts = append(l[i].puts, m)
	}
	for m := range p.table.Busy() {
		if p.isExpired(m) && m.Op != "" {
			put(p.endStop(m))
		} else if p.isExpired(m) {
			i := p.table.Index(m.VM)
			l[i].drops = append(l[i].drops, m.VM)
		} else if n := p.advance(m); n != m {
			put(n)
		}
	}
	for vm := range p.failing {
		if m, ok := p.table.Find(vm); ok && m.State == pool.Serving {
			put(p.markDown(m))
		}
	}
	for _, m := range p.starts() {
		put(m)
	}
	for _, m := range p.newMembers() {
		put(m)
	}
	return l
}

// advance returns the member after the next step of its stop or failure, or unchanged if none is due.
func (p *Planner) advance(m pool.Member) pool.Member {
	switch m.State {
	case pool.Serving:
		if m.MaybeDrained && p.isUp(m.VM) && p.listedAt >= m.StateSince+p.limits.listLag {
			m.MaybeDrained = false
		}
		return m
	case pool.Draining:
		return p.advanceDraining(m)
	case pool.Rebooting:
		return p.advanceRebooting(m)
	case pool.Failed:
		if m.Op != "" {
			return p.finishReboot(m)
		}
		return p.markUp(m)
	case pool.Out:
		if p.isDown(m.VM) {
			return p.markDown(m)
		}
		return p.markUp(m)
	default:
		return m
	}
}

// advanceDraining ends the drain: the VM fails, moves, reboots, or serves again if the stop is not wanted, does not fit
// the budget or the drain timed out.
func (p *Planner) advanceDraining(m pool.Member) pool.Member {
	switch {
	case p.isDown(m.VM):
		return p.markDown(m)
	case p.isDrained(m) && m.MoveTo != "":
		return p.finishMove(m)
	case p.isDrained(m) && p.isListFresh() && p.isFresh(p.shards[p.table.Index(m.VM)]):
		m.State, m.StateSince, m.BootBefore = pool.Rebooting, p.now, p.hosts[m.VM].Boot
		return m
	case !p.isStopWanted(m), p.isOverBudget(m):
		return p.cancelDrain(m)
	case p.now-m.StateSince > p.drainMillis(m.Pool):
		return p.cancelDrain(m)
	default:
		return m
	}
}

// finishMove changes the VM's pool once the platform has assigned the VM to it.
func (p *Planner) finishMove(m pool.Member) pool.Member {
	if p.assignedPools[m.VM] != m.MoveTo {
		return m
	}
	m.Pool, m.State, m.StateSince = m.MoveTo, pool.Serving, p.now
	return p.endStop(m)
}

// advanceRebooting finishes the reboot or marks the VM as failed after the timeout.
func (p *Planner) advanceRebooting(m pool.Member) pool.Member {
	if n := p.finishReboot(m); n != m {
		return n
	}
	if p.now-m.StateSince > p.rebootMillis(m.Pool) {
		m.State, m.StateSince = pool.Failed, p.now
	}
	return m
}

// finishReboot returns the VM as serving once the platform has accepted the reboot and a later host list shows a later boot.
func (p *Planner) finishReboot(m pool.Member) pool.Member {
	at, ok := p.rebootAcceptedAt[m.Op]
	if !ok || p.listedAt < at+p.limits.listLag || p.hosts[m.VM].Boot <= m.BootBefore || !p.isUp(m.VM) {
		return m
	}
	m.FinishedWave, m.State, m.StateSince, m.MaybeDrained = m.RunningWave, pool.Serving, p.now, false
	return p.endStop(m)
}

// endStop marks the planned stop as ended, so that its reservations can be released.
func (p *Planner) endStop(m pool.Member) pool.Member {
	m.Op, m.RunningWave, m.MoveTo, m.BootBefore = "", "", "", 0
	m.EndedStops++
	return m
}

// cancelDrain ends the planned stop and returns the VM as serving.
func (p *Planner) cancelDrain(m pool.Member) pool.Member {
	m.State, m.StateSince = pool.Serving, p.now
	return p.endStop(m)
}

// markDown marks the VM as failed, or as out while the platform is about to stop it, and ends its planned stop.
func (p *Planner) markDown(m pool.Member) pool.Member {
	m = p.endStop(m)
	m.State, m.StateSince = pool.Out, p.now
	if p.isDown(m.VM) {
		m.State = pool.Failed
	}
	return m
}

// markUp returns a failed or out VM as serving once the platform lists it as live and no entry finds it dead.
func (p *Planner) markUp(m pool.Member) pool.Member {
	if p.isUp(m.VM) {
		m.State, m.StateSince, m.MaybeDrained = pool.Serving, p.now, false
	}
	return m
}

// isExpired reports whether the VM has been gone for so long that it leaves the membership. A VM that did not come back
// from a wave's reboot stays while the wave is wanted, so that the wave stays stopped.
func (p *Planner) isExpired(m pool.Member) bool {
	at, ok := p.goneSince[m.VM]
	return ok && m.State == pool.Failed && p.now-at > retentionMillis && (m.Op == "" || !p.isWaveWanted(m.RunningWave))
}

// newMembers returns members for the live VMs of the host list that the membership lacks. Their stop numbers start above
// the shard's version, so that no reservation for an earlier VM of the same name matches.
func (p *Planner) newMembers() []pool.Member {
	var l []pool.Member
	for _, vm := range p.newHosts {
		h := p.hosts[vm]
		if _, ok := p.table.Find(vm); ok || h.State != Live || h.RunsEntry || h.Pool == "" {
			continue
		}
		i := p.table.Index(vm)
		n := max(p.table.Shard(i).Version(), p.minVersions[i]) + 1
		l = append(l, pool.Member{VM: vm, Pool: h.Pool, Rack: h.Rack, StateSince: p.now, EndedStops: n})
	}
	return l
}

// starts returns the reserved VMs that begin to drain, those whose reservation is withdrawn, and starts in idle pools.
func (p *Planner) starts() []pool.Member {
	var l []pool.Member
	for _, m := range p.reservedMembers() {
		a := p.reservation(m)
		switch {
		case !p.isStartable(m, a):
			l = append(l, p.endStop(m))
		case p.canStartNow(m):
			l = append(l, p.startDrain(m, a))
		}
	}
	return append(l, p.idleStarts()...)
}

// startDrain returns the VM as draining for the reserved stop.
func (p *Planner) startDrain(m pool.Member, a Absence) pool.Member {
	m.State, m.StateSince, m.Op, m.RunningWave = pool.Draining, p.now, a.Op, a.Wave
	m.MaybeDrained = m.MaybeDrained || a.Wave != ""
	if a.Wave == "" {
		m.MoveTo = p.moveRequests[m.VM].To
	}
	return m
}

// opID returns the id of the VM's next planned stop. It is the same at every leader, so the platform
// reboots the VM at most once for it.
func opID(dataCentre string, m pool.Member, w string) string {
	return fmt.Sprintf("%s/%s/%d/%s", dataCentre, m.VM, m.EndedStops+1, w)
}

// drainMillis returns the longest drain timeout of the pool's services.
func (p *Planner) drainMillis(name string) int64 {
	var d int64
	for _, s := range p.services[name] {
		d = max(d, s.DrainMillis)
	}
	if d == 0 {
		return idleDrainMillis
	}
	return d
}

// rebootMillis returns the longest reboot timeout of the pool's services.
func (p *Planner) rebootMillis(name string) int64 {
	var d int64
	for _, s := range p.services[name] {
		d = max(d, s.RebootMillis)
	}
	if d == 0 {
		return idleRebootMillis
	}
	return d
}
