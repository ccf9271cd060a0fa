package leader

import (
	"burdockreach.dev/fleet/pool"
	"burdockreach.dev/plat/hosts"
)

// Stats holds the leader's figures on its data centre. It is empty at entries that do not lead.
type Stats struct {
	leading bool
	moves   int64
	states  map[pool.State]int
	members []pool.Member
	hosts   map[string]hosts.VM
}

// Leading reports whether this entry leads its data centre.
func (s Stats) Leading() bool { return s.leading }

// Moves returns the number of VM moves decided in this term.
func (s Stats) Moves() int64 { return s.moves }

// InState returns the number of VMs in the state.
func (s Stats) InState(p pool.State) int { return s.states[p] }

// Members returns the members of all pools of the data centre.
func (s Stats) Members() []pool.Member { return s.members }

// Stats returns the newest figures.
func (l *Loop) Stats() Stats { return *l.stats.Load() }

// Host returns the VM as the platform last listed it. It finds none while this entry does not lead.
func (l *Loop) Host(vm string) (hosts.VM, bool) {
	m := l.Stats().hosts
	h, ok := m[vm]
	return h, ok
}

// updateStats stores new figures, adding moves to the term's total.
func (t *term) updateStats(moves int) {
	s := Stats{leading: true, moves: t.Stats().moves + int64(moves), states: make(map[pool.State]int), hosts: t.vmsByID()}
	for m := range t.planner.Table().All() {
		s.states[m.State]++
		s.members = append(s.members, m)
	}
	t.stats.Store(&s)
}
