package batch

import (
	"encoding/json"
	"fmt"
	"iter"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Prefixes of the keys in the store.
const (
	// JobPrefix precedes the IDs of accepted jobs.
	JobPrefix = "job/"
	// RunPrefix precedes the IDs of jobs whose progress is stored.
	RunPrefix = "run/"
	// WavePrefix precedes the numbers of waves whose progress is stored.
	WavePrefix = "wave/"
)

// StoredJob is an accepted job in the store.
type StoredJob struct {
	Job         Job   `json:"job"`
	SubmittedMs int64 `json:"atMs"` // Unix time in ms at which its caller first sent it.
}

// StoredRun is the progress of a job in the store.
type StoredRun struct {
	ID     string            `json:"-"`
	Rev    int64             `json:"-"`
	State  State             `json:"state,omitempty"`  // how the job ended; empty while it is open.
	Rounds []int             `json:"rounds,omitempty"` // rounds that are done.
	Done   map[string]string `json:"done,omitempty"`   // by ROUND.STEP: one digit per task, 1 if it is done.
	Failed map[string][]int  `json:"failed,omitempty"` // by ROUND.STEP.INDEX: numbers of the failed runs.
	Saved  map[string]string `json:"saved,omitempty"`  // by ROUND.STEP.INDEX: checkpoint.
	Last   map[string]int    `json:"last,omitempty"`   // by ROUND.STEP.INDEX: highest run number.
	Copied bool              `json:"copied,omitempty"` // copies of its tasks may have been started.
	Reason string            `json:"reason,omitempty"` // why the job has failed.

	Crashes map[string]StoredCrashes `json:"crashes,omitempty"` // by ROUND.STEP.INDEX: what crashed workers say of the task.
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("batch: record cannot be encoded: %v", err)) // cannot happen: records hold only numbers and strings.
	}
	return b
}

func (m *Model) encodeJob(j *job) []byte {
	return encode(StoredJob{Job: j.Job, SubmittedMs: j.submittedAt + m.wallOffset})
}

// encodeRun returns the progress record of j.
func encodeRun(j *job) []byte {
	if j.phase == ended {
		return encode(StoredRun{State: j.finalState, Reason: j.reason})
	}
	return encode(progressRecord(j))
}

func progressRecord(j *job) StoredRun {
	s := StoredRun{
		Done: map[string]string{}, Failed: map[string][]int{}, Saved: map[string]string{}, Last: map[string]int{}, Copied: j.copiesVersion > 0,
		Crashes: map[string]StoredCrashes{},
	}
	for _, r := range j.rounds {
		if r.stagesLeft == 0 {
			s.Rounds = append(s.Rounds, r.number)
			continue
		}
		for _, g := range r.stages {
			key := fmt.Sprintf("%d.%d", r.number, g.number)
			if g.tasksLeft < len(g.tasks) {
				s.Done[key] = doneDigits(g)
			}
			for _, t := range g.tasks {
				t.addTo(s, key)
			}
		}
	}
	return s
}

func (t *task) addTo(s StoredRun, stage string) {
	if t.done {
		return
	}
	key := fmt.Sprintf("%s.%d", stage, t.index)
	if len(t.failedRuns) > 0 {
		s.Failed[key] = t.failedRuns
	}
	if t.checkpoint != "" {
		s.Saved[key] = t.checkpoint
	}
	if t.lastRun > 1 {
		s.Last[key] = t.lastRun
	}
	if t.crashes != nil {
		s.Crashes[key] = t.crashes.StoredCrashes
	}
}

func doneDigits(s *stage) string {
	b := make([]byte, len(s.tasks))
	for i, t := range s.tasks {
		b[i] = '0'
		if t.done {
			b[i] = '1'
		}
	}
	return string(b)
}

// loadRecords loads the records of a former owner.
func (m *Model) loadRecords(g LoadedMsg) {
	if g.BlindMs > 0 {
		m.blindUntil = m.now + g.BlindMs
	}
	runs := make(map[string]StoredRun, len(g.Runs))
	for _, r := range g.Runs {
		runs[r.ID] = r
		if r.State != StateAbsent {
			m.jobs[r.ID] = &job{Job: Job{ID: r.ID}, phase: ended, finalState: r.State, shownState: r.State, rev: r.Rev, endedAt: m.now, started: true}
		}
	}
	n := 0
	for _, s := range g.Jobs {
		if m.jobs[s.Job.ID] != nil {
			continue
		}
		if err := s.Job.Validate(); err != nil {
			m.log("stored job not usable", s.Job.ID, "reason", err.Error())
			continue
		}
		m.loadJob(s, runs[s.Job.ID])
		n++
	}
	m.loadWaves(g.Waves)
	m.loadOrders(g.Orders, g.FormerFence)
	m.loadLateStarts(g.LateStarts)
	m.commits.lastRev = max(m.commits.lastRev, g.Rev)
	m.loaded = true
	m.log("records loaded", "", "open", n, "ended", len(m.jobs)-n, "blindMs", g.BlindMs)
	l := m.deferred
	m.deferred = nil
	for _, e := range l {
		m.Update(m.now, e)
	}
}

func (m *Model) loadJob(s StoredJob, r StoredRun) {
	submittedAt := min(s.SubmittedMs-m.wallOffset, m.now) // the former owner's clock may have been ahead.
	j := &job{Job: s.Job, phase: open, loaded: true, submittedAt: submittedAt, rev: r.Rev, formerCopies: r.Copied}
	if r.Copied {
		j.copiesVersion = 1
		j.version, j.storedVersion = 1, 1
	}
	j.use = m.teamUse(j)
	j.dueAt = j.submittedAt + m.objectiveMs(j)
	m.jobs[j.ID] = j
	m.pool(j.Service).openJobs[j.ID] = j
	m.restoreRounds(j, r)
	j.started = r.Rev > 0
	m.checkDone(j)
	if j.phase == ended {
		m.markChanged(j)
	}
}

// restoreRounds opens the rounds of j that are due, and those that the record shows as opened: the former owner's clock may have been
// ahead. It restores their progress. Rounds that are done take no room, and those that the former owner had open have theirs already.
func (m *Model) restoreRounds(j *job, r StoredRun) {
	opened, done := r.openedRounds(), make(map[int]bool, len(r.Rounds))
	for _, n := range r.Rounds {
		done[n] = true
	}
	for j.nextRound < j.roundCount() {
		n := j.nextRound
		switch {
		case done[n]:
			m.skipRound(j)
		case n < opened || m.roundDue(j) <= m.now && j.hasRoomForRound():
			m.openRound(j).restore(r)
		default:
			return
		}
	}
}

// skipRound adds the next round of j, which is done, without its tasks.
func (m *Model) skipRound(j *job) {
	j.rounds = append(j.rounds, &round{number: j.nextRound, dueAt: m.roundDue(j)})
	j.nextRound++
}

// restore restores the progress of the round.
func (r *round) restore(s StoredRun) {
	for _, g := range r.stages {
		g.restore(s)
	}
}

// openedRounds returns the number of rounds that had been opened for certain when the record was written.
func (r StoredRun) openedRounds() int {
	last := -1
	for _, n := range r.Rounds {
		last = max(last, n)
	}
	named := func(key string) {
		number, _, _ := strings.Cut(key, ".")
		if n, err := strconv.Atoi(number); err == nil {
			last = max(last, n)
		}
	}
	for _, l := range []iter.Seq[string]{maps.Keys(r.Done), maps.Keys(r.Failed), maps.Keys(r.Saved), maps.Keys(r.Last), maps.Keys(r.Crashes)} {
		for key := range l {
			named(key)
		}
	}
	return last + 1
}

func (s *stage) restore(r StoredRun) {
	key := fmt.Sprintf("%d.%d", s.round.number, s.number)
	for i, t := range s.tasks {
		if d := r.Done[key]; !t.done && i < len(d) && d[i] == '1' {
			t.done = true
			s.tasksLeft--
			s.tasksWaiting--
			if s.tasksLeft == 0 {
				s.round.stagesLeft--
			}
		}
		taskKey := fmt.Sprintf("%s.%d", key, i)
		t.failedRuns, t.checkpoint, t.lastRun = r.Failed[taskKey], r.Saved[taskKey], r.Last[taskKey]
		if c, ok := r.Crashes[taskKey]; ok {
			t.crashes = &crashes{StoredCrashes: c, base: -c.all() - c.Others}
		}
		for _, n := range slices.Concat(t.failedRuns, t.crashesOrNone().Lost, t.crashesOrNone().Trials) {
			t.lastRun = max(t.lastRun, n)
		}
	}
}
