package wave

import (
	"slices"

	"burdockreach.dev/fleet/pool"
)

// handleHosts notes the platform's list, which the next tick looks over; a list without a single target tells nothing.
func (p *Planner) handleHosts(m HostsMsg) {
	if m.At < p.listedAt {
		return
	}
	h, workers := make(map[string]Host, len(m.Hosts)), 0
	var entries []string
	for _, v := range m.Hosts {
		h[v.Name] = v
		if !v.Entry {
			workers++
		} else if v.State != Gone {
			entries = append(entries, v.Name)
		}
	}
	if workers == 0 {
		return
	}
	p.hosts, p.listedAt, p.entries = h, m.At, entries
}

func (p *Planner) handleEntryReport(m HeardMsg) {
	p.reportedAt[m.Entry] = m.At
	for i, n := range m.Numbers {
		if i < len(p.minVersions) {
			p.minVersions[i] = max(p.minVersions[i], n)
		}
	}
	for _, d := range m.Drained {
		if p.drainedVersions[d.VM] == nil {
			p.drainedVersions[d.VM] = map[string]int64{}
		}
		p.drainedVersions[d.VM][m.Entry] = max(p.drainedVersions[d.VM][m.Entry], d.Number)
	}
}

// senders returns the entries that may still send to the data centre's targets.
func (p *Planner) senders() []string {
	l := slices.Clip(p.entries)
	for e, at := range p.reportedAt {
		if _, listed := p.hosts[e]; !listed && p.listedAt-at < entryGraceMillis {
			l = append(l, e)
		}
	}
	return l
}

// haveSendersReported tells whether every entry that may still send was heard lately, so that a drain can end.
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

// isDrained tells whether every entry that may still send has said that it has nothing in flight to the VM
// under a version that shows it draining.
func (p *Planner) isDrained(m pool.Member) bool {
	if len(p.services[m.Pool]) == 0 {
		return true
	}
	s, ok := p.drainStarts[m.VM]
	if !ok || s.seq != m.Seq || p.listedAt < s.seenAt+p.limits.listLag {
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

// isDown tells whether the platform's list or the entries find the VM dead.
func (p *Planner) isDown(vm string) bool {
	if p.reportedDead[vm] {
		return true
	}
	return p.isGone(vm)
}

func (p *Planner) isGone(vm string) bool {
	if p.listedAt == 0 {
		return false
	}
	h, ok := p.hosts[vm]
	return !ok || h.State == Gone
}

// isUp tells whether the list shows the VM live and no entry finds it dead.
func (p *Planner) isUp(vm string) bool {
	h, ok := p.hosts[vm]
	return ok && h.State == Live && !p.reportedDead[vm]
}

// isListFresh tells whether the platform's list is young enough to start a planned stop by.
func (p *Planner) isListFresh() bool {
	return p.listedAt > 0 && p.now-p.listedAt <= p.limits.maxAge
}

// areStopsAllowed tells whether nothing outside the documents forbids a planned stop.
func (p *Planner) areStopsAllowed() bool {
	return p.isListFresh() && len(p.unreachable) == 0
}
