package sched

import "time"

// Stats is what a Scheduler counts.
type Stats struct {
	queued            [3]int
	busy, idle        int
	ended             map[Reason]int64
	arrivals, goodput float64
	service           time.Duration
}

// Queued returns the number of requests of class c that wait to be sent.
func (s Stats) Queued(c Class) int { return s.queued[min(c, Background)] }

// Busy returns the number of slots with a request at a target.
func (s Stats) Busy() int { return s.busy }

// Idle returns the number of slots that this entry may use and leaves idle.
func (s Stats) Idle() int { return s.idle }

// Ended returns the number of requests that ended for the reason since the start.
func (s Stats) Ended(r Reason) int64 { return s.ended[r] }

// Arrivals returns the lately arrived requests a second.
func (s Stats) Arrivals() float64 { return s.arrivals }

// Goodput returns the lately answered requests a second.
func (s Stats) Goodput() float64 { return s.goodput }

// ServiceTime returns the learned mean time that a send takes.
func (s Stats) ServiceTime() time.Duration { return s.service }
