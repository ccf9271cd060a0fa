package batch

import (
	"maps"
	"math"
	"slices"

	"burdockreach.dev/fleet/ahead"
)

// Look-ahead placement. A task that fits nowhere is promised the worker that has room for it first, by the expected ends
// of its runs. Other tasks may use the room until then. A promise that was not kept in time is strict: the worker is
// held for the task before any other stage of its priority is served, and admits only what fits beside it.
const (
	viewAgeMs       = 20    // a worker's expected ends are computed anew after this: ends move only for runs that overrun or report progress.
	minGainMs       = 50    // a promise moves to another worker only if that has room earlier by this much.
	maxPromiseShare = 3     // one worker of so many may be reserved at a time; the others serve what fits, whatever waits.
	minLargeShare   = 0.25  // of a worker; see isSmall.
	minPromises     = 2     // workers of each pool that may be reserved at a time, whatever its size.
	maxPromises     = 64    // workers of each pool that may be reserved at a time: each is sought among all workers, at every placement.
	backfillMargin  = 1.2   // multiple of its expected run time after which a task that backfills is expected to have ended; see slowestTaskFactor.
	maxDepth        = 2_000 // stages that find nothing, after which a placement ends: with 10,000 waiting jobs all of them cost 1.39 times the time of before.
	maxMisses       = 32    // remembered tasks that found no reserved room; each further task is compared with all of them.
)

// promise is what the first waiting task of a stage, or a gang, was promised at the last placement.
type promise struct {
	workers []*worker
	first   int64 // time that was promised first; from then on the promise is strict.
}

// workerView is a worker as fleet/ahead sees it, and what it was computed from.
type workerView struct {
	ahead.Worker
	madeAt int64
	runs   int
	last   *run
	room   Size
	used   Size
}

// lookAhead holds the reservations of one placement.
type lookAhead struct {
	c            *candidates
	heldWorkers  []*worker
	reservations map[*worker]*ahead.Reservation
	holders      map[*worker]*stage
	open         []*worker // that may be promised.
	views        []*ahead.Worker
	misses       []miss
	budget       int              // workers that may still be reserved.
	room         Size             // of one of the workers.
	tried        map[*worker]bool // workers at which tasks were to be stopped.
	yielding     []*stage         // with tasks that may be stopped, one of each priority.
	passed       int              // stages that found neither room nor a worker to reserve.
}

// miss is a task that found no reserved room.
type miss struct {
	size  Size
	runMs float64
}

func newLookAhead(c *candidates) *lookAhead {
	room := Size{}
	if c.usable > 0 {
		room = c.workers[0].Room
	}
	return &lookAhead{
		room: room, c: c, reservations: map[*worker]*ahead.Reservation{}, holders: map[*worker]*stage{},
		budget: min(max(minPromises, c.usable/maxPromiseShare), maxPromises),
	}
}

// finished reports whether further stages are not worth looking at.
func (c *candidates) finished() bool {
	if c.lookAhead == nil {
		return len(c.workers) == 0 // every worker is reserved.
	}
	return c.usable == 0 || c.passed >= maxDepth
}

// keepPromises reserves the workers of strict promises before any stage is served. Only stages of a more urgent class or priority
// are served first. Promises to stages that are late hold in service order only.
func (c *candidates) keepPromises(l []*stage) {
	if c.lookAhead == nil {
		return
	}
	for _, s := range l {
		if p := s.promise; p == nil || c.m.now < p.first || s.rank.late {
			continue
		}
		if c.budget > 0 && c.holds(s, s.promise.workers) {
			c.holdAll(s)
		}
	}
}

// holds reports whether the stage may still have all workers of a promise.
func (c *candidates) holds(s *stage, l []*worker) bool {
	need := map[*worker]Size{}
	for _, w := range l {
		need[w] = need[w].plus(s.size())
		if !c.promisable(w, s) || !need[w].Fits(w.roomOnceEmptied()) {
			return false
		}
	}
	return true
}

// promisable reports whether room at w may be promised to s. A worker on which a trial is about to begin may be lost.
func (c *candidates) promisable(w *worker, s *stage) bool {
	return c.m.usable(w) && !w.watched(c.m.now) && !c.reserved[w] && c.m.allows(w, s)
}

// holdAll reserves the room that s is promised, until all of it is expected to be free. The promise is strict from the time that was
// promised first.
func (c *candidates) holdAll(s *stage) {
	need, at := map[*worker]Size{}, c.m.now
	for _, w := range s.promise.workers {
		need[w] = need[w].plus(s.size())
	}
	for w, n := range need {
		if t, ok := c.m.viewOf(w).FitsAt(ahead.Size(n), c.m.now, ahead.Never); ok {
			at = max(at, t)
		}
	}
	for _, w := range s.promise.workers {
		if c.reserved[w] {
			continue
		}
		c.reserve(w)
		c.budget--
		c.heldWorkers, c.holders[w] = append(c.heldWorkers, w), s
		c.reservations[w] = ahead.NewReservation(c.m.viewOf(w), ahead.Size(need[w]), at, c.m.now >= s.promise.first)
	}
	c.misses = c.misses[:0]
}

// reserveFor reserves a worker for the next task of s, and returns it, or nil if there is none. For a task that is promised nothing it
// returns a worker at which others may be stopped for it.
func (c *candidates) reserveFor(s *stage) *worker {
	if c.lookAhead == nil {
		return c.reserveEmptiest(s)
	}
	if p := s.promise; p != nil && c.holders[p.workers[0]] == s {
		return p.workers[0]
	}
	if fitsNone(c.never, s.size()) {
		c.passed++
		return nil
	}
	if c.isSmall(s) || c.budget <= 0 {
		c.passed++
		return c.workerToPreempt(s)
	}
	w, at := c.first(s)
	if w == nil {
		s.promise = nil
		return nil
	}
	c.setPromise(s, []*worker{w}, at)
	c.holdAll(s)
	return s.promise.workers[0]
}

// workerToPreempt returns the worker that has room for a task of s first, if any run of the pool may be stopped for it. Each is
// returned once in a placement.
func (c *candidates) workerToPreempt(s *stage) *worker {
	if c.tried == nil {
		c.tried, c.yielding = map[*worker]bool{}, c.pool.yielding()
	}
	if len(c.tried) >= maxPromises || !slices.ContainsFunc(c.yielding, func(o *stage) bool { return yieldsTo(o, s) }) {
		return nil
	}
	c.makeViews()
	i, _, ok := ahead.Reserve(c.views, ahead.Size(s.size()), c.m.now, func(i int) bool {
		return !c.tried[c.open[i]] && !c.reserved[c.open[i]] && c.m.allows(c.open[i], s)
	})
	if !ok {
		return nil
	}
	c.tried[c.open[i]] = true
	return c.open[i]
}

// yielding returns, for each priority, one stage with running tasks that may be stopped for others.
func (p *pool) yielding() []*stage {
	seen := map[int]*stage{}
	for _, w := range p.workers {
		for _, r := range w.runs {
			if s := r.task.stage; r.state == running && s.Checkpoints && !s.Lasting && !s.Gang {
				seen[s.job.Priority] = s
			}
		}
	}
	return slices.Collect(maps.Values(seen))
}

// isSmall reports whether s has short tasks that need less than minLargeShare of each resource of a worker, for which room comes when a few
// others end. They are promised nothing: in overload they took the promises of large ones, of whose jobs 0.25 were in time for 0.55.
func (c *candidates) isSmall(s *stage) bool {
	return !s.Lasting && loadShare(s.size(), c.room) < minLargeShare
}

// setPromise records the promise of the workers at the given time. A former promise stays if that is hardly later.
func (c *candidates) setPromise(s *stage, l []*worker, at int64) {
	p := s.promise
	if p == nil {
		s.promise = &promise{workers: l, first: max(at, c.m.now+1)}
		return
	}
	if c.holds(s, p.workers) && c.fitsBy(s, p.workers, at+minGainMs) {
		return
	}
	p.workers = l
}

// fitsBy reports whether a task of s fits at each entry of l by the given time.
func (c *candidates) fitsBy(s *stage, l []*worker, at int64) bool {
	need := map[*worker]Size{}
	for _, w := range l {
		need[w] = need[w].plus(s.size())
		if _, ok := c.m.viewOf(w).FitsAt(ahead.Size(need[w]), c.m.now, at); !ok {
			return false
		}
	}
	return true
}

// first returns the worker, of those not reserved, at which a task of s fits first, and when. If none has room even once
// its short tasks have ended, that is remembered.
func (c *candidates) first(s *stage) (*worker, int64) {
	c.makeViews()
	refused := false
	i, at, ok := ahead.Reserve(c.views, ahead.Size(s.size()), c.m.now, func(i int) bool {
		ok := !c.reserved[c.open[i]] && c.m.allows(c.open[i], s)
		refused = refused || !ok
		return ok
	})
	if ok {
		return c.open[i], at
	}
	if !refused {
		c.never = append(c.never, s.size())
	}
	return nil, 0
}

// makeViews makes the views of the workers that may be promised. During the placement, started keeps them up to date.
func (c *candidates) makeViews() {
	if c.views != nil {
		return
	}
	c.views = make([]*ahead.Worker, 0, len(c.workers))
	for _, w := range c.workers {
		if !w.watched(c.m.now) {
			c.open, c.views = append(c.open, w), append(c.views, c.m.viewOf(w))
		}
	}
}

// viewOf returns the worker's free room and expected ends.
func (m *Model) viewOf(w *worker) *ahead.Worker {
	v, n := &w.view, len(w.runs)
	var last *run
	if n > 0 {
		last = w.runs[n-1]
	}
	if v.runs == n && v.last == last && v.used == w.used && v.room == w.Room && m.now-v.madeAt < viewAgeMs {
		return &v.Worker
	}
	l := make([]ahead.Run, 0, n)
	for _, r := range w.runs {
		l = append(l, ahead.Run{Size: ahead.Size(r.task.stage.size()), EndsAt: m.expectedEnd(r)})
	}
	*v = workerView{Worker: ahead.NewWorker(ahead.Size(w.freeRoom()), l), madeAt: m.now, runs: n, last: last, room: w.Room, used: w.used}
	return &v.Worker
}

// expectedEnd returns when r is expected to leave its worker.
func (m *Model) expectedEnd(r *run) int64 {
	s := r.task.stage
	switch {
	case r.state == stopping:
		return m.now + stopRetryMs/2 // a stop is answered within two calls, or repeated.
	case s.Lasting:
		return ahead.Never
	}
	p := ahead.Progress{StartedAt: r.startSentAt, ExpectedMs: m.expectedAt(s, r.worker)}
	if r.confirmedAt != 0 {
		p.StartedAt = r.confirmedAt
	}
	if !r.resumed { // a task that goes on from a checkpoint did not start at 0 percent.
		p.Percent, p.ReportedAt = r.percent, r.listedAt
	}
	return p.EndsAt(m.now)
}

// expectedAt returns the expected run time in ms of a task of s at w.
func (m *Model) expectedAt(s *stage, w *worker) float64 { return s.runMs * max(w.slowdown, 1) }

// backfill returns the cheapest reserved worker that t may use, or nil. The stage's own worker comes first.
func (c *candidates) backfill(t *task) *worker {
	s := t.stage
	if c.lookAhead == nil || c.missed(s) {
		return nil
	}
	var best *worker
	lowest, fits := 0.0, false
	for _, w := range c.heldWorkers {
		if !s.size().Fits(w.freeRoom()) {
			continue
		}
		own := c.holders[w] == s
		if !own && !c.mayUse(w, s) {
			continue
		}
		fits = true
		if !c.m.allows(w, s) {
			continue
		}
		if own {
			return w
		}
		if k := c.m.cost(w, t); best == nil || k < lowest {
			best, lowest = w, k
		}
	}
	if !fits && len(c.misses) < maxMisses {
		c.misses = append(c.misses, miss{s.size(), s.expectedMs()})
	}
	return best
}

// mayUse reports whether s may use room at the reserved worker w. Tasks without an expected end use only what is left
// beside the reservation. A more urgent class or priority goes before the reservation.
func (c *candidates) mayUse(w *worker, s *stage) bool {
	return precedes(s, c.holders[w]) || c.reservations[w].Backfill(ahead.Size(s.size()), c.m.backfillEnd(s, w))
}

// precedes reports whether s is more urgent than the holder of a reservation, whatever their due times.
func precedes(s, holder *stage) bool {
	if a, b := priorityClass(s), priorityClass(holder); a != b {
		return a < b
	}
	return !s.rank.late && s.job.Priority < holder.job.Priority
}

// backfillEnd returns when a task of s that is started at w now has ended with some margin.
func (m *Model) backfillEnd(s *stage, w *worker) int64 {
	if s.expectedMs() == math.MaxFloat64 {
		return ahead.Never
	}
	return m.now + int64(backfillMargin*m.expectedAt(s, w))
}

// expectedMs returns the expected run time of a task of s in ms; it is the largest number if none is known.
func (s *stage) expectedMs() float64 {
	if s.Lasting || s.runMs <= 0 {
		return math.MaxFloat64
	}
	return s.runMs
}

// missed reports whether a task that is not larger or longer than one of s has found no reserved room.
func (c *candidates) missed(s *stage) bool {
	if s.promise != nil {
		return len(c.heldWorkers) == 0
	}
	return slices.ContainsFunc(c.misses, func(x miss) bool { return x.size.Fits(s.size()) && x.runMs <= s.expectedMs() })
}

// started records that a task of s was started at w.
func (c *candidates) started(s *stage, w *worker) {
	if c.lookAhead == nil {
		return
	}
	if s.promise != nil {
		s.promise = nil
		c.pool.dirty = true // its worker is free for others from the next placement on.
	}
	c.m.viewOf(w)
	if r := c.reservations[w]; r != nil && c.holders[w] != s {
		r.Use(ahead.Size(s.size()), c.m.backfillEnd(s, w))
	}
}

// gangCandidates returns the workers that the gang may use: those that are not reserved, and its own.
func (c *candidates) gangCandidates(s *stage) []*worker {
	if c.lookAhead == nil || s.promise == nil {
		return c.workers
	}
	l := slices.Clone(c.workers)
	for _, w := range c.heldWorkers {
		if c.holders[w] == s {
			l = append(l, w)
		}
	}
	return l
}

// promiseGang reserves, for all tasks of the gang, the workers that have room for them first.
func (c *candidates) promiseGang(s *stage) {
	if p := s.promise; p != nil && c.holders[p.workers[0]] == s {
		return
	}
	if c.budget <= 0 {
		return
	}
	l, at := c.gangRoom(s)
	if l == nil {
		s.promise = nil
		return
	}
	c.setPromise(s, l, at)
	c.holdAll(s)
}

// gangRoom returns a worker for each task of the gang, and when all have room, or nil if they do not all fit.
func (c *candidates) gangRoom(s *stage) ([]*worker, int64) {
	c.makeViews()
	extra, count := map[*worker]Size{}, map[*worker]int{}
	var l []*worker
	last := c.m.now
	for range s.tasks {
		var best *worker
		soonest := ahead.Never
		for i, w := range c.open {
			if c.reserved[w] || s.PerWorker > 0 && s.runsOn(w)+count[w] >= s.PerWorker {
				continue
			}
			if at, ok := c.views[i].FitsAt(ahead.Size(s.size().plus(extra[w])), c.m.now, soonest); ok && c.m.allows(w, s) {
				best, soonest = w, at
			}
		}
		if best == nil {
			return nil, 0
		}
		extra[best] = extra[best].plus(s.size())
		count[best]++
		l, last = append(l, best), max(last, soonest)
	}
	return l, last
}

// packingCost returns the cost of what a task of s leaves free at w, with opposite sign: the mean used share of the resources that w has.
// A worker that is full in one resource only, and so has room that few tasks can use, costs more than one that is as full in all.
func (w *worker) packingCost(s *stage) float64 {
	used, sum, n := w.used.plus(s.size()), 0.0, 0.0
	for _, r := range [][2]int64{{used.CPU, w.Room.CPU}, {used.MemMB, w.Room.MemMB}, {used.GPU, w.Room.GPU}} {
		if r[1] > 0 {
			sum, n = sum+ratio(r[0], r[1]), n+1
		}
	}
	return -sum / max(n, 1)
}
