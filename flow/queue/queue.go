package queue

import "time"

// Class is the priority class of a request; a lower value is served first.
type Class uint8

const (
	// Urgent requests are served first.
	Urgent Class = iota
	// Normal requests are served after urgent ones.
	Normal
	// Background requests are served last, but get reserved slots in time to meet their deadlines.
	Background

	classes = 3
)

const (
	defaultCapacity  = 1 << 16                // requests
	sweepInterval    = 100 * time.Millisecond // minimum; longer queues are swept less often
	sweepScale       = 4096                   // queue length that doubles the interval
	marginDeviations = 5                      // safety margin for long service times, in mean deviations
	marginShare      = 0.25                   // limit of the margin, as a share of the time from arrival to deadline
	reserveFactor    = 1.5                    // reserve, as a multiple of the slots that background requests need to be in time
	minSlots         = 0.5                    // least number of slots assumed to be available to a class
)

// Queue holds the waiting requests of one service. It is not safe for concurrent use.
type Queue[V any] struct {
	treaps       *treaps[V]
	roots        [classes]Handle
	capacity     int
	slots        int
	slotAverage  timeAverage // average number of slots
	running      [classes]int
	timesByClass [classes]timeStats
	allTimes     timeStats // of all classes together
	urgentRate   eventRate // arrivals of urgent requests
	reserve      int       // slots reserved for background requests
	nextSweep    time.Duration
	dropped      []Drop[V]
	toShed       []Handle
}

// Drop is a request that was shed because its deadline had passed or could not be met, or to make room for a higher class.
type Drop[V any] struct {
	v    V
	late bool
}

// Value returns the value that was queued.
func (d Drop[V]) Value() V { return d.v }

// Late reports whether the deadline had passed when the request was shed.
func (d Drop[V]) Late() bool { return d.late }

// Option configures a Queue.
type Option func(*settings)

type settings struct{ capacity int }

// WithCapacity sets how many requests may wait.
func WithCapacity(n int) Option { return func(s *settings) { s.capacity = n } }

// New returns an empty Queue without slots.
func New[V any](opts ...Option) *Queue[V] {
	c := settings{capacity: defaultCapacity}
	for _, o := range opts {
		o(&c)
	}
	return &Queue[V]{treaps: newTreaps[V](), capacity: c.capacity}
}

// SetSlots sets the number of slots that serve this queue, including busy ones.
func (q *Queue[V]) SetSlots(now time.Duration, n int) {
	if n != q.slots {
		q.slots = n
		q.slotAverage.update(now, float64(n))
	}
}

// Len returns the number of waiting requests of all classes.
func (q *Queue[V]) Len() int {
	n := 0
	for c := range q.roots {
		n += int(q.treaps.size(q.roots[c]))
	}
	return n
}

// Waiting returns the number of waiting requests of class c.
func (q *Queue[V]) Waiting(c Class) int { return int(q.treaps.size(q.roots[c])) }

// DueNow returns the number of waiting requests that should start at once: urgent and normal ones, and as many
// background ones as the unused part of the reserve can serve.
func (q *Queue[V]) DueNow() int {
	b := min(q.Waiting(Background), q.reserve-q.running[Background])
	return q.Waiting(Urgent) + q.Waiting(Normal) + max(0, b)
}

// OverReserve returns the number of running background requests in excess of the reserve.
func (q *Queue[V]) OverReserve() int { return max(0, q.running[Background]-q.reserve) }

// Arrived records the arrival of a request of class c, whether it is queued or not.
func (q *Queue[V]) Arrived(now time.Duration, c Class) {
	if c == Urgent {
		q.urgentRate.add(now)
	}
}

// Started records that a request of class c took a slot.
func (q *Queue[V]) Started(c Class) { q.running[c]++ }

// Finished records that a request of class c released its slot, and its service time if took is positive.
func (q *Queue[V]) Finished(c Class, took time.Duration) {
	q.running[c]--
	if took > 0 {
		q.timesByClass[c].add(took)
		q.allTimes.add(took)
	}
}

// MeanServiceTime returns the mean service time of all classes, or 0 if none has been recorded yet.
func (q *Queue[V]) MeanServiceTime() time.Duration { return seconds(q.allTimes.mean) }

func seconds(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }

// times returns the service times of class c, or those of all classes while c has none.
func (q *Queue[V]) times(c Class) *timeStats {
	if q.timesByClass[c].n > 0 {
		return &q.timesByClass[c]
	}
	return &q.allTimes
}

// need returns the time that a request must have left before its deadline when it starts: the mean service time and a
// margin of at most maxMargin.
func (q *Queue[V]) need(c Class, maxMargin time.Duration) time.Duration {
	t := q.times(c)
	return seconds(t.mean) + min(seconds(marginDeviations*t.dev), maxMargin)
}

// marginLimit returns the largest margin for a request that has the given time left until its deadline.
func marginLimit(left time.Duration) time.Duration { return time.Duration(marginShare * float64(left)) }

// urgentSlots returns the average number of slots that urgent requests keep busy, recently or over the long term.
func (q *Queue[V]) urgentSlots(now time.Duration, longTerm bool) float64 {
	q.urgentRate.decay(now)
	if longTerm {
		return q.urgentRate.longTerm * q.times(Urgent).mean
	}
	return q.urgentRate.recent * q.times(Urgent).mean
}

// slotsFor returns the number of slots assumed to be available to a class.
func (q *Queue[V]) slotsFor(now time.Duration, c Class) float64 {
	n := float64(q.slots)
	switch c {
	case Normal:
		n -= q.urgentSlots(now, false) + float64(q.reserve)
	case Background:
		q.slotAverage.update(now, n)
		n = max(n, q.slotAverage.mean) - q.urgentSlots(now, true)
	}
	return max(n, minSlots)
}

// EstimateWait estimates how long a request of class c waits if the given number of requests of its class are ahead of it.
func (q *Queue[V]) EstimateWait(now time.Duration, c Class, ahead int) time.Duration {
	w := float64(ahead+1) * q.times(c).mean / q.slotsFor(now, c)
	if c != Urgent {
		w += float64(q.Waiting(Urgent)) * q.times(Urgent).mean / max(float64(q.slots), minSlots)
	}
	return seconds(w)
}

// Push adds a request if it can be answered by its deadline. Otherwise it returns None and by how much the estimated
// completion exceeds the deadline, or the estimated wait if the queue is full.
// If no other request of its class waits, it is added as long as its deadline has not passed.
func (q *Queue[V]) Push(now time.Duration, c Class, deadline time.Duration, v V) (Handle, time.Duration) {
	left := deadline - now
	ahead := q.treaps.rank(q.roots[c], deadline)
	if excess := q.EstimateWait(now, c, ahead) + q.need(c, marginLimit(left)) - left; excess > 0 && (q.roots[c] != None || left <= 0) {
		return None, excess
	}
	if q.Len() >= q.capacity && !q.evict(now, c) {
		return None, q.EstimateWait(now, c, ahead)
	}
	return q.insert(now, c, deadline, v), 0
}

// Requeue adds a request without checking its deadline or the queue's limit. It is for requests that were admitted before.
func (q *Queue[V]) Requeue(now time.Duration, c Class, deadline time.Duration, v V) Handle {
	return q.insert(now, c, deadline, v)
}

func (q *Queue[V]) insert(now time.Duration, c Class, deadline time.Duration, v V) Handle {
	h := q.treaps.add(c, deadline, marginLimit(deadline-now), v)
	q.roots[c] = q.treaps.insert(q.roots[c], h)
	return h
}

// evict sheds the last request of the lowest class below c to make room, and reports whether there was one.
func (q *Queue[V]) evict(now time.Duration, c Class) bool {
	for k := Background; k > c; k-- {
		if h := q.treaps.last(q.roots[k]); h != None {
			q.shed(now, h)
			return true
		}
	}
	return false
}

func (q *Queue[V]) shed(now time.Duration, h Handle) {
	n := &q.treaps.nodes[h]
	q.dropped = append(q.dropped, Drop[V]{v: n.v, late: n.deadline <= now})
	q.Remove(h)
}

// Remove removes a waiting request.
func (q *Queue[V]) Remove(h Handle) {
	c := q.treaps.nodes[h].class
	q.roots[c] = q.treaps.remove(q.roots[c], h)
	q.treaps.release(h)
}

// Dropped returns the requests that were shed since the last call; the next sheds reuse the slice.
func (q *Queue[V]) Dropped() []Drop[V] {
	d := q.dropped
	q.dropped = q.dropped[:0]
	return d
}

// Pop removes and returns the request to start next, with urgentOnly only an urgent one. It sheds requests on the way
// that can no longer meet their deadline.
func (q *Queue[V]) Pop(now time.Duration, urgentOnly bool) (v V, ok bool) {
	for {
		c := q.nextClass(urgentOnly)
		if c == classes {
			return v, false
		}
		h := q.treaps.first(q.roots[c])
		n := &q.treaps.nodes[h]
		left := n.deadline - now
		if left <= 0 || q.Waiting(c) > 1 && left < q.need(c, n.marginLimit) {
			q.shed(now, h)
			continue
		}
		v = n.v
		q.Remove(h)
		return v, true
	}
}

// nextClass returns the class to serve next, or the constant classes if nothing may be served.
func (q *Queue[V]) nextClass(urgentOnly bool) Class {
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

// Sweep sheds the requests that can no longer be answered in time and updates the reserve for background requests. It
// does nothing if the sweep interval has not passed.
func (q *Queue[V]) Sweep(now time.Duration) {
	if now < q.nextSweep {
		return
	}
	q.nextSweep = now + sweepInterval + sweepInterval*time.Duration(q.Len())/sweepScale
	for c := range Class(classes) {
		q.sweep(now, c)
	}
}

// sweep estimates the wait of each request of class c in order, counting only the requests before it that are kept.
func (q *Queue[V]) sweep(now time.Duration, c Class) {
	mean := q.times(c).mean
	perRequest := mean / q.slotsFor(now, c)
	urgentWait := 0.0
	if c != Urgent {
		urgentWait = float64(q.Waiting(Urgent)) * q.times(Urgent).mean / max(float64(q.slots), minSlots)
	}
	kept, reserve := 0.0, 0.0
	q.toShed = q.toShed[:0]
	q.treaps.walk(q.roots[c], func(h Handle) {
		n := &q.treaps.nodes[h]
		left, need := n.deadline-now, q.need(c, n.marginLimit)
		if left <= 0 || kept+urgentWait > 0 && seconds(urgentWait+kept*perRequest)+need > left {
			q.toShed = append(q.toShed, h)
			return
		}
		kept++
		reserve = max(reserve, kept*mean/max((left-need).Seconds(), mean/2))
	})
	for _, h := range q.toShed {
		q.shed(now, h)
	}
	if c == Background {
		q.reserve = min(q.slots, int(reserve*reserveFactor))
	}
}
