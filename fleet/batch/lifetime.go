package batch

import (
	"cmp"
	"math"
	"slices"
)

// Lifetimes of workers. A worker that starts again under its ID begins a new lifetime: its clock, its lease, its fence and the numbers of
// its ended runs start anew. The platform's calls name the ID alone, and a call without an answer may be carried out seconds later, so a
// new lifetime may carry out what was meant for the one before. There, a lease lasts for the longest time that the worker grants, as its
// end was a time on the former clock.
//
// Calls of which this matters are starts, extended leases and acknowledgements of ended runs. They go only to a lifetime that is fenced: it
// has answered a poll whose fencing number is higher than those of all such calls that were meant for its predecessors, and refuses these
// from then on. The numbers are revisions of this owner's writes. Each of them is higher than those before, and lower than that of any
// successor's claim, as the writes are conditional on the own one.

// Limits of calls without an answer.
const (
	lateCallMs     = 12_000 // the longest time after which a worker may carry out such a call.
	fencedWithinMs = 5_000  // an owner that reaches a new lifetime and the store has fenced it within this time.
	maxReserveMs   = 5_000  // for which the task of such a start waits once the worker's machine is down. A longer wait counts as losing it.
)

// longestLeaseMs returns the longest lease that a worker grants, by its own clock.
func (m *Model) longestLeaseMs() int64 { return m.cfg.longestLeaseMs() }

func (c Config) longestLeaseMs() int64 { return max(c.LeaseMs, workerLeaseMs) }

// LeaseExcessMs returns by how many milliseconds a worker's lease may outlast what an owner asks for, on the slowest clock, because a call
// to a former lifetime has extended it.
func (c Config) LeaseExcessMs() int64 {
	return lastsAtMost(c.longestLeaseMs()) - lastsAtMost(workerLeaseMs)
}

// lastsAtMost returns the steady time by which ms on any worker's clock have passed.
func lastsAtMost(ms int64) int64 { return int64(math.Ceil(float64(ms)/minClockRate)) + expirySlackMs }

// raiseFence gives w a new fencing number, if there is one that no call has carried which must not reach another lifetime.
func (m *Model) raiseFence(w *worker) {
	if m.commits.lastRev > w.usedFence {
		w.fence = max(w.fence, m.commits.lastRev)
	}
}

// isSupersededFence reports whether a call with this fencing number, 0 for the present one, was refused because of a newer one of this owner.
func (w *worker) isSupersededFence(fence int64) bool { return cmp.Or(fence, w.fence) < w.fence }

// leaveLifetime prepares w for the calls to its next lifetime.
func (m *Model) leaveLifetime(w *worker) {
	w.fenced, w.synced, w.partlyRead = false, false, false
	w.formerFence = max(w.formerFence, w.usedFence)
	w.leaseUntil, w.lifetimeSeenAt = 0, 0
	w.oldLeaseEnd = m.now + lateCallMs + lastsAtMost(m.longestLeaseMs())
	m.commits.lifetimes.planned++
}

// noteFenced records that the present lifetime of w has answered a poll with the given fencing number. From then on, only this owner's
// later calls extend its lease.
func (m *Model) noteFenced(w *worker, fence int64) {
	if w.fenced || fence <= w.formerFence {
		return
	}
	w.fenced = true
	lease := m.requestedLeaseMs()
	if w.formerFence > 0 || m.mayHoldFormerLease(w) {
		lease = m.longestLeaseMs()
	}
	w.oldLeaseEnd = m.now + lastsAtMost(lease)
	if w.formerFence > 0 {
		m.log("lifetime fenced", "", "worker", w.ID, "born", w.Born, "workerFence", fence, "leaseMs", w.oldLeaseEnd-m.now)
	}
}

// mayHoldFormerLease reports whether a former owner's call to an earlier lifetime may have extended the lease of w's present one, which
// began shortly before this owner's term or later. The clocks of lifetimes do not tell their age: they begin anywhere.
func (m *Model) mayHoldFormerLease(w *worker) bool {
	expires := lateCallMs + lastsAtMost(m.longestLeaseMs())
	young := w.Born == 0 || w.Born > m.cfg.UnixMs-maxClockSkewMs-expires
	return young && m.blindUntil > 0 && m.now < m.blindUntil+expires
}

// Differences of two readings of a worker's clock that another lifetime does not explain, in ms.
const (
	clockBehindMs    = 20    // readings that overtake each other.
	clockDriftPerSec = 2     // both clocks are off.
	clockAheadMs     = 5_000 // a reading may have been on its way for as long as a poll.
)

// answersFromLaterLifetime reports whether the answer to a call that was sent at sent, with the given reading of the worker's clock, comes
// from a later lifetime than the known one.
func (m *Model) answersFromLaterLifetime(w *worker, clock, sent int64) bool {
	if clock == 0 || w.clockAt == 0 {
		return false
	}
	since := sent - w.clockAt
	if since > 0 {
		since = int64(float64(since)*minClockRate) - since*clockDriftPerSec/1000
	}
	return clock+clockBehindMs < w.clockMs+since || w.lifetimeSeenAt > 0 && clock > m.workerClock(w)+clockAheadMs
}

// suspectRestart begins an unknown lifetime of w, whose clock an answer has shown. The next poll tells which one it is.
func (m *Model) suspectRestart(w *worker, clock int64) {
	m.log("worker restart suspected", "", "worker", w.ID, "runs", len(w.runs), "clockMs", clock, "formerClockMs", m.workerClock(w))
	w.clockMs, w.clockAt, w.lifetimeKnownAt, w.suspectedAt = clock, m.now, m.now, m.now
	w.abandonPoll()
	w.nextPollAt, w.shortPoll = 0, true
	m.leaveLifetime(w)
}

// abandonPoll lets a poll be sent to the next lifetime of w although one to the former lifetime has not been answered.
func (w *worker) abandonPoll() {
	if w.polling {
		w.polling = false
		w.abandonedPolls++
	}
}

// awaitsLateStart reports whether the task of r waits because its start, which has not been answered, may still be carried out at a worker that
// does not answer, or go on there.
// It cannot if another worker has the machine or the address, and does no harm if the task may have copies.
func (m *Model) awaitsLateStart(r *run) bool {
	w := r.worker
	if r.confirmedAt > 0 || r.task.stage.Copies {
		return false
	}
	until := m.lateStartEnd(w, r.startSentAt)
	waits := m.soleOwnerUntil < until
	if waits && !r.reserved {
		r.reserved = true
		m.log("task reserved", r.task.stage.job.ID, "task", r.task.name().String(), "run", r.number, "worker", w.ID, "machine", string(w.goneState), "forMs", until-m.now)
	}
	return waits
}

// mayGetFormerCalls reports whether a former owner's start may still reach the lifetime of w, which has not been read, and go on there: it
// is so young that the former owner may not have fenced it.
func (m *Model) mayGetFormerCalls(w *worker) bool {
	young := w.Born > m.cfg.UnixMs-maxClockSkewMs-fencedWithinMs
	return young && m.blindUntil > 0 && m.soleOwnerUntil < m.blindUntil+lateCallMs
}

// forgottenWorker is what must be known of a worker that was forgotten, if its ID comes back.
type forgottenWorker struct {
	usedFence   int64
	forgottenAt int64
}

// rememberFence keeps the fencing number of a worker that is forgotten, and drops those of which no call can come, nor a lease by one last.
func (m *Model) rememberFence(w *worker) {
	for id, f := range m.forgottenWorkers {
		if m.now-f.forgottenAt > lateCallMs+lastsAtMost(m.longestLeaseMs()) {
			delete(m.forgottenWorkers, id)
		}
	}
	if n := max(w.usedFence, w.formerFence); n > 0 {
		m.forgottenWorkers[w.ID] = forgottenWorker{usedFence: n, forgottenAt: m.now}
	}
}

// recallFence prepares a worker that was forgotten, and whose entry has come again, for what may still be on its way to it.
func (m *Model) recallFence(w *worker) {
	if f, ok := m.forgottenWorkers[w.ID]; ok {
		w.usedFence = f.usedFence
		m.leaveLifetime(w)
		delete(m.forgottenWorkers, w.ID)
	}
}

// LifetimesKey is the key of the count of new lifetimes in a term. Each change of it yields a fencing number, also if nothing else is written.
const LifetimesKey = "own/lifetimes"

// StoredLifetimes is the number of new lifetimes that an owner has learned of.
type StoredLifetimes struct {
	Fence int64 `json:"fence"` // of the term.
	Count int   `json:"count"`
}

// lifetimesRecord is the count of new lifetimes, as it is known and as it is stored.
type lifetimesRecord struct {
	planned, stored int
	writing         bool
}

func (c *lifetimesRecord) waiting() bool { return !c.writing && c.planned > c.stored }

// lifetimesRow returns the row that stores the count, and its version.
func (m *Model) lifetimesRow() (Row, int) {
	n := m.commits.lifetimes.planned
	return Row{Key: LifetimesKey, Value: encode(StoredLifetimes{Fence: m.cfg.Fence, Count: n})}, n
}

// dropFormerRuns drops the runs that the former lifetime of w has listed, as they have ended with it. A start that was only answered may
// have reached the next lifetime.
func (m *Model) dropFormerRuns(w *worker) {
	if !m.knowsEnds(w) {
		return
	}
	for _, r := range slices.Clone(w.runs) {
		switch {
		case r.listedAt == 0:
		case r.crash != nil:
			m.dropCrashed(r)
		default:
			m.logLost("run lost", r)
			m.dropRun(r)
		}
	}
}
