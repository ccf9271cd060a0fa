package keyval

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// defaultHistory is the number of past events from which a watch can continue.
const defaultHistory = 8_192

// maxListItems is the largest number of items that one list returns.
const maxListItems = 1_000

// Memory is an in-memory Store for tests and stand-ins. It is safe for concurrent use.
type Memory struct {
	now     func() time.Time
	history int // least number of past events that are kept

	reads, writes, watches atomic.Int64

	mu        sync.Mutex
	state     memoryState
	leases    map[LeaseID]*leaseState
	lastLease LeaseID
	changed   chan struct{} // closed and replaced at each change
}

type memoryState struct {
	rev          Revision
	items        map[string]storedItem
	keys         []string // in ascending order
	events       []Event  // by revision
	compactedRev Revision // revision of the last event that was dropped from events
}

type storedItem struct {
	item  Item
	lease LeaseID
}

type leaseState struct {
	ttl    time.Duration
	expiry time.Time
}

var _ Store = (*Memory)(nil)

// MemoryOption configures a Memory.
type MemoryOption func(*Memory)

// WithClock sets the clock by which leases expire.
func WithClock(now func() time.Time) MemoryOption { return func(m *Memory) { m.now = now } }

// WithHistory sets the number of past events from which a watch can continue.
func WithHistory(n int) MemoryOption { return func(m *Memory) { m.history = max(n, 1) } }

// NewMemory returns an empty store.
func NewMemory(opts ...MemoryOption) *Memory {
	m := &Memory{now: time.Now, history: defaultHistory, leases: map[LeaseID]*leaseState{}, changed: make(chan struct{})}
	m.state.items = map[string]storedItem{}
	for _, o := range opts {
		o(m)
	}
	return m
}

// Reads returns the number of gets and lists so far.
func (m *Memory) Reads() int64 { return m.reads.Load() }

// Writes returns the number of puts, deletes, transactions and lease calls so far.
func (m *Memory) Writes() int64 { return m.writes.Load() }

// Watches returns the number of watches so far.
func (m *Memory) Watches() int64 { return m.watches.Load() }

// Rev returns the revision of the last write.
func (m *Memory) Rev() Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	return m.state.rev
}

// Get implements Store.
func (m *Memory) Get(ctx context.Context, key string) (Item, error) {
	m.reads.Add(1)
	if err := checkContext(ctx, "get", key); err != nil {
		return Item{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	i := m.state.items[key].item
	i.key = key
	return i, nil
}

// List implements Store; it returns at most 1,000 items.
func (m *Memory) List(ctx context.Context, prefix, after string, limit int) ([]Item, Revision, error) {
	m.reads.Add(1)
	if err := checkContext(ctx, "list", prefix); err != nil {
		return nil, 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	var l []Item
	pos, _ := slices.BinarySearch(m.state.keys, max(prefix, after))
	for _, k := range m.state.keys[pos:] {
		if !strings.HasPrefix(k, prefix) || len(l) >= min(max(limit, 0), maxListItems) {
			break
		}
		if k > after {
			l = append(l, m.state.items[k].item)
		}
	}
	return l, m.state.rev, nil
}

// Put implements Store. It also returns ErrConflict if the lease has expired.
func (m *Memory) Put(ctx context.Context, key string, value []byte, cond Revision, lease LeaseID) (Revision, error) {
	m.writes.Add(1)
	if err := checkContext(ctx, "put", key); err != nil {
		return 0, err
	}
	if len(value) > MaxValue {
		return 0, eris.Wrapf(ErrTooLarge, "put %s: %d bytes", key, len(value))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	if !m.conditionHolds(key, cond) || (lease != 0 && m.leases[lease] == nil) {
		return 0, eris.Wrapf(ErrConflict, "put %s with condition %d in memory store", key, cond)
	}
	i := Item{key: key, value: slices.Clone(value), rev: m.state.rev + 1}
	if pos, ok := slices.BinarySearch(m.state.keys, key); !ok {
		m.state.keys = slices.Insert(m.state.keys, pos, key)
	}
	m.state.items[key] = storedItem{item: i, lease: lease}
	m.appendEvent(NewEvent(i, false))
	return i.rev, nil
}

// Delete implements Store.
func (m *Memory) Delete(ctx context.Context, key string, cond Revision) error {
	m.writes.Add(1)
	if err := checkContext(ctx, "delete", key); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	if !m.conditionHolds(key, cond) {
		return eris.Wrapf(ErrConflict, "delete %s with condition %d in memory store", key, cond)
	}
	m.remove(key)
	return nil
}

// Grant implements Store.
func (m *Memory) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	m.writes.Add(1)
	if err := checkContext(ctx, "grant", ""); err != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastLease++
	m.leases[m.lastLease] = &leaseState{ttl: ttl, expiry: m.now().Add(ttl)}
	return m.lastLease, nil
}

// Renew implements Store.
func (m *Memory) Renew(ctx context.Context, id LeaseID) error {
	m.writes.Add(1)
	if err := checkContext(ctx, "renew", ""); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	g := m.leases[id]
	if g == nil {
		return eris.Wrapf(ErrConflict, "renew lease %d in memory store", id)
	}
	g.expiry = m.now().Add(g.ttl)
	return nil
}

// Revoke implements Store. It returns ErrConflict if the lease has already expired.
func (m *Memory) Revoke(ctx context.Context, id LeaseID) error {
	m.writes.Add(1)
	if err := checkContext(ctx, "revoke", ""); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	if m.leases[id] == nil {
		return eris.Wrapf(ErrConflict, "revoke lease %d in memory store", id)
	}
	m.endLease(id)
	return nil
}

func (m *Memory) conditionHolds(key string, cond Revision) bool {
	return cond == Any || m.state.items[key].item.rev == cond
}

func (m *Memory) remove(key string) { m.removeAt(key, m.state.rev+1) }

func (m *Memory) removeAt(key string, r Revision) {
	if _, ok := m.state.items[key]; !ok {
		return
	}
	delete(m.state.items, key)
	if pos, ok := slices.BinarySearch(m.state.keys, key); ok {
		m.state.keys = slices.Delete(m.state.keys, pos, pos+1)
	}
	m.appendEvent(NewEvent(Item{key: key, rev: r}, true))
}

// expire ends the leases that have expired and removes their keys. The caller must hold m.mu.
func (m *Memory) expire() {
	if len(m.leases) == 0 {
		return
	}
	now := m.now()
	for id, g := range m.leases {
		if !now.Before(g.expiry) {
			m.endLease(id)
		}
	}
}

func (m *Memory) endLease(id LeaseID) {
	delete(m.leases, id)
	for _, k := range slices.Clone(m.state.keys) {
		if m.state.items[k].lease == id {
			m.remove(k)
		}
	}
}

// appendEvent appends the event of the next revision and wakes the watches. The caller must hold m.mu.
func (m *Memory) appendEvent(e Event) {
	s := &m.state
	s.rev = e.item.rev
	s.events = append(s.events, e)
	if drop := len(s.events) - m.history; drop >= m.history {
		s.compactedRev = s.events[drop-1].item.rev
		s.events = append([]Event(nil), s.events[drop:]...)
	}
	m.notifyWatches()
}

func (m *Memory) notifyWatches() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// checkContext returns ErrDown if ctx has already ended, since no call is made then.
func checkContext(ctx context.Context, step, key string) error {
	if ctx.Err() == nil {
		return nil
	}
	return eris.Wrapf(ErrDown, "%s %s in memory store: %v", step, key, ctx.Err())
}
