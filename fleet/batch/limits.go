package batch

import (
	"slices"

	"burdockreach.dev/fleet/quota"
)

// Limits of teams. attachRun and dropRun count what each team has running, and teamAllows is asked before every start. A team at its
// limit reserves no worker, asks for no advice and preempts nothing, because it is skipped before a worker is looked for.

const (
	limitHoldAfterMs = 500 // a step that its team's limit has blocked for this long holds up later steps of its team.
	// limitHoldMs is the longest hold while less than half of the limit is in use. An accepted job must not wait for 3 s then.
	limitHoldMs = 2_000
)

// teamUse is what one team has running, at all workers.
type teamUse struct {
	*quota.Account
	name      string
	lasting   quota.Size // part of the use that lasting tasks hold.
	uncounted quota.Size // bound of what a former owner's runs hold that are not known yet.
	head      *stage     // the first step in service order that the limit keeps from starting; nil if there is none.
	headSince int64
	belowHalf int64 // since when less than half of the limit is in use; 0 while more is.
	teamWork
	limitEvents
}

// teamUse returns the use of the job's team, or nil if the job has no team.
func (m *Model) teamUse(j *job) *teamUse {
	if j.Team == "" {
		return nil
	}
	u := m.teamUses[j.Team]
	if u == nil {
		u = &teamUse{Account: m.ledger.Account(j.Team), name: j.Team}
		m.teamUses[j.Team] = u
		m.listLimited()
	}
	return u
}

// limited reports whether the team has a limit. A job without a team has none.
func (u *teamUse) limited() bool { return u != nil && u.Limited() }

// setLimits takes over the limits of the configured teams. A team that is not configured any more has none.
func (m *Model) setLimits() {
	for n := range m.teamUses {
		m.ledger.Set(n, quota.Size{})
	}
	for n, t := range m.teams {
		m.ledger.Set(n, quota.Size(t.Limit))
	}
	m.teamsKnown = true
	m.listLimited()
	for _, p := range m.pools {
		p.dirty = true
	}
}

// listLimited lists the teams with a limit.
func (m *Model) listLimited() {
	m.limitedTeams = m.limitedTeams[:0]
	for _, n := range sortedKeys(m.teamUses) {
		if u := m.teamUses[n]; u.Limited() {
			m.limitedTeams = append(m.limitedTeams, u)
		} else {
			u.head, u.limitEvents = nil, limitEvents{}
		}
	}
}

// countRun counts a run for its team. The whole size of a task counts, also the CPU of one that fills.
func (r *run) countRun() {
	s := r.task.stage
	u := s.job.use
	if u == nil {
		return
	}
	u.Add(quota.Size(s.Step.Size))
	if s.Lasting {
		u.lasting = quota.Size(Size(u.lasting).plus(s.Step.Size))
	}
}

// uncountRun takes a run off its team's account.
func (r *run) uncountRun() {
	s := r.task.stage
	u := s.job.use
	if u == nil {
		return
	}
	u.Remove(quota.Size(s.Step.Size))
	if s.Lasting {
		u.lasting = quota.Size(Size(u.lasting).minus(s.Step.Size))
	}
}

// strayRun is a run at a worker that belongs to no run of its task and is being stopped.
type strayRun struct {
	task *task
	use  *teamUse // of its team; nil without one.
	size quota.Size
}

// count adds n times the run to its team's account and to its task, which is not started meanwhile.
func (s strayRun) count(n int) {
	s.task.strays += n
	switch {
	case s.use == nil:
	case n > 0:
		s.use.Add(s.size)
	default:
		s.use.Remove(s.size)
	}
}

// setStrays replaces the runs that w lists beside those that are known. Each counts for its team, and keeps its task from being started,
// until a list of the worker shows it no more, or the worker's lease or lifetime is over. Of a run whose job is not known any more neither
// team nor size are known: it counts as nothing, since it is stopped within some milliseconds, but a new owner starts nothing of limited
// teams while there is one.
func (w *worker) setStrays(l []strayRun, ofUnknownJobs int) {
	for _, s := range w.strays {
		s.count(-1)
	}
	for _, s := range l {
		s.count(1)
	}
	w.strays, w.runsOfUnknownJobs = l, ofUnknownJobs
}

// addStray adds a run that w lists and that belongs to no run of t, which is nil if the task is not known.
func addStray(l []strayRun, t *task) []strayRun {
	if t == nil {
		return l
	}
	return append(l, strayRun{task: t, use: t.stage.job.use, size: quota.Size(t.stage.Step.Size)})
}

// updateRunsKnown sets whether all runs of a former owner are counted: the lists of every worker of all pools are read, or the time is
// over in which its starts may still be carried out. Until then it counts what may run uncounted for each team.
func (m *Model) updateRunsKnown() {
	m.runsKnown = !m.blind() || len(m.limitedTeams) == 0
	if m.runsKnown {
		return
	}
	m.runsKnown = m.allRunsRead()
	if !m.runsKnown && m.now-m.uncountedAt >= sweepIntervalMs {
		m.uncountedAt = m.now
		m.boundUncounted()
	}
}

func (m *Model) allRunsRead() bool {
	for n := range m.pools {
		if !m.services[n].Standby && m.workersUnlisted(n) || m.workersUnread(n) {
			return false
		}
	}
	return !slices.ContainsFunc(m.workerList, func(w *worker) bool { return w.runsOfUnknownJobs > 0 && !w.dead })
}

// boundUncounted sets the most that runs of a former owner that are not known yet may hold of each team: the tasks of its stored jobs that
// the former owner may have started. Waiting for every worker instead would leave all teams without starts for as long as one worker
// is cut off. Runs of jobs that have ended are not included; they are being stopped.
func (m *Model) boundUncounted() {
	for _, u := range m.limitedTeams {
		u.uncounted = quota.Size{}
	}
	for _, p := range m.pools {
		for _, j := range p.openJobs {
			if j.loaded && j.use.limited() {
				j.addUncounted()
			}
		}
	}
}

// addUncounted adds the tasks of the job that a former owner may have started and that are not known to run.
func (j *job) addUncounted() {
	for _, r := range j.rounds {
		for _, s := range r.stages {
			if s.noFormerRuns || s.tasksWaiting == 0 || !s.ready() {
				continue
			}
			for _, t := range s.tasks {
				if !t.done && !t.noFormerRuns && len(t.runs) == 0 {
					j.use.uncounted = quota.Size(Size(j.use.uncounted).plus(s.Step.Size))
				}
			}
		}
	}
}

// teamAllows reports whether the limit of its team lets the next task of s start, or the whole gang, and no earlier step of the team waits
// for the limit.
func (m *Model) teamAllows(s *stage) bool {
	return s.job.use == nil || m.limitAllows(s) && (!s.job.use.Limited() || !m.holdsBack(s.job.use, s))
}

// limitAllows reports whether the limit of its team lets the next task of s start, or the whole gang. updateRunsKnown must have been called
// in the same placement. A job with a team waits for the first configuration, as its limit is not known before.
func (m *Model) limitAllows(s *stage) bool {
	u := s.job.use
	switch {
	case u == nil, m.teamsKnown && !u.Limited():
		return true
	case !m.teamsKnown:
		return false
	case !m.fitsLimit(u, s):
		if m.runsKnown {
			m.limitBlocks(u, s)
		}
		return false
	}
	return true
}

// fitsLimit reports whether the next task of s, or all of a gang, fits within the limit, also beside what may run uncounted.
func (m *Model) fitsLimit(u *teamUse, s *stage) bool {
	return u.fits(s) && (m.runsKnown || u.fitsBesideUncounted(s))
}

// teamAllowsCopy reports whether the limit lets a copy start. Copies do not compete with steps that the limit keeps waiting.
func (m *Model) teamAllowsCopy(s *stage) bool {
	u := s.job.use
	return u == nil || m.teamsKnown && (!u.Limited() || m.runsKnown && u.head == nil && u.fits(s))
}

// teamAllowsRestart reports whether a run of s that is stopped may start again elsewhere. When the limit has fallen below what its team has
// running, it may not, so it must not be stopped for less than a necessity.
func (m *Model) teamAllowsRestart(s *stage) bool {
	u := s.job.use
	return !u.limited() || u.Within() || u.Runs() == 1
}

// fits reports whether the next task of s, or all of a gang, fits within the limit.
func (u *teamUse) fits(s *stage) bool {
	if s.Gang {
		return u.FitsTogether(quota.Size(s.Step.Size), s.Count)
	}
	return u.Fits(quota.Size(s.Step.Size))
}

// fitsBesideUncounted reports whether s fits beside all that may run without being counted.
func (u *teamUse) fitsBesideUncounted(s *stage) bool {
	n := 1
	if s.Gang {
		n = s.Count
	}
	return u.FitsTogetherBeside(quota.Size(s.Step.Size), n, quota.Size(Size(u.Used()).plus(Size(u.uncounted))))
}

// fitsOnceDrained reports whether s fits once all short tasks of its team have ended.
func (u *teamUse) fitsOnceDrained(s *stage) bool {
	n := 1
	if s.Gang {
		n = s.Count
	}
	return u.FitsTogetherBeside(quota.Size(s.Step.Size), n, u.lasting)
}

// limitBlocks records that the limit keeps s from starting.
func (m *Model) limitBlocks(u *teamUse, s *stage) {
	u.blockedAt = m.now
	if s.Gang && !u.FitsTogetherBeside(quota.Size(s.Step.Size), s.Count, quota.Size{}) {
		m.logGangOverLimit(u, s)
	}
	if (u.head == nil || compareStages(s, u.head) < 0) && u.fitsOnceDrained(s) && slices.ContainsFunc(s.tasks, m.mayStart) {
		u.nextHead(m.now, s)
	}
}

// nextHead makes s the first step that the limit keeps waiting.
func (u *teamUse) nextHead(now int64, s *stage) {
	if u.formerHead != s {
		u.headSince = now
	}
	u.head, u.formerHead = s, s
}

// clearHeads forgets the first waiting steps of limited teams in the pool, which are found again in its placement.
func (m *Model) clearHeads(p *pool) {
	for _, u := range m.limitedTeams {
		if u.head != nil && u.head.job.Service == p.name {
			u.head = nil
		}
		if u.HalfUsed() {
			u.belowHalf = 0
		} else if u.belowHalf == 0 {
			u.belowHalf = m.now
		}
	}
}

// holdsBack reports whether s has to wait for an earlier step of its team that the limit blocks. Otherwise small tasks would keep a
// large one of the same team from ever fitting.
func (m *Model) holdsBack(u *teamUse, s *stage) bool {
	if u.head == nil || m.now-u.headSince < limitHoldAfterMs || compareStages(u.head, s) >= 0 {
		return false
	}
	return u.belowHalf == 0 || m.now-u.belowHalf < limitHoldMs
}
