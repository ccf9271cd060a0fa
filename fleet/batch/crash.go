package batch

import (
	"fmt"
	"math"
	"slices"
)

// A task may crash each worker that starts it. The owner counts, for each task, the runs that ended because their worker did. A worker
// that crashes takes all of its tasks along, so the count alone blames the wrong ones: tasks that were started together fail together,
// run after run. Suspected is what had just been started. A suspected task is tried apart from others (see trial.go); if that worker
// crashes, too, the task is to blame. A run that is older counts only if most crashes in its pool happened under its task.

// Limits after which a task is given up. Never are these less than two crashes under which it certainly ran.
const (
	minLostToGiveUp = 2      // crashes under which the task certainly ran.
	maxProven       = 2      // crashes, if one of them leaves no doubt.
	maxBlamed       = 3      // crashes that the task may have caused.
	maxLost         = 4      // crashes under the task, if it is the main cause of its pool's crashes.
	maxLastingLost  = 5      // crashes under a lasting task, which serves others.
	lastingRetryMs  = 30_000 // between the starts of a lasting task that would be given up if it were a short one.
)

// Evidence of crashes.
const (
	crashWindowMs    = 200    // a run that is older than this when its worker crashes has not crashed it by its start.
	mainCauseShare   = 2      // the main cause of crashes has at least one in so many.
	noAnswerMs       = 800    // a worker that does not answer is found silent after this.
	crashMemoryMs    = 15_000 // how long it may turn out that a worker whose lease expired had crashed.
	crashForgetMs    = 10_000 // a run that lasts this long,
	crashForgetShare = 2      // and for this multiple of the age of the lost runs, clears its task.
	leftFactor       = 2      // a run may end in so many times less than the time that its progress leaves it.
	estimateFactor   = 2.5    // a run may take so many times less than expected: estimates are off by e^0.9.
	nearPerLost      = 2      // so many runs that may have ended just before their worker count as one that certainly ended with it.
)

// StoredCrashes are the runs of a task that are connected with crashes of workers, by their numbers.
type StoredCrashes struct {
	Lost   []int `json:"lost,omitempty"`   // ended with their worker.
	Blamed []int `json:"blamed,omitempty"` // those of them that may have crashed it.
	Proven bool  `json:"proven,omitempty"` // one of them was a trial whose worker crashed at once.
	Trials []int `json:"trials,omitempty"` // started apart from other tasks, with an outcome that is not known.
	Unsure int   `json:"unsure,omitempty"` // runs that ended with their worker, or perhaps before.
	Near   int   `json:"near,omitempty"`   // those of them that were seen just before the crash and were near their ends.
	Others int   `json:"others,omitempty"` // crashes in the pool since the first of these that happened without the task.
}

// addLost adds a run that has ended with its worker. It returns false if the run is known.
func (c *StoredCrashes) addLost(number int, blamed bool) bool {
	if slices.Contains(c.Lost, number) {
		return false
	}
	c.Lost = append(c.Lost, number)
	if blamed {
		c.Blamed = append(c.Blamed, number)
	}
	c.endTrial(number)
	return true
}

// endTrial removes a trial whose outcome is known.
func (c *StoredCrashes) endTrial(number int) {
	c.Trials = slices.DeleteFunc(c.Trials, func(n int) bool { return n == number })
}

// exhausted reports whether the task must not be started any more. Trials whose outcome is not known count as crashes once enough
// crashes are certain.
func (c *StoredCrashes) exhausted() bool {
	if c.certain() < minLostToGiveUp {
		return false
	}
	if c.Proven && len(c.Lost) >= maxProven {
		return true
	}
	return len(c.Blamed)+len(c.Trials) >= maxBlamed || c.all()+len(c.Trials) >= maxLost && c.mainCause()
}

// certain returns the number of crashes under which the task certainly ran. That several runs end by themselves just before their worker
// crashes is no coincidence; without Near, a task that crashes its workers at the end of its work would be started for ever.
func (c *StoredCrashes) certain() int { return len(c.Lost) + c.Near/nearPerLost }

// all returns the number of runs that ended with their worker, including those that are not certain to have.
func (c *StoredCrashes) all() int { return len(c.Lost) + c.Unsure }

// mainCause reports whether most crashes in the pool since the first of them happened under the task.
func (c *StoredCrashes) mainCause() bool { return mainCauseShare*c.all() >= c.all()+c.Others }

// crashes is what the owner knows of the crashes under one task.
type crashes struct {
	StoredCrashes
	base  int   // the pool's count of crashes before the first of them.
	ageMs int64 // largest age of a run that its worker's crash ended.

	plannedTrial   int    // number of the next run, if it is to be a trial and has not begun; 0 otherwise.
	trialVersion   int    // version of the progress record that names the planned trial.
	trialPlannedAt int64  // when the record was changed.
	trialWorkerID  string // worker that was chosen for the planned trial.
	trialWantedAt  int64  // since when the task waits for a trial; 0 if it does not.
}

// noCrashes stands for the crashes of a task under which no worker has crashed. It is never changed.
var noCrashes = &crashes{}

// crashesOrNone returns what is known of crashes under t, for reading.
func (t *task) crashesOrNone() *crashes {
	if t.crashes == nil {
		return noCrashes
	}
	return t.crashes
}

// lostRun is what is known of a run when its worker's lifetime, or its lease, has ended.
type lostRun struct {
	task   *task
	number int
	worker string
	active bool  // it certainly ran when the worker crashed.
	near   bool  // it was seen just before, and may have ended since.
	blamed bool  // the run may have crashed the worker.
	proven bool  // it was a trial that the worker had confirmed, and the worker crashed at once.
	beside bool  // another run has certainly crashed the worker.
	served bool  // it is a lasting run that had started up: it must be restarted, however it ends.
	ageMs  int64 // age of the run when the worker was last heard of.
	at     int64
}

// lostNow describes r as a run that is lost now.
func (r *run) lostNow(now int64) *lostRun {
	return &lostRun{
		task: r.task, number: r.number, worker: r.worker.ID, active: r.wasActive(now), near: r.seenBeforeCrash(now), blamed: r.mayHaveCrashed(now), proven: r.confirmedAt > 0 && r.crashedAtOnce(now),
		served: r.task.stage.Lasting && r.percent >= fullPercent,
		ageMs:  r.worker.heardAt - r.startSentAt, at: now,
	}
}

// markCrashed records that w's lifetime has ended by a crash, and which of its runs may have caused it.
func (m *Model) markCrashed(w *worker, cause string) {
	p := m.pool(w.Service)
	p.crashCount++
	suspects, proven := 0, false
	for _, r := range w.runs {
		r.crash = r.lostNow(m.now)
		proven = proven || r.crash.proven
		if r.crash.blamed && !r.crash.served {
			suspects++
		}
	}
	for _, r := range w.runs {
		r.crash.beside = proven && !r.crash.proven
	}
	if len(w.runs)+len(w.lostRuns) > 0 {
		m.log("worker crashed", "", "worker", w.ID, "cause", cause, "runs", len(w.runs), "suspects", suspects, "lapsed", len(w.lostRuns), "silentMs", w.silentMs(m.now))
	}
	if w.trial != nil && w.trial.crash.blamed {
		p.trialCrashes = append(p.trialCrashes, m.now)
	}
	l := w.lostRuns
	w.lostRuns = nil
	for _, x := range l {
		m.chargeCrash(x.task, x)
	}
}

// mayHaveCrashed reports whether r may have crashed its worker, which was alive at heardAt and was found silent later: it had
// just been started, or it was a trial. A trial that was older counts only if its task is the main cause.
func (r *run) mayHaveCrashed(now int64) bool {
	w := r.worker
	if w.heardAt < r.startSentAt-heardWithinMs {
		return false // it may have crashed before.
	}
	least, most := w.heardAt-r.startSentAt, w.silentFrom(now)-r.startSentAt
	switch {
	case w.trial != r:
		return r.confirmedAt > 0 && most < crashWindowMs
	case least < crashWindowMs:
		return most < crashWindowMs+noAnswerMs
	}
	return r.task.crashesOrNone().mainCause() && most < r.task.trialMs()+noAnswerMs
}

// crashedAtOnce reports whether r was a trial whose worker was alive shortly before the start and had crashed shortly after it.
func (r *run) crashedAtOnce(now int64) bool {
	w := r.worker
	return w.trial == r && w.heardAt >= r.startSentAt-heardWithinMs && w.silentFrom(now)-r.startSentAt < crashWindowMs
}

// silentFrom returns the time from which w has not answered, which is now if its lifetime has ended before that was noticed.
func (w *worker) silentFrom(now int64) int64 {
	if w.silentSince == 0 {
		return now
	}
	return w.silentSince
}

// wasActive reports whether r certainly ran when its worker crashed: it was seen just before, and still needed more time than has passed
// until the worker was found silent. A worker that crashes takes the list of its ended runs along, so a run that was seen and then ended
// leaves the same trace as one that was cut off.
func (r *run) wasActive(now int64) bool {
	return r.seenBeforeCrash(now) && float64(r.unseenMs(now)) < r.leastLeftMs() || r.crashedAtOnce(now)
}

// seenBeforeCrash reports whether r ran shortly before its worker was found silent.
func (r *run) seenBeforeCrash(now int64) bool {
	return r.lastSeenAt() > 0 && r.unseenMs(now) < crashWindowMs
}

// lastSeenAt returns when r was last known to run; 0 if it never was.
func (r *run) lastSeenAt() int64 { return max(r.confirmedAt, r.listedAt) }

// unseenMs returns the time from when r was last known to run until its worker was found silent.
func (r *run) unseenMs(now int64) int64 { return r.worker.silentFrom(now) - r.lastSeenAt() }

// leastLeftMs returns the least time in ms that r still needed when it was last seen: by its progress or, without any, by the expected run
// time. The progress of a run that fills gaps or began from a checkpoint does not tell how fast it goes on.
func (r *run) leastLeftMs() float64 {
	s, age := r.task.stage, float64(r.lastSeenAt()-r.confirmedAt)
	switch {
	case s.Lasting:
		return math.Inf(1)
	case s.Fills || r.resumed:
		return 0
	case r.percent == 0:
		return s.runMs/estimateFactor - age
	}
	return age * float64(fullPercent-r.percent) / float64(r.percent) / leftFactor
}

// dropCrashed drops a run that ended with its worker.
func (m *Model) dropCrashed(r *run) {
	m.logLost("run lost", r)
	m.dropRun(r)
	m.chargeCrash(r.task, r.crash)
}

// chargeCrash counts a run that ended with its worker, and gives the task up if there were too many.
func (m *Model) chargeCrash(t *task, l *lostRun) {
	j, p := t.stage.job, m.pool(t.stage.job.Service)
	if j.phase != open || t.done || l.beside {
		t.endTrial(l.number)
		return
	}
	if l.served {
		t.crashes = nil
		return
	}
	if t.crashes == nil {
		t.crashes = &crashes{base: p.crashCount - 1}
	}
	c := t.crashes
	if !l.active {
		c.Unsure++ // a trial stays one with an unknown outcome.
		if l.near {
			c.Near++
		}
	} else if !c.addLost(l.number, l.blamed) {
		return
	}
	c.Proven = c.Proven || l.proven
	if l.ageMs >= crashWindowMs {
		c.ageMs = max(c.ageMs, l.ageMs)
	}
	c.Others = max(p.crashCount-c.base-c.all(), 0)
	m.markChanged(j)
	if l.blamed {
		m.log("task suspected", j.ID, "task", t.name().String(), "run", l.number, "worker", l.worker, "lost", len(c.Lost), "blamed", len(c.Blamed))
	}
	if t.exhausted() {
		m.giveUp(t)
	} else if t.stage.Lasting && len(c.Blamed) >= maxBlamed {
		t.notBefore = m.now + lastingRetryMs
	}
}

// exhausted reports whether t must not be started any more because workers crashed under it. All tasks of a gang start together, so
// their crashes count together.
func (t *task) exhausted() bool {
	if t.stage.Lasting {
		c := t.crashesOrNone()
		return c.all()+len(t.openTrials()) >= maxLastingLost && len(c.Blamed) >= maxBlamed
	}
	l := []*task{t}
	if t.stage.Gang {
		l = t.stage.tasks
	}
	var c StoredCrashes
	for _, o := range l {
		x := o.crashesOrNone()
		c.Others, c.Unsure, c.Near, c.Proven = max(c.Others, x.Others), max(c.Unsure, x.Unsure), max(c.Near, x.Near), c.Proven || x.Proven
		c.Lost, c.Blamed, c.Trials = append(c.Lost, x.Lost...), append(c.Blamed, x.Blamed...), append(c.Trials, o.openTrials()...)
	}
	for _, l := range []*[]int{&c.Lost, &c.Blamed, &c.Trials} {
		slices.Sort(*l)
		*l = slices.Compact(*l)
	}
	return c.exhausted()
}

// openTrials returns the trials whose outcome is not known and that do not run as far as is known.
func (t *task) openTrials() []int {
	var l []int
	c := t.crashesOrNone()
	for _, n := range c.Trials {
		if n != c.plannedTrial && t.findRun(n) == nil {
			l = append(l, n)
		}
	}
	return l
}

// giveUp ends the job of a task that crashes its workers. A lasting job goes on with its other tasks, which serve their users.
func (m *Model) giveUp(t *task) {
	j := t.stage.job
	if t.givenUp || j.phase != open {
		return
	}
	t.givenUp = true
	m.log("task given up", j.ID, "task", t.name().String(), "lost", len(t.crashesOrNone().Lost), "blamed", len(t.crashesOrNone().Blamed),
		"lasting", t.stage.Lasting)
	if !t.stage.Lasting {
		m.failJob(j, fmt.Sprintf("task %s crashed its workers: %d runs ended with one", t.name(), len(t.crashesOrNone().Lost)))
		m.markChanged(j)
	}
}

// failJob ends a job as failed.
func (m *Model) failJob(j *job, reason string) {
	j.reason = reason
	m.endJob(j, StateFailed)
}

// clearProven ends the trial of a run that has lasted, and the suspicion against its task once it has lasted for long.
func (m *Model) clearProven(r *run) {
	t := r.task
	if t.crashes == nil || r.state != running {
		return
	}
	age := r.listedAt - r.confirmedAt
	if age >= t.trialMs() {
		m.endTrial(r)
	}
	if age >= max(crashForgetMs, crashForgetShare*t.crashes.ageMs) {
		t.crashes = nil
		m.markChanged(t.stage.job)
	}
}

// keepLostRun remembers a run of a worker whose lease has expired: the worker may have crashed or only been cut off.
func (m *Model) keepLostRun(r *run) {
	r.worker.lostRuns = append(r.worker.lostRuns, r.lostNow(m.now))
}

// hasRecentLostRuns reports whether it may still turn out that runs ended by a crash of w.
func (w *worker) hasRecentLostRuns(now int64) bool {
	return slices.ContainsFunc(w.lostRuns, func(l *lostRun) bool { return now-l.at < crashMemoryMs })
}
