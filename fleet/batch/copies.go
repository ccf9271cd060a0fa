package batch

// Second copies of tasks that lag, where their job allows them: the first that is done counts. With copies, two owners may see a step
// end by different runs; so the job's record tells a successor of them, and it takes no later step for closed until then.
const (
	copyTimes = 2.0 // a run that takes so many times as long as usual lags.
	copyLeast = 200 // ms; shorter lags are not worth a start.
	copyLeft  = 0.5 // of the usual run time: with less to do, a run is soon done itself.
)

// copyLaggards starts copies in the pools where nothing has waited for room lately, nor waits for a former owner's workers to be read.
func (m *Model) copyLaggards() {
	for _, n := range sortedKeys(m.pools) {
		p := m.pools[n]
		if m.now < m.blind || m.now-p.demand.lastFull < quietMs {
			continue
		}
		for _, w := range p.workers {
			for _, r := range w.all() {
				if m.lags(r) {
					m.copyRun(p, r)
				}
			}
		}
	}
}

// lags reports whether r goes on for much longer than usual, as far as its worker's last list tells.
func (m *Model) lags(r *run) bool {
	s := r.task.stage
	if !s.Copies || s.Gang || s.Lasting || r.state != running || r.worker.silent != 0 || len(r.task.runs) > 1 || r.task.done {
		return false
	}
	if age := m.now - r.known; age < copyLeast || float64(age) < copyTimes*s.runMs {
		return false
	}
	if r.percent == 0 {
		return true
	}
	left := float64(r.listed-r.known)*float64(fullPercent-r.percent)/float64(r.percent) - float64(m.now-r.listed)
	return left > copyLeft*s.runMs
}

// fullPercent is the progress of a run that is done.
const fullPercent = 100

// copyRun starts a copy once the job's record says that there may be some.
func (m *Model) copyRun(p *pool, r *run) {
	t := r.task
	if j := t.stage.job; j.copied == 0 {
		m.change(j)
		j.copied = j.version
	}
	if t.stage.job.stored < t.stage.job.copied {
		return
	}
	w := m.choose(p, t, map[*worker]bool{r.worker: true})
	if w == nil {
		return
	}
	m.log("copy started", t.stage.job.ID, "task", t.name().String(), "run", t.last+1, "worker", w.ID,
		"besides", r.worker.ID, "percent", r.percent, "ageMs", m.now-r.known, "usualMs", int64(t.stage.runMs))
	m.start(t, w, t.last+1)
}
