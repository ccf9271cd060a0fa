package batch

import (
	"cmp"
	"maps"
	"slices"
)

// Placement.
const (
	placeIntervalMs     = 4     // between two placements of a pool: what comes meanwhile is placed together.
	remoteDataCost      = 4.0   // load by which a worker away from the data counts as fuller.
	slowWorkerCost      = 0.5   // load for each multiple of the usual run time that a worker takes.
	avoidedWorkerCost   = 2.0   // load of a worker on which the task failed or was lost.
	maxUnansweredStarts = 24    // starts that one worker has unanswered at a time.
	minStuckMs          = 1_500 // a task that has not advanced for so long, and for several times its run time, is started elsewhere.
	stuckFactor         = 2.5
)

// placeAll places the waiting tasks of every pool in which something has changed.
func (m *Model) placeAll() {
	m.placementPending = false
	for _, n := range sortedKeys(m.pools) {
		p := m.pools[n]
		if !p.dirty {
			continue
		}
		if m.now-p.placedAt < placeIntervalMs {
			m.placementPending = true
			continue
		}
		p.dirty, p.placedAt = false, m.now
		m.place(p)
	}
}

// place starts the waiting tasks of the pool in the order of their jobs; a task that does not fit keeps the emptiest worker for itself.
func (m *Model) place(p *pool) {
	l := m.readyStages(p)
	held := map[*worker]bool{}
	for _, s := range l {
		if len(held) >= len(p.workers) {
			return // all room is spoken for.
		}
		if s.Gang {
			m.placeGang(p, s, held)
			continue
		}
		for _, t := range s.tasks {
			if !m.mayStart(t) {
				continue
			}
			w := m.chooseWorker(p, t, held)
			if w == nil {
				if k := m.emptiest(p, s, held, nil); k != nil {
					held[k] = true
					m.preempt(k, s)
				}
				break
			}
			m.startRun(t, w, t.lastRun+1)
		}
	}
}

// readyStages returns the stages with tasks to start, those to be served first at the front, and sums up the backlog.
func (m *Model) readyStages(p *pool) []*stage {
	l := p.readyStages[:0]
	backlog := int64(0)
	for _, j := range p.openJobs {
		if j.phase != open {
			continue
		}
		for _, r := range j.rounds {
			for _, s := range r.stages {
				if s.tasksLeft == 0 {
					continue
				}
				if !s.Lasting && !m.waitsForFormer(s) {
					backlog += int64(s.tasksLeft) * s.Step.Size.CPU * int64(s.runMs)
				}
				if s.tasksWaiting > 0 && s.ready() {
					s.rank = m.rankOf(s)
					l = append(l, s)
				}
			}
		}
	}
	slices.SortFunc(l, compareStages)
	p.readyStages, p.backlog = l, float64(backlog)
	return l
}

// rank is the place of a stage in the order of service: lasting tasks first, then what can still be on time by priority and due
// time, then what is late.
type rank struct {
	class int
	late  bool
	due   int64
}

func (m *Model) rankOf(s *stage) rank {
	r := rank{class: priorityClass(s), due: m.dueTime(s)}
	r.late = !s.Lasting && m.now+int64(s.chainMs) > r.due
	return r
}

func compareStages(a, b *stage) int {
	if c := cmp.Compare(a.rank.class, b.rank.class); c != 0 {
		return c
	}
	if a.rank.late != b.rank.late {
		if b.rank.late {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(a.job.Priority, b.job.Priority),
		cmp.Compare(a.rank.due, b.rank.due),
		cmp.Compare(a.job.ID, b.job.ID),
		cmp.Compare(a.number, b.number),
	)
}

func priorityClass(s *stage) int {
	switch {
	case s.Lasting && !s.Fills:
		return 0
	case s.Lasting:
		return 2
	}
	return 1
}

func (m *Model) dueTime(s *stage) int64 {
	if s.job.Rounds > 0 {
		return s.round.dueAt + s.job.dueAt - s.job.submittedAt
	}
	return s.job.dueAt
}

// mayStart reports whether t may be started now.
func (m *Model) mayStart(t *task) bool {
	if t.done || len(t.runs) > 0 || t.notBefore > m.now {
		return false
	}
	return t.noFormerRuns || !m.waitsForFormer(t.stage)
}

// waitsForFormer reports whether a former owner may have started tasks of s at a worker that has not been read yet.
func (m *Model) waitsForFormer(s *stage) bool {
	return s.job.loaded && !s.noFormerRuns && m.now < m.blindUntil && (m.workersUnlisted(s.job.Service) || m.workersUnread(s.job.Service))
}

// workersUnlisted reports whether a machine of the pool may have a worker that is not listed: its entry lapses while it does not reach the
// store, and it goes on with what a former owner gives it.
func (m *Model) workersUnlisted(service string) bool {
	return m.fleet.listReadAt == 0 || m.pool(service).counts.unlisted > 0
}

// workersUnread reports whether a worker that a former owner used has not told what it runs.
func (m *Model) workersUnread(service string) bool {
	return slices.ContainsFunc(m.pool(service).workers, func(w *worker) bool { return !w.synced && !w.dead })
}

// eligible reports whether w may be given a task of s at all.
func (m *Model) eligible(w *worker, s *stage) bool {
	switch {
	case !w.listed, w.dead, !w.synced, w.silentSince != 0, w.Draining, w.cordoned, m.now < w.noStartsBefore, m.now < w.quarantinedUntil:
		return false
	case !m.claimFresh && w.lifetimeKnownAt > m.soleOwnerUntil:
		return false // it may have restarted since a successor fenced it: nothing would keep this owner off.
	case s.Label != "" && !slices.Contains(w.Labels, s.Label):
		return false
	case s.PerWorker > 0 && s.runsOn(w) >= s.PerWorker:
		return false
	}
	return m.hasTicket(w, s) && w.unansweredStarts < maxUnansweredStarts
}

// freeRoom is what is free at w.
func (w *worker) freeRoom() Size { return w.Room.minus(w.used) }

// chooseWorker returns the worker for t, nil when none has room.
func (m *Model) chooseWorker(p *pool, t *task, held map[*worker]bool) *worker {
	var best *worker
	low := 0.0
	s := t.stage
	size := s.size()
	for _, w := range p.workers {
		if held[w] || !size.Fits(w.freeRoom()) || !m.eligible(w, s) {
			continue
		}
		if c := m.cost(w, t); best == nil || c < low {
			best, low = w, c
		}
	}
	return best
}

// cost weighs what speaks against w for t. Short tasks go where most room is taken, so that other workers become empty and can be
// moved; lasting ones go where least is taken.
func (m *Model) cost(w *worker, t *task) float64 {
	s := t.stage
	c := slowWorkerCost * max(w.slowdown-1, 0)
	if s.Lasting {
		c += loadShare(w.used.plus(s.Step.Size), w.Room)
	} else {
		c -= loadShare(w.used, w.Room)
	}
	if s.DataRack != "" && s.DataRack != w.rack {
		c += remoteDataCost
	}
	if slices.Contains(t.avoidWorkers, w.ID) {
		c += avoidedWorkerCost
	}
	if s.Lasting {
		c += float64(s.runsInRack(w.rack)) / float64(s.Count)
	}
	return c
}

// runsInRack returns the number of the stage's runs in the rack.
func (s *stage) runsInRack(rack string) int {
	n := 0
	for _, t := range s.tasks {
		for _, r := range t.runs {
			if r.worker.rack == rack {
				n++
			}
		}
	}
	return n
}

func loadShare(used, room Size) float64 {
	return max(ratio(used.CPU, room.CPU), ratio(used.MemMB, room.MemMB), ratio(used.GPU, room.GPU))
}

func ratio(a, b int64) float64 {
	if b <= 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// emptiest returns the worker with the most free CPU that gets room for a task of s, beside extra, once its short tasks have ended.
func (m *Model) emptiest(p *pool, s *stage, held map[*worker]bool, extra map[*worker]Size) *worker {
	var best *worker
	for _, w := range p.workers {
		if held[w] || !s.size().Fits(w.roomOnceEmptied().minus(extra[w])) || !m.eligible(w, s) {
			continue
		}
		if best == nil || w.freeRoom().minus(extra[w]).CPU > best.freeRoom().minus(extra[best]).CPU {
			best = w
		}
	}
	return best
}

// roomOnceEmptied is what is free at w when all but lasting tasks have ended.
func (w *worker) roomOnceEmptied() Size {
	free := w.Room
	for _, r := range w.runs {
		if r.task.stage.Lasting {
			free = free.minus(r.task.stage.size())
		}
	}
	return free
}

// startRun starts run n of t at w.
func (m *Model) startRun(t *task, w *worker, n int) {
	r := &run{task: t, number: n, worker: w, startSentAt: m.now, pace: fullPace, workerBorn: w.Born, resumed: t.checkpoint != "", ownStart: true}
	r.startExpiresAt = m.workerClock(w) + startExpiryMs
	w.leaseUntil = max(w.leaseUntil, r.startExpiresAt)
	if j := t.stage.job; !j.started {
		m.log("job started", j.ID, "queue", j.Queue, "waitMs", m.now-j.submittedAt, "leftMs", j.dueAt-m.now, "worker", w.ID)
	}
	if t.stage.Lasting {
		m.log("lasting task placed", t.stage.job.ID, "task", t.name().String(), "run", n, "worker", w.ID, "rack", w.rack)
	}
	m.attachRun(r)
	m.emit(StartCmd{
		Worker: w.ID, Addr: w.Addr, Task: t.name(), Run: n, Spec: t.stage.job.Spec, UntilMs: r.startExpiresAt,
		Fence: m.cfg.Fence, Saved: t.checkpoint, Ticket: t.stage.ticket(w, m.now),
	})
}

// placeGang starts all tasks of s together, or none.
func (m *Model) placeGang(p *pool, s *stage, held map[*worker]bool) {
	for _, t := range s.tasks {
		if !m.mayStart(t) {
			return
		}
	}
	at := m.gangWorkers(p, s, held, "")
	if s.SameRack {
		at = m.gangInRack(p, s, held, at)
	}
	if at == nil {
		m.reserveForGang(p, s, held)
		return
	}
	n := 0
	for _, t := range s.tasks {
		n = max(n, t.lastRun)
	}
	saved := s.tasks[0].checkpoint
	for i, t := range s.tasks {
		t.checkpoint = saved
		m.startRun(t, at[i], n+1)
	}
}

// reserveForGang keeps the emptiest workers on which all tasks of s fit, unless even these are too few.
func (m *Model) reserveForGang(p *pool, s *stage, held map[*worker]bool) {
	extra, count := map[*worker]Size{}, map[*worker]int{}
	full := maps.Clone(held)
	for range s.tasks {
		w := m.emptiest(p, s, full, extra)
		if w == nil {
			return
		}
		extra[w] = extra[w].plus(s.size())
		count[w]++
		full[w] = s.PerWorker > 0 && s.runsOn(w)+count[w] >= s.PerWorker
	}
	for w := range extra {
		held[w] = true
	}
}

// gangInRack prefers workers of one rack.
func (m *Model) gangInRack(p *pool, s *stage, held map[*worker]bool, spread []*worker) []*worker {
	var racks []string
	for _, w := range p.workers {
		if !slices.Contains(racks, w.rack) {
			racks = append(racks, w.rack)
		}
	}
	for _, r := range racks {
		if l := m.gangWorkers(p, s, held, r); l != nil {
			return l
		}
	}
	return spread
}

// gangWorkers returns a worker for each task of s, nil when they do not all fit; rack bounds the choice unless it is empty.
func (m *Model) gangWorkers(p *pool, s *stage, held map[*worker]bool, rack string) []*worker {
	var l []*worker
	extra, size := map[*worker]Size{}, s.size()
	count := map[*worker]int{}
	for range s.tasks {
		var best *worker
		for _, w := range p.workers {
			if held[w] || (rack != "" && w.rack != rack) || !m.eligible(w, s) || !size.Fits(w.freeRoom().minus(extra[w])) {
				continue
			}
			if s.PerWorker > 0 && s.runsOn(w)+count[w] >= s.PerWorker {
				continue
			}
			if best == nil || w.freeRoom().minus(extra[w]).CPU > best.freeRoom().minus(extra[best]).CPU {
				best = w
			}
		}
		if best == nil {
			return nil
		}
		extra[best] = extra[best].plus(size)
		count[best]++
		l = append(l, best)
	}
	return l
}

// stopStuck stops tasks that do not advance, so that they are started elsewhere.
func (m *Model) stopStuck() {
	for _, n := range sortedKeys(m.pools) {
		for _, w := range m.pools[n].workers {
			for _, r := range w.runs {
				if m.stuck(r) {
					t := r.task
					m.log("run stuck", t.stage.job.ID, "task", t.name().String(), "run", r.number, "worker", w.ID, "percent", r.percent, "sinceMs", m.now-r.advancedAt)
					t.avoidWorkers = append(t.avoidWorkers, w.ID)
					w.slowdown = max(w.slowdown, stuckFactor)
					r.evicted = true
					m.stopRun(r)
				}
			}
		}
	}
}

func (m *Model) stuck(r *run) bool {
	s := r.task.stage
	if r.state != running || s.Lasting || s.Gang || r.worker.silentSince != 0 {
		return false
	}
	limit := max(minStuckMs, int64(stuckFactor*s.runMs))
	return r.listedAt-r.advancedAt > limit && r.percent < 100
}
