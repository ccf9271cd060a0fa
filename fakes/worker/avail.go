package worker

import (
	"slices"

	"burdockreach.dev/fleet/batch"
)

// noticeMs is the time in milliseconds after which a lasting task that is not at work counts as away, whatever the cause.
const noticeMs = 4500

// RunLate runs f, in which a worker carries out a command that was held up. The software is not responsible for the stops in f, nor for
// the later stops of runs that begin in f.
func (j *Checker) RunLate(f func()) {
	j.late = true
	defer func() { j.late = false }()
	f()
}

// checkAvailability checks that a stop does not end a lasting task that is at work while as many others of its step are away as may be.
func (j *Checker) checkAvailability(w *Worker, r *Run) {
	k := j.jobs[r.Task.Job]
	if k == nil || j.late {
		return
	}
	s := k.Job.Steps[r.Task.Step]
	if !s.Lasting || s.MayMiss == 0 {
		return
	}
	own := j.findRun(w, r)
	if own == nil || own.late || !j.isAtWork(*own) {
		return
	}
	away := 0
	for i := range s.Count {
		n := r.Task
		n.Index = i
		if n != r.Task && j.isAway(n) {
			away++
		}
	}
	if away >= s.MayMiss {
		j.AddViolation("AVAIL: %s run %d at %s is stopped while %d others of its step are away, and %d may be", r.Task, r.Number, w.id, away, s.MayMiss)
	}
}

// isAway reports whether a lasting task is not at work because it was stopped, or for noticeMs because of anything else.
func (j *Checker) isAway(n batch.TaskName) bool {
	l := j.runs[n.String()]
	if slices.ContainsFunc(l, j.isAtWork) {
		return false
	}
	var last RunRecord // that was at work.
	for _, s := range l {
		if s.EndMs-s.StartMs >= startupMs && s.EndMs > last.EndMs {
			last = s
		}
	}
	if last.EndMs == 0 {
		return len(l) > 0 && j.nowMs()-l[0].StartMs >= noticeMs
	}
	return last.Reason == batch.EndStopped && !last.late || j.nowMs()-last.EndMs >= noticeMs
}

// isAtWork reports whether a lasting run is active and has started up.
func (j *Checker) isAtWork(s RunRecord) bool { return s.EndMs == 0 && j.nowMs()-s.StartMs >= startupMs }
