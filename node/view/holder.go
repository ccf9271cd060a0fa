package view

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// keptDeltas is the number of past versions from which a delta can be computed.
const keptDeltas = 16

// Holder holds the newest view and the past versions that deltas are computed from. It is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[View]
	mu      sync.Mutex
	past    []*View
	changed chan struct{}
}

// NewHolder starts with an empty view.
func NewHolder() *Holder {
	s := &Holder{changed: make(chan struct{})}
	s.current.Store(New(Version{}, nil))
	return s
}

// View returns the newest view.
func (s *Holder) View() *View { return s.current.Load() }

// Offer applies a delta to the newest view. If it returns ErrOld or ErrGap, nothing has changed.
func (s *Holder) Offer(d Delta) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, err := s.current.Load().Apply(d)
	if err != nil {
		return err
	}
	s.push(n)
	return nil
}

// Put replaces the newest view. If it returns ErrOld, nothing has changed.
func (s *Holder) Put(v *View) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !v.version.After(s.current.Load().version) {
		return ErrOld
	}
	s.push(v)
	return nil
}

// push makes v the newest view and wakes the callers of Wait. The caller holds s.mu.
func (s *Holder) push(v *View) {
	s.past = append(s.past, s.current.Load())
	if n := len(s.past) - keptDeltas; n > 0 {
		s.past = append(s.past[:0], s.past[n:]...)
	}
	s.current.Store(v)
	close(s.changed)
	s.changed = make(chan struct{})
}

// DeltaSince returns the delta from base to the newest view, or a delta with the whole view if base is no longer kept.
// ok is false if base is not older than the newest view.
func (s *Holder) DeltaSince(base Version) (d Delta, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.current.Load()
	if !v.version.After(base) {
		return Delta{}, false
	}
	for _, o := range s.past {
		if o.version == base {
			return Diff(o, v), true
		}
	}
	return FullDelta(v), true
}

// Wait blocks until the newest view is newer than base, or until ctx is done, and then returns the context's error.
func (s *Holder) Wait(ctx context.Context, base Version) error {
	for {
		s.mu.Lock()
		w := s.changed
		s.mu.Unlock()
		if s.View().version.After(base) {
			return nil
		}
		select {
		case <-w:
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "step=wait")
		}
	}
}
