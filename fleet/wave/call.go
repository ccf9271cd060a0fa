package wave

import "burdockreach.dev/fleet/pool"

// platformCalls returns the calls to the platform; each is repeated until its effect is known.
func (p *Planner) platformCalls() []Cmd {
	var l []Cmd
	for m := range p.table.Busy() {
		switch {
		case m.State == pool.Draining && m.MoveTo != "" && p.isDrained(m) && p.assignedPools[m.VM] != m.MoveTo:
			l = p.appendCall(l, "assign "+m.VM+" "+m.MoveTo, AssignCmd{VM: m.VM, Pool: m.MoveTo})
		case m.State == pool.Draining && p.hosts[m.VM].State == Live && m.MoveTo == "":
			l = p.appendCall(l, "drain "+m.Op, DrainCmd{VM: m.VM})
		case (m.State == pool.Rebooting || m.State == pool.Failed) && m.Op != "":
			if _, ok := p.rebootAcceptedAt[m.Op]; !ok {
				l = p.appendCall(l, "reboot "+m.Op, RebootCmd{VM: m.VM, Op: m.Op})
			} else if h := p.hosts[m.VM]; h.State == Leaving && h.Boot > m.BootBefore {
				l = p.appendCall(l, "undrain "+m.VM, UndrainCmd{VM: m.VM})
			}
		}
	}
	for m := range p.table.Busy() {
		if p.needsUndrain(m) {
			l = p.appendCall(l, "undrain "+m.VM, UndrainCmd{VM: m.VM})
		}
	}
	for _, vm := range p.lateDrains {
		if m, ok := p.table.Find(vm); ok && m.State == pool.Serving {
			l = p.appendCall(l, "undrain "+vm, UndrainCmd{VM: vm})
		}
	}
	for _, m := range p.misassigned {
		if n, ok := p.table.Find(m.VM); ok && n == m {
			l = p.appendCall(l, "assign "+m.VM+" "+m.Pool, AssignCmd{VM: m.VM, Pool: m.Pool})
		}
	}
	return l
}

// needsUndrain reports whether the platform shows a VM without a running stop as leaving, and the VM has a drain left over from
// an ended stop, or has been out or failed for the leaving timeout.
func (p *Planner) needsUndrain(m pool.Member) bool {
	if m.Op != "" || p.hosts[m.VM].State != Leaving || p.reportedDead[m.VM] {
		return false
	}
	return m.MaybeDrained || m.State != pool.Serving && p.now-m.StateSince > leavingTimeoutMillis
}

// appendCall appends c unless the call with the same key was made within the retry interval.
func (p *Planner) appendCall(l []Cmd, key string, c Cmd) []Cmd {
	if at, ok := p.calledAt[key]; ok && p.now-at < retryMillis {
		return l
	}
	p.calledAt[key] = p.now
	return append(l, c)
}
