package batch

import (
	"strconv"
	"strings"
)

// commits holds the writes that wait and the transactions in flight.
type commits struct {
	next         uint64
	accepts      []*job
	dirty        []*job
	queued       map[*job]bool // the jobs in dirty.
	writing      map[*job]bool // jobs whose progress is being written.
	inFlight     map[uint64]*transaction
	waitingSince int64 // when the first of the waiting writes came; 0 if none waits.
	retryAt      int64
	failing      bool // the last write failed.
	dirtyWaves   map[int]*wave
	orders       orderRecord
}

// transaction is one transaction in flight.
type transaction struct {
	accepts     []*job
	progress    []*job // jobs whose progress it writes.
	versions    []int  // version of each of them, as written.
	wave        *wave
	waveVersion int

	ordersVersion int // of the orders that it writes; 0 if it writes none.
}

func (c *commits) start() {
	c.queued, c.writing, c.inFlight, c.dirtyWaves = map[*job]bool{}, map[*job]bool{}, map[uint64]*transaction{}, map[int]*wave{}
}

func (c *commits) waiting() bool {
	return len(c.accepts)+len(c.dirty)+len(c.dirtyWaves) > 0 || c.orders.waiting()
}

func (c *commits) addAccept(j *job) { c.accepts = append(c.accepts, j) }

func (c *commits) addProgress(j *job) {
	if !c.queued[j] {
		c.queued[j] = true
		c.dirty = append(c.dirty, j)
	}
}

// flush sends the waiting writes once commitWindowMs has passed or they fill a transaction.
func (m *Model) flush() {
	c := &m.commits
	if !c.waiting() {
		c.waitingSince, c.failing = 0, c.failing && len(c.inFlight) > 0
		return
	}
	if c.waitingSince == 0 {
		c.waitingSince = m.now
	}
	full := len(c.accepts)+2*len(c.dirty) >= maxTxnEntries
	if m.now < c.retryAt || (m.now-c.waitingSince < commitWindowMs && !full) {
		return
	}
	for c.waiting() && c.maySend() {
		if !m.sendTransaction() {
			break
		}
	}
	c.waitingSince = 0
}

// maySend reports whether another transaction may be sent. Beyond maxPartialTxns in flight the store is slow, and writes that wait
// longer share fewer transactions.
func (c *commits) maySend() bool {
	if len(c.inFlight) < maxPartialTxns {
		return true
	}
	return !c.failing && len(c.inFlight) < maxInFlightTxns && c.hasFullTransaction()
}

// hasFullTransaction reports whether the waiting writes that may be sent fill a transaction.
func (c *commits) hasFullTransaction() bool {
	n := len(c.accepts)
	for _, j := range c.dirty {
		if n >= maxTxnEntries {
			break
		}
		if !c.writing[j] {
			n += 2
		}
	}
	return n >= maxTxnEntries
}

// sendTransaction sends one transaction. It returns false if every waiting write is for a record that is already being
// written.
func (m *Model) sendTransaction() bool {
	c := &m.commits
	f := &transaction{}
	var rows []Row
	room := maxTxnEntries
	if m.addOrdersRow(f, &rows) {
		room--
	}
	if m.addWaveRow(f, &rows) {
		room -= 2
	}
	n := min(len(c.accepts), room)
	for _, j := range c.accepts[:n] {
		f.accepts = append(f.accepts, j)
		rows = append(rows, Row{Key: JobPrefix + j.ID, Value: m.encodeJob(j)})
	}
	c.accepts = c.accepts[n:]
	room -= n
	var later []*job
	for _, j := range c.dirty {
		cost := 2
		if j.phase == ended && !j.purging {
			cost = 3
		}
		if c.writing[j] || cost > room {
			later = append(later, j)
			continue
		}
		room -= cost
		delete(c.queued, j)
		c.writing[j] = true
		f.progress, f.versions = append(f.progress, j), append(f.versions, j.version)
		if j.purging {
			rows = append(rows, Row{Key: RunPrefix + j.ID, Rev: j.rev, Guarded: true, Delete: true})
			continue
		}
		rows = append(rows, Row{Key: RunPrefix + j.ID, Value: encodeRun(j), Rev: j.rev, Guarded: true})
		if j.phase == ended {
			rows = append(rows, Row{Key: JobPrefix + j.ID, Delete: true})
		}
	}
	c.dirty = later
	if len(rows) == 0 {
		return false
	}
	c.next++
	c.inFlight[c.next] = f
	m.emit(CommitCmd{ID: c.next, Rows: rows})
	return true
}

// committed handles the answer to a transaction.
func (m *Model) committed(g CommittedMsg) {
	c := &m.commits
	f := c.inFlight[g.ID]
	if f == nil {
		return
	}
	delete(c.inFlight, g.ID)
	for _, j := range f.progress {
		delete(c.writing, j)
	}
	if f.wave != nil {
		f.wave.writing = false
	}
	if g.Outcome == Written {
		c.failing, c.retryAt = false, 0
		m.applyWritten(f, g.Rev)
		return
	}
	m.log("write failed", "", "outcome", int(g.Outcome), "accepts", len(f.accepts), "progress", len(f.progress))
	if g.Outcome == Conflict {
		m.adoptRevs(g.Current)
	} else {
		c.failing, c.retryAt = true, m.now+commitRetryMs
	}
	m.requeue(f, g.Outcome)
}

// adoptRevs takes over the revisions of records after a conflict.
func (m *Model) adoptRevs(l []Row) {
	for _, r := range l {
		if r.Key == OrdersKey {
			m.commits.orders.rev = r.Rev
		}
		if id, ok := strings.CutPrefix(r.Key, RunPrefix); ok && m.jobs[id] != nil {
			m.jobs[id].rev = r.Rev
		}
		if n, ok := strings.CutPrefix(r.Key, WavePrefix); ok {
			if i, err := strconv.Atoi(n); err == nil && m.fleet.waves[i] != nil {
				m.fleet.waves[i].rev = r.Rev
			}
		}
	}
}

// requeue queues the writes of a failed transaction again. It refuses jobs that have waited too long and certainly are
// not in the store.
func (m *Model) requeue(f *transaction, o Outcome) {
	for _, j := range f.accepts {
		j.maybeStored = j.maybeStored || o == Unknown
		if !j.maybeStored && m.now-j.firstTriedAt >= acceptTimeoutMs {
			delete(m.jobs, j.ID)
			m.refuse(j, "the store did not take it", acceptTimeoutMs)
			for _, r := range j.cancelRefs {
				m.emit(ReplyCmd{Ref: r, Verdict: UnknownJob})
			}
			continue
		}
		m.commits.addAccept(j)
	}
	for _, j := range f.progress {
		m.commits.addProgress(j)
	}
	if f.wave != nil {
		m.commits.dirtyWaves[f.wave.Number] = f.wave
	}
	if f.ordersVersion != 0 {
		m.commits.orders.sending = 0
	}
}

func (m *Model) applyWritten(f *transaction, rev int64) {
	for _, j := range f.accepts {
		m.openJob(j)
	}
	for i, j := range f.progress {
		j.rev, j.storedVersion = rev, max(j.storedVersion, f.versions[i])
		if j.purging {
			delete(m.jobs, j.ID)
			continue
		}
		if j.version > j.storedVersion {
			m.commits.addProgress(j)
		} else if j.phase == ended {
			m.publishEnd(j)
		}
	}
	if f.wave != nil {
		f.wave.rev, f.wave.storedVersion = rev, max(f.wave.storedVersion, f.waveVersion)
	}
	if f.ordersVersion != 0 {
		o := &m.commits.orders
		o.sending, o.stored, o.rev = 0, f.ordersVersion, rev
		m.sendStoredOrders()
	}
	for _, w := range m.workers {
		if len(w.unsavedEnds) > 0 {
			w.nextPollAt = 0
		}
	}
}

// Limits of how long ended jobs are kept.
const (
	purgeIntervalMs = 5_000
	retentionFactor = 2 // an ended job is kept for this multiple of StatusMs.
)

// purge removes jobs that ended long ago, from memory and from the store.
func (m *Model) purge() {
	if m.cfg.StatusMs <= 0 || m.now-m.purgedAt < purgeIntervalMs {
		return
	}
	m.purgedAt = m.now
	for _, id := range sortedKeys(m.jobs) {
		j := m.jobs[id]
		if j.shownState != StateAbsent && !j.purging && j.rounds == nil && m.now-j.endedAt > retentionFactor*m.cfg.StatusMs {
			j.purging = true
			j.version++
			m.commits.addProgress(j)
		}
	}
}

// publishEnd makes the end of a job visible to callers, once it is stored.
func (m *Model) publishEnd(j *job) {
	j.shownState = j.finalState
	for _, r := range j.cancelRefs {
		m.emit(ReplyCmd{Ref: r, Verdict: Accepted})
	}
	j.cancelRefs = nil
	m.freeEnded(j)
}

// openJob opens a job whose acceptance is stored.
func (m *Model) openJob(j *job) {
	j.phase = open
	p := m.pool(j.Service)
	p.openJobs[j.ID] = j
	p.dirty = true
	m.log("job accepted", j.ID, "queue", j.Queue, "ageMs", m.now-j.submittedAt, "dueMs", j.dueAt-m.now, "backlogCoreMs", int64(p.backlog)/1000)
	for _, r := range j.submitRefs {
		m.emit(ReplyCmd{Ref: r, Verdict: Accepted})
	}
	j.submitRefs = nil
	if len(j.cancelRefs) > 0 {
		m.endCanceled(j)
	}
	m.openRounds()
}
