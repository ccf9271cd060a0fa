package sched

import (
	"maps"
	"time"

	"burdockreach.dev/flow/queue"
)

// Stats holds the counters and the current state of a Scheduler.
type Stats struct {
	queued                     [3]int
	busy, idle, slots          int
	demand                     int
	reclaimable, urgentReserve int
	targets, ejected           int
	ended                      map[Reason]int64
	arrivals, goodput          float64
	serviceTime                time.Duration
}

// Queued returns the number of requests of class c that wait to be sent.
func (s Stats) Queued(c Class) int { return s.queued[min(c, Background)] }

// Busy returns the number of slots occupied by requests at targets.
func (s Stats) Busy() int { return s.busy }

// Idle returns the number of free slots that this entry may use.
func (s Stats) Idle() int { return s.idle }

// Slots returns the number of slots, free or occupied, of the targets in use.
func (s Stats) Slots() int { return s.slots }

// Demand returns the number of queued requests that need a slot now. Background requests count only as far as their deadlines
// require slots now.
func (s Stats) Demand() int { return s.demand }

// Reclaimable returns the number of background requests at targets beyond those that deadlines require. Their slots can go to more
// urgent requests when they end.
func (s Stats) Reclaimable() int { return s.reclaimable }

// UrgentReserve returns the number of free slots that are reserved for urgent requests.
func (s Stats) UrgentReserve() int { return s.urgentReserve }

// Targets returns the number of targets in use.
func (s Stats) Targets() int { return s.targets }

// Ejected returns the number of ejected targets, which get only trial requests.
func (s Stats) Ejected() int { return s.ejected }

// Ended returns the number of requests that have ended for the reason since the start.
func (s Stats) Ended(r Reason) int64 { return s.ended[r] }

// Arrivals returns the recent arrival rate in requests per second.
func (s Stats) Arrivals() float64 { return s.arrivals }

// Goodput returns the recent rate of requests answered in time, per second.
func (s Stats) Goodput() float64 { return s.goodput }

// ServiceTime returns the estimated mean duration of a send, learned from answers.
func (s Stats) ServiceTime() time.Duration { return s.serviceTime }

// Stats returns the current counters and state.
func (s *Scheduler) Stats() Stats {
	t := Stats{
		busy: s.pool.Busy(), idle: s.pool.Free(), slots: s.pool.Slots(),
		demand: s.queue.DueNow(), reclaimable: s.queue.OverReserve(), urgentReserve: s.urgentReserve(queue.Normal),
		targets: s.pool.Usable(), ejected: s.pool.Ejected(),
		ended:    maps.Clone(s.meters.ended),
		arrivals: s.meters.arrivals.rate(s.now), goodput: s.meters.goodput.rate(s.now),
		serviceTime: s.queue.MeanServiceTime(),
	}
	for c := range t.queued {
		t.queued[c] = s.queue.Waiting(queue.Class(c))
	}
	return t
}

// meters holds the event counters of a Scheduler.
type meters struct {
	ended             map[Reason]int64
	arrivals, goodput rateMeter
}

func newMeters() meters { return meters{ended: map[Reason]int64{}} }

const meterWindow = time.Second

// rateMeter counts events in windows of meterWindow and keeps the count of the last complete one.
type rateMeter struct {
	windowStart     time.Duration
	count, previous float64
}

func (m *rateMeter) add(now time.Duration) {
	m.roll(now)
	m.count++
}

// roll starts a new window if the current one has ended.
func (m *rateMeter) roll(now time.Duration) {
	switch d := now - m.windowStart; {
	case d < meterWindow:
	case d < 2*meterWindow:
		m.windowStart, m.previous, m.count = m.windowStart+meterWindow, m.count, 0
	default:
		m.windowStart, m.previous, m.count = now, 0, 0
	}
}

// rate returns the events per second in the last complete window.
func (m *rateMeter) rate(now time.Duration) float64 {
	m.roll(now)
	return m.previous / meterWindow.Seconds()
}
