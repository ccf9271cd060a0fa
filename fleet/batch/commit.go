package batch

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Keys of the store.
const (
	// JobPrefix precedes the ids of accepted jobs.
	JobPrefix = "job/"
	// RunPrefix precedes the ids of jobs whose progress is kept.
	RunPrefix = "run/"
	// WavePrefix precedes the numbers of waves whose progress is kept.
	WavePrefix = "wave/"
)

// StoredJob is an accepted job in the store.
type StoredJob struct {
	Job  Job   `json:"job"`
	AtMs int64 `json:"atMs"` // Unix time at which its caller first sent it.
}

// StoredRun is the progress of a job in the store.
type StoredRun struct {
	ID     string            `json:"-"`
	Rev    int64             `json:"-"`
	State  State             `json:"state,omitempty"`  // how it ended; empty while it is open.
	Rounds []int             `json:"rounds,omitempty"` // rounds that are done.
	Done   map[string]string `json:"done,omitempty"`   // by ROUND.STEP: a digit 1 for each task that is done.
	Failed map[string][]int  `json:"failed,omitempty"` // by ROUND.STEP.INDEX: runs that failed.
	Saved  map[string]string `json:"saved,omitempty"`  // by ROUND.STEP.INDEX: checkpoint.
	Last   map[string]int    `json:"last,omitempty"`   // by ROUND.STEP.INDEX: highest run number.
	Copied bool              `json:"copied,omitempty"` // copies of its tasks may have been started.
}

// commits are the writes that wait or are under way.
type commits struct {
	next    uint64
	accepts []*job
	dirty   []*job
	queued  map[*job]bool // in dirty.
	busy    map[*job]bool // its progress is being written.
	flights map[uint64]*flight
	since   int64 // when the first of the waiting writes came; 0 when none waits.
	retryAt int64
	away    bool // the last write failed.
	waves   map[int]*wave
}

// flight is one transaction under way.
type flight struct {
	accepts []*job
	runs    []*job
	version []int // of runs, as written.
	wave    *wave
	waveVer int
}

func (c *commits) start() {
	c.queued, c.busy, c.flights, c.waves = map[*job]bool{}, map[*job]bool{}, map[uint64]*flight{}, map[int]*wave{}
}

func (c *commits) waiting() bool { return len(c.accepts)+len(c.dirty)+len(c.waves) > 0 }

func (c *commits) accept(j *job) { c.accepts = append(c.accepts, j) }

func (c *commits) add(j *job) {
	if !c.queued[j] {
		c.queued[j] = true
		c.dirty = append(c.dirty, j)
	}
}

// flush sends the waiting writes once they have waited for others, a few transactions at a time.
func (m *Model) flush() {
	c := &m.commits
	if !c.waiting() {
		c.since, c.away = 0, c.away && len(c.flights) > 0
		return
	}
	if c.since == 0 {
		c.since = m.now
	}
	full := len(c.accepts)+2*len(c.dirty) >= txnEntries
	if m.now < c.retryAt || (m.now-c.since < commitWaitMs && !full) {
		return
	}
	for len(c.flights) < maxInFlight && c.waiting() {
		if !m.send() {
			break
		}
	}
	c.since = 0
}

// send begins one transaction; it reports false when all that waits is being written already.
func (m *Model) send() bool {
	c := &m.commits
	f := &flight{}
	var rows []Row
	room := txnEntries
	if m.sendWave(f, &rows) {
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
		if j.phase == ended && !j.old {
			cost = 3
		}
		if c.busy[j] || cost > room {
			later = append(later, j)
			continue
		}
		room -= cost
		delete(c.queued, j)
		c.busy[j] = true
		f.runs, f.version = append(f.runs, j), append(f.version, j.version)
		if j.old {
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
	c.flights[c.next] = f
	m.do(CommitCmd{ID: c.next, Rows: rows})
	return true
}

// committed takes in what became of a transaction.
func (m *Model) committed(g CommittedMsg) {
	c := &m.commits
	f := c.flights[g.ID]
	if f == nil {
		return
	}
	delete(c.flights, g.ID)
	for _, j := range f.runs {
		delete(c.busy, j)
	}
	if g.Outcome == Written {
		c.away, c.retryAt = false, 0
		m.written(f, g.Rev)
		return
	}
	m.log("write failed", "", "outcome", int(g.Outcome), "accepts", len(f.accepts), "progress", len(f.runs))
	if g.Outcome == Conflict {
		m.learnRevs(g.Now)
	} else {
		c.away, c.retryAt = true, m.now+commitRetryMs
	}
	m.again(f, g.Outcome)
}

// learnRevs takes the revisions of progress records after a conflict.
func (m *Model) learnRevs(l []Row) {
	for _, r := range l {
		if id, ok := strings.CutPrefix(r.Key, RunPrefix); ok && m.jobs[id] != nil {
			m.jobs[id].rev = r.Rev
		}
		if n, ok := strings.CutPrefix(r.Key, WavePrefix); ok {
			if i, err := strconv.Atoi(n); err == nil && m.duty.waves[i] != nil {
				m.duty.waves[i].rev = r.Rev
			}
		}
	}
}

// again queues what a transaction did not write, and refuses jobs that have waited too long and certainly are not accepted.
func (m *Model) again(f *flight, o Outcome) {
	for _, j := range f.accepts {
		j.doubt = j.doubt || o == Unknown
		if !j.doubt && m.now-j.tried >= refusalMs {
			delete(m.jobs, j.ID)
			m.refuse(j, "the store did not take it", refusalMs)
			for _, r := range j.cancels {
				m.do(ReplyCmd{Ref: r, Verdict: NotKnown})
			}
			continue
		}
		m.commits.accept(j)
	}
	for _, j := range f.runs {
		m.commits.add(j)
	}
	if f.wave != nil {
		m.commits.waves[f.wave.Number] = f.wave
	}
}

func (m *Model) written(f *flight, rev int64) {
	for _, j := range f.accepts {
		m.accepted(j)
	}
	for i, j := range f.runs {
		j.rev, j.stored = rev, max(j.stored, f.version[i])
		if j.old {
			delete(m.jobs, j.ID)
			continue
		}
		if j.version > j.stored {
			m.commits.add(j)
		} else if j.phase == ended {
			m.showEnd(j)
		}
	}
	if f.wave != nil {
		f.wave.rev, f.wave.stored = rev, max(f.wave.stored, f.waveVer)
	}
	for _, w := range m.workers {
		if len(w.marks) > 0 {
			w.holdAt = 0
		}
	}
}

// Purging of ended jobs.
const (
	purgeEveryMs = 5_000
	purgeTimes   = 2 // an ended job is kept for so many times as long as its state can be asked for.
)

// purge forgets jobs that ended long ago, here and in the store.
func (m *Model) purge() {
	if m.cfg.StatusMs <= 0 || m.now-m.purged < purgeEveryMs {
		return
	}
	m.purged = m.now
	for _, id := range sortedKeys(m.jobs) {
		j := m.jobs[id]
		if j.shown != Absent && !j.old && j.rounds == nil && m.now-j.endedAt > purgeTimes*m.cfg.StatusMs {
			j.old = true
			j.version++
			m.commits.add(j)
		}
	}
}

// showEnd lets callers see how the job ended.
func (m *Model) showEnd(j *job) {
	j.shown = j.final
	for _, r := range j.cancels {
		m.do(ReplyCmd{Ref: r, Verdict: Accepted})
	}
	j.cancels = nil
	m.tidy(j)
}

// accepted opens a job that the store has.
func (m *Model) accepted(j *job) {
	j.phase = open
	p := m.pool(j.Service)
	p.open[j.ID] = j
	p.dirty = true
	m.log("job accepted", j.ID, "queue", j.Queue, "ageMs", m.now-j.firstAt, "dueMs", j.due-m.now, "backlogCoreMs", int64(p.backlog)/1000)
	for _, r := range j.refs {
		m.do(ReplyCmd{Ref: r, Verdict: Accepted})
	}
	j.refs = nil
	if len(j.cancels) > 0 {
		m.cancelOpen(j)
	}
	m.openRounds()
}

func (m *Model) encodeJob(j *job) []byte {
	b, err := json.Marshal(StoredJob{Job: j.Job, AtMs: j.firstAt + m.wall})
	if err != nil {
		panic(fmt.Sprintf("batch: job %s cannot be encoded: %v", j.ID, err)) // only numbers and strings: a defect.
	}
	return b
}

// encodeRun returns the progress of j as the store keeps it.
func encodeRun(j *job) []byte {
	s := StoredRun{}
	if j.phase == ended {
		s.State = j.final
	} else {
		s = progress(j)
	}
	b, err := json.Marshal(s)
	if err != nil {
		panic(fmt.Sprintf("batch: progress of job %s cannot be encoded: %v", j.ID, err))
	}
	return b
}

func progress(j *job) StoredRun {
	s := StoredRun{Done: map[string]string{}, Failed: map[string][]int{}, Saved: map[string]string{}, Last: map[string]int{}, Copied: j.copied > 0}
	for _, r := range j.rounds {
		if r.left == 0 {
			s.Rounds = append(s.Rounds, r.number)
			continue
		}
		for _, g := range r.stages {
			at := fmt.Sprintf("%d.%d", r.number, g.number)
			if g.left < len(g.tasks) {
				s.Done[at] = digits(g)
			}
			for _, t := range g.tasks {
				t.store(s, at)
			}
		}
	}
	return s
}

func (t *task) store(s StoredRun, stage string) {
	if t.done {
		return
	}
	at := fmt.Sprintf("%s.%d", stage, t.index)
	if len(t.failed) > 0 {
		s.Failed[at] = t.failed
	}
	if t.saved != "" {
		s.Saved[at] = t.saved
	}
	if t.last > 1 {
		s.Last[at] = t.last
	}
}

func digits(s *stage) string {
	b := make([]byte, len(s.tasks))
	for i, t := range s.tasks {
		b[i] = '0'
		if t.done {
			b[i] = '1'
		}
	}
	return string(b)
}

// load takes over the records of a former owner.
func (m *Model) load(g LoadedMsg) {
	m.blind = m.now + g.BlindMs
	runs := make(map[string]StoredRun, len(g.Runs))
	for _, r := range g.Runs {
		runs[r.ID] = r
		if r.State != Absent {
			m.jobs[r.ID] = &job{Job: Job{ID: r.ID}, phase: ended, final: r.State, shown: r.State, rev: r.Rev, endedAt: m.now, started: true}
		}
	}
	n := 0
	for _, s := range g.Jobs {
		if m.jobs[s.Job.ID] != nil || s.Job.Validate() != nil {
			continue
		}
		m.loadJob(s, runs[s.Job.ID])
		n++
	}
	m.loadWaves(g.Waves)
	m.loaded = true
	m.log("records loaded", "", "open", n, "ended", len(m.jobs)-n, "blindMs", g.BlindMs)
	l := m.early
	m.early = nil
	for _, e := range l {
		m.Update(m.now, e)
	}
}

func (m *Model) loadJob(s StoredJob, r StoredRun) {
	j := &job{Job: s.Job, phase: open, loaded: true, firstAt: s.AtMs - m.wall, rev: r.Rev, copiedBefore: r.Copied}
	if r.Copied {
		j.copied = 1
		j.version, j.stored = 1, 1
	}
	j.due = j.firstAt + m.objective(j)
	m.jobs[j.ID] = j
	m.pool(j.Service).open[j.ID] = j
	m.openRounds()
	for _, o := range j.rounds {
		if slices.Contains(r.Rounds, o.number) {
			o.finish()
		}
		for _, g := range o.stages {
			g.restore(r)
		}
		if o.left > 0 && !slices.ContainsFunc(o.stages, func(g *stage) bool { return g.left > 0 }) {
			o.left = 0
		}
	}
	j.started = r.Rev > 0
	m.checkDone(j)
	if j.phase == ended {
		m.change(j)
	}
}

func (r *round) finish() {
	r.left = 0
	for _, s := range r.stages {
		s.left, s.waiting = 0, 0
		for _, t := range s.tasks {
			t.done = true
		}
	}
}

func (s *stage) restore(r StoredRun) {
	at := fmt.Sprintf("%d.%d", s.round.number, s.number)
	for i, t := range s.tasks {
		if d := r.Done[at]; !t.done && i < len(d) && d[i] == '1' {
			t.done = true
			s.left--
			s.waiting--
			if s.left == 0 {
				s.round.left--
			}
		}
		k := fmt.Sprintf("%s.%d", at, i)
		t.failed, t.saved, t.last = r.Failed[k], r.Saved[k], r.Last[k]
		for _, n := range t.failed {
			t.last = max(t.last, n)
		}
	}
}
