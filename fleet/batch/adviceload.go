package batch

import (
	"cmp"
	"slices"
)

// The load of the advice service. A job is accepted only if its steps can have advice in time, after those of the jobs that were accepted
// before it.

// usualAdviceWorkers is the number of workers in the request that the objective of a job allows for each step.
const usualAdviceWorkers = 30

// adviceMs returns the time in ms that the objective of the job allows for the advice of a step.
func (m *Model) adviceMs(j *job) float64 {
	if !j.Advised {
		return 0
	}
	return m.advice.queue(j.Queue).handleMs(usualAdviceWorkers)
}

// requestMs returns the time in ms that the service usually takes for a request of the queue.
func (a *adviceLine) requestMs(queue string) float64 {
	q := a.queue(queue)
	return q.handleMs(int(q.named+0.5)) * a.slowness
}

// adviceDebt is what the steps of an accepted job still need from the service.
type adviceDebt struct {
	job  *job
	byMs int64 // steady time by which they must have it for the job to end in time.
	ms   float64
}

// precedes reports whether the steps of j come before those of o in the line, as far as it can be told before their turn.
func (j *job) precedes(o *job) bool {
	return cmp.Or(cmp.Compare(j.Priority, o.Priority), cmp.Compare(j.dueAt, o.dueAt), cmp.Compare(j.ID, o.ID)) < 0
}

// measureAdvice sets what the accepted jobs still need from the service, in their order in the line.
func (m *Model) measureAdvice() {
	l := m.advice.owed[:0]
	for _, p := range m.pools {
		for _, j := range p.openJobs {
			if n := j.unadvisedSteps(m.now); n > 0 {
				l = append(l, m.newAdviceDebt(j, n))
			}
		}
	}
	slices.SortFunc(l, func(a, b adviceDebt) int {
		if a.job.precedes(b.job) {
			return -1
		}
		return 1
	})
	m.advice.owed = l
}

func (m *Model) newAdviceDebt(j *job, steps int) adviceDebt {
	spare := max(float64(m.objectiveMs(j))-m.chainMs(j), maxAdviceInFlight*m.advice.requestMs(j.Queue))
	return adviceDebt{job: j, byMs: j.submittedAt + int64(spare), ms: float64(steps) * m.advice.requestMs(j.Queue)}
}

// unadvisedSteps returns the number of the job's steps that need a request. Those that have no worker to ask for need none.
func (j *job) unadvisedSteps(now int64) int {
	if !j.Advised {
		return 0
	}
	n := 0
	for _, r := range j.rounds {
		for _, s := range r.stages {
			if v := &s.advice; s.tasksWaiting > 0 && v.request == nil && !v.hopeless && v.usableUntil <= now {
				n++
			}
		}
	}
	return n
}

// adviceInTime reports whether the steps of a new job can have advice in time, and those of the accepted jobs that come after it still can.
// If not, it also returns the time in ms until the line is short enough. A service that fails is expected to fail for as long again.
func (m *Model) adviceInTime(j *job) (int64, bool) {
	a := &m.advice
	if !j.Advised || j.Rounds > 0 || hasLastingSteps(j) {
		return 0, true
	}
	end := float64(m.now) + m.lineMs()
	if a.failures > 0 {
		end += float64(m.now - a.failingSince)
	}
	d := m.newAdviceDebt(j, len(j.Steps))
	i, excess := 0, 0.0
	for ; i < len(a.owed) && a.owed[i].job.precedes(j); i++ {
		end += a.owed[i].ms
	}
	excess = end - float64(d.byMs)
	for _, o := range a.owed[i:] {
		if by := float64(o.byMs); end <= by { // it could have been in time without j.
			excess = max(excess, end+d.ms-by)
		}
		end += o.ms
	}
	if excess > 0 {
		return int64(excess), false
	}
	a.owed = slices.Insert(a.owed, i, d)
	return 0, true
}
