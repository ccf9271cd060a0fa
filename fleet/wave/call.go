package wave

import "burdockreach.dev/fleet/pool"

// calls returns what the platform is to be told, each call repeated until its effect is known.
func (p *Planner) calls() []Cmd {
	var l []Cmd
	for m := range p.table.Busy() {
		switch {
		case m.State == pool.Draining && m.To != "" && p.isDrained(m) && p.assigned[m.VM] != m.To:
			l = p.call(l, "assign "+m.VM+" "+m.To, AssignCmd{VM: m.VM, Pool: m.To})
		case m.State == pool.Draining && p.hosts[m.VM].State == Live && m.To == "":
			l = p.call(l, "drain "+m.Op, DrainCmd{VM: m.VM})
		case (m.State == pool.Rebooting || m.State == pool.Failed) && m.Op != "":
			if _, ok := p.rebooted[m.Op]; !ok {
				l = p.call(l, "reboot "+m.Op, RebootCmd{VM: m.VM, Op: m.Op})
			} else if h := p.hosts[m.VM]; h.State == Leaving && h.Boot > m.Boot {
				l = p.call(l, "undrain "+m.VM, UndrainCmd{VM: m.VM})
			}
		}
	}
	for m := range p.table.Busy() {
		if p.isShut(m) {
			l = p.call(l, "undrain "+m.VM, UndrainCmd{VM: m.VM})
		}
	}
	for _, vm := range p.strays {
		if m, ok := p.table.Find(vm); ok && m.State == pool.Serving {
			l = p.call(l, "undrain "+vm, UndrainCmd{VM: vm})
		}
	}
	for _, m := range p.astray {
		if n, ok := p.table.Find(m.VM); ok && n == m {
			l = p.call(l, "assign "+m.VM+" "+m.Pool, AssignCmd{VM: m.VM, Pool: m.Pool})
		}
	}
	return l
}

// isShut tells whether the platform holds a drain of ours on a VM that is not being stopped any more.
func (p *Planner) isShut(m pool.Member) bool {
	if m.Op != "" || p.hosts[m.VM].State != Leaving || p.dead[m.VM] {
		return false
	}
	return m.Shut || m.State != pool.Serving && p.now-m.Since > outMillis
}

// call adds c unless the same call was made a moment ago.
func (p *Planner) call(l []Cmd, key string, c Cmd) []Cmd {
	if at, ok := p.called[key]; ok && p.now-at < repeatMillis {
		return l
	}
	p.called[key] = p.now
	return append(l, c)
}
