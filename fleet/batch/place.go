package batch

import (
	"cmp"
	"maps"
	"slices"
)

// Placement.
const (
	placeGapMs  = 4     // between two placements of a pool: what comes meanwhile is placed together.
	farWeight   = 4.0   // load by which a worker away from the data counts as fuller.
	slowWeight  = 0.5   // load for each multiple of the usual run time that a worker takes.
	avoidWeight = 2.0   // load of a worker on which the task failed or was lost.
	maxStarting = 24    // starts that one worker has unanswered at a time.
	stuckMs     = 1_500 // a task that has not advanced for so long, and for several times its run time, is started elsewhere.
	stuckTimes  = 2.5
)

// placeAll places the waiting tasks of every pool in which something has changed.
func (m *Model) placeAll() {
	m.unplaced = false
	for _, n := range sortedKeys(m.pools) {
		p := m.pools[n]
		if !p.dirty {
			continue
		}
		if m.now-p.placed < placeGapMs {
			m.unplaced = true
			continue
		}
		p.dirty, p.placed = false, m.now
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
			w := m.choose(p, t, held)
			if w == nil {
				if k := m.emptiest(p, s, held, nil); k != nil {
					held[k] = true
					m.preempt(k, s)
				}
				break
			}
			m.start(t, w, t.last+1)
		}
	}
}

// readyStages returns the stages with tasks to start, those to be served first at the front, and sums up the backlog.
func (m *Model) readyStages(p *pool) []*stage {
	l := p.ready[:0]
	backlog := int64(0)
	for _, j := range p.open {
		if j.phase != open {
			continue
		}
		for _, r := range j.rounds {
			for _, s := range r.stages {
				if s.left == 0 {
					continue
				}
				if !s.Lasting && !m.blocked(s) {
					backlog += int64(s.left) * s.Step.Size.CPU * int64(s.runMs)
				}
				if s.waiting > 0 && s.ready() {
					s.rank = m.rankOf(s)
					l = append(l, s)
				}
			}
		}
	}
	slices.SortFunc(l, order)
	p.ready, p.backlog = l, float64(backlog)
	return l
}

// rank is the place of a stage in the order of service: lasting tasks first, then what can still be on time by priority and due
// time, then what is late.
type rank struct {
	class    int
	hopeless bool
	due      int64
}

func (m *Model) rankOf(s *stage) rank {
	r := rank{class: class(s), due: m.dueOf(s)}
	r.hopeless = !s.Lasting && m.now+int64(s.restMs) > r.due
	return r
}

func order(a, b *stage) int {
	if c := cmp.Compare(a.rank.class, b.rank.class); c != 0 {
		return c
	}
	if a.rank.hopeless != b.rank.hopeless {
		if b.rank.hopeless {
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

func class(s *stage) int {
	switch {
	case s.Lasting && !s.Fills:
		return 0
	case s.Lasting:
		return 2
	}
	return 1
}

func (m *Model) dueOf(s *stage) int64 {
	if s.job.Rounds > 0 {
		return s.round.due + s.job.due - s.job.firstAt
	}
	return s.job.due
}

// mayStart reports whether t may be started now.
func (m *Model) mayStart(t *task) bool {
	if t.done || len(t.runs) > 0 || t.after > m.now {
		return false
	}
	return t.ours || !m.blocked(t.stage)
}

// blocked reports whether a former owner may have started tasks of s at a worker that has not been read yet.
func (m *Model) blocked(s *stage) bool {
	return s.job.loaded && !s.ours && m.now < m.blind && (m.unseen(s.job.Service) || m.unread(s.job.Service))
}

// unseen reports whether a machine of the pool may have a worker that is not listed: its entry lapses while it does not reach the
// store, and it goes on with what a former owner gives it.
func (m *Model) unseen(service string) bool {
	return m.duty.listed == 0 || m.pool(service).tally.unseen > 0
}

// unread reports whether a worker that a former owner used has not told what it runs.
func (m *Model) unread(service string) bool {
	return slices.ContainsFunc(m.pool(service).workers, func(w *worker) bool { return !w.synced && !w.over })
}

// takes reports whether w may be given a task of s at all.
func (m *Model) takes(w *worker, s *stage) bool {
	switch {
	case !w.listed, w.over, !w.synced, w.silent != 0, w.Draining, w.cordoned, m.now < w.barred, m.now < w.aside:
		return false
	case !m.fresh && w.lifeAt > m.checked:
		return false // it may have restarted since a successor fenced it: nothing would keep this owner off.
	case s.Label != "" && !slices.Contains(w.Labels, s.Label):
		return false
	case s.PerWorker > 0 && s.on(w) >= s.PerWorker:
		return false
	}
	return m.ticketed(w, s) && w.starting < maxStarting
}

// room is what is free at w.
func (w *worker) room() Size { return w.Room.minus(w.used) }

// choose returns the worker for t, nil when none has room.
func (m *Model) choose(p *pool, t *task, held map[*worker]bool) *worker {
	var best *worker
	low := 0.0
	s := t.stage
	size := s.size()
	for _, w := range p.workers {
		if held[w] || !size.Fits(w.room()) || !m.takes(w, s) {
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
	c := slowWeight * max(w.slow-1, 0)
	if s.Lasting {
		c += load(w.used.plus(s.Step.Size), w.Room)
	} else {
		c -= load(w.used, w.Room)
	}
	if s.DataRack != "" && s.DataRack != w.rack {
		c += farWeight
	}
	if slices.Contains(t.avoid, w.ID) {
		c += avoidWeight
	}
	if s.Lasting {
		c += float64(s.inRack(w.rack)) / float64(s.Count)
	}
	return c
}

// inRack returns the number of the stage's runs in the rack.
func (s *stage) inRack(rack string) int {
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

func load(used, room Size) float64 {
	return max(share(used.CPU, room.CPU), share(used.MemMB, room.MemMB), share(used.GPU, room.GPU))
}

func share(a, b int64) float64 {
	if b <= 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// emptiest returns the worker with the most free CPU that gets room for a task of s, beside extra, once its short tasks have ended.
func (m *Model) emptiest(p *pool, s *stage, held map[*worker]bool, extra map[*worker]Size) *worker {
	var best *worker
	for _, w := range p.workers {
		if held[w] || !s.size().Fits(w.roomOnceEmptied().minus(extra[w])) || !m.takes(w, s) {
			continue
		}
		if best == nil || w.room().minus(extra[w]).CPU > best.room().minus(extra[best]).CPU {
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

// start starts run n of t at w.
func (m *Model) start(t *task, w *worker, n int) {
	r := &run{task: t, number: n, worker: w, asked: m.now, pace: fullPace, born: w.Born, resumed: t.saved != "", own: true}
	r.until = m.clockNow(w) + startLeaseMs
	w.until = max(w.until, r.until)
	if j := t.stage.job; !j.started {
		m.log("job started", j.ID, "queue", j.Queue, "waitMs", m.now-j.firstAt, "leftMs", j.due-m.now, "worker", w.ID)
	}
	if t.stage.Lasting {
		m.log("lasting task placed", t.stage.job.ID, "task", t.name().String(), "run", n, "worker", w.ID, "rack", w.rack)
	}
	m.attach(r)
	m.do(StartCmd{
		Worker: w.ID, Addr: w.Addr, Task: t.name(), Run: n, Spec: t.stage.job.Spec, UntilMs: r.until,
		Fence: m.cfg.Fence, Saved: t.saved, Ticket: t.stage.ticket(w, m.now),
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
		m.holdForGang(p, s, held)
		return
	}
	n := 0
	for _, t := range s.tasks {
		n = max(n, t.last)
	}
	saved := s.tasks[0].saved
	for i, t := range s.tasks {
		t.saved = saved
		m.start(t, at[i], n+1)
	}
}

// holdForGang keeps the emptiest workers on which all tasks of s fit, unless even these are too few.
func (m *Model) holdForGang(p *pool, s *stage, held map[*worker]bool) {
	extra, count := map[*worker]Size{}, map[*worker]int{}
	full := maps.Clone(held)
	for range s.tasks {
		w := m.emptiest(p, s, full, extra)
		if w == nil {
			return
		}
		extra[w] = extra[w].plus(s.size())
		count[w]++
		full[w] = s.PerWorker > 0 && s.on(w)+count[w] >= s.PerWorker
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
			if held[w] || (rack != "" && w.rack != rack) || !m.takes(w, s) || !size.Fits(w.room().minus(extra[w])) {
				continue
			}
			if s.PerWorker > 0 && s.on(w)+count[w] >= s.PerWorker {
				continue
			}
			if best == nil || w.room().minus(extra[w]).CPU > best.room().minus(extra[best]).CPU {
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
					m.log("run stuck", t.stage.job.ID, "task", t.name().String(), "run", r.number, "worker", w.ID, "percent", r.percent, "sinceMs", m.now-r.moved)
					t.avoid = append(t.avoid, w.ID)
					w.slow = max(w.slow, stuckTimes)
					r.evicted = true
					m.stop(r)
				}
			}
		}
	}
}

func (m *Model) stuck(r *run) bool {
	s := r.task.stage
	if r.state != running || s.Lasting || s.Gang || r.worker.silent != 0 {
		return false
	}
	limit := max(stuckMs, int64(stuckTimes*s.runMs))
	return r.listed-r.moved > limit && r.percent < 100
}
