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
	writing      map[*job]bool // jobs whose progress is being written or is set aside.
	inFlight     map[uint64]*transaction
	waitingSince int64 // when the first of the waiting writes came; 0 if none waits.
	retryAt      int64
	failing      bool   // the last write failed.
	failReason   string // why, for callers.
	dirtyWaves   map[int]*wave
	orders       orderRecord
	byteLimit    int // most bytes of the next transaction.

	parts      [][]write // of transactions that the store rejected, which are sent apart.
	setAside   []asideWrite
	aside      asideRecord
	lifetimes  lifetimesRecord
	lateStarts lateStarts
	lastRev    int64          // revision of the last write.
	unanswered map[string]int // by key: how often a large record that was sent alone was not answered.
}

func (c *commits) start() {
	c.queued, c.writing, c.inFlight, c.dirtyWaves = map[*job]bool{}, map[*job]bool{}, map[uint64]*transaction{}, map[int]*wave{}
	c.unanswered, c.byteLimit = map[string]int{}, maxTxnBytes
	c.lateStarts.byTask = map[TaskName][]lateStart{}
}

func (c *commits) waiting() bool {
	return len(c.accepts)+len(c.dirty)+len(c.dirtyWaves)+len(c.parts) > 0 || c.orders.waiting() || c.aside.waiting() || c.lifetimes.waiting() || c.lateStarts.waiting()
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
	m.retrySetAside()
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
	f := &transaction{byteLimit: c.byteLimit}
	if len(c.parts) > 0 {
		m.addPart(f)
	} else {
		m.addOrders(f)
		m.addWave(f)
		m.addAside(f)
		m.addLifetimes(f)
		m.addLateStarts(f)
		m.addAccepts(f)
		m.addDirty(f)
	}
	if len(f.writes) == 0 {
		return false
	}
	c.next++
	c.inFlight[c.next] = f
	m.emit(CommitCmd{ID: c.next, Rows: f.rows()})
	return true
}

func (m *Model) addOrders(f *transaction) {
	if m.commits.orders.waiting() {
		m.add(f, write{kind: writeOrders})
	}
}

// addWave adds the progress of one wave.
func (m *Model) addWave(f *transaction) {
	for n, w := range m.commits.dirtyWaves {
		if !w.writing && m.add(f, write{kind: writeWave, wave: w}) {
			delete(m.commits.dirtyWaves, n)
			return
		}
	}
}

func (m *Model) addAside(f *transaction) {
	if m.commits.aside.waiting() {
		m.add(f, write{kind: writeAside})
	}
}

func (m *Model) addLifetimes(f *transaction) {
	if m.commits.lifetimes.waiting() {
		m.add(f, write{kind: writeLifetimes})
	}
}

func (m *Model) addLateStarts(f *transaction) {
	if m.commits.lateStarts.waiting() {
		m.add(f, write{kind: writeLateStarts})
	}
}

func (m *Model) addAccepts(f *transaction) {
	c := &m.commits
	n := 0
	for n < len(c.accepts) && m.add(f, write{kind: writeAccept, job: c.accepts[n]}) {
		n++
	}
	c.accepts = c.accepts[n:]
}

// addDirty adds the progress of jobs, up to the first that does not fit.
func (m *Model) addDirty(f *transaction) {
	c := &m.commits
	var later []*job
	for i, j := range c.dirty {
		if c.writing[j] {
			later = append(later, j)
			continue
		}
		if !m.add(f, write{kind: writeProgress, job: j}) {
			later = append(later, c.dirty[i:]...)
			break
		}
		delete(c.queued, j)
	}
	c.dirty = later
}

// committed handles the answer to a transaction.
func (m *Model) committed(g CommittedMsg) {
	c := &m.commits
	f := c.inFlight[g.ID]
	if f == nil {
		return
	}
	delete(c.inFlight, g.ID)
	if g.Outcome == WriteRejected {
		m.separate(f, g.Detail)
		return
	}
	for _, w := range f.writes {
		m.setWriting(w, false)
	}
	if g.Outcome == Written {
		c.failing, c.retryAt = false, 0
		c.byteLimit = min(2*c.byteLimit, maxTxnBytes)
		m.applyWritten(f, g.Rev)
		return
	}
	m.log("write failed", "", "outcome", int(g.Outcome), "writes", len(f.writes), "bytes", f.bytes, "detail", g.Detail)
	if g.Outcome == Conflict {
		m.adoptRevs(g.Current)
	} else {
		c.failing, c.retryAt, c.failReason = true, m.now+commitRetryMs, "the store does not answer"
		if g.Busy {
			c.failReason = "the store takes no writes now"
		}
	}
	if g.Outcome == Unknown && m.limitBytes(f, g.Detail) {
		return
	}
	for _, w := range f.writes {
		m.requeue(w, g.Outcome)
	}
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

// requeue queues a write that was not confirmed again. It refuses a job that has waited too long and certainly is not in the
// store.
func (m *Model) requeue(w write, o Outcome) {
	c := &m.commits
	switch w.kind {
	case writeAccept:
		j := w.job
		j.maybeStored = j.maybeStored || o == Unknown
		if !j.maybeStored && m.now-j.firstTriedAt >= acceptTimeoutMs {
			m.refuseUnstored(j, "the store did not take it", acceptTimeoutMs)
			return
		}
		c.addAccept(j)
	case writeProgress:
		c.addProgress(w.job)
	case writeWave:
		c.dirtyWaves[w.wave.Number] = w.wave
	case writeOrders, writeAside, writeLifetimes, writeLateStarts: // they wait while a newer version is planned than stored.
	}
}

// refuseUnstored refuses a job whose record certainly is not in the store.
func (m *Model) refuseUnstored(j *job, why string, retryMs int64) {
	delete(m.jobs, j.ID)
	m.refuse(j, why, retryMs)
	for _, r := range j.cancelRefs {
		m.emit(ReplyCmd{Ref: r, Verdict: UnknownJob})
	}
}

func (m *Model) applyWritten(f *transaction, rev int64) {
	for _, w := range f.writes {
		delete(m.commits.unanswered, w.key())
		switch w.kind {
		case writeAccept:
			m.openJob(w.job)
		case writeProgress:
			m.progressWritten(w.job, w.version, rev)
		case writeWave:
			w.wave.rev, w.wave.storedVersion = rev, max(w.wave.storedVersion, w.version)
		case writeOrders:
			o := &m.commits.orders
			o.stored, o.rev = w.version, rev
			m.sendStoredOrders()
		case writeAside:
			m.commits.aside.stored = w.version
		case writeLifetimes:
			m.commits.lifetimes.stored = w.version
		case writeLateStarts:
			m.commits.lateStarts.stored = w.version
		}
	}
	m.commits.lastRev = max(m.commits.lastRev, rev)
	for _, w := range m.workers {
		if len(w.unsavedEnds) > 0 && w.unsavedEnds[0].withheldUntil <= m.now || !w.fenced && w.silentSince == 0 {
			w.nextPollAt = 0
		}
	}
}

func (m *Model) progressWritten(j *job, version int, rev int64) {
	j.rev, j.storedVersion = rev, max(j.storedVersion, version)
	switch {
	case j.purging:
		delete(m.jobs, j.ID)
	case j.version > j.storedVersion:
		m.commits.addProgress(j)
	case j.phase == ended:
		m.publishEnd(j)
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
	for _, s := range j.submissions {
		m.emit(ReplyCmd{Ref: s.ref, Verdict: Accepted})
	}
	j.submissions = nil
	if len(j.cancelRefs) > 0 {
		m.endCanceled(j)
	}
	m.openRounds()
}
