package cloud

import (
	"context"
	"slices"
	"sync"
	"time"
)

// FaultMode is the kind of a fault.
type FaultMode string

const (
	// Up ends the fault: the platform answers each call.
	Up FaultMode = "up"
	// Down closes the connection of each call without executing the call.
	Down FaultMode = "down"
	// Refuse closes the listener. It opens again after DelayMillis or, if that is 0, at the next Fault, which must come through
	// the control address or Server.Fault.
	Refuse FaultMode = "refuse"
	// Silent neither executes nor answers calls. Their connections stay open until the next Fault.
	Silent FaultMode = "silent"
	// Slow delays each call by DelayMillis before it is executed.
	Slow FaultMode = "slow"
	// Lose executes each write, then closes its connection without an answer.
	Lose FaultMode = "lose"
	// Cut partitions the named clients, or all entries of a data centre, from the platform. The mode for other clients stays.
	Cut FaultMode = "cut"
	// Join ends the partition of the named clients or data centre, or every partition if none is named.
	Join FaultMode = "join"
)

// Fault is a change of the injected faults, and the body of the control call /fault.
type Fault struct {
	Mode        FaultMode `json:"mode"`
	DelayMillis int64     `json:"delayMs"`
	Count       int       `json:"count"`      // for Lose: the number of answers to lose; 0 means all until the mode changes.
	Clients     []string  `json:"clients"`    // for Cut and Join: names as clients send them in the header Burdock-Entry.
	DataCentre  string    `json:"dataCentre"` // for Cut and Join: names all entry VMs of that data centre.
}

func (m FaultMode) valid() bool {
	return slices.Contains([]FaultMode{Up, Down, Refuse, Silent, Slow, Lose, Cut, Join}, m)
}

// callFault is the fault that applies to one call.
type callFault struct {
	mode    FaultMode
	delay   time.Duration
	changed <-chan struct{}
}

// faults holds the current mode and the partitioned clients.
type faults struct {
	mu            sync.Mutex
	mode          FaultMode
	delay         time.Duration
	answersToLose int // 0 means no limit.
	partitioned   map[string]bool
	lostAnswers   int64
	changed       chan struct{} // closed and replaced at each Fault.
	refuseUntil   time.Time     // end of Refuse; zero means that only the next Fault ends it.
	callbacks     map[int]func()
	lastCallback  int
}

func newFaults() *faults {
	return &faults{mode: Up, partitioned: map[string]bool{}, changed: make(chan struct{}), callbacks: map[int]func(){}}
}

func (f *faults) set(c Fault, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch c.Mode {
	case Cut:
		for _, n := range c.Clients {
			f.partitioned[n] = true
		}
	case Join:
		if len(c.Clients) == 0 && c.DataCentre == "" {
			clear(f.partitioned)
		}
		for _, n := range c.Clients {
			delete(f.partitioned, n)
		}
	default:
		f.mode, f.answersToLose, f.refuseUntil = c.Mode, c.Count, time.Time{}
		f.delay = time.Duration(c.DelayMillis) * time.Millisecond
		if c.Mode == Refuse && f.delay > 0 {
			f.refuseUntil = now.Add(f.delay)
		}
	}
	close(f.changed)
	f.changed = make(chan struct{})
	for _, w := range f.callbacks {
		w()
	}
}

// onChange calls callback at each Fault until the returned function is called.
func (f *faults) onChange(callback func()) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastCallback++
	n := f.lastCallback
	f.callbacks[n] = callback
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.callbacks, n)
	}
}

// forCall returns the fault that applies to a call by the client.
func (f *faults) forCall(client string) callFault {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := callFault{mode: f.mode, changed: f.changed}
	switch {
	case f.partitioned[client]:
		v.mode = Down
	case f.mode == Slow:
		v.delay = f.delay
	}
	return v
}

// loseAnswer reports whether the answer to an executed call is lost, and counts it.
func (f *faults) loseAnswer(write bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.mode != Lose || !write {
		return false
	}
	f.lostAnswers++
	if f.answersToLose > 0 {
		if f.answersToLose--; f.answersToLose == 0 {
			f.mode = Up
		}
	}
	return true
}

func (f *faults) lostCount() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lostAnswers
}

// refusal reports whether the listener must be closed and for how long, and returns the channel that the next Fault closes.
func (f *faults) refusal(now time.Time) (bool, time.Duration, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.mode != Refuse {
		return false, 0, f.changed
	}
	if f.refuseUntil.IsZero() {
		return true, time.Hour, f.changed
	}
	if !now.Before(f.refuseUntil) {
		f.mode = Up
		return false, 0, f.changed
	}
	return true, f.refuseUntil.Sub(now), f.changed
}

// waitForListener waits until the listener must be closed if open is true, and until it may be opened if open is false.
func (f *faults) waitForListener(ctx context.Context, open bool) {
	for {
		refused, left, changed := f.refusal(time.Now())
		if refused == open {
			return
		}
		t := time.NewTimer(max(left, time.Millisecond))
		var end <-chan time.Time
		if refused {
			end = t.C
		}
		select {
		case <-changed:
		case <-end:
		case <-ctx.Done():
			t.Stop()
			return
		}
		t.Stop()
	}
}

// Fault applies f from now on.
func (s *Server) Fault(f Fault) {
	if f.DataCentre != "" {
		f.Clients = slices.Concat(f.Clients, s.fleet.entries(f.DataCentre))
	}
	s.faults.set(f, time.Now())
}
