package batch

// Speculative copies of slow tasks, where their job allows them: the first run to finish counts. With copies, two
// owners may see a step end by different runs. The job's record therefore tells a successor that there may be copies,
// and the successor then does not assume that only it knows of a step's end (see markNextStages).
const (
	copyLagFactor    = 2.0 // a run is slow when it takes this multiple of the expected run time.
	minCopyAgeMs     = 200 // ms; a run that is younger gets no copy, since starting one would not pay off.
	minCopyLeftShare = 0.5 // of the expected run time; a run with less left to do will soon finish by itself.
)

// copyLaggards starts copies of slow runs in pools where no task has waited for room lately. It does nothing while
// unreachable workers may still run what a former owner started.
func (m *Model) copyLaggards() {
	for _, n := range sortedKeys(m.pools) {
		p := m.pools[n]
		if m.now < m.blindUntil || m.now-p.demand.lastShortAt < quietAfterMs {
			continue
		}
		for _, w := range p.workers {
			for _, r := range w.runsCopy() {
				if m.lags(r) {
					m.startCopy(p, r)
				}
			}
		}
	}
}

// lags reports whether r takes much longer than expected, judged by its worker's last list.
func (m *Model) lags(r *run) bool {
	s := r.task.stage
	if !s.Copies || s.Gang || s.Lasting || r.state != running || r.worker.silentSince != 0 || len(r.task.runs) > 1 || r.task.done {
		return false
	}
	if age := m.now - r.confirmedAt; age < minCopyAgeMs || float64(age) < copyLagFactor*s.runMs {
		return false
	}
	if r.percent == 0 {
		return true
	}
	left := float64(r.listedAt-r.confirmedAt)*float64(fullPercent-r.percent)/float64(r.percent) - float64(m.now-r.listedAt)
	return left > minCopyLeftShare*s.runMs
}

// fullPercent is the progress of a run that is done.
const fullPercent = 100

// startCopy starts a copy of r, once the stored record says that the job may have copies.
func (m *Model) startCopy(p *pool, r *run) {
	t := r.task
	if j := t.stage.job; j.copiesVersion == 0 {
		m.markChanged(j)
		j.copiesVersion = j.version
	}
	if t.stage.job.storedVersion < t.stage.job.copiesVersion {
		return
	}
	w := m.chooseWorker(p, t, map[*worker]bool{r.worker: true})
	if w == nil {
		return
	}
	m.log("copy started", t.stage.job.ID, "task", t.name().String(), "run", t.lastRun+1, "worker", w.ID,
		"besides", r.worker.ID, "percent", r.percent, "ageMs", m.now-r.confirmedAt, "usualMs", int64(t.stage.runMs))
	m.startRun(t, w, t.lastRun+1)
}
