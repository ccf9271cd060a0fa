package batch

import (
	"cmp"
	"slices"
)

// Workers that fail what they start.
const (
	strikesAside = 3     // failures in a row, of different jobs, after which a worker is set aside.
	asideMs      = 2_000 // first time aside; it doubles with each further failure.
	maxAsideMs   = 16_000
	learnRate    = 0.1 // weight of one run in what is learned.
)

// worker is one lifetime of a worker.
type worker struct {
	Entry
	rack   string
	listed bool // the list has its entry.
	over   bool // the lifetime has certainly ended.
	left   bool // its machine was moved or maintained.

	runs     []*run // in the order of their starts.
	used     Size
	starting int // runs whose start has not been answered.

	clock   int64 // the worker's clock, at least, at clockAt.
	clockAt int64
	until   int64 // on its clock: the latest end of a lease that any order asked for.
	seen    int64 // the last end that the worker was told may be forgotten.
	acked   int64 // the last end that it is known to have forgotten.
	heard   int64 // the last end that was taken in.
	marks   []mark

	holding bool
	heldAt  int64 // when the look that is under way was asked for.
	holdAt  int64 // when to look again.
	gapAt   int64 // not before: ends that come soon after one another are read together.
	hasty   bool  // look at once.
	silent  int64 // since when it has not answered; 0 while it does.
	synced  bool  // its lists have been read under this owner's fence.
	barred  int64 // no starts before.

	strikes  int
	struckBy []string
	aside    int64 // set aside until then.
	asideFor int64
	pacedAt  int64
	usedAt   int64 // when it last ran something.
	lifeAt   int64 // when its lifetime was first heard of.
	cordoned bool  // a duty is about to empty it.
	slow     float64
}

// mark is an end that may be forgotten once the store has the job's progress up to version.
type mark struct {
	number  int64
	job     *job
	version int
}

// rackLabel is the position of the rack in a worker's labels, after its kind.
const rackLabel = 1

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

func (m *Model) setWorker(e Entry) {
	w := m.workers[e.ID]
	if w == nil {
		w = &worker{slow: 1, Entry: Entry{ID: e.ID}, usedAt: m.now, lifeAt: m.now}
		m.workers[e.ID] = w
		m.list = append(m.list, w)
		slices.SortFunc(m.list, byID)
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
	w.Entry, w.listed, w.over = e, !w.left, w.left
	w.Born = max(born, e.Born)
	w.rack = ""
	if len(e.Labels) > rackLabel {
		w.rack = e.Labels[rackLabel]
	}
	if (e.Born == 0 || e.Born == w.Born) && w.clockAt == 0 {
		w.clock, w.clockAt = e.ClockMs, m.now
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
	m.leavePool(w)
	delete(m.workers, w.ID)
	m.list = slices.DeleteFunc(m.list, func(o *worker) bool { return o == w })
}

// restart begins a new lifetime under the same id, whose counts begin anew. Its next list tells which runs are gone: a start
// may have reached the new lifetime already.
func (m *Model) restart(w *worker, born int64) {
	m.log("worker restarted", "", "worker", w.ID, "runs", len(w.runs))
	w.Born, w.seen, w.acked, w.heard, w.marks = born, 0, 0, 0, nil
	w.clock, w.clockAt, w.until = 0, m.now, max(m.cfg.LeaseMs, leaseMs)
	w.strikes, w.struckBy, w.aside, w.asideFor, w.slow = 0, nil, 0, 0, 1
	w.holdAt, w.hasty, w.lifeAt = 0, true, m.now
}

// all returns a copy of the worker's runs, which may change while it is gone through.
func (w *worker) all() []*run { return slices.Clone(w.runs) }

// takeEnds takes in the listed ends that are new.
func (m *Model) takeEnds(w *worker, g HeldMsg, first bool) {
	for _, e := range g.Ended {
		if e.Number <= w.heard {
			continue
		}
		w.heard = e.Number
		t := m.task(e.Task)
		if t == nil {
			continue
		}
		r := t.find(e.Run)
		if r != nil && r.worker != w {
			r = nil
		}
		if r == nil && !first {
			continue // an earlier run that was given up long ago.
		}
		if r != nil {
			m.learn(w, r, e.How)
			m.drop(r)
		} else if len(t.runs) > 0 && e.How != Done && e.How != Failed {
			continue
		}
		if r != nil && e.How != Done && !r.evicted {
			m.log("run ended", e.Task.Job, "task", e.Task.String(), "run", e.Run, "how", string(e.How), "worker", w.ID)
		}
		t.last = max(t.last, e.Run)
		t.stage.job.started = true
		t.ours = t.ours || r != nil && r.unknownToFormer()
		if m.runEnded(t, e.Run, e.How, e.Saved, r != nil && r.unknownToFormer()) || t.stage.job.version > t.stage.job.stored {
			w.marks = append(w.marks, mark{number: e.Number, job: t.stage.job, version: t.stage.job.version})
		}
		m.pool(t.stage.job.Service).dirty = true
	}
}

// takeRunning takes in what runs, stops what should not, and misses what is neither running nor ended.
func (m *Model) takeRunning(w *worker, g HeldMsg, first bool) {
	at := make(map[*run]bool, len(g.Running))
	for _, e := range g.Running {
		t := m.task(e.Task)
		var r *run
		if t != nil {
			r = t.find(e.Run)
		}
		if r != nil && r.worker != w {
			r = nil
		}
		if r == nil && first {
			r = m.adopt(w, t, e)
		}
		if r == nil {
			m.stopUnknown(w, e.Task, e.Run)
			continue
		}
		at[r] = true
		m.listRun(r, e)
	}
	if g.ListFull {
		return
	}
	for _, r := range w.all() {
		if !at[r] {
			m.missing(r, g)
		}
	}
}

// adopt takes over a run of a former owner.
func (m *Model) adopt(w *worker, t *task, e Running) *run {
	if t == nil || t.done || t.stage.job.phase != open || (len(t.runs) > 0 && !t.stage.Copies) {
		return nil
	}
	r := &run{task: t, number: e.Run, worker: w, state: running, asked: m.now, known: m.now, moved: m.now, pace: fullPace}
	m.attach(r)
	return r
}

// fullPace is the pace of a task that is not held back, in percent.
const fullPace = 100

// listRun takes in what a worker says of a run.
func (m *Model) listRun(r *run, e Running) {
	if r.known == 0 {
		r.known, r.moved = m.now, m.now
	}
	if r.state == starting || r.state == unsure {
		r.become(running)
	}
	r.listed = m.now
	if e.Percent != r.percent {
		r.percent, r.moved = e.Percent, m.now
	}
	r.gauge = e.Gauge
	if e.Saved != "" {
		r.task.saved = e.Saved
	}
	if r.state == stopping || r.task.done || r.task.stage.job.phase == ended {
		m.stop(r)
	}
}

// missing takes in that a list does not name the run.
func (m *Model) missing(r *run, g HeldMsg) {
	switch {
	case r.state == running && r.known > 0 && g.Sent > r.known,
		r.state == stopping && r.stopped > 0 && g.Sent > r.stopped,
		r.state != starting && r.known == 0 && g.ClockMs > r.until && r.worker.Born == r.born:
		m.log("run missing", r.task.stage.job.ID, "task", r.task.name().String(), "run", r.number, "worker", r.worker.ID)
		m.drop(r)
	case r.state == unsure:
		m.stop(r)
	}
}

// watchWorkers repeats stops that have not been answered.
func (m *Model) watchWorkers() {
	for _, w := range m.list {
		for _, r := range w.runs {
			switch {
			case r.state == stopping && m.now-r.stopAt >= stopRetryMs && w.silent == 0:
				m.stop(r)
			case r.state == starting && m.now-r.asked >= overdueMs:
				m.log("start overdue", r.task.stage.job.ID, "task", r.task.name().String(), "run", r.number, "worker", w.ID, "sinceMs", m.now-r.asked)
				m.startUnsure(r)
			}
		}
	}
	m.stopStuck()
	m.copyLaggards()
}

// learn takes in how long a run took and whether its worker fails what it starts.
func (m *Model) learn(w *worker, r *run, how How) {
	switch how {
	case Done:
		w.strikes, w.struckBy, w.asideFor = 0, nil, 0
		m.learnTime(w, r)
	case Failed:
		if id := r.task.stage.job.ID; !slices.Contains(w.struckBy, id) {
			w.struckBy = append(w.struckBy, id)
			w.strikes++
		}
		if !slices.Contains(r.task.avoid, w.ID) {
			r.task.avoid = append(r.task.avoid, w.ID)
		}
		if w.strikes >= strikesAside {
			w.asideFor = min(max(2*w.asideFor, asideMs), maxAsideMs)
			w.aside = m.now + w.asideFor
			m.log("worker set aside", "", "worker", w.ID, "failures", w.strikes, "forMs", w.asideFor)
		}
	}
}
