package wave

import (
	"slices"

	"burdockreach.dev/fleet/pool"
)

// handleHosts stores the platform's host list, which the next scan uses. It ignores a list without any target,
// which does not show that all targets are gone.
func (p *Planner) handleHosts(m HostsMsg) {
	if m.At < p.listedAt {
		return
	}
	h, targets := make(map[string]Host, len(m.Hosts)), 0
	var entries []string
	for _, v := range m.Hosts {
		h[v.Name] = v
		if !v.RunsEntry {
			targets++
		} else if v.State != Gone {
			entries = append(entries, v.Name)
		}
	}
	if targets == 0 {
		return
	}
	p.hosts, p.listedAt, p.entries = h, m.At, entries
}

// handleEntryReport stores the drained VMs of an entry's report, and the shard versions that it has seen.
func (p *Planner) handleEntryReport(m EntryReportMsg) {
	p.reportedAt[m.Entry] = m.At
	for i, n := range m.Versions {
		if i < len(p.minVersions) {
			p.minVersions[i] = max(p.minVersions[i], n)
		}
	}
	for _, d := range m.Drained {
		if p.drainedVersions[d.VM] == nil {
			p.drainedVersions[d.VM] = map[string]int64{}
		}
		p.drainedVersions[d.VM][m.Entry] = max(p.drainedVersions[d.VM][m.Entry], d.Version)
	}
}

// senders returns the entries that may still send to the data centre's targets: those on the host list, and unlisted ones that
// have reported lately.
func (p *Planner) senders() []string {
	l := slices.Clip(p.entries)
	for e, at := range p.reportedAt {
		if _, listed := p.hosts[e]; !listed && p.listedAt-at < entryGraceMillis {
			l = append(l, e)
		}
	}
	return l
}

// haveSendersReported reports whether every entry that may still send has reported within the allowed age. No drain
// can end otherwise.
func (p *Planner) haveSendersReported() bool {
	l := p.senders()
	for _, e := range l {
		at, ok := p.reportedAt[e]
		if !ok || p.now-at > p.limits.maxAge {
			return false
		}
	}
	return len(l) > 0
}

// isDrained reports whether every entry that may still send has reported nothing in flight to the VM at a shard version that
// shows the VM draining. The host list must have been requested at least the list lag after the drain was seen, so that it
// has every such entry.
func (p *Planner) isDrained(m pool.Member) bool {
	if len(p.services[m.Pool]) == 0 {
		return true
	}
	s, ok := p.drainStarts[m.VM]
	if !ok || s.seq != m.EndedStops || p.listedAt < s.seenAt+p.limits.listLag {
		return false
	}
	l := p.senders()
	for _, e := range l {
		if n, ok := p.drainedVersions[m.VM][e]; !ok || n < s.version {
			return false
		}
	}
	return len(l) > 0
}

// isDown reports whether the host list shows the VM gone or the entries find it dead.
func (p *Planner) isDown(vm string) bool {
	if p.reportedDead[vm] {
		return true
	}
	return p.isGone(vm)
}

// isGone reports whether the host list lacks the VM or shows it as gone.
func (p *Planner) isGone(vm string) bool {
	if p.listedAt == 0 {
		return false
	}
	h, ok := p.hosts[vm]
	return !ok || h.State == Gone
}

// isUp reports whether the host list shows the VM live and the entries do not find it dead.
func (p *Planner) isUp(vm string) bool {
	h, ok := p.hosts[vm]
	return ok && h.State == Live && !p.reportedDead[vm]
}

// isListFresh reports whether the host list is young enough to start a planned stop.
func (p *Planner) isListFresh() bool {
	return p.listedAt > 0 && p.now-p.listedAt <= p.limits.maxAge
}

// areStopsAllowed reports whether planned stops may start as far as the host list and the other data centres are concerned.
func (p *Planner) areStopsAllowed() bool {
	return p.isListFresh() && len(p.unreachable) == 0
}
