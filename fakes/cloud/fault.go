package cloud

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Mode is how the platform behaves.
type Mode string

const (
	// Up answers each call.
	Up Mode = "up"
	// Down closes the connection of each call, which takes no effect.
	Down Mode = "down"
	// Refuse closes the listener; DelayMillis later it opens again, or, if that is 0, at the next Fault on the control address.
	Refuse Mode = "refuse"
	// Silent answers nothing: calls take no effect, their connections stay open until the mode changes.
	Silent Mode = "silent"
	// Slow delays each call by DelayMillis before it takes effect.
	Slow Mode = "slow"
	// Lose performs each write, then closes its connection without an answer.
	Lose Mode = "lose"
	// Cut parts the named clients, or a whole data centre's entries, from the platform; the rest stays as it is.
	Cut Mode = "cut"
	// Join ends the cut of the named clients or data centre, or of all when none is named.
	Join Mode = "join"
)

// Fault sets how the platform behaves from now on.
type Fault struct {
	Mode        Mode     `json:"mode"`
	DelayMillis int64    `json:"delayMs"`
	Count       int      `json:"count"`      // for Lose: the number of answers to lose; 0 means all until the mode changes.
	Clients     []string `json:"clients"`    // for Cut and Join: names as sent in Burdock-Entry.
	DataCentre  string   `json:"dataCentre"` // for Cut and Join: each entry VM of that data centre.
}

func (m Mode) valid() bool {
	return slices.Contains([]Mode{Up, Down, Refuse, Silent, Slow, Lose, Cut, Join}, m)
}

// callFault is what becomes of one call.
type callFault struct {
	mode    Mode
	delay   time.Duration
	changed <-chan struct{}
}

// faults holds the mode and the clients that are cut off.
type faults struct {
	mu            sync.Mutex
	mode          Mode
	delay         time.Duration
	answersToLose int // answers to lose; 0 means no bound.
	partitioned   map[string]bool
	lostAnswers   int64
	changed       chan struct{} // closed and replaced at each change.
	refuseUntil   time.Time     // end of Refuse; zero means none.
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

// onChange calls f at each change until the returned function is called.
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

// forCall returns what becomes of a call by the client.
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

// loseAnswer reports whether the answer of a call that was performed gets lost.
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

// refusal reports whether the listener must stay closed, for how long, and the channel that the next change closes.
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

// waitForListener returns when the listener may be open, or when it must be closed if open is true.
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

// Fault sets how the platform behaves from now on.
func (s *Server) Fault(f Fault) {
	if f.DataCentre != "" {
		f.Clients = slices.Concat(f.Clients, s.fleet.entries(f.DataCentre))
	}
	s.faults.set(f, time.Now())
}
