package batch

import (
	"cmp"
	"slices"
)

// What operators see of teams.

const (
	limitLogMs      = 10_000 // between two log lines that one team is at its limit, ms.
	limitFreeMs     = 1_000  // a team whose limit has blocked nothing for this long is free again.
	maxLimitLogs    = 10     // such lines of all teams in limitLogWindow.
	limitLogWindow  = 1_000  // ms
	maxListedTeams  = 40     // teams in a list for operators: 10 kB.
	limitedByLimit  = "limit"
	limitedByFormer = "runs of a former owner"
	limitedByRoom   = "room"
)

// limitEvents is when the limit of a team has blocked starts.
type limitEvents struct {
	blockedAt    int64 // when it last did; 0 if never.
	blockedSince int64 // since when the team is at its limit, as far as logged; 0 if it is not.
	logAt        int64 // when the next line may be logged.
	logged       bool  // the line that the team is at its limit was.
	gangLogAt    int64
}

// logTeams logs which teams have reached their limit, and which are free again.
func (m *Model) logTeams() {
	if m.now-m.limitLogs.from >= limitLogWindow {
		m.limitLogs = limitLogs{from: m.now}
	}
	for _, u := range m.limitedTeams {
		switch {
		case u.blockedSince == 0 && u.blockedAt > 0 && m.now-u.blockedAt < limitFreeMs:
			u.blockedSince = u.blockedAt
			if u.logged = m.now >= u.logAt && m.limitLogs.lines < maxLimitLogs; u.logged {
				m.limitLogs.lines++
				u.logAt = m.now + limitLogMs
				m.logTeam("team at its limit", u)
			}
		case u.blockedSince > 0 && m.now-u.blockedAt >= limitFreeMs:
			if u.logged {
				m.logTeam("team below its limit", u)
			}
			u.blockedSince = 0
		}
	}
}

// limitLogs counts the log lines on teams since a time.
type limitLogs struct {
	from  int64
	lines int
}

func (m *Model) logTeam(event string, u *teamUse) {
	used, limit := u.Used(), u.Limit()
	m.log(event, "", "team", u.name, "runs", u.Runs(), "usedCpu", used.CPU, "limitCpu", limit.CPU, "usedMemMb", used.MemMB, "limitMemMb", limit.MemMB,
		"usedGpu", used.GPU, "limitGpu", limit.GPU, "blockedMs", u.blockedAt-u.blockedSince)
}

// logGangOverLimit logs that a gang which an earlier limit allowed waits for a higher one.
func (m *Model) logGangOverLimit(u *teamUse, s *stage) {
	if m.now < u.gangLogAt {
		return
	}
	u.gangLogAt = m.now + limitLogMs
	m.log("gang larger than its team's limit", s.job.ID, "team", u.name, "step", s.number, "tasks", s.Count)
}

// TeamStatus is what one team has running and waiting.
type TeamStatus struct {
	Team      string  `json:"team"`
	Weight    float64 `json:"weight,omitempty"`
	Limit     Size    `json:"limit"` // a resource that is 0 is not limited.
	Used      Size    `json:"used"`
	Runs      int     `json:"runs"`
	Waiting   int     `json:"waiting"`             // tasks that are due and have no run.
	LimitedBy string  `json:"limitedBy,omitempty"` // what the waiting tasks wait for.
}

// Teams returns what each team has running and waiting, those with the most waiting tasks first, and the number of all teams that are
// configured or have jobs. It names no more than maxListedTeams.
func (m *Model) Teams() ([]TeamStatus, int) {
	waiting := m.waitingByTeam()
	var l []TeamStatus
	for n := range m.teams {
		if m.teamUses[n] == nil {
			l = append(l, TeamStatus{Team: n, Weight: m.teams[n].Weight, Limit: m.teams[n].Limit})
		}
	}
	for n, u := range m.teamUses {
		s := TeamStatus{Team: n, Weight: m.teams[n].Weight, Limit: Size(u.Limit()), Used: Size(u.Used()), Runs: u.Runs(), Waiting: waiting[u]}
		if s.Waiting > 0 {
			s.LimitedBy = m.limitedBy(u)
		}
		if _, ok := m.teams[n]; ok || s.Runs+s.Waiting > 0 {
			l = append(l, s)
		}
	}
	slices.SortFunc(l, func(a, b TeamStatus) int {
		return cmp.Or(cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(b.Runs, a.Runs), cmp.Compare(a.Team, b.Team))
	})
	return l[:min(len(l), maxListedTeams)], len(l)
}

// limitedBy returns what the waiting tasks of a team wait for.
func (m *Model) limitedBy(u *teamUse) string {
	switch {
	case u.Limited() && !m.runsKnown:
		return limitedByFormer
	case u.blockedAt > 0 && m.now-u.blockedAt < limitFreeMs:
		return limitedByLimit
	}
	return limitedByRoom
}

// waitingByTeam returns the number of tasks that are due and have no run, by team.
func (m *Model) waitingByTeam() map[*teamUse]int {
	n := map[*teamUse]int{}
	for _, p := range m.pools {
		for _, j := range p.openJobs {
			if j.use == nil {
				continue
			}
			for _, r := range j.rounds {
				for _, s := range r.stages {
					if s.tasksWaiting > 0 && s.ready() {
						n[j.use] += s.tasksWaiting
					}
				}
			}
		}
	}
	return n
}
