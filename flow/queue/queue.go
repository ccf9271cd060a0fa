package queue

import "time"

// Class orders entries; a lower value goes first.
type Class uint8

const (
	// Urgent entries go first.
	Urgent Class = iota
	// Normal entries go after urgent ones.
	Normal
	// Background entries go last, but before their deadline.
	Background

	classes = 3
)

const (
	defaultBound  = 1 << 16                // entries
	sweepEvery    = 100 * time.Millisecond // and longer for long queues
	sweepScale    = 4096                   // entries that double the time between sweeps
	marginDevs    = 5                      // mean deviations kept for a service time that is longer than the mean
	marginShare   = 0.25                   // of the time from arrival to deadline that the margin may take
	reserveGrowth = 1.5                    // of the slots that background entries need to be in time
	minSlots      = 0.5                    // that are taken for free of other classes' work
)

// Queue holds the waiting entries of one service; it is not safe for concurrent use.
type Queue[V any] struct {
	s        *slab[V]
	roots    [classes]Handle
	bound    int
	slots    int
	share    level // of slots
	running  [classes]int
	learned  [classes]times
	all      times
	urgents  rate
	reserve  int // slots that background entries need
	nextWalk time.Duration
	dropped  []Drop[V]
	hopeless []Handle
}

// Drop is an entry that was shed; Late means that its deadline has passed, else it could not be met.
type Drop[V any] struct {
	v    V
	late bool
}

// Value returns the entry's value.
func (d Drop[V]) Value() V { return d.v }

// Late reports whether the deadline has passed.
func (d Drop[V]) Late() bool { return d.late }

// Option changes the settings of a Queue at its making.
type Option func(*settings)

type settings struct{ bound int }

// WithBound sets how many entries may wait.
func WithBound(n int) Option { return func(s *settings) { s.bound = n } }

// New returns an empty Queue without slots.
func New[V any](opts ...Option) *Queue[V] {
	c := settings{bound: defaultBound}
	for _, o := range opts {
		o(&c)
	}
	return &Queue[V]{s: newSlab[V](), bound: c.bound}
}

// SetSlots sets the number of slots that serve this queue, busy ones included.
func (q *Queue[V]) SetSlots(now time.Duration, n int) {
	if n != q.slots {
		q.slots = n
		q.share.put(now, float64(n))
	}
}

// Len returns the number of entries of all classes.
func (q *Queue[V]) Len() int {
	n := 0
	for c := range q.roots {
		n += int(q.s.size(q.roots[c]))
	}
	return n
}

// Waiting returns the number of entries of class c.
func (q *Queue[V]) Waiting(c Class) int { return int(q.s.size(q.roots[c])) }

// Pressing returns the number of entries that should not wait: urgent and normal ones, and the background ones that the reserve is for.
func (q *Queue[V]) Pressing() int {
	b := min(q.Waiting(Background), q.reserve-q.running[Background])
	return q.Waiting(Urgent) + q.Waiting(Normal) + max(0, b)
}

// Yielding returns the number of background entries that run beyond the reserve.
func (q *Queue[V]) Yielding() int { return max(0, q.running[Background]-q.reserve) }

// Arrived counts a request of class c, queued or not.
func (q *Queue[V]) Arrived(now time.Duration, c Class) {
	if c == Urgent {
		q.urgents.add(now)
	}
}

// Started counts a request of class c that took a slot.
func (q *Queue[V]) Started(c Class) { q.running[c]++ }

// Finished counts a request of class c that gave its slot back, and learns its service time if took is positive.
func (q *Queue[V]) Finished(c Class, took time.Duration) {
	q.running[c]--
	if took > 0 {
		q.learned[c].learn(took)
		q.all.learn(took)
	}
}

// Mean returns the learned service time of all classes, 0 if there is none yet.
func (q *Queue[V]) Mean() time.Duration { return seconds(q.all.mean) }

func seconds(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }

func (q *Queue[V]) times(c Class) *times {
	if q.learned[c].n > 0 {
		return &q.learned[c]
	}
	return &q.all
}

// need returns the time that an entry should have left when it starts, with a margin of at most spare.
func (q *Queue[V]) need(c Class, spare time.Duration) time.Duration {
	t := q.times(c)
	return seconds(t.mean) + min(seconds(marginDevs*t.dev), spare)
}

// spareOf returns the most that the margin may take of the time to the deadline.
func spareOf(left time.Duration) time.Duration { return time.Duration(marginShare * float64(left)) }

// forUrgent returns the slots that urgent requests keep busy, of late or in the long run.
func (q *Queue[V]) forUrgent(now time.Duration, long bool) float64 {
	q.urgents.settle(now)
	if long {
		return q.urgents.long * q.times(Urgent).mean
	}
	return q.urgents.perSecond * q.times(Urgent).mean
}

// slotsFor returns the slots that a class can count on.
func (q *Queue[V]) slotsFor(now time.Duration, c Class) float64 {
	n := float64(q.slots)
	switch c {
	case Normal:
		n -= q.forUrgent(now, false) + float64(q.reserve)
	case Background:
		q.share.put(now, n)
		n = max(n, q.share.mean) - q.forUrgent(now, true)
	}
	return max(n, minSlots)
}

// Wait estimates how long an entry of class c waits that has the given number of its class before it.
func (q *Queue[V]) Wait(now time.Duration, c Class, before int) time.Duration {
	w := float64(before+1) * q.times(c).mean / q.slotsFor(now, c)
	if c != Urgent {
		w += float64(q.Waiting(Urgent)) * q.times(Urgent).mean / max(float64(q.slots), minSlots)
	}
	return seconds(w)
}

// Push adds an entry if it can be answered by its deadline; else it returns None and how much too long the wait is.
func (q *Queue[V]) Push(now time.Duration, c Class, deadline time.Duration, v V) (Handle, time.Duration) {
	left := deadline - now
	before := q.s.rank(q.roots[c], deadline)
	if over := q.Wait(now, c, before) + q.need(c, spareOf(left)) - left; over > 0 && (q.roots[c] != None || left <= 0) {
		return None, over
	}
	if q.Len() >= q.bound && !q.evict(now, c) {
		return None, q.Wait(now, c, before)
	}
	return q.put(now, c, deadline, v), 0
}

// PushBack adds an entry whatever its chances; it is for requests that were let in before.
func (q *Queue[V]) PushBack(now time.Duration, c Class, deadline time.Duration, v V) Handle {
	return q.put(now, c, deadline, v)
}

func (q *Queue[V]) put(now time.Duration, c Class, deadline time.Duration, v V) Handle {
	h := q.s.add(c, deadline, spareOf(deadline-now), v)
	q.roots[c] = q.s.insert(q.roots[c], h)
	return h
}

// evict drops the last entry of the lowest class below c, to make room.
func (q *Queue[V]) evict(now time.Duration, c Class) bool {
	for k := Background; k > c; k-- {
		if h := q.s.last(q.roots[k]); h != None {
			q.drop(now, h)
			return true
		}
	}
	return false
}

func (q *Queue[V]) drop(now time.Duration, h Handle) {
	n := &q.s.nodes[h]
	q.dropped = append(q.dropped, Drop[V]{v: n.v, late: n.deadline <= now})
	q.Remove(h)
}

// Remove takes an entry out.
func (q *Queue[V]) Remove(h Handle) {
	c := q.s.nodes[h].class
	q.roots[c] = q.s.remove(q.roots[c], h)
	q.s.drop(h)
}

// Dropped returns what was shed since it was last called; the slice is reused.
func (q *Queue[V]) Dropped() []Drop[V] {
	d := q.dropped
	q.dropped = q.dropped[:0]
	return d
}

// Pop takes out the entry to start next. It takes only an urgent one if urgentOnly, and sheds those that it finds hopeless.
func (q *Queue[V]) Pop(now time.Duration, urgentOnly bool) (v V, ok bool) {
	for {
		c := q.class(urgentOnly)
		if c == classes {
			return v, false
		}
		h := q.s.first(q.roots[c])
		n := &q.s.nodes[h]
		left := n.deadline - now
		if left <= 0 || q.Waiting(c) > 1 && left < q.need(c, n.spare) {
			q.drop(now, h)
			continue
		}
		v = n.v
		q.Remove(h)
		return v, true
	}
}

// class returns the class to serve next, or classes if nothing may be served.
func (q *Queue[V]) class(urgentOnly bool) Class {
	switch {
	case q.roots[Urgent] != None:
		return Urgent
	case urgentOnly:
		return classes
	case q.roots[Background] != None && q.running[Background] < q.reserve:
		return Background
	case q.roots[Normal] != None:
		return Normal
	case q.roots[Background] != None:
		return Background
	}
	return classes
}

// Sweep sheds the entries that can no longer be answered in time and sets the reserve; it does nothing if it did so lately.
func (q *Queue[V]) Sweep(now time.Duration) {
	if now < q.nextWalk {
		return
	}
	q.nextWalk = now + sweepEvery + sweepEvery*time.Duration(q.Len())/sweepScale
	for c := range Class(classes) {
		q.sweep(now, c)
	}
}

func (q *Queue[V]) sweep(now time.Duration, c Class) {
	mean := q.times(c).mean
	each := mean / q.slotsFor(now, c)
	ahead := 0.0
	if c != Urgent {
		ahead = float64(q.Waiting(Urgent)) * q.times(Urgent).mean / max(float64(q.slots), minSlots)
	}
	kept, reserve := 0.0, 0.0
	q.hopeless = q.hopeless[:0]
	q.s.walk(q.roots[c], func(h Handle) {
		n := &q.s.nodes[h]
		left, need := n.deadline-now, q.need(c, n.spare)
		if left <= 0 || kept+ahead > 0 && seconds(ahead+kept*each)+need > left {
			q.hopeless = append(q.hopeless, h)
			return
		}
		kept++
		reserve = max(reserve, kept*mean/max((left-need).Seconds(), mean/2))
	})
	for _, h := range q.hopeless {
		q.drop(now, h)
	}
	if c == Background {
		q.reserve = min(q.slots, int(reserve*reserveGrowth))
	}
}
