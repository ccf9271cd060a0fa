package batch

import (
	"fmt"
	"strings"
)

// Describe returns what the model knows of a job's unfinished tasks.
func Describe(m *Model, id string) string {
	var b strings.Builder
	for _, r := range m.jobs[id].rounds {
		for _, s := range r.stages {
			for _, t := range s.tasks {
				if t.done {
					continue
				}
				fmt.Fprintf(&b, " [%d.%d last run %d not before %d failed runs %v", s.number, t.index, t.lastRun, t.notBefore, t.failedRuns)
				for _, u := range t.runs {
					fmt.Fprintf(&b, "; run %d at %s state %d confirmed at %d stop acknowledged at %d, worker silent since %d polling %v dead %v listed %v",
						u.number, u.worker.ID, u.state, u.confirmedAt, u.stopAckedAt, u.worker.silentSince, u.worker.polling, u.worker.dead, u.worker.listed)
				}
				b.WriteString("]")
			}
		}
	}
	return b.String()
}

// Now returns the model's current time.
func (m *Model) Now() int64 { return m.now }

// OpenTasks returns the number of tasks of a job's open rounds.
func OpenTasks(m *Model, id string) int {
	n := 0
	for _, r := range m.jobs[id].rounds {
		for _, s := range r.stages {
			n += s.tasksLeft
		}
	}
	return n
}

// Promised returns the IDs of the workers that are promised to the waiting tasks of a job's steps, and the time that was promised first.
func Promised(m *Model, id string) (workers []string, first int64) {
	if m.jobs[id] == nil {
		return nil, 0
	}
	for _, r := range m.jobs[id].rounds {
		for _, s := range r.stages {
			if s.promise == nil {
				continue
			}
			first = s.promise.first
			for _, w := range s.promise.workers {
				workers = append(workers, w.ID)
			}
		}
	}
	return workers, first
}

// Demand returns the work that waits for room in a pool, in thousandths of a core times ms, and the number of machines that it wants.
func Demand(m *Model, service string) (waiting float64, machines int) {
	d := m.pool(service).demand
	return d.waitingWork, d.wantedMachines
}

// Slowdown returns the factor by which the model believes a worker to be slow.
func Slowdown(m *Model, id string) float64 {
	if w := m.workers[id]; w != nil {
		return m.slowdown(w)
	}
	return 1
}
