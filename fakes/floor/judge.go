package floor

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"burdockreach.dev/fleet/batch"
)

// Judge watches what begins and ends at workers and checks the promises of runs; it is not safe for concurrent use.
type Judge struct {
	now    func() int64
	known  map[string]*Known
	stints map[string][]Stint // by task
	noted  map[string]int64   // when a done end was noted.
	fails  map[string]int     // failed ends by task.
	broken []string
}

// Known is what callers know of a job.
type Known struct {
	Job      batch.Job
	Accepted bool
	Asked    int // attempts to hand it in.
	Refused  int // of those, the ones that were told that it never runs.
}

// Stint is one run at a worker, as the worker saw it; To is 0 while it runs.
type Stint struct {
	Run      int
	Worker   string
	From, To int64
	How      batch.EndReason
}

// NewJudge returns a judge with the clock now, in ms.
func NewJudge(now func() int64) *Judge {
	return &Judge{now: now, known: map[string]*Known{}, stints: map[string][]Stint{}, noted: map[string]int64{}, fails: map[string]int{}}
}

// Hooks returns the hooks by which workers tell the judge.
func (j *Judge) Hooks() Hooks { return Hooks{Begun: j.begun, Ended: j.ended, Noted: j.note} }

// Know returns what callers know of the job, which begins with nothing.
func (j *Judge) Know(b batch.Job) *Known {
	k := j.known[b.ID]
	if k == nil {
		k = &Known{Job: b}
		j.known[b.ID] = k
	}
	return k
}

// Find returns what callers know of the job of that id, nil for nothing.
func (j *Judge) Find(id string) *Known { return j.known[id] }

// Stints returns the runs of a task.
func (j *Judge) Stints(task string) []Stint { return slices.Clone(j.stints[task]) }

// Tasks returns the number of tasks that have run.
func (j *Judge) Tasks() int { return len(j.stints) }

// Broken returns the broken promises.
func (j *Judge) Broken() []string { return slices.Clone(j.broken) }

// Wrong notes a broken promise.
func (j *Judge) Wrong(format string, a ...any) {
	j.broken = append(j.broken, fmt.Sprintf("%d ms: ", j.now())+fmt.Sprintf(format, a...))
}

func (j *Judge) begun(w *Worker, r *Run) {
	n, k := r.Task.String(), j.known[r.Task.Job]
	if k == nil {
		j.Wrong("UNASKED: %s run %d at %s", n, r.Number, w.id)
		return
	}
	for _, s := range j.stints[n] {
		if s.To == 0 && !k.Job.Steps[r.Task.Step].Copies {
			j.Wrong("TWICE: %s run %d at %s while run %d is at %s", n, r.Number, w.id, s.Run, s.Worker)
		}
	}
	if at := j.noted[n]; at != 0 {
		j.Wrong("TWICE: %s run %d at %s after its end was noted at %d", n, r.Number, w.id, at)
	}
	if k.Asked > 0 && k.Refused == k.Asked {
		j.Wrong("REFUSED: %s starts at %s", n, w.id)
	}
	if a := k.Job.Attempts; a > 0 && j.fails[n] >= a {
		j.Wrong("BUDGET: %s run %d at %s after %d failures", n, r.Number, w.id, j.fails[n])
	}
	j.checkOrder(r, k.Job)
	j.stints[n] = append(j.stints[n], Stint{Run: r.Number, Worker: w.id, From: j.now()})
}

// checkOrder checks that the tasks of earlier steps have ended.
func (j *Judge) checkOrder(r *Run, b batch.Job) {
	for _, a := range b.Steps[r.Task.Step].After {
		for i := range b.Steps[a].Count {
			n := batch.TaskName{Job: b.ID, Round: r.Task.Round, Step: a, Index: i}.String()
			if !j.isDone(n) {
				j.Wrong("ORDER: %s starts before %s has ended", r.Task, n)
			}
		}
	}
}

func (j *Judge) isDone(task string) bool {
	return slices.ContainsFunc(j.stints[task], func(s Stint) bool { return s.How == batch.EndDone })
}

func (j *Judge) ended(w *Worker, r *Run, how batch.EndReason) {
	n := r.Task.String()
	if how == batch.EndFailed {
		j.fails[n]++
	}
	for i := range j.stints[n] {
		if s := &j.stints[n][i]; s.To == 0 && s.Run == r.Number && s.Worker == w.id {
			s.To, s.How = j.now(), how
		}
	}
}

func (j *Judge) note(_ *Worker, e batch.EndedRun) {
	if n := e.Task.String(); e.Reason == batch.EndDone {
		j.noted[n] = cmp.Or(j.noted[n], j.now())
	}
}

// Settle checks, once the faults are over, that every accepted job has come to its end, and that no state is shown without cause.
func (j *Judge) Settle(state func(id string) batch.State, describe func(id string) string) {
	for _, id := range Sorted(j.known) {
		k, s := j.known[id], state(id)
		lasts := k.Job.Steps[0].Lasting
		switch {
		case k.Accepted && s == batch.StateAbsent:
			j.Wrong("LOST: accepted job %s is not known", id)
		case k.Accepted && !lasts && s != batch.StateCompleted && s != batch.StateFailed:
			j.Wrong("LOST: accepted job %s is %q at the end:%s", id, s, describe(id))
		case s == batch.StateCompleted && !j.allDone(k.Job):
			j.Wrong("MIXED: job %s is completed and a task is not", id)
		case s == batch.StateFailed && !j.anyBroke(k.Job):
			j.Wrong("LOST: job %s has failed without cause", id)
		}
		if lasts && k.Accepted {
			j.checkLasting(k.Job)
		}
	}
}

func (j *Judge) checkLasting(b batch.Job) {
	for i := range b.Steps[0].Count {
		n := batch.TaskName{Job: b.ID, Index: i}.String()
		if !slices.ContainsFunc(j.stints[n], func(s Stint) bool { return s.To == 0 }) {
			j.Wrong("LOST: lasting task %s does not run", n)
		}
	}
}

func (j *Judge) allDone(b batch.Job) bool {
	for s, p := range b.Steps {
		for i := range p.Count {
			if !j.isDone(batch.TaskName{Job: b.ID, Step: s, Index: i}.String()) {
				return false
			}
		}
	}
	return true
}

func (j *Judge) anyBroke(b batch.Job) bool {
	for n, k := range j.fails {
		if strings.HasPrefix(n, b.ID) && k >= b.Attempts {
			return true
		}
	}
	return false
}
