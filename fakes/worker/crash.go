package worker

import "strings"

// Limits on tasks under which workers crash.
const (
	crashesToGiveUp  = 2 // a job may be given up once so many workers have crashed under one of its tasks.
	crashesToStop    = 3 // a task that has crashed so many workers must not be started maxStartsAfter times more.
	maxStartsAfter   = 3
	taskNameFieldSep = "."
)

// crashCounts counts the crashes of workers, by task.
type crashCounts struct {
	caused      map[string]int // workers that the task has crashed.
	under       map[string]int // workers that crashed while they ran the task, for any cause.
	startsAfter map[string]int // starts after crashesToStop crashes that it caused.
}

func newCrashCounts() crashCounts {
	return crashCounts{caused: map[string]int{}, under: map[string]int{}, startsAfter: map[string]int{}}
}

func (c *crashCounts) runCrashed(_ *Worker, r *Run) { c.caused[r.Task.String()]++ }

// mayGiveUp reports whether enough workers have crashed under a task of the job.
func (c *crashCounts) mayGiveUp(job string) bool { return anyOf(c.under, job, crashesToGiveUp) }

// anyOf reports whether a task of the job has a count of at least n.
func anyOf(counts map[string]int, job string, n int) bool {
	for t, k := range counts {
		if strings.HasPrefix(t, job+taskNameFieldSep) && k >= n {
			return true
		}
	}
	return false
}

// checkCrashes checks that a task which crashes its workers is not started again and again.
func (j *Checker) checkCrashes(w *Worker, r *Run) {
	n := r.Task.String()
	if j.late || j.crashes.caused[n] < crashesToStop {
		return
	}
	if j.crashes.startsAfter[n]++; j.crashes.startsAfter[n] >= maxStartsAfter {
		j.AddViolation("BUDGET: %s run %d at %s after it has crashed %d workers", n, r.Number, w.id, j.crashes.caused[n])
	}
}

// CrashesBy returns the number of workers that tasks of the job have crashed.
func (j *Checker) CrashesBy(job string) int {
	n := 0
	for t, k := range j.crashes.caused {
		if strings.HasPrefix(t, job+taskNameFieldSep) {
			n += k
		}
	}
	return n
}
