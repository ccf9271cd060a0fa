package sched

import (
	"maps"
	"time"

	"burdockreach.dev/flow/queue"
)

// Stats is what a Scheduler counts.
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

// Busy returns the number of slots with a request at a target.
func (s Stats) Busy() int { return s.busy }

// Idle returns the number of slots that this entry may use and leaves idle.
func (s Stats) Idle() int { return s.idle }

// Slots returns the number of slots, idle or not, at the targets in use.
func (s Stats) Slots() int { return s.slots }

// Pressing returns the number of waiting requests that should have a slot now: not those background ones whose time has not come.
func (s Stats) Pressing() int { return s.demand }

// Yielding returns the number of background requests at targets that would make room for more pressing ones.
func (s Stats) Yielding() int { return s.reclaimable }

// Held returns the idle slots that are kept for urgent requests.
func (s Stats) Held() int { return s.urgentReserve }

// Targets returns the number of targets in use.
func (s Stats) Targets() int { return s.targets }

// Ejected returns the number of targets that get only trials.
func (s Stats) Ejected() int { return s.ejected }

// Ended returns the number of requests that ended for the reason since the start.
func (s Stats) Ended(r Reason) int64 { return s.ended[r] }

// Arrivals returns the lately arrived requests a second.
func (s Stats) Arrivals() float64 { return s.arrivals }

// Goodput returns the requests a second that were lately answered in time.
func (s Stats) Goodput() float64 { return s.goodput }

// ServiceTime returns the learned mean time that a send takes.
func (s Stats) ServiceTime() time.Duration { return s.serviceTime }

// Stats returns what the scheduler counts.
func (s *Scheduler) Stats() Stats {
	t := Stats{
		busy: s.pool.Busy(), idle: s.pool.Free(), slots: s.pool.Slots(),
		demand: s.queue.Pressing(), reclaimable: s.queue.Yielding(), urgentReserve: s.urgentReserve(queue.Normal),
		targets: s.pool.Usable(), ejected: s.pool.Ejected(),
		ended:    maps.Clone(s.meters.ended),
		arrivals: s.meters.arrivals.rate(s.now), goodput: s.meters.goodput.rate(s.now),
		serviceTime: s.queue.Mean(),
	}
	for c := range t.queued {
		t.queued[c] = s.queue.Waiting(queue.Class(c))
	}
	return t
}

// meters counts what happens.
type meters struct {
	ended             map[Reason]int64
	arrivals, goodput rateMeter
}

func newMeters() meters { return meters{ended: map[Reason]int64{}} }

const meterWindow = time.Second

// rateMeter counts events in windows of a second and keeps the last whole one.
type rateMeter struct {
	windowStart     time.Duration
	count, previous float64
}

func (m *rateMeter) add(now time.Duration) {
	m.roll(now)
	m.count++
}

func (m *rateMeter) roll(now time.Duration) {
	switch d := now - m.windowStart; {
	case d < meterWindow:
	case d < 2*meterWindow:
		m.windowStart, m.previous, m.count = m.windowStart+meterWindow, m.count, 0
	default:
		m.windowStart, m.previous, m.count = now, 0, 0
	}
}

// rate returns the events a second of the last whole window.
func (m *rateMeter) rate(now time.Duration) float64 {
	m.roll(now)
	return m.previous / meterWindow.Seconds()
}
