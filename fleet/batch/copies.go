package batch

// Copies of slow tasks: a second run of a task beside the first, for steps with Copies set. The first run to finish counts.
// With copies, an owner and its successor may each see the same step end, by different runs. The job's record therefore
// says that there may be copies. A successor that reads this does not conclude that the former owner cannot know of a
// step's end (see markNextStages).
const (
	copyLagFactor     = 2.0 // a run is slow once it has taken this multiple of the expected run time.
	minCopyAgeMs      = 200 // milliseconds; a younger run gets no copy, since starting one would not pay off.
	minRemainingShare = 0.5 // share of the expected run time; a run with no more time left will soon finish by itself.
)

// copySlowRuns starts copies of slow runs in pools where no task has waited for room for quietAfterMs. It does nothing
// during the blind time, while unreachable workers may still run what a former owner started.
func (m *Model) copySlowRuns() {
	for _, n := range sortedKeys(m.pools) {
		p := m.pools[n]
		if m.blind() || m.now-p.demand.lastWaitingAt < quietAfterMs {
			continue
		}
		for _, w := range p.workers {
			for _, r := range w.runsCopy() {
				if m.shouldCopy(r) {
					m.startCopy(p, r)
				}
			}
		}
	}
}

// shouldCopy reports whether r should get a copy: its step allows copies and is neither a gang nor lasting, r is the only run of
// its task, its worker answers, and it takes much longer than expected. The time that r still needs is estimated from the
// progress in its worker's last list. A slow run without any progress there gets a copy in any case.
func (m *Model) shouldCopy(r *run) bool {
	s := r.task.stage
	if !s.Copies || r.task.suspected() || s.Gang || s.Lasting || r.state != running || r.worker.silentSince != 0 || len(r.task.runs) > 1 || r.task.done {
		return false
	}
	if age := m.now - r.confirmedAt; age < minCopyAgeMs || float64(age) < copyLagFactor*s.runMs {
		return false
	}
	if r.percent == 0 {
		return true
	}
	left := float64(r.listedAt-r.confirmedAt)*float64(fullPercent-r.percent)/float64(r.percent) - float64(m.now-r.listedAt)
	return left > minRemainingShare*s.runMs
}

// fullPercent is the progress of a run that is done.
const fullPercent = 100

// startCopy starts a copy of r on another worker that has room, if the stored record says that the job may have copies. If
// the record does not say so yet, startCopy only has it changed, and a later call starts the copy.
func (m *Model) startCopy(p *pool, r *run) {
	t := r.task
	if j := t.stage.job; j.copiesVersion == 0 {
		m.markChanged(j)
		j.copiesVersion = j.version
	}
	if t.stage.job.storedVersion < t.stage.job.copiesVersion {
		return
	}
	if !m.teamAllowsCopy(t.stage) {
		return
	}
	c := m.newCandidates(p)
	c.reserve(r.worker)
	w := c.choose(t)
	if w == nil {
		return
	}
	m.log("copy started", t.stage.job.ID, "task", t.name().String(), "run", t.lastRun+1, "worker", w.ID,
		"besides", r.worker.ID, "percent", r.percent, "ageMs", m.now-r.confirmedAt, "usualMs", int64(t.stage.runMs))
	m.startRun(t, w, t.lastRun+1)
}
