package batch

import (
	"cmp"
	"slices"
	"time"
)

// Polls of workers. A poll extends the worker's lease and returns its running and ended runs.

// tailPollWaitMs is the longest long poll of a worker that runs filling tasks beside lasting ones, whose tail latency
// must be read more often.
const tailPollWaitMs = 600

// workerClock returns the estimated reading of the worker's clock now.
func (m *Model) workerClock(w *worker) int64 { return w.clockMs + m.now - w.clockAt }

// expiresBy returns the steady time by which the worker's clock has certainly passed until.
func (w *worker) expiresBy(until int64) int64 {
	return w.clockAt + lastsAtMost(max(until-w.clockMs, 0))
}

func (m *Model) setClock(w *worker, clock int64) {
	if clock > 0 {
		w.clockMs, w.clockAt, w.heardAt = clock, m.now, m.now
	}
}

// noteAnswer records that w has answered a start or stop that was sent at sent. The answer does not tell the lifetime, and each has a clock
// of its own.
func (m *Model) noteAnswer(w *worker, why Result, clock, sent int64) {
	if why == NoAnswer || why == NotSent || why == WrongWorker || sent < w.lifetimeKnownAt {
		return
	}
	w.heardAt = m.now
	if m.answersFromLaterLifetime(w, clock, sent) {
		m.suspectRestart(w, clock)
		return
	}
	m.setClock(w, clock)
}

// requestedLeaseMs returns the length of the lease to ask for.
func (m *Model) requestedLeaseMs() int64 {
	if m.cfg.LeaseMs > 0 {
		return min(workerLeaseMs, m.cfg.LeaseMs)
	}
	return workerLeaseMs
}

// Gap in ms between two polls of a worker whose runs end. Busy workers are polled less often, as each poll costs as
// much as a start.
const (
	minPollGapMs    = 10
	pollGapPerRunMs = 2
	maxPollGapMs    = 30
)

// sameLifetimeMs is the largest age in ms of a worker's last list at which ends are acknowledged. A worker restarts more slowly than
// that, so a number that is not held up on its way does not reach another lifetime, which counts its ends anew. One that is held up is refused
// by a lifetime that is fenced (see lifetime.go).
const sameLifetimeMs = 35

// SameLifetimeWithin is the longest time from a worker's list to a call that must not reach another lifetime: a poll that acknowledges ends,
// or a start that names the lifetime. The process that makes the call checks it, too: the answer and the call may be delayed on the way
// between this process and the owner.
const SameLifetimeWithin = sameLifetimeMs * time.Millisecond

// pollWorkers polls the workers that have runs or whose lists have not been read yet.
func (m *Model) pollWorkers() {
	m.nextPollAt = m.now + sweepIntervalMs
	if !m.loaded {
		return
	}
	for _, w := range slices.Clone(m.workerList) {
		m.timeOutPoll(w)
		if m.retire(w) || w.polling || w.dead {
			continue
		}
		if dueAt := max(w.nextPollAt, w.noPollBefore); m.now < dueAt {
			m.nextPollAt = min(m.nextPollAt, dueAt)
			continue
		}
		if w.synced && !w.watched(m.now) && len(w.runs)+w.unknownRuns+len(w.unsavedEnds) == 0 && w.silentSince == 0 && w.lastEnd == w.sentAck {
			continue
		}
		if !w.synced && !w.listed && len(w.runs) == 0 && !m.mayRunFormer(w) {
			continue
		}
		m.poll(w)
	}
}

func (m *Model) poll(w *worker) {
	forget, early := w.forgettableEnd(m.now)
	if early > 0 { // a late start of such a task may run it once more.
		m.logError("withheld ends acknowledged early", "", "worker", w.ID, "ends", early, "kept", len(w.unsavedEnds))
	}
	h := PollCmd{Worker: w.ID, Addr: w.Addr, ForgetUpTo: forget, Born: w.Born, WaitMs: maxPollWaitMs}
	if !w.fenced && w.fence <= w.formerFence {
		m.raiseFence(w)
	}
	h.Fence = w.fence
	if w.fenced && w.silentSince == 0 && (len(w.runs) > 0 || !w.synced) { // the lease of a worker that does not answer must expire.
		h.UntilMs = m.workerClock(w) + m.requestedLeaseMs()
		w.leaseUntil = max(w.leaseUntil, h.UntilMs)
		if m.mayRunFormer(w) {
			w.formerUntil = w.leaseUntil
		}
	}
	switch {
	case !w.synced || w.watched(m.now) || w.silentSince != 0 || len(w.unsavedEnds) > 0 || w.shortPoll || len(w.runs) == 0 || w.hasUnconfirmed():
		h.WaitMs = 0
	case w.needsPacing():
		h.WaitMs = tailPollWaitMs
	default:
		h.WaitMs = m.pollWaitMs(w)
	}
	if w.silentSince != 0 || !w.fenced || h.ForgetUpTo == w.confirmedAck {
		h.ForgetUpTo = 0 // if the worker has restarted unnoticed, it must not forget the ended runs of its new lifetime.
	} else if m.now-w.lifetimeSeenAt > sameLifetimeMs {
		h.ForgetUpTo, h.WaitMs, w.ackWithheld = 0, 0, true
	} else {
		w.sentAck = h.ForgetUpTo
	}
	if h.UntilMs > 0 || h.ForgetUpTo > 0 {
		w.usedFence = max(w.usedFence, w.fence)
	}
	w.shortPoll = false
	w.polling, w.pollSentAt = true, m.now
	m.emit(h)
}

// Limits of a long poll in ms. If its answer is lost, ends are seen only once it has timed out.
const (
	minPollWaitMs   = 250
	pollWaitSlackMs = 100 // by which a run may overrun before the poll returns without an end.
)

// pollWaitMs returns how long a poll of w waits for an end: until the next one is expected, or until its list shows what goes on after the
// last poll of a former owner.
func (m *Model) pollWaitMs(w *worker) int64 {
	wait := int64(maxPollWaitMs)
	if left := w.formerPollsEnd - m.workerClock(w); left > 0 && m.blind() {
		wait = min(wait, left)
	}
	for _, r := range w.runs {
		if s := r.task.stage; !s.Lasting && r.confirmedAt > 0 {
			wait = min(wait, r.confirmedAt+int64(s.runMs*max(w.slowdown, 1))-m.now+pollWaitSlackMs)
		}
	}
	return max(wait, minPollWaitMs)
}

// timeOutPoll treats a poll whose answer is overdue as unanswered, so that another one extends the worker's lease.
func (m *Model) timeOutPoll(w *worker) {
	if !w.polling || m.now-w.pollSentAt < overdueCallMs {
		return
	}
	m.log("look overdue", "", "worker", w.ID, "addr", w.Addr, "runs", len(w.runs), "sinceMs", m.now-w.pollSentAt)
	w.abandonPoll()
	m.markUnreachable(w, NoAnswer)
}

// forgettableEnd returns the number up to which the worker may forget its ended runs: their results are stored, and no late start can begin
// the tasks again. Of more than maxWithheldEnds, those that are over are forgotten all the same; early is their number.
func (w *worker) forgettableEnd(now int64) (number int64, early int) {
	for i, k := range w.unsavedEnds {
		if !k.stored() || now < k.withheldUntil && len(w.unsavedEnds)-i <= maxWithheldEnds {
			w.unsavedEnds = w.unsavedEnds[i:]
			return max(w.sentAck, k.number-1), early
		}
		if now < k.withheldUntil {
			early++
		}
	}
	w.unsavedEnds = nil
	return w.lastEnd, early
}

// leaseExpired reports whether the worker's lease has expired, and no other owner can have extended it before.
func (m *Model) leaseExpired(w *worker) bool { return m.soleOwnerUntil >= w.leaseEnd() }

// leaseEnd returns the steady time by which the lease of w has certainly expired.
func (w *worker) leaseEnd() int64 { return max(w.expiresBy(w.leaseUntil), w.oldLeaseEnd) }

// retire drops the runs of a worker whose lease has certainly expired or whose lifetime is over, and forgets workers
// that are gone.
func (m *Model) retire(w *worker) bool {
	if w.silentSince != 0 && m.leaseExpired(w) {
		for _, r := range w.runsCopy() {
			if m.awaitsLateStart(r) {
				continue
			}
			m.logLost("run lapsed", r)
			m.keepLostRun(r)
			m.dropRun(r)
		}
		w.setStrays(nil, 0)
	}
	if w.dead && len(w.runs)+len(w.strays) > 0 {
		m.dropDeadRuns(w)
	}
	if !w.listed && !w.hasRecentLostRuns(m.now) && len(w.runs) == 0 && !w.polling && (w.dead || w.silentSince != 0 || w.synced) && !m.mayRunFormer(w) {
		m.forget(w)
		return true
	}
	return false
}

// dropDeadRuns drops the runs of a worker whose lifetime has ended. A start without an answer is kept while it may still reach the next
// lifetime. Without a certain claim nothing is dropped: another owner may have ended the lifetime, and moved its tasks.
func (m *Model) dropDeadRuns(w *worker) {
	if !m.knowsEnds(w) {
		return
	}
	w.setStrays(nil, 0)
	for _, r := range w.runsCopy() {
		switch {
		case r.state == starting && w.ended, m.awaitsLateStart(r):
		case r.crash != nil:
			m.dropCrashed(r)
		default:
			m.logLost("run lost", r)
			m.dropRun(r)
		}
	}
}

// knowsEnds reports whether the owner may conclude from the end of w's lifetime that its runs are to be started elsewhere.
func (m *Model) knowsEnds(w *worker) bool { return m.claimFresh || m.leaseExpired(w) }

func (m *Model) pollAnswered(g PolledMsg) {
	w := m.workers[g.Worker]
	if w == nil {
		return
	}
	if w.abandonedPolls > 0 && g.Sent < w.pollSentAt {
		w.abandonedPolls--
		if g.Result != Fenced && g.Born <= w.Born {
			return // a later poll is pending.
		}
	} else {
		w.polling = false
	}
	switch g.Result {
	case OK:
	case Fenced:
		if w.isSupersededFence(g.Fence) {
			w.nextPollAt = 0
			return
		}
		m.emit(DeposedCmd{Reason: "worker " + w.ID + " has seen a newer fence"})
		return
	case WrongWorker:
		m.workerReplaced(w, g.Sent)
		return
	default:
		m.markUnreachable(w, g.Result)
		return
	}
	if g.Born != 0 && w.Born != 0 && g.Born > w.Born {
		m.restart(w, g.Born) // while it still counts as silent, which dates the crash.
	}
	m.markReachable(w)
	if g.Born != 0 && g.Born < w.Born || g.Sent < w.suspectedAt {
		w.nextPollAt = max(w.nextPollAt, m.now+pollRetryMs)
		return // an answer of the former lifetime.
	}
	if g.Born != 0 {
		w.Born = g.Born
	}
	m.setClock(w, g.ClockMs)
	m.noteFenced(w, cmp.Or(g.Fence, w.fence))
	if w.formerPollsEnd == 0 {
		w.formerPollsEnd = g.ClockMs + formerPollMs // the worker refuses new polls of former owners from now on.
	}
	w.lostRuns, w.lifetimeSeenAt = nil, m.now // if there were any, it has only been cut off.
	if g.AckWithheld {
		w.sentAck = w.confirmedAck
	}
	w.confirmedAck = w.sentAck
	first := !w.synced
	m.applyEnded(w, g, first)
	m.applyRunning(w, g, first)
	if !w.fenced {
		w.nextPollAt = 0
		if m.commits.lastRev <= w.formerFence {
			w.nextPollAt = m.now + unsavedPollMs // there is no newer fencing number yet.
		}
		return
	}
	if first {
		w.synced, w.partlyRead = !g.ListFull, g.ListFull
		m.pool(w.Service).dirty = true
	}
	if len(w.unsavedEnds) > 0 || w.hasUnconfirmed() || w.unknownRuns > 0 || g.AckWithheld {
		w.nextPollAt = m.now + unsavedPollMs
	}
	if w.watched(m.now) {
		w.nextPollAt = m.now + watchIntervalMs
		m.pool(w.Service).dirty = true // a trial may begin now.
	}
	if w.ackWithheld {
		w.ackWithheld, w.nextPollAt, w.noPollBefore = false, 0, 0
		return
	}
	if len(g.Ended) > 0 {
		w.noPollBefore = m.now + min(minPollGapMs+pollGapPerRunMs*int64(len(w.runs)), maxPollGapMs)
	}
}

// workerReplaced records that another worker answers at w's address, by the answer to a call that was sent at sent.
func (m *Model) workerReplaced(w *worker, sent int64) {
	if sent < w.lifetimeKnownAt {
		return // the call was meant for an earlier lifetime, which may have had another address.
	}
	m.log("worker replaced", "", "worker", w.ID, "addr", w.Addr, "runs", len(w.runs))
	if !w.dead && !w.Draining {
		m.markCrashed(w, "replaced")
	}
	w.dead, w.listed = true, false
	m.pool(w.Service).dirty = true
}

// markReachable records that the worker answered.
func (m *Model) markReachable(w *worker) {
	if w.silentSince == 0 {
		return
	}
	m.log("worker regained", "", "worker", w.ID, "silentMs", m.now-w.silentSince)
	w.silentSince, w.nextPollAt = 0, 0
	m.pool(w.Service).dirty = true
}

// markUnreachable records that the worker did not answer. why is NotSent if there was no connection to it.
func (m *Model) markUnreachable(w *worker, why Result) {
	if w.silentSince == 0 {
		w.silentSince = m.now
		m.raiseFence(w)
		m.log("worker lost", "", "worker", w.ID, "addr", w.Addr, "runs", len(w.runs), "leaseMs", w.leaseEnd()-m.now, "why", int(why))
	}
	w.sentAck = w.confirmedAck // the number is sent again once the worker answers.
	w.nextPollAt = m.now + pollRetryMs
	if w.silentSince == m.now {
		w.nextPollAt = m.now // a single answer may have been lost.
	}
	m.pool(w.Service).dirty = true
}

// logLost logs that a run has ended with its worker's lease or lifetime, and what an operator needs to tell a task that crashes workers
// from a worker that was lost for another cause.
func (m *Model) logLost(event string, r *run) {
	m.log(event, r.task.stage.job.ID, "task", r.task.name().String(), "run", r.number, "worker", r.worker.ID, "ageMs", m.now-r.startSentAt,
		"confirmed", r.confirmedAt > 0, "beside", len(r.worker.runs)-1, "silentMs", r.worker.silentMs(m.now),
		"born", r.worker.Born, "startBorn", r.workerBorn, "clockMs", m.workerClock(r.worker), "leaseMs", r.worker.leaseEnd()-m.now)
}

// silentMs returns for how long the worker has not answered; 0 while it answers.
func (w *worker) silentMs(now int64) int64 {
	if w.silentSince == 0 {
		return 0
	}
	return now - w.silentSince
}
