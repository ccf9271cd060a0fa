package batch

import "slices"

// A trial is a start of a suspected task on a worker that starts nothing else shortly before and after it, so that a crash at the start
// has one possible cause. Trials take few workers at a time, those with least to lose.

// Limits of trials.
const (
	suspectedLost   = 2     // a task under which so many workers have crashed is suspected, even if it was not to blame.
	trialShare      = 2     // of so many workers of a pool, one may be used for trials at a time.
	minTrials       = 2     // workers that each pool may use for trials at a time.
	maxStepTrials   = 2     // trials of one step at a time.
	trialRecordMs   = 1_000 // a trial that the store has not taken after this begins without a record.
	maxTrialMs      = 1_000 // longest time for which a trial's worker starts nothing else.
	trialPauseMs    = 500   // for this long, the crash of a trial's worker counts as a trial in progress.
	maxTrialWaitMs  = 1_500 // longest wait for a trial of a task that was not to blame.
	maxBlamedWaitMs = 6_000 // longest wait for a trial of any task.
	heardWithinMs   = 20    // a trial starts at a worker that has answered within this time.
	watchMs         = 500   // for this long, a worker that is to start a trial is polled without waiting.
	watchIntervalMs = 50    // between these polls.
)

// suspected reports whether t may be a task that crashes its workers.
func (t *task) suspected() bool {
	c := t.crashesOrNone()
	return len(c.Blamed) > 0 || len(c.Lost)+c.Unsure >= suspectedLost || len(c.Trials) > 0
}

// trialMs returns for how long after the start of a trial its worker starts nothing else: until the run is older than those that were lost.
func (t *task) trialMs() int64 { return min(crashWindowMs+t.crashesOrNone().ageMs, maxTrialMs) }

// trialOpen reports whether w starts nothing because of a trial, or has become silent under one.
func (w *worker) trialOpen(now int64) bool {
	r := w.trial
	return r != nil && (r.confirmedAt == 0 || now-r.confirmedAt < r.task.trialMs() || w.silentSince != 0)
}

// endTrial removes a trial whose outcome is known, if the run is one.
func (t *task) endTrial(number int) {
	if t.crashes != nil {
		t.crashes.endTrial(number)
	}
}

// endTrial ends a trial, if r is one, whose worker did not crash.
func (m *Model) endTrial(r *run) {
	r.task.endTrial(r.number)
	if r.worker.trial == r {
		r.worker.trial = nil
		m.pool(r.worker.Service).dirty = true
	}
}

// placeSuspect tries t apart, on the worker whose loss costs least. While that worker is not ready, it starts nothing else. It returns
// false if t is to be placed like any other task, because it has waited for too long.
func (m *Model) placeSuspect(c *candidates, t *task) bool {
	if t.exhausted() {
		m.giveUp(t)
		return true
	}
	if t.crashes.trialWantedAt == 0 {
		t.crashes.trialWantedAt = m.now
	}
	wait := int64(maxTrialWaitMs)
	if len(t.crashes.Blamed) > 0 {
		wait = maxBlamedWaitMs
	}
	if m.now-t.crashes.trialWantedAt >= wait {
		return false
	}
	m.tryApart(c, t)
	return true
}

// tryApart begins a trial of t, or reserves the worker for it, if the pool may have another trial.
func (m *Model) tryApart(c *candidates, t *task) {
	if !c.mayTry(t) {
		return
	}
	w := m.trialWorker(c, t)
	if w == nil {
		m.wantAdvice(t.stage)
		return
	}
	c.reserve(w)
	c.trials++
	c.stepTrials[t.stage]++
	w.watchedUntil = m.now + watchMs
	if m.now-w.lastStartAt < crashWindowMs || m.now-w.heardAt > heardWithinMs || !m.trialRecorded(t) {
		return
	}
	m.log("trial begins", t.stage.job.ID, "task", t.name().String(), "run", t.lastRun+1, "worker", w.ID, "beside", len(w.runs), "lost", len(t.crashes.Lost),
		"blamed", len(t.crashes.Blamed), "waitedMs", m.now-t.crashes.trialWantedAt)
	m.startRun(t, w, t.lastRun+1)
	w.trial, w.watchedUntil = w.runs[len(w.runs)-1], m.now+watchMs
}

// mayTry reports whether another trial may begin in the pool, and of the task's step.
func (c *candidates) mayTry(t *task) bool {
	if c.trials < 0 {
		c.countTrials()
	}
	return c.trials < max(minTrials, c.usable/trialShare) && c.stepTrials[t.stage] < maxStepTrials
}

// countTrials counts the pool's trials in progress.
func (c *candidates) countTrials() {
	c.trials, c.stepTrials = 0, map[*stage]int{}
	for _, w := range c.pool.workers {
		if w.trialOpen(c.m.now) {
			c.trials++
			c.stepTrials[w.trial.task.stage]++
		}
	}
	c.pool.trialCrashes = slices.DeleteFunc(c.pool.trialCrashes, func(at int64) bool { return c.m.now-at >= trialPauseMs })
	c.trials += len(c.pool.trialCrashes)
}

// trialWorker returns the worker for a trial of t, or nil if none has room: the one that was chosen before, or else the one with the
// least to lose.
func (m *Model) trialWorker(c *candidates, t *task) *worker {
	var best *worker
	lowest := 0.0
	only, bound := m.boundTo(t)
	for _, w := range c.workers {
		if bound && w != only || !t.stage.size().Fits(w.freeRoom()) || !m.allows(w, t.stage) {
			continue
		}
		if w.ID == t.crashes.trialWorkerID {
			return w
		}
		if k := m.trialCost(w, t); best == nil || k < lowest {
			best, lowest = w, k
		}
	}
	if best != nil {
		t.crashes.trialWorkerID = best.ID
	}
	return best
}

// trialCost returns the cost of losing w to a trial of t. Lasting tasks weigh twice: they serve others.
func (m *Model) trialCost(w *worker, t *task) float64 {
	k := loadShare(w.used, w.Room) + loadShare(w.lasting, w.Room)
	if s := t.stage; s.DataRack != "" && s.DataRack != w.rack {
		k += remoteDataCost
	}
	if slices.Contains(t.avoidWorkers, w.ID) {
		k += avoidedWorkerCost
	}
	return k
}

// trialRecorded reports whether the record of the job names the next run of t as a trial, so that a successor counts it if this owner
// ends before it learns the outcome. It has the record written, if need be.
func (m *Model) trialRecorded(t *task) bool {
	j, n, c := t.stage.job, t.lastRun+1, t.crashes
	if c.plannedTrial != n {
		c.endTrial(c.plannedTrial)
		c.Trials = append(c.Trials, n)
		m.markChanged(j)
		c.plannedTrial, c.trialVersion, c.trialPlannedAt = n, j.version, m.now
	}
	return j.storedVersion >= c.trialVersion || m.now-c.trialPlannedAt >= trialRecordMs
}

// watched reports whether w is polled often, to learn when it crashes.
func (w *worker) watched(now int64) bool { return now < w.watchedUntil || w.trialOpen(now) }
