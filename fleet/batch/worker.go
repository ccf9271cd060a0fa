package batch

import (
	"cmp"
	"slices"

	"burdockreach.dev/fleet/speed"
)

// Quarantine of workers that fail the tasks they start.
const (
	quarantineFailures = 3     // failures in a row, of different jobs, after which a worker is quarantined.
	minQuarantineMs    = 2_000 // first quarantine, ms; it doubles each time. A start that a worker cannot parse is also retried after this.
	maxQuarantineMs    = 16_000
	learnRate          = 0.1 // weight of one run in a worker's slowdown.
)

// worker is one worker; the fields apply to its current lifetime.
type worker struct {
	WorkerEntry
	rack         string
	listed       bool  // the list has an entry for it.
	entryBorn    int64 // start of the lifetime that the entry describes, Unix ms; 0 if unknown.
	dead         bool  // the lifetime has certainly ended.
	machineTaken bool  // its machine was moved or maintained, which ends the worker.

	runs             []*run // in the order of their starts.
	used             Size
	lasting          Size // part of used that lasting tasks hold.
	unansweredStarts int  // runs whose start has not been answered.
	unknownRuns      int  // runs in its last list that no record knows, which are being stopped.

	strays            []strayRun // those of them whose tasks are known.
	runsOfUnknownJobs int        // those of them whose jobs are not known.

	fence       int64 // fencing number of the calls to it.
	usedFence   int64 // highest one in a start, an extended lease or an acknowledgement; 0 before.
	formerFence int64 // highest one in such a call that was meant for a former lifetime; 0 if there was none.
	fenced      bool  // it refuses what was meant for its former lifetimes.
	suspectedAt int64 // when an answer has shown a lifetime that is not known; 0 if none has.

	clockMs        int64 // lower bound of the worker's clock at clockAt.
	clockAt        int64
	leaseUntil     int64 // latest lease end or start expiry sent to this lifetime, on its clock.
	oldLeaseEnd    int64 // steady time by which a lease has expired that calls have extended before this lifetime was fenced.
	formerUntil    int64 // latest lease end sent while it may have run what a former owner started, on its clock; 0 if there is none.
	sentAck        int64 // the highest ended run that the worker was told it may forget.
	confirmedAck   int64 // the highest ended run that it has certainly forgotten.
	lifetimeSeenAt int64 // when a list of this lifetime last came. Answers to starts and stops do not tell the lifetime.
	ackWithheld    bool  // the pending poll acknowledges nothing, so that the next one can.
	lastEnd        int64 // the highest ended run that was applied.
	unsavedEnds    []unsavedEnd

	polling        bool
	abandonedPolls int   // polls that were given up, or meant for former lifetimes, and are not answered yet.
	pollSentAt     int64 // when the pending poll was sent.
	nextPollAt     int64 // when the next poll is due.
	noPollBefore   int64 // no poll before: ends that follow each other closely are read together.
	shortPoll      bool  // the next poll must not wait.
	silentSince    int64 // when it stopped answering; 0 while it answers.
	synced         bool  // its lists have been read by this owner.
	partlyRead     bool  // its lists have been read in part: it lists further ends once it has forgotten those that are stored.
	formerPollsEnd int64 // by when it has answered the polls of former owners, on its clock; 0 until it has answered this owner.
	noStartsBefore int64 // no starts before this time.

	failuresInRow    int
	failedJobs       []string
	quarantinedUntil int64 // in quarantine until this time.
	quarantineMs     int64
	pacedAt          int64
	lastUsedAt       int64 // when it last had a run.
	lifetimeKnownAt  int64 // when this owner first learned of its lifetime.
	cordoned         bool  // its machine is about to be moved or maintained.
	slowdown         float64
	speed            speed.Meter
	slow             bool // it was slow in the last placement.

	heardAt      int64 // when it last answered.
	watchedUntil int64 // until when it is polled often, because a trial is to begin.
	lastStartAt  int64 // when it was last sent a start.
	trial        *run  // run of a suspected task that is tried apart from other tasks; nil if there is none.
	lostRuns     []*lostRun
	ended        bool  // the list of machines has shown that the lifetime is over.
	endedAt      int64 // when the owner learned of that.
	crashCounted bool  // the end of the lifetime counts as a crash already.

	view workerView // of its runs' expected ends.

	goneState MachineState // of its machine, in the list that shows that the lifetime is over; empty if none does.
}

// unsavedEnd is an ended run that the worker may forget once the job's progress is stored up to version.
type unsavedEnd struct {
	number        int64
	job           *job // nil if it is not known any more.
	version       int
	withheldUntil int64 // steady time before which it must not forget the run; 0 for any.
}

func (k unsavedEnd) stored() bool { return k.job == nil || k.job.storedVersion >= k.version }

// hasUnstoredEnds reports whether w has ended runs whose results are not stored.
func (w *worker) hasUnstoredEnds() bool {
	return slices.ContainsFunc(w.unsavedEnds, func(k unsavedEnd) bool { return !k.stored() })
}

// rackLabelIndex is the index of the rack in a worker's labels, after the worker's kind.
const rackLabelIndex = 1

func (m *Model) setWorkers(g WorkersMsg) {
	seen := map[string]bool{}
	for _, e := range g.Set {
		seen[e.ID] = true
		m.setWorker(e)
	}
	for _, id := range g.Gone {
		m.unlist(id)
	}
	if g.All {
		for _, id := range sortedKeys(m.workers) {
			if !seen[id] {
				m.unlist(id)
			}
		}
	}
}

func (m *Model) setWorker(e WorkerEntry) {
	w := m.workers[e.ID]
	if w == nil {
		w = &worker{slowdown: 1, WorkerEntry: WorkerEntry{ID: e.ID}, lastUsedAt: m.now, lifetimeKnownAt: m.now, fence: max(m.cfg.Fence, m.commits.lastRev)}
		m.workers[e.ID] = w
		m.workerList = append(m.workerList, w)
		slices.SortFunc(m.workerList, byID)
		m.log("worker listed", "", "worker", e.ID, "service", e.Service, "draining", e.Draining, "clockMs", e.ClockMs, "born", e.Born)
	} else if w.Service != e.Service {
		m.leavePool(w)
	}
	if w.Draining != e.Draining {
		m.log("worker state", "", "worker", e.ID, "draining", e.Draining, "drainLeftMs", e.DrainLeftMs)
	}
	if e.Born != 0 && w.Born != 0 && e.Born > w.Born {
		m.restart(w, e.Born)
	}
	born := w.Born
	w.WorkerEntry, w.listed, w.dead = e, !w.machineTaken, w.machineTaken || w.ended
	w.entryBorn, w.Born = e.Born, max(born, e.Born)
	w.rack = ""
	if len(e.Labels) > rackLabelIndex {
		w.rack = e.Labels[rackLabelIndex]
	}
	if (e.Born == 0 || e.Born == w.Born) && w.clockAt == 0 {
		w.clockMs, w.clockAt = e.ClockMs, m.now
		m.recallFence(w)
	}
	m.joinPool(w)
}

func byID(a, b *worker) int { return cmp.Compare(a.ID, b.ID) }

func (m *Model) joinPool(w *worker) {
	p := m.pool(w.Service)
	p.dirty = true
	if !slices.Contains(p.workers, w) {
		p.workers = append(p.workers, w)
		slices.SortFunc(p.workers, byID)
	}
}

func (m *Model) leavePool(w *worker) {
	p := m.pool(w.Service)
	p.dirty = true
	p.workers = slices.DeleteFunc(p.workers, func(o *worker) bool { return o == w })
}

func (m *Model) unlist(id string) {
	w := m.workers[id]
	if w == nil || !w.listed {
		return
	}
	m.log("worker unlisted", "", "worker", id, "runs", len(w.runs))
	w.listed = false
	m.pool(w.Service).dirty = true
}

// forget removes a worker that is not listed and runs nothing.
func (m *Model) forget(w *worker) {
	w.setStrays(nil, 0)
	m.rememberFence(w)
	m.leavePool(w)
	delete(m.workers, w.ID)
	m.workerList = slices.DeleteFunc(m.workerList, func(o *worker) bool { return o == w })
}

// restart begins a new lifetime under the same ID and resets its counters. Runs that the former one has not listed are kept until the new
// one has listed its own, since their starts may reach it.
func (m *Model) restart(w *worker, born int64) {
	m.log("worker restarted", "", "worker", w.ID, "runs", len(w.runs), "born", born, "formerBorn", w.Born, "formerClockMs", m.workerClock(w))
	if !w.ended && !w.crashCounted {
		m.markCrashed(w, "restarted")
	}
	m.dropFormerRuns(w)
	w.ended, w.machineTaken, w.goneState, w.trial, w.suspectedAt = false, false, "", nil, 0
	w.crashCounted = false
	w.Born, w.sentAck, w.confirmedAck, w.lastEnd, w.unsavedEnds = born, 0, 0, 0, nil
	w.clockMs, w.clockAt = 0, m.now
	m.leaveLifetime(w)
	w.formerUntil, w.formerPollsEnd = 0, 0
	w.failuresInRow, w.failedJobs, w.quarantinedUntil, w.quarantineMs, w.slowdown, w.speed, w.slow = 0, nil, 0, 0, 1, speed.Meter{}, false
	w.abandonPoll()
	w.nextPollAt, w.shortPoll, w.lifetimeKnownAt = 0, true, m.now
}

// runsCopy returns a copy of the worker's runs, for loops that change them.
func (w *worker) runsCopy() []*run { return slices.Clone(w.runs) }

// applyEnded applies the ended runs of a list that are new.
func (m *Model) applyEnded(w *worker, g PolledMsg, first bool) {
	for _, e := range g.Ended {
		if e.Number <= w.lastEnd {
			continue
		}
		w.lastEnd = e.Number
		m.endLateStart(e.Task, e.Run)
		t := m.listedTask(e.Task)
		if t == nil {
			if withheld := m.withholdEndUntil(e.Task, nil, e.Reason); withheld > m.now {
				m.logWithheld(w, e, withheld)
				w.unsavedEnds = append(w.unsavedEnds, unsavedEnd{number: e.Number, withheldUntil: withheld})
			}
			continue
		}
		r := t.findRun(e.Run)
		if r != nil && r.worker != w {
			r = nil
		}
		if r == nil && !first {
			continue // an earlier run that was dropped long ago.
		}
		if r != nil {
			m.learnFromEnd(w, r, e.Reason)
			m.endTrial(r)
			m.dropRun(r)
		} else if t.endTrial(e.Run); len(t.runs) > 0 && e.Reason != EndDone && e.Reason != EndFailed {
			continue
		}
		if r != nil && e.Reason != EndDone && !r.evicted {
			m.log("run ended", e.Task.Job, "task", e.Task.String(), "run", e.Run, "how", string(e.Reason), "worker", w.ID)
		}
		t.lastRun = max(t.lastRun, e.Run)
		t.stage.job.started = true
		unknown := r != nil && r.endUnknownToFormer()
		if unknown {
			t.markEndUnknown()
		}
		withheld := m.withholdEndUntil(e.Task, t, e.Reason)
		if withheld > m.now {
			m.logWithheld(w, e, withheld)
		}
		if m.runEnded(t, e.Run, e.Reason, e.Checkpoint, unknown) || t.stage.job.version > t.stage.job.storedVersion || withheld > m.now {
			w.unsavedEnds = append(w.unsavedEnds, unsavedEnd{number: e.Number, job: t.stage.job, version: t.stage.job.version, withheldUntil: withheld})
		}
		m.pool(t.stage.job.Service).dirty = true
	}
}

// logWithheld logs that an end is not acknowledged before until.
func (m *Model) logWithheld(w *worker, e EndedRun, until int64) {
	m.log("end withheld", e.Task.Job, "task", e.Task.String(), "run", e.Run, "worker", w.ID, "forMs", until-m.now, "ends", len(w.unsavedEnds)+1)
}

// applyRunning applies the running runs of a list. It stops runs that should not be there and checks those that are
// neither running nor ended.
func (m *Model) applyRunning(w *worker, g PolledMsg, first bool) {
	listed := make(map[*run]bool, len(g.Running))
	unknown, ofUnknownJobs := 0, 0
	var strays []strayRun
	for _, e := range g.Running {
		t := m.listedTask(e.Task)
		var r *run
		if t != nil {
			r = t.findRun(e.Run)
		}
		if r != nil && r.worker != w {
			r = nil
		}
		if r == nil && first {
			r = m.adopt(w, t, e)
		}
		if r == nil {
			m.stopUnknown(w, e.Task, e.Run)
			unknown++
			strays = addStray(strays, t)
			if t == nil {
				ofUnknownJobs++
			}
			continue
		}
		listed[r] = true
		m.endLateStart(e.Task, e.Run)
		m.updateRun(r, e, g.ClockMs)
	}
	w.unknownRuns = unknown
	w.setStrays(strays, ofUnknownJobs)
	if g.ListFull {
		return
	}
	for _, r := range w.runsCopy() {
		if !listed[r] {
			m.checkMissing(r, g)
		}
	}
}

// adopt takes over a run of a former owner.
func (m *Model) adopt(w *worker, t *task, e ActiveRun) *run {
	if t == nil || t.done || t.stage.job.phase != open || (len(t.runs) > 0 && !t.stage.Copies) {
		return nil
	}
	r := &run{task: t, number: e.Run, worker: w, workerBorn: w.Born, state: running, startSentAt: m.now, confirmedAt: m.now, advancedAt: m.now, pace: fullPace}
	t.endTrial(e.Run)
	m.attachRun(r)
	return r
}

// fullPace is the pace of a task that is not slowed down, in percent.
const fullPace = 100

// updateRun applies what a worker's list says of a run. The list was made at clock on the worker's clock.
func (m *Model) updateRun(r *run, e ActiveRun, clock int64) {
	if r.confirmedAt == 0 {
		r.confirmedAt, r.advancedAt = m.now, m.now
	}
	if r.state == starting || r.state == unconfirmed {
		r.setState(running)
	}
	r.listedAt, r.listedClock, r.workerBorn, r.crash = m.now, clock, r.worker.Born, nil
	m.clearProven(r)
	m.noteProgress(r, e.Percent)
	if e.Percent != r.percent {
		r.percent, r.advancedAt = e.Percent, m.now
	}
	r.gauge = e.Gauge
	if e.Checkpoint != "" {
		r.task.checkpoint = e.Checkpoint
	}
	if r.state == stopping || r.task.done || r.task.stage.job.phase == ended {
		m.stopRun(r)
	}
}

// checkMissing handles a run that a worker's list does not name.
func (m *Model) checkMissing(r *run, g PolledMsg) {
	w, fence := r.worker, cmp.Or(g.Fence, r.worker.fence)
	unanswered := r.state != starting && r.confirmedAt == 0
	switch {
	case r.workerBorn != w.Born && !m.knowsEnds(w):
	case unanswered && r.workerBorn != w.Born && fence <= r.fence: // the start may still reach this lifetime.
	case r.state == running && r.confirmedAt > 0 && g.Sent > r.confirmedAt,
		r.state == stopping && r.stopAckedAt > 0 && g.Sent > r.stopAckedAt,
		unanswered && g.ClockMs > r.startExpiresAt && w.Born == r.workerBorn,
		unanswered && fence > r.fence: // the worker refuses the start.
		if r.crash != nil {
			m.dropCrashed(r)
			return
		}
		m.logLost("run missing", r)
		m.endTrial(r)
		m.dropRun(r)
	case r.state == unconfirmed && (!r.task.stage.Lasting || r.worker.Born != r.workerBorn):
		m.stopRun(r)
	}
}

// hasUnconfirmed reports whether the worker has a run whose start has an unknown outcome.
func (w *worker) hasUnconfirmed() bool {
	return slices.ContainsFunc(w.runs, func(r *run) bool { return r.state == unconfirmed })
}

// checkRuns repeats unanswered stops, gives up overdue starts, restarts stuck tasks and starts copies.
func (m *Model) checkRuns() {
	for _, w := range m.workerList {
		for _, r := range w.runs {
			switch {
			case r.state == stopping && m.now-r.stopSentAt >= stopRetryMs && w.silentSince == 0:
				m.stopRun(r)
			case r.state == starting && m.now-r.startSentAt >= overdueCallMs:
				m.log("start overdue", r.task.stage.job.ID, "task", r.task.name().String(), "run", r.number, "worker", w.ID, "sinceMs", m.now-r.startSentAt)
				m.startUnanswered(r)
			}
		}
	}
	m.stopStuck()
	m.copySlowRuns()
}

// learnFromEnd updates the run times that are learned, and counts a worker's failures in a row.
func (m *Model) learnFromEnd(w *worker, r *run, how EndReason) {
	switch how {
	case EndDone:
		w.failuresInRow, w.failedJobs, w.quarantineMs = 0, nil, 0
		m.learnRunTime(w, r)
	case EndFailed:
		if id := r.task.stage.job.ID; !slices.Contains(w.failedJobs, id) {
			w.failedJobs = append(w.failedJobs, id)
			w.failuresInRow++
		}
		if !slices.Contains(r.task.avoidWorkers, w.ID) {
			r.task.avoidWorkers = append(r.task.avoidWorkers, w.ID)
		}
		if w.failuresInRow >= quarantineFailures {
			w.quarantineMs = min(max(2*w.quarantineMs, minQuarantineMs), maxQuarantineMs)
			w.quarantinedUntil = m.now + w.quarantineMs
			m.log("worker set aside", "", "worker", w.ID, "failures", w.failuresInRow, "forMs", w.quarantineMs)
		}
	}
}
