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

func (m Mode) known() bool {
	return slices.Contains([]Mode{Up, Down, Refuse, Silent, Slow, Lose, Cut, Join}, m)
}

// verdict is what becomes of one call.
type verdict struct {
	mode    Mode
	delay   time.Duration
	changed <-chan struct{}
}

// faults holds the mode and the clients that are cut off.
type faults struct {
	mu      sync.Mutex
	mode    Mode
	delay   time.Duration
	left    int // answers to lose; 0 means no bound.
	cut     map[string]bool
	lost    int64
	changed chan struct{} // closed and replaced at each change.
	until   time.Time     // end of Refuse; zero means none.
	waits   map[int]func()
	next    int
}

func newFaults() *faults {
	return &faults{mode: Up, cut: map[string]bool{}, changed: make(chan struct{}), waits: map[int]func(){}}
}

func (f *faults) set(c Fault, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch c.Mode {
	case Cut:
		for _, n := range c.Clients {
			f.cut[n] = true
		}
	case Join:
		if len(c.Clients) == 0 && c.DataCentre == "" {
			clear(f.cut)
		}
		for _, n := range c.Clients {
			delete(f.cut, n)
		}
	default:
		f.mode, f.left, f.until = c.Mode, c.Count, time.Time{}
		f.delay = time.Duration(c.DelayMillis) * time.Millisecond
		if c.Mode == Refuse && f.delay > 0 {
			f.until = now.Add(f.delay)
		}
	}
	close(f.changed)
	f.changed = make(chan struct{})
	for _, w := range f.waits {
		w()
	}
}

// onChange calls f at each change until the returned function is called.
func (f *faults) onChange(call func()) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next++
	n := f.next
	f.waits[n] = call
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.waits, n)
	}
}

// judge returns what becomes of a call by the client.
func (f *faults) judge(client string) verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := verdict{mode: f.mode, changed: f.changed}
	switch {
	case f.cut[client]:
		v.mode = Down
	case f.mode == Slow:
		v.delay = f.delay
	}
	return v
}

// lose reports whether the answer of a call that was performed gets lost.
func (f *faults) lose(write bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.mode != Lose || !write {
		return false
	}
	f.lost++
	if f.left > 0 {
		if f.left--; f.left == 0 {
			f.mode = Up
		}
	}
	return true
}

func (f *faults) lostCount() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost
}

// refusing reports whether the listener must stay closed, for how long, and the channel that the next change closes.
func (f *faults) refusing(now time.Time) (bool, time.Duration, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.mode != Refuse {
		return false, 0, f.changed
	}
	if f.until.IsZero() {
		return true, time.Hour, f.changed
	}
	if !now.Before(f.until) {
		f.mode = Up
		return false, 0, f.changed
	}
	return true, f.until.Sub(now), f.changed
}

// await returns when the listener may be open, or when it must be closed if open is true.
func (f *faults) await(ctx context.Context, open bool) {
	for {
		refused, left, changed := f.refusing(time.Now())
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
