package worker

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"burdockreach.dev/fleet/batch"
)

// Checker records the runs that begin and end at workers and checks the guarantees that the software gives about them, such as
// that no task runs twice. It is not safe for concurrent use.
type Checker struct {
	nowMs       func() int64
	jobs        map[string]*JobRecord
	runs        map[string][]RunRecord // by task name.
	ackedDoneMs map[string]int64       // time at which the caller acknowledged that a task is done, by task.
	failures    map[string]int         // number of failed runs, by task.
	crashes     crashCounts
	violations  []string
	late        bool // a worker carries out a command that was held up.
}

// JobRecord is a job as its caller sees it.
type JobRecord struct {
	Job      batch.Job
	Accepted bool
	Attempts int // attempts to submit it.
	Refused  int // attempts that got the answer that the job will never run.
}

// RunRecord is one run as the worker reported it. Its times are milliseconds on the simulation's clock; the end is 0 while the run is
// active.
type RunRecord struct {
	Run            int
	Worker         string
	StartMs, EndMs int64
	Reason         batch.EndReason
	late           bool // the command that started it, or the one that stopped it, was held up.
}

// NewChecker returns a checker that reads the time from now, in milliseconds.
func NewChecker(now func() int64) *Checker {
	return &Checker{nowMs: now, jobs: map[string]*JobRecord{}, runs: map[string][]RunRecord{}, ackedDoneMs: map[string]int64{}, failures: map[string]int{}, crashes: newCrashCounts()}
}

// Hooks returns the hooks through which workers report to the checker.
func (j *Checker) Hooks() Hooks {
	return Hooks{Begun: j.runBegun, Ended: j.runEnded, Acked: j.endAcked, Fatal: j.crashes.runCrashed}
}

// Job returns the record of the job, and creates one that is not accepted if there is none.
func (j *Checker) Job(b batch.Job) *JobRecord {
	k := j.jobs[b.ID]
	if k == nil {
		k = &JobRecord{Job: b}
		j.jobs[b.ID] = k
	}
	return k
}

// FindJob returns the record of the job with the id, or nil if there is none.
func (j *Checker) FindJob(id string) *JobRecord { return j.jobs[id] }

// Runs returns the runs of a task.
func (j *Checker) Runs(task string) []RunRecord { return slices.Clone(j.runs[task]) }

// TaskCount returns the number of tasks that have run.
func (j *Checker) TaskCount() int { return len(j.runs) }

// Violations returns the violations so far, one text each.
func (j *Checker) Violations() []string { return slices.Clone(j.violations) }

// AddViolation records a violation with the current time.
func (j *Checker) AddViolation(format string, a ...any) {
	j.violations = append(j.violations, fmt.Sprintf("%d ms: ", j.nowMs())+fmt.Sprintf(format, a...))
}

func (j *Checker) runBegun(w *Worker, r *Run) {
	task, k := r.Task.String(), j.jobs[r.Task.Job]
	if k == nil {
		j.AddViolation("UNASKED: %s run %d at %s", task, r.Number, w.id)
		return
	}
	for _, s := range j.runs[task] {
		if s.EndMs == 0 && !k.Job.Steps[r.Task.Step].Copies {
			j.AddViolation("TWICE: %s run %d at %s while run %d is at %s", task, r.Number, w.id, s.Run, s.Worker)
		}
	}
	if ackedMs := j.ackedDoneMs[task]; ackedMs != 0 {
		j.AddViolation("TWICE: %s run %d at %s after its end was acknowledged at %d ms", task, r.Number, w.id, ackedMs)
	}
	if k.Attempts > 0 && k.Refused == k.Attempts {
		j.AddViolation("REFUSED: %s starts at %s", task, w.id)
	}
	if a := k.Job.Attempts; a > 0 && j.failures[task] >= a {
		j.AddViolation("BUDGET: %s run %d at %s after %d failures", task, r.Number, w.id, j.failures[task])
	}
	j.checkCrashes(w, r)
	if !j.late && w.Overfilled() {
		j.AddViolation("LIMIT: %s run %d brings %s over its capacity", task, r.Number, w.id)
	}
	j.checkOrder(r, k.Job)
	j.runs[task] = append(j.runs[task], RunRecord{Run: r.Number, Worker: w.id, StartMs: j.nowMs(), late: j.late})
}

// checkOrder checks that every task of the steps that the run's step comes after is done.
func (j *Checker) checkOrder(r *Run, b batch.Job) {
	for _, a := range b.Steps[r.Task.Step].After {
		for i := range b.Steps[a].Count {
			n := batch.TaskName{Job: b.ID, Round: r.Task.Round, Step: a, Index: i}.String()
			if !j.isDone(n) {
				j.AddViolation("ORDER: %s starts before %s has ended", r.Task, n)
			}
		}
	}
}

func (j *Checker) isDone(task string) bool {
	return slices.ContainsFunc(j.runs[task], func(s RunRecord) bool { return s.Reason == batch.EndDone })
}

func (j *Checker) runEnded(w *Worker, r *Run, how batch.EndReason) {
	n := r.Task.String()
	switch how {
	case "":
		j.crashes.under[n]++
	case batch.EndFailed:
		j.failures[n]++
	case batch.EndStopped:
		j.checkAvailability(w, r)
	}
	if s := j.findRun(w, r); s != nil {
		s.EndMs, s.Reason, s.late = j.nowMs(), how, s.late || j.late
	}
}

// findRun returns the record of an active run, or nil if there is none.
func (j *Checker) findRun(w *Worker, r *Run) *RunRecord {
	l := j.runs[r.Task.String()]
	i := slices.IndexFunc(l, func(s RunRecord) bool { return s.EndMs == 0 && s.Run == r.Number && s.Worker == w.id })
	if i < 0 {
		return nil
	}
	return &l[i]
}

// endAcked checks that no run of a task has begun after the end that is acknowledged, unless the task may have copies.
func (j *Checker) endAcked(w *Worker, e batch.EndedRun) {
	if e.Reason != batch.EndDone {
		return
	}
	n := e.Task.String()
	j.ackedDoneMs[n] = cmp.Or(j.ackedDoneMs[n], j.nowMs())
	l, k, endMs := j.runs[n], j.jobs[e.Task.Job], Never
	for _, s := range l {
		if s.Run == e.Run && s.Worker == w.id && s.Reason == batch.EndDone {
			endMs = s.EndMs // the last one, since a former lifetime may have ended a run with this number.
		}
	}
	if k == nil || k.Job.Steps[e.Task.Step].Copies {
		return
	}
	for _, s := range l {
		if s.StartMs > endMs {
			j.AddViolation("TWICE: %s run %d began at %s after run %d had ended at %s, whose end is acknowledged now", n, s.Run, s.Worker, e.Run, w.id)
		}
	}
}

// CheckEndState checks, once no more faults are injected, that every accepted job has reached an end state, that each state agrees with
// the recorded runs, and that lasting tasks run. state and describe look up a job by its id.
func (j *Checker) CheckEndState(state func(id string) batch.State, describe func(id string) string) {
	for _, id := range Sorted(j.jobs) {
		k, s := j.jobs[id], state(id)
		lasting := k.Job.Steps[0].Lasting
		switch {
		case k.Accepted && s == batch.StateAbsent:
			j.AddViolation("LOST: accepted job %s is not known", id)
		case k.Accepted && !lasting && s != batch.StateCompleted && s != batch.StateFailed:
			j.AddViolation("LOST: accepted job %s is %q at the end:%s", id, s, describe(id))
		case s == batch.StateCompleted && !j.allDone(k.Job):
			j.AddViolation("MIXED: job %s is completed and a task is not", id)
		case s == batch.StateFailed && !j.anyTaskFailed(k.Job) && !j.crashes.mayGiveUp(id):
			j.AddViolation("LOST: job %s has failed without cause", id)
		}
		if lasting && k.Accepted {
			j.checkLasting(k.Job)
		}
	}
}

func (j *Checker) checkLasting(b batch.Job) {
	for i := range b.Steps[0].Count {
		n := batch.TaskName{Job: b.ID, Index: i}.String()
		if !slices.ContainsFunc(j.runs[n], func(s RunRecord) bool { return s.EndMs == 0 }) {
			j.AddViolation("LOST: lasting task %s does not run", n)
		}
	}
}

func (j *Checker) allDone(b batch.Job) bool {
	for s, p := range b.Steps {
		for i := range p.Count {
			if !j.isDone(batch.TaskName{Job: b.ID, Step: s, Index: i}.String()) {
				return false
			}
		}
	}
	return true
}

func (j *Checker) anyTaskFailed(b batch.Job) bool {
	for n, k := range j.failures {
		if strings.HasPrefix(n, b.ID) && k >= b.Attempts {
			return true
		}
	}
	return false
}
