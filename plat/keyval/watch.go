package keyval

import (
	"context"
	"maps"
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// maxEvents is the largest number of events that one watch returns.
const maxEvents = 1_000

// Watch implements Store. It returns ErrReset if rev is newer than the store or older than its history.
func (m *Memory) Watch(ctx context.Context, prefix string, rev Revision, wait time.Duration) ([]Event, Revision, error) {
	m.watches.Add(1)
	if err := checkContext(ctx, "watch", prefix); err != nil {
		return nil, 0, err
	}
	deadline := time.Now().Add(wait)
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		l, nextRev, changed, err := m.eventsAfter(prefix, rev)
		if err != nil || len(l) > 0 {
			return l, nextRev, err
		}
		rev = nextRev
		remaining := time.Until(deadline)
		if remaining <= 0 {
			return nil, nextRev, nil
		}
		t.Reset(min(remaining, m.untilNextExpiry()))
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
			return nil, 0, eris.Wrapf(ErrUnknown, "watch %s in memory store: %v", prefix, ctx.Err())
		}
	}
}

// eventsAfter returns the events after rev, the revision to continue from and the channel that the next change closes.
func (m *Memory) eventsAfter(prefix string, rev Revision) ([]Event, Revision, chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	s := &m.state
	if rev > s.rev || rev < s.compactedRev {
		return nil, s.rev, nil, eris.Wrapf(ErrReset, "watch %s from revision %d in memory store at revision %d", prefix, rev, s.rev)
	}
	var l []Event
	pos := sort.Search(len(s.events), func(i int) bool { return s.events[i].item.rev > rev })
	for _, e := range s.events[pos:] {
		if !strings.HasPrefix(e.item.key, prefix) {
			continue
		}
		if l = append(l, e); len(l) == maxEvents {
			return l, e.item.rev, m.changed, nil
		}
	}
	return l, s.rev, m.changed, nil
}

// untilNextExpiry returns the time until the next lease may expire, at least 1 ms.
func (m *Memory) untilNextExpiry() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := time.Duration(math.MaxInt64)
	for _, g := range m.leases {
		d = min(d, max(g.expiry.Sub(m.now()), time.Millisecond))
	}
	return d
}

// Snapshot is a copy of the state of a Memory at one time, without its leases.
type Snapshot struct {
	state memoryState
}

// Save returns a copy of the present state.
func (m *Memory) Save() Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	s := m.state
	s.items, s.keys, s.events = maps.Clone(s.items), slices.Clone(s.keys), slices.Clone(s.events)
	return Snapshot{state: s}
}

// Restore replaces the state by an older one, like a service restored from a backup: revisions go back too, and every lease expires.
func (m *Memory) Restore(s Snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = s.state
	m.state.items, m.state.keys = maps.Clone(s.state.items), slices.Clone(s.state.keys)
	m.state.events = slices.Clone(s.state.events)
	m.leases = map[LeaseID]*leaseState{}
	for _, k := range slices.Clone(m.state.keys) {
		if m.state.items[k].lease != 0 {
			m.remove(k)
		}
	}
	m.notifyWatches()
}
