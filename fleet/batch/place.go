package batch

import (
	"cmp"
	"slices"
)

// Placement of tasks on workers. Costs are in units of a worker's load: 1 is a full worker.
const (
	placeIntervalMs     = 4     // ms between two placements of a pool; changes in between are handled together.
	remoteDataCost      = 4.0   // cost of a worker outside the rack that holds the data.
	slowWorkerCost      = 0.5   // cost per multiple of the expected run time that the worker takes beyond the first.
	avoidedWorkerCost   = 2.0   // cost of a worker on which the task failed or was lost.
	maxUnansweredStarts = 24    // most unanswered starts at one worker.
	minStuckMs          = 1_500 // ms; a task without progress for this long, and for stuckFactor times its run time, is restarted elsewhere.
	stuckFactor         = 2.5
	slowestTaskFactor   = 1.2 // a step ends with its slowest task, which takes about this multiple of the expected run time.
)

// placeAll places the waiting tasks of every pool that has changed.
func (m *Model) placeAll() {
	m.placementPending = false
	m.updateRunsKnown()
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

// place starts the waiting tasks of the pool in service order. A task that does not fit reserves the emptiest worker.
func (m *Model) place(p *pool) {
	l := m.readyStages(p)
	if len(l) == 0 {
		return
	}
	c := m.newCandidates(p)
	c.keepPromises(l)
	for _, s := range l {
		if c.finished() {
			return
		}
		if s.Gang {
			m.placeGang(c, s)
			continue
		}
		for _, t := range s.tasks {
			if !m.mayStart(t) {
				continue
			}
			if !m.teamAllows(s) {
				break // the others follow once the team has room.
			}
			if w, bound := m.boundTo(t); bound {
				t.boundSince = cmp.Or(t.boundSince, m.now)
				m.placeBound(c, t, w)
				continue
			}
			if t.suspected() && m.placeSuspect(c, t) {
				continue
			}
			w := c.choose(t)
			if w == nil {
				w = c.backfill(t)
			}
			if w == nil {
				w = c.chooseSlow(t)
			}
			if w == nil {
				m.wantAdvice(s)
				if k := c.reserveFor(s); k != nil {
					m.preempt(k, s)
				}
				break
			}
			m.startRun(t, w, t.lastRun+1)
			c.started(s, w)
		}
	}
}

// readyStages returns the stages that have tasks to start, in service order, and updates the backlog.
func (m *Model) readyStages(p *pool) []*stage {
	l := p.readyStages[:0]
	backlog := int64(0)
	m.clearHeads(p)
	for _, j := range p.openJobs {
		if j.phase != open {
			continue
		}
		for _, r := range j.rounds {
			if r.dueAt > m.now {
				continue // a former owner whose clock was ahead has opened it.
			}
			for _, s := range r.stages {
				if s.tasksLeft == 0 {
					continue
				}
				if !s.Lasting && !m.waitsForFormer(s) {
					work := int64(s.tasksLeft) * s.Step.Size.CPU * int64(s.runMs)
					if !j.use.addPoolWork(s, work) {
						backlog += work
					}
				}
				if s.tasksWaiting > 0 && s.ready() {
					s.rank = m.rankOf(s)
					if m.limitAllows(s) {
						l = append(l, s)
					}
				}
			}
		}
	}
	slices.SortFunc(l, compareStages)
	p.readyStages = l
	m.setBacklog(p, backlog)
	return l
}

// rank is the position of a stage in service order: lasting tasks first, then what can still be on time, by priority
// and due time, then what is late. Lasting tasks that fill come last. In overload, a job that has not started is late
// once it cannot end in time; one that has started keeps its place until it is due.
type rank struct {
	class int
	late  bool
	due   int64
}

func (m *Model) rankOf(s *stage) rank {
	r := rank{class: priorityClass(s), due: m.dueTime(s)}
	left := int64(slowestTaskFactor * s.chainMs)
	if s.job.started {
		left = 0 // what it has used would be lost for the jobs that come after it.
	}
	r.late = !s.Lasting && m.now+left > r.due
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
	if t.done || t.givenUp || len(t.runs) > 0 || t.notBefore > m.now || t.strays > 0 && !t.stage.Copies {
		return false
	}
	return t.noFormerRuns || !m.waitsForFormer(t.stage)
}

// waitsForFormer reports whether a former owner may have started tasks of s at a worker whose lists have not been read
// yet.
func (m *Model) waitsForFormer(s *stage) bool {
	return s.job.loaded && !s.noFormerRuns && (m.blind() && m.workersUnlisted(s.job.Service) || m.workersUnread(s.job.Service))
}

// workersUnlisted reports whether a machine of the pool may have a worker that is not listed. A worker's entry lapses
// while it cannot reach the store, and the worker still carries out a former owner's commands.
func (m *Model) workersUnlisted(service string) bool {
	return !m.fleet.listKnown || m.pool(service).counts.unlisted > 0
}

// workersUnread reports whether the pool has a worker that may run what a former owner started.
func (m *Model) workersUnread(service string) bool {
	return slices.ContainsFunc(m.pool(service).workers, m.mayRunFormer)
}

// mayRunFormer reports whether w may run, or have ended, what a former owner started and this owner does not know: its lists have not been
// read, and its lease may have been extended since the former owner's last order, also by this owner's own polls. The runs of a worker that has
// ended are known to a certain owner only: another one may have read them.
func (m *Model) mayRunFormer(w *worker) bool {
	if w.synced || w.dead && m.claimFresh {
		return false
	}
	return m.blind() || m.mayGetFormerCalls(w) || w.partlyRead && w.silentSince == 0 || w.formerUntil > 0 && m.soleOwnerUntil < w.expiresBy(w.formerUntil)
}

// usable reports whether w may be given tasks at all, apart from their room.
func (m *Model) usable(w *worker) bool {
	switch {
	case !w.listed, w.dead, !w.synced, w.silentSince != 0, w.Draining, w.cordoned, m.now < w.noStartsBefore, m.now < w.quarantinedUntil:
		return false
	case w.entryBorn != 0 && w.entryBorn < w.Born:
		return false // the present lifetime may be of another kind and size than the entry says.
	case w.trialOpen(m.now), w.unknownRuns > 0 && !m.services[w.Service].Guards:
		return false
	case !m.claimFresh && w.lifetimeKnownAt > m.soleOwnerUntil:
		return false // the worker may have restarted since a successor fenced it, and would not refuse this owner's commands.
	}
	return true
}

// allows reports whether a task of s may be started at a usable worker, apart from its room.
func (m *Model) allows(w *worker, s *stage) bool { return m.suits(w, s) && m.hasTicket(w, s) }

// suits reports whether a task of s may be started at a usable worker, apart from its room and its ticket.
func (m *Model) suits(w *worker, s *stage) bool {
	switch {
	case s.Label != "" && !slices.Contains(w.Labels, s.Label):
		return false
	case s.PerWorker > 0 && (s.runsOn(w) >= s.PerWorker || w.unknownRuns > 0):
		return false
	}
	return w.unansweredStarts < maxUnansweredStarts
}

// freeRoom returns the resources that are free at w.
func (w *worker) freeRoom() Size { return w.Room.minus(w.used) }

// cheapest returns the cheapest of the usable workers for t, or nil if none may be given it, and whether any has room.
func (m *Model) cheapest(l []*worker, t *task) (best *worker, found bool) {
	lowest := 0.0
	s := t.stage
	size := s.size()
	for _, w := range l {
		if !size.Fits(w.freeRoom()) {
			continue
		}
		found = true
		if !m.allows(w, s) {
			continue
		}
		if c := m.cost(w, t); best == nil || c < lowest {
			best, lowest = w, c
		}
	}
	return best, found
}

// hasWorkerFor reports whether a worker of t's pool has room for it.
func (m *Model) hasWorkerFor(t *task) bool {
	if _, bound := m.boundTo(t); bound {
		return false
	}
	w, _ := m.cheapest(m.newCandidates(m.pool(t.stage.job.Service)).workers, t)
	if w == nil {
		m.wantAdvice(t.stage)
	}
	return w != nil
}

// cost returns the cost of starting t at w. Short tasks go to the fullest worker, so that other workers become empty
// and can be moved. Lasting tasks go to the emptiest.
func (m *Model) cost(w *worker, t *task) float64 {
	s := t.stage
	c := slowWorkerCost * max(w.slowdown-1, 0)
	switch {
	case s.Lasting:
		c += loadShare(w.used.plus(s.Step.Size), w.Room)
	case m.cfg.LookAhead:
		c += w.packingCost(s)
	default:
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

// roomOnceEmptied returns the resources that are free at w once all but its lasting tasks have ended.
func (w *worker) roomOnceEmptied() Size { return w.Room.minus(w.lasting) }

// startRun starts run n of t at w.
func (m *Model) startRun(t *task, w *worker, n int) {
	r := &run{task: t, number: n, worker: w, startSentAt: m.now, pace: fullPace, workerBorn: w.Born, resumed: t.checkpoint != "", ownStart: true}
	r.listedClock = m.workerClock(w)
	r.startExpiresAt = r.listedClock + startExpiryMs
	w.leaseUntil = max(w.leaseUntil, r.startExpiresAt)
	r.fence, w.usedFence = w.fence, max(w.usedFence, w.fence)
	if j := t.stage.job; !j.started {
		m.log("job started", j.ID, "queue", j.Queue, "waitMs", m.now-j.submittedAt, "leftMs", j.dueAt-m.now, "worker", w.ID)
	}
	if t.stage.Lasting {
		m.log("lasting task placed", t.stage.job.ID, "task", t.name().String(), "run", n, "worker", w.ID, "rack", w.rack)
	}
	m.logBound(t, w)
	m.attachRun(r)
	w.lastStartAt, t.stage.noRoomSince = m.now, 0
	if t.crashes != nil {
		t.crashes.trialWantedAt, t.crashes.plannedTrial = 0, 0
	}
	m.emit(StartCmd{
		Worker: w.ID, Addr: w.Addr, Task: t.name(), Run: n, Spec: t.stage.job.Spec, UntilMs: r.startExpiresAt,
		Fence: w.fence, Checkpoint: t.checkpoint, Ticket: t.stage.ticket(w, m.now), Born: m.onlyLifetime(w),
	})
}

// onlyLifetime returns the start of the lifetime of w that a start is meant for. It is 0 for any lifetime while the claim is certain.
// Without it, a successor may have fenced this lifetime, and the next one would not refuse the start.
func (m *Model) onlyLifetime(w *worker) int64 {
	if m.claimFresh {
		return 0
	}
	return w.Born
}

// placeGang starts all tasks of s together, or none.
func (m *Model) placeGang(c *candidates, s *stage) {
	for _, t := range s.tasks {
		if !m.mayStart(t) {
			return
		}
	}
	if s.tasks[0].exhausted() {
		m.giveUp(s.tasks[0])
		return
	}
	if !m.teamAllows(s) {
		return
	}
	usable := c.gangCandidates(s)
	workers := m.gangWorkers(usable, s, "")
	if workers == nil && c.mayUseSlow(s) {
		usable = slices.Concat(usable, c.slow)
		workers = m.gangWorkers(usable, s, "")
	}
	if s.SameRack {
		workers = m.gangInRack(usable, s, workers)
	}
	if workers == nil {
		m.wantAdvice(s)
		if m.isGangBound(s) {
			return // room that is reserved elsewhere would not help.
		}
		if c.lookAhead != nil {
			c.promiseGang(s)
			return
		}
		m.reserveForGang(c, s)
		return
	}
	n := 0
	for _, t := range s.tasks {
		n = max(n, t.lastRun)
	}
	saved := s.tasks[0].checkpoint
	for i, t := range s.tasks {
		t.checkpoint = saved
		m.startRun(t, workers[i], n+1)
		c.started(s, workers[i])
	}
}

// reserveForGang reserves the emptiest workers for the tasks of s, unless they do not all fit even there.
func (m *Model) reserveForGang(c *candidates, s *stage) {
	extra, count := map[*worker]Size{}, map[*worker]int{}
	for range s.tasks {
		var best *worker
		for _, w := range c.workers {
			if !s.size().Fits(w.roomOnceEmptied().minus(extra[w])) || !m.allows(w, s) || s.PerWorker > 0 && s.runsOn(w)+count[w] >= s.PerWorker {
				continue
			}
			if best == nil || w.freeRoom().minus(extra[w]).CPU > best.freeRoom().minus(extra[best]).CPU {
				best = w
			}
		}
		if best == nil {
			return
		}
		extra[best] = extra[best].plus(s.size())
		count[best]++
	}
	for w := range extra {
		c.reserve(w)
	}
}

// gangInRack returns workers of a single rack if all tasks fit there, or else spread.
func (m *Model) gangInRack(l []*worker, s *stage, spread []*worker) []*worker {
	var racks []string
	for _, w := range l {
		if !slices.Contains(racks, w.rack) {
			racks = append(racks, w.rack)
		}
	}
	for _, r := range racks {
		if l := m.gangWorkers(l, s, r); l != nil {
			return l
		}
	}
	return spread
}

// gangWorkers returns a worker for each task of s, or nil if they do not all fit. If rack is not empty, it uses only
// workers of that rack. Tasks that are bound to a worker come first.
func (m *Model) gangWorkers(usable []*worker, s *stage, rack string) []*worker {
	l := make([]*worker, len(s.tasks))
	extra, size := map[*worker]Size{}, s.size()
	count := map[*worker]int{}
	mayTake := func(w *worker) bool {
		switch {
		case rack != "" && w.rack != rack, !size.Fits(w.freeRoom().minus(extra[w])), !m.allows(w, s):
			return false
		}
		return s.PerWorker == 0 || s.runsOn(w)+count[w] < s.PerWorker
	}
	take := func(i int, w *worker) {
		l[i], extra[w] = w, extra[w].plus(size)
		count[w]++
	}
	for i, t := range s.tasks {
		w, bound := m.boundTo(t)
		if !bound {
			continue
		}
		if !slices.Contains(usable, w) || !mayTake(w) {
			return nil
		}
		take(i, w)
	}
	for i := range s.tasks {
		if l[i] != nil {
			continue
		}
		var best *worker
		for _, w := range usable {
			if mayTake(w) && (best == nil || w.freeRoom().minus(extra[w]).CPU > best.freeRoom().minus(extra[best]).CPU) {
				best = w
			}
		}
		if best == nil {
			return nil
		}
		take(i, best)
	}
	return l
}

// stopStuck stops tasks that make no progress, so that they are restarted elsewhere.
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
