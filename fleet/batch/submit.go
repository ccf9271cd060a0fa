package batch

import "errors"

// Admission.
const (
	maxLateFactor  = 3.0    // a job that ends after so many objectives is of no use to its caller.
	minRetryMs     = 200    // shortest time after which a refused caller is asked back.
	maxRetryMs     = 10_000 // longest one.
	defaultStretch = 1.6    // objective of a queue that names none, in multiples of the work.
)

// submit accepts a job, or refuses it at once when it cannot be served in time.
func (m *Model) submit(g SubmitMsg) {
	if !m.loaded {
		m.deferred = append(m.deferred, g)
		return
	}
	if j := m.jobs[g.Job.ID]; j != nil {
		m.resubmit(j, g)
		return
	}
	if err := g.Job.Validate(); err != nil {
		var f *FieldError
		errors.As(err, &f)
		m.emit(ReplyCmd{Ref: g.Ref, Verdict: Malformed, Reason: f.Error()})
		return
	}
	j := &job{Job: g.Job, submittedAt: m.now - g.AgeMs, firstTriedAt: m.now, submitRefs: []uint64{g.Ref}}
	j.dueAt = j.submittedAt + m.objectiveMs(j)
	m.addDemand(j)
	if m.commits.failing {
		m.refuse(j, "the store does not answer", minRetryMs)
		return
	}
	if wait, ok := m.inTime(j); !ok {
		m.refuse(j, "the pool is full", wait)
		return
	}
	m.jobs[j.ID] = j
	m.commits.addAccept(j)
}

// resubmit answers another attempt to hand in a job that is known.
func (m *Model) resubmit(j *job, g SubmitMsg) {
	if j.phase == committing {
		j.submitRefs = append(j.submitRefs, g.Ref)
		return
	}
	m.emit(ReplyCmd{Ref: g.Ref, Verdict: Accepted})
}

// refuse answers that the job was not accepted and never runs by these attempts.
func (m *Model) refuse(j *job, why string, retry int64) {
	retry = min(max(retry, minRetryMs), maxRetryMs)
	m.log("job refused", j.ID, "queue", j.Queue, "reason", why, "retryMs", retry, "backlogCoreMs", int64(m.pool(j.Service).backlog)/1000)
	for _, r := range j.submitRefs {
		m.emit(ReplyCmd{Ref: r, Verdict: Refused, RetryAfterMs: retry, Reason: why})
	}
}

// objectiveMs is the time in ms from handing in within which the job earns in full, as far as its run times are known.
func (m *Model) objectiveMs(j *job) int64 {
	s := j.Stretch
	if s <= 0 {
		s = defaultStretch
	}
	return int64(s*m.chainMs(j)) + j.AimMs
}

// chainMs is the expected run time in ms of the longest chainMs of steps.
func (m *Model) chainMs(j *job) float64 {
	q := m.estimator(j.Queue)
	ends := make([]float64, len(j.Steps))
	longest := 0.0
	for i, s := range j.Steps {
		for _, a := range s.After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += q.expectedMs(float64(s.EstimateMs))
		longest = max(longest, ends[i])
	}
	return longest
}

// inTime reports whether the job can end while it is of use; else the time in ms after which the pool has room again.
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

// shortTaskCPU is the CPU of the pool that is not held by lasting tasks, in thousandths of a core.
func (m *Model) shortTaskCPU(p *pool) float64 {
	n := int64(0)
	for _, w := range p.workers {
		if !w.listed || w.Draining || w.silentSince != 0 {
			continue
		}
		n += w.Room.CPU
		for _, r := range w.runs {
			if r.task.stage.Lasting {
				n -= r.task.stage.size().CPU
			}
		}
	}
	return float64(n)
}

// cancel ends a job at its caller's wish; the answer follows once the store has it.
func (m *Model) cancel(g CancelMsg) {
	if !m.loaded {
		m.deferred = append(m.deferred, g)
		return
	}
	j := m.jobs[g.ID]
	switch {
	case j == nil:
		m.emit(ReplyCmd{Ref: g.Ref, Verdict: NotKnown})
	case j.shownState != Absent:
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
		m.endJob(j, Canceled)
	}
	m.markChanged(j)
}
