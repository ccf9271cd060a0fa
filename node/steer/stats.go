package steer

import (
	"burdockreach.dev/fleet/pool"
	"burdockreach.dev/plat/hosts"
)

// Stats is what the leader of a data centre shows of its fleet; it is empty at other entries.
type Stats struct {
	leading bool
	moves   int64
	states  map[pool.State]int
	members []pool.Member
	hosts   map[string]hosts.VM
}

// Leading reports whether this entry leads its data centre.
func (s Stats) Leading() bool { return s.leading }

// Moves returns the number of VM moves that were decided in this term.
func (s Stats) Moves() int64 { return s.moves }

// InState returns the number of VMs in the state.
func (s Stats) InState(p pool.State) int { return s.states[p] }

// Members returns the VMs of the data centre.
func (s Stats) Members() []pool.Member { return s.members }

// Stats returns the newest figures.
func (l *Loop) Stats() Stats { return *l.stats.Load() }

// Host returns the platform's line of the VM, while this entry leads.
func (l *Loop) Host(vm string) (hosts.VM, bool) {
	m := l.Stats().hosts
	h, ok := m[vm]
	return h, ok
}

// updateStats renews the figures.
func (t *term) updateStats(moves int) {
	s := Stats{leading: true, moves: t.Stats().moves + int64(moves), states: make(map[pool.State]int), hosts: t.vmsByID()}
	for m := range t.planner.Table().All() {
		s.states[m.State]++
		s.members = append(s.members, m)
	}
	t.stats.Store(&s)
}
