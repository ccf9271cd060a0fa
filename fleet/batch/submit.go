package batch

import "errors"

// Limits and defaults of admission. Times in milliseconds.
const (
	maxLateFactor          = 3.0    // a job that ends after this multiple of its objective is of no use to its caller.
	minRetryMs             = 200    // shortest retry delay for a refused caller.
	maxRetryMs             = 10_000 // longest retry delay for a refused caller.
	defaultObjectiveFactor = 1.6    // objective as a multiple of the longest chain of steps, for jobs that set none.
)

// submit accepts a job, or refuses it at once if it cannot be done in time.
func (m *Model) submit(g SubmitMsg) {
	if !m.loaded {
		m.deferred = append(m.deferred, g)
		return
	}
	if j := m.jobs[g.Job.ID]; j != nil {
		m.resubmit(j, g)
		return
	}
	if m.cfg.Refusals.has(g.Attempt) {
		m.log("late copy of a refused submission", g.Job.ID, "queue", g.Job.Queue)
		m.emit(ReplyCmd{Ref: g.Ref, Verdict: Refused, RetryAfterMs: minRetryMs, Reason: "an earlier copy of this request was refused"})
		return
	}
	if err := g.Job.Validate(); err != nil {
		var f *FieldError
		errors.As(err, &f)
		m.emit(ReplyCmd{Ref: g.Ref, Verdict: Malformed, Reason: f.Error()})
		return
	}
	j := &job{Job: g.Job, submittedAt: m.now - g.AgeMs, firstTriedAt: m.now, submissions: []submission{{g.Ref, g.Attempt}}}
	j.use = m.teamUse(j)
	j.dueAt = j.submittedAt + m.objectiveMs(j)
	m.addDemand(j)
	if m.commits.failing {
		m.refuse(j, m.commits.failReason, minRetryMs)
		return
	}
	if wait, why, ok := m.withinTeamLimit(j); !ok {
		m.refuse(j, why, wait)
		return
	}
	if wait, ok := m.inTime(j); !ok {
		m.refuse(j, "the pool is full", wait)
		return
	}
	if wait, ok := m.adviceInTime(j); !ok {
		m.refuse(j, "too many steps wait for advice", wait)
		return
	}
	m.jobs[j.ID] = j
	m.commits.addAccept(j)
}

// resubmit answers a repeated submission of a known job.
func (m *Model) resubmit(j *job, g SubmitMsg) {
	if j.phase == committing {
		j.submissions = append(j.submissions, submission{g.Ref, g.Attempt})
		return
	}
	m.emit(ReplyCmd{Ref: g.Ref, Verdict: Accepted})
}

// refuse answers that the job was not accepted and that these attempts will never make it run.
func (m *Model) refuse(j *job, why string, retry int64) {
	retry = min(max(retry, minRetryMs), maxRetryMs)
	m.log("job refused", j.ID, "queue", j.Queue, "reason", why, "retryMs", retry, "backlogCoreMs", int64(m.pool(j.Service).backlog)/1000)
	for _, s := range j.submissions {
		m.cfg.Refusals.add(s.attempt, m.now)
		m.emit(ReplyCmd{Ref: s.ref, Verdict: Refused, RetryAfterMs: retry, Reason: why})
	}
}

// objectiveMs returns the time in ms from submission within which the job must end to have its full value, as far as
// its run times are known.
func (m *Model) objectiveMs(j *job) int64 {
	s := j.ObjectiveFactor
	if s <= 0 {
		s = defaultObjectiveFactor
	}
	return int64(s*m.chainMs(j)) + j.ObjectiveExtraMs
}

// chainMs returns the expected time in ms of the longest chain of steps, with their advice.
func (m *Model) chainMs(j *job) float64 {
	q := m.estimator(j.Queue)
	ends := make([]float64, len(j.Steps))
	longest := 0.0
	for i, s := range j.Steps {
		for _, a := range s.After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += q.expectedMs(float64(s.EstimateMs)) + m.adviceMs(j)
		longest = max(longest, ends[i])
	}
	return longest
}

// inTime reports whether the job can end while it is still of use. If not, it also returns the time in ms until the
// pool has room for it.
func (m *Model) inTime(j *job) (int64, bool) {
	if j.Rounds > 0 || hasLastingSteps(j) {
		return 0, true
	}
	p := m.pool(j.Service)
	cores := m.shortTaskCPU(p)
	if cores <= 0 {
		return maxRetryMs, len(p.workers) > 0 || len(p.openJobs) == 0
	}
	cores += float64(p.counts.arriving) * m.fleet.meanCPU
	wait := p.backlog / cores
	spare := maxLateFactor*float64(m.objectiveMs(j)) - m.chainMs(j)
	return int64(wait - spare), wait <= spare
}

// shortTaskCPU returns the CPU of the pool that is not held by lasting tasks, in thousandths of a core.
func (m *Model) shortTaskCPU(p *pool) float64 {
	n := int64(0)
	for _, w := range p.workers {
		if !w.listed || w.Draining || w.silentSince != 0 {
			continue
		}
		n += max(w.roomOnceEmptied().CPU, 0) // lasting tasks may hold more than is left of a room that has shrunk.
	}
	return float64(n)
}

// cancel ends a job at its caller's request. The answer follows once the end is stored.
func (m *Model) cancel(g CancelMsg) {
	if !m.loaded {
		m.deferred = append(m.deferred, g)
		return
	}
	j := m.jobs[g.ID]
	switch {
	case j == nil:
		m.emit(ReplyCmd{Ref: g.Ref, Verdict: UnknownJob})
	case j.shownState != StateAbsent:
		m.emit(ReplyCmd{Ref: g.Ref, Verdict: Accepted})
	case j.phase == committing:
		j.cancelRefs = append(j.cancelRefs, g.Ref)
	default:
		j.cancelRefs = append(j.cancelRefs, g.Ref)
		m.endCanceled(j)
	}
}

func (m *Model) endCanceled(j *job) {
	if j.phase == open {
		m.endJob(j, StateCanceled)
	}
	m.markChanged(j)
}
