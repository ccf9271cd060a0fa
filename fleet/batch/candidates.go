package batch

import (
	"container/heap"
	"slices"
)

// candidates are the workers of a pool that may be given tasks during one placement. In a load peak, hundreds of waiting
// stages meet hundreds of full workers every few milliseconds, so sizes that certainly fit nowhere are remembered.
type candidates struct {
	m       *Model
	pool    *pool
	workers []*worker // that are not reserved, by ID.
	slow    []*worker // that are left out because they are slow.
	usable  int       // number of workers before any was reserved.
	trials  int       // trials in progress; -1 until they are counted.

	maxReserved int // most workers that waiting tasks may reserve; -1 until it is known.

	stepTrials map[*stage]int // by step.
	reserved   map[*worker]bool
	full       []Size   // sizes for which no worker has room now.
	never      []Size   // sizes for which no worker has room even without its short tasks.
	byRoom     roomHeap // the workers by free CPU; nil until it is needed.

	*lookAhead // nil without the setting.
}

func (m *Model) newCandidates(p *pool) *candidates {
	c := &candidates{m: m, pool: p, workers: make([]*worker, 0, len(p.workers)), trials: -1, maxReserved: -1, reserved: map[*worker]bool{}}
	for _, w := range p.workers {
		if m.usable(w) {
			c.workers = append(c.workers, w)
		}
	}
	c.usable = len(c.workers)
	c.workers, c.slow = m.splitSlow(c.workers)
	if m.cfg.LookAhead {
		c.lookAhead = newLookAhead(c)
	}
	return c
}

// choose returns the cheapest worker for t, or nil if none has room. The free room of the workers must only shrink
// between two calls.
func (c *candidates) choose(t *task) *worker {
	size := t.stage.size()
	if fitsNone(c.full, size) {
		return nil
	}
	w, found := c.m.cheapest(c.workers, t)
	if !found {
		c.full = append(c.full, size)
	}
	return w
}

// fitsNone reports whether a task of the size fits nowhere, because one of the sizes that do not is not larger.
func fitsNone(sizes []Size, size Size) bool {
	return slices.ContainsFunc(sizes, func(f Size) bool { return f.Fits(size) })
}

// reserve removes a worker from the candidates.
func (c *candidates) reserve(w *worker) {
	if i := slices.Index(c.workers, w); i >= 0 {
		c.workers = slices.Delete(c.workers, i, i+1)
		c.reserved[w] = true
	}
}

// reservationLimit returns how many workers waiting tasks may reserve. In a pool that is mostly idle they may not reserve more than half of
// the workers, rounded up: large tasks that wait for long runs would keep the whole pool from the tasks that fit.
func (c *candidates) reservationLimit() int {
	if c.maxReserved >= 0 {
		return c.maxReserved
	}
	used, room := int64(0), int64(0)
	for _, w := range c.pool.workers {
		if c.m.usable(w) {
			used, room = used+w.used.CPU, room+w.Room.CPU
		}
	}
	c.maxReserved = c.usable
	if 2*used < room {
		c.maxReserved = (c.usable + 1) / 2
	}
	return c.maxReserved
}

// reserveEmptiest reserves the worker with the most free CPU that will have room for a task of s once its short tasks have
// ended. It returns nil if there is none, or if no more workers may be reserved.
func (c *candidates) reserveEmptiest(s *stage) *worker {
	if fitsNone(c.never, s.size()) || len(c.reserved) >= c.reservationLimit() {
		return nil
	}
	if c.byRoom == nil {
		c.byRoom = newRoomHeap(c.workers)
	}
	var best *worker
	var passed []roomEntry
	fits := false
	for best == nil && len(c.byRoom) > 0 {
		e := heap.Pop(&c.byRoom).(roomEntry) //nolint:forcetypeassert // the heap holds nothing else.
		w := e.worker
		switch {
		case c.reserved[w]:
		case w.freeRoom().CPU < e.cpu:
			heap.Push(&c.byRoom, roomEntry{w, w.freeRoom().CPU})
		case !s.size().Fits(w.roomOnceEmptied()):
			passed = append(passed, e)
		case !c.m.allows(w, s):
			fits = true
			passed = append(passed, e)
		default:
			best = w
		}
	}
	for _, e := range passed {
		heap.Push(&c.byRoom, e)
	}
	if best == nil {
		if !fits {
			c.never = append(c.never, s.size())
		}
		return nil
	}
	c.reserve(best)
	return best
}

// roomEntry is a worker with the free CPU that it had when it was added.
type roomEntry struct {
	worker *worker
	cpu    int64
}

// roomHeap is a heap of workers, the one with the most free CPU first.
type roomHeap []roomEntry

func newRoomHeap(l []*worker) roomHeap {
	h := make(roomHeap, 0, len(l))
	for _, w := range l {
		h = append(h, roomEntry{w, w.freeRoom().CPU})
	}
	heap.Init(&h)
	return h
}

// Len implements heap.Interface.
func (h roomHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h roomHeap) Less(i, j int) bool {
	if h[i].cpu != h[j].cpu {
		return h[i].cpu > h[j].cpu
	}
	return h[i].worker.ID < h[j].worker.ID
}

// Swap implements heap.Interface.
func (h roomHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *roomHeap) Push(x any) { *h = append(*h, x.(roomEntry)) } //nolint:forcetypeassert // called by heap only.

// Pop implements heap.Interface.
func (h *roomHeap) Pop() any {
	l := *h
	e := l[len(l)-1]
	*h = l[:len(l)-1]
	return e
}
