package batch

// Second copies of tasks that lag, where their job allows them: the first that is done counts. With copies, two owners may see a step
// end by different runs; so the job's record tells a successor of them, and it takes no later step for closed until then.
const (
	copyLagFactor    = 2.0 // a run that takes so many times as long as usual lags.
	minCopyAgeMs     = 200 // ms; shorter lags are not worth a start.
	minCopyLeftShare = 0.5 // of the usual run time: with less to do, a run is soon done itself.
)

// copyLaggards starts copies in the pools where nothing has waited for room lately, nor waits for a former owner's workers to be read.
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

// lags reports whether r goes on for much longer than usual, as far as its worker's last list tells.
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

// startCopy starts a copy once the job's record says that there may be some.
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
