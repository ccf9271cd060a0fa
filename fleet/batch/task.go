package batch

import (
	"fmt"
	"slices"

	"burdockreach.dev/fleet/speed"
)

// phase is the stage of a job's life at the owner.
type phase int

const (
	committing phase = iota // its acceptance is not stored yet.
	open
	ended // completed, failed or canceled; the end may not be stored yet.
)

// job is a job that the owner knows.
type job struct {
	Job
	phase         phase
	finalState    State // state in which it ended; valid in phase ended.
	shownState    State // state in which it ended, as callers see it: set once the end is stored.
	started       bool
	purging       bool     // its record is being deleted.
	copiesVersion int      // version of the progress record that first says that there may be copies; 0 if none does.
	formerCopies  bool     // a former owner may have started copies.
	reason        string   // why it has failed; empty otherwise.
	loaded        bool     // accepted by a former owner.
	use           *teamUse // what its team has running; nil without a team.
	submittedAt   int64    // steady time at which its caller first sent it, as far as known.
	endedAt       int64
	dueAt         int64 // latest end at which it has its full value.
	rounds        []*round
	nextRound     int // number of the next round to open.

	version, storedVersion int          // version of the progress in memory, and the version that is stored.
	rev                    int64        // revision of the progress record in the store.
	submissions            []submission // that wait for an answer.
	cancelRefs             []uint64
	maybeStored            bool  // the acceptance may be in the store.
	firstTriedAt           int64 // when this owner first took the submission.
}

// submission is a submission of a job: its request number, and the caller's request that it belongs to.
type submission struct {
	ref     uint64
	attempt string
}

// round is one run of all steps.
type round struct {
	number     int
	dueAt      int64
	stages     []*stage
	stagesLeft int // stages that are not done.
}

// stage is one step of one round.
type stage struct {
	Step
	job          *job
	round        *round
	number       int
	tasks        []*task
	tasksLeft    int     // tasks that are not done.
	tasksWaiting int     // tasks that are not done and have no run.
	runMs        float64 // expected run time of one task.
	rank         rank    // position when the stages were last ordered.
	bias         speed.Bias
	noRoomSince  int64   // since when its tasks find room at slow workers at most; 0 after a start.
	chainMs      float64 // expected run time of the longest chain that begins with this stage.
	promise      *promise

	noFormerRuns bool // no former owner can have started any of its tasks.
	advice       stageAdvice
}

// task is one task of a stage.
type task struct {
	stage           *stage
	index           int
	done            bool
	failedRuns      []int // numbers of the failed runs.
	lastRun         int   // highest run number.
	runs            []*run
	checkpoint      string
	notBefore       int64 // steady time before which it must not start.
	avoidWorkers    []string
	boundSince      int64 // since when it waits for the worker of its late start; 0 if it does not.
	strays          int   // runs of it in the last lists of workers that are none of runs, and are being stopped.
	noFormerRuns    bool  // no former owner can have started it at a worker whose lists have not been read.
	unknownToFormer bool  // it is done, and no former owner can know that.

	crashes *crashes // nil unless a worker has crashed under it.
	givenUp bool     // it must not be started any more, because workers crashed under it.
}

// runState is the state of a run as far as the owner knows.
type runState int

const (
	starting runState = iota
	running
	unconfirmed // the start was not answered.
	stopping    // a stop was sent.
)

// run is one start of a task at a worker.
type run struct {
	task           *task
	number         int
	worker         *worker
	state          runState
	startSentAt    int64 // when the start was sent.
	confirmedAt    int64 // when the start was answered or the run was first listed; 0 before.
	startExpiresAt int64 // time on the worker's clock after which it does not carry out the start.
	fence          int64 // fencing number of the start, if this owner sent it.
	workerBorn     int64 // start time of the worker's lifetime to whose clock startExpiresAt refers.
	stopAckedAt    int64 // when the stop was answered; 0 before.
	stopSentAt     int64 // when the last stop was sent.
	percent        int
	advancedAt     int64 // when percent last changed.
	listedAt       int64 // when the worker last listed it.
	listedClock    int64 // the worker's clock then; before, its clock when the start was sent.
	gauge          int64
	measuredAt     int64 // when its progress was last counted for its worker's speed; 0 before.
	measured       int   // the progress then, in percent.
	pace           int
	resumed        bool     // it began from a checkpoint.
	evicted        bool     // this owner stopped it to free the worker or to restart the task elsewhere.
	ownStart       bool     // this owner started it.
	reserved       bool     // its task waits, as the start may be carried out late.
	crash          *lostRun // its worker's lifetime has ended, unless the next one lists it; nil otherwise.
}

func (t *task) name() TaskName {
	return TaskName{Job: t.stage.job.ID, Round: t.stage.round.number, Step: t.stage.number, Index: t.index}
}

func (t *task) findRun(n int) *run {
	for _, r := range t.runs {
		if r.number == n {
			return r
		}
	}
	return nil
}

// size returns the resources that a task of s occupies at a worker.
func (s *stage) size() Size {
	if s.Fills {
		return Size{MemMB: s.Step.Size.MemMB, GPU: s.Step.Size.GPU}
	}
	return s.Step.Size
}

// runsOn returns the number of the stage's runs on w.
func (s *stage) runsOn(w *worker) int {
	n := 0
	for _, r := range w.runs {
		if r.task.stage == s {
			n++
		}
	}
	return n
}

// ready reports whether all stages that s depends on are done.
func (s *stage) ready() bool {
	return !slices.ContainsFunc(s.After, func(a int) bool { return s.round.stages[a].tasksLeft > 0 })
}

func (j *job) addRound(number int, due int64) *round {
	r := &round{number: number, dueAt: due, stagesLeft: len(j.Steps)}
	for i, p := range j.Steps {
		s := &stage{Step: p, job: j, round: r, number: i, tasksLeft: p.Count, tasksWaiting: p.Count, tasks: make([]*task, p.Count)}
		for k := range s.tasks {
			s.tasks[k] = &task{stage: s, index: k}
		}
		r.stages = append(r.stages, s)
	}
	j.rounds = append(j.rounds, r)
	return r
}

func (j *job) round(number int) *round {
	for _, r := range j.rounds {
		if r.number == number {
			return r
		}
	}
	return nil
}

// task returns the task with that name, or nil if there is none.
func (m *Model) task(n TaskName) *task {
	j := m.jobs[n.Job]
	if j == nil {
		return nil
	}
	r := j.round(n.Round)
	if r == nil || n.Step >= len(r.stages) || n.Index >= len(r.stages[n.Step].tasks) {
		return nil
	}
	return r.stages[n.Step].tasks[n.Index]
}

// openRounds opens the rounds that are due.
func (m *Model) openRounds() {
	for _, p := range m.pools {
		for _, j := range p.openJobs {
			for j.phase == open && j.nextRound < j.roundCount() && m.roundDue(j) <= m.now && j.hasRoomForRound() {
				m.openRound(j)
			}
		}
	}
}

// openRound opens the next round of j.
func (m *Model) openRound(j *job) *round {
	r := j.addRound(j.nextRound, m.roundDue(j))
	m.setExpectedTimes(r)
	j.nextRound++
	m.pool(j.Service).dirty = true
	return r
}

// listedTask returns the task that a worker's list names, or nil if there is none. A former owner may have opened rounds that are not due
// yet by this owner's clock, or for which this owner has no room because it does not know all ends yet; they are opened now.
func (m *Model) listedTask(n TaskName) *task {
	if j := m.jobs[n.Job]; j != nil && j.loaded && j.phase == open {
		for j.nextRound <= n.Round && j.nextRound < j.roundCount() && j.openTasks() <= maxJobTasks {
			m.openRound(j)
		}
	}
	return m.task(n)
}

// roundCount returns the number of rounds of the job.
func (j *Job) roundCount() int { return max(j.Rounds, 1) }

// hasRoomForRound reports whether another round leaves the job's open rounds within maxJobTasks.
func (j *job) hasRoomForRound() bool { return j.openTasks()+j.tasks() <= maxJobTasks }

// openTasks returns the number of tasks of the rounds that are open and not done.
func (j *job) openTasks() int {
	n := 0
	for _, r := range j.rounds {
		if r.stagesLeft > 0 {
			n += j.tasks()
		}
	}
	return n
}

// setExpectedTimes sets the expected run times of the stages of a round.
func (m *Model) setExpectedTimes(r *round) {
	for i := len(r.stages) - 1; i >= 0; i-- {
		s := r.stages[i]
		s.runMs = m.estimator(s.job.Queue).expectedMs(float64(s.EstimateMs))
		for _, o := range r.stages[i+1:] {
			if slices.Contains(o.After, i) {
				s.chainMs = max(s.chainMs, o.chainMs)
			}
		}
		s.chainMs += s.runMs + m.adviceMs(s.job)
	}
}

// roundDue returns the steady time at which the next round of j is due.
func (m *Model) roundDue(j *job) int64 {
	if j.Rounds == 0 {
		return j.submittedAt
	}
	return j.FirstMs + int64(j.nextRound)*j.EveryMs - m.wallOffset
}

// markChanged records that the progress of j must be written.
func (m *Model) markChanged(j *job) {
	j.version++
	m.commits.addProgress(j)
	m.pool(j.Service).dirty = true
}

// dropRun forgets a run that certainly is not at its worker any more.
func (m *Model) dropRun(r *run) {
	w := r.worker
	i := slices.Index(w.runs, r)
	if i < 0 {
		return
	}
	w.runs = slices.Delete(w.runs, i, i+1)
	w.lastUsedAt = m.now
	if r.state == starting {
		w.unansweredStarts--
	}
	if w.trial == r {
		w.trial = nil
	}
	r.uncountRun()
	w.used = w.used.minus(r.task.stage.size())
	if r.task.stage.Lasting {
		w.lasting = w.lasting.minus(r.task.stage.size())
	}
	r.task.runs = slices.DeleteFunc(r.task.runs, func(o *run) bool { return o == r })
	if len(r.task.runs) == 0 && !r.task.done {
		r.task.stage.tasksWaiting++
	}
	m.pool(w.Service).dirty = true
	m.pool(r.task.stage.job.Service).dirty = true
	m.freeEnded(r.task.stage.job)
}

// attachRun adds a run to its worker and task.
func (m *Model) attachRun(r *run) {
	r.worker.runs = append(r.worker.runs, r)
	if r.state == starting {
		r.worker.unansweredStarts++
	}
	r.countRun()
	r.worker.used = r.worker.used.plus(r.task.stage.size())
	if r.task.stage.Lasting {
		r.worker.lasting = r.worker.lasting.plus(r.task.stage.size())
	}
	r.task.runs = append(r.task.runs, r)
	if len(r.task.runs) == 1 && !r.task.done {
		r.task.stage.tasksWaiting--
	}
	r.task.lastRun = max(r.task.lastRun, r.number)
	r.task.stage.job.started = true
}

// freeEnded frees the tasks of a job that has ended and has no runs left.
func (m *Model) freeEnded(j *job) {
	if j.phase != ended || j.storedVersion < j.version {
		return
	}
	for _, r := range j.rounds {
		for _, s := range r.stages {
			if slices.ContainsFunc(s.tasks, func(t *task) bool { return len(t.runs) > 0 }) {
				return
			}
		}
	}
	j.rounds, j.Steps, j.Spec = nil, nil, ""
}

// runEnded applies the end of a run. unknownToFormer says that no former owner can know of it. It reports whether the
// job's progress changed.
func (m *Model) runEnded(t *task, number int, how EndReason, saved string, unknownToFormer bool) bool {
	j := t.stage.job
	if j.phase == ended || t.done {
		return false
	}
	if saved != "" {
		t.checkpoint = saved
	}
	switch how {
	case EndDone:
		if t.stage.Lasting {
			return false
		}
		t.unknownToFormer = unknownToFormer
		m.taskDone(t)
		if t.stage.tasksLeft == 0 {
			t.stage.markNextStages()
		}
		return true
	case EndFailed:
		return m.taskFailed(t, number)
	}
	return false
}

func (m *Model) taskDone(t *task) {
	s := t.stage
	l := []*task{t}
	if s.Gang {
		l = s.tasks
	}
	for _, o := range l {
		if o.done {
			continue
		}
		o.done = true
		s.tasksLeft--
		if len(o.runs) == 0 {
			s.tasksWaiting--
		}
		for _, r := range o.runs {
			if o != t || !s.Gang {
				m.stopRun(r)
			}
		}
	}
	if s.tasksLeft == 0 {
		s.round.stagesLeft--
	}
	m.checkDone(s.job)
	m.markChanged(s.job)
}

func (m *Model) checkDone(j *job) {
	if j.nextRound < j.roundCount() || slices.ContainsFunc(j.rounds, func(r *round) bool { return r.stagesLeft > 0 }) {
		return
	}
	m.endJob(j, StateCompleted)
}

// endJob ends the job. Callers see the end once it is stored.
func (m *Model) endJob(j *job, s State) {
	j.phase, j.finalState, j.endedAt = ended, s, m.now
	delete(m.pool(j.Service).openJobs, j.ID)
	m.log("job ended", j.ID, "state", string(s), "ageMs", m.now-j.submittedAt, "lateMs", m.now-j.dueAt, "reason", j.reason)
	for _, r := range j.rounds {
		for _, g := range r.stages {
			for _, t := range g.tasks {
				for _, u := range t.runs {
					m.stopRun(u)
				}
			}
		}
	}
}

func (m *Model) taskFailed(t *task, number int) bool {
	if slices.Contains(t.failedRuns, number) {
		return false
	}
	t.failedRuns = append(t.failedRuns, number)
	j := t.stage.job
	if !t.stage.Lasting && j.Attempts > 0 && len(t.failedRuns) >= j.Attempts {
		m.failJob(j, fmt.Sprintf("task %s failed %d times", t.name(), len(t.failedRuns)))
	}
	m.markChanged(j)
	return true
}

// stopRun sends a stop for the run, unless one was sent recently.
func (m *Model) stopRun(r *run) {
	if r.state == stopping && m.now-r.stopSentAt < stopRetryMs {
		return
	}
	if r.state != stopping {
		m.logLastingStop(r)
		r.setState(stopping)
		r.stopAckedAt = 0
	}
	r.stopSentAt = m.now
	m.emit(StopCmd{Worker: r.worker.ID, Addr: r.worker.Addr, Task: r.task.name(), Run: r.number, Fence: r.worker.fence})
}

// logLastingStop logs the first stop of a lasting run, with what the owner knows of the rest of its step.
func (m *Model) logLastingStop(r *run) {
	s := r.task.stage
	if !s.Lasting || s.job.phase == ended {
		return
	}
	m.log("lasting task stopped", s.job.ID, "task", r.task.name().String(), "run", r.number, "worker", r.worker.ID, "evicted", r.evicted,
		"draining", r.worker.Draining, "confirmed", r.confirmedAt > 0, "percent", r.percent, "listedMs", m.now-r.listedAt,
		"away", r.task.othersAway(), "mayMiss", s.MayMiss)
}

// setState changes the run's state.
func (r *run) setState(s runState) {
	if r.state == starting {
		r.worker.unansweredStarts--
	}
	r.state = s
}

// stopUnknown stops a run that belongs to no known task.
func (m *Model) stopUnknown(w *worker, n TaskName, run int) {
	m.log("unknown run stopped", n.Job, "task", n.String(), "run", run, "worker", w.ID, "taskKnown", m.task(n) != nil)
	m.emit(StopCmd{Worker: w.ID, Addr: w.Addr, Task: n, Run: run, Fence: w.fence})
}
