package batch

// Team is a group of callers with one limit and one share.
type Team struct {
	Name   string
	Weight float64 // share among the teams that compete.
	Limit  Size    // what its tasks may hold together at all workers; a resource that is 0 is not limited.
}

// TeamsMsg replaces the configured teams.
type TeamsMsg struct{ Teams []Team }

func (TeamsMsg) msg() {}

func (m *Model) setTeams(l []Team) {
	clear(m.teams)
	for _, t := range l {
		m.teams[t.Name] = t
	}
	m.setLimits()
}
