// Package board keeps the newest configuration that this process has seen.
package board

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"burdockreach.dev/fleet/batch"
)

// Config is the operator's configuration of queues and services.
type Config struct {
	Version  int64
	Queues   []Queue
	Services []batch.Service
	Limits   Limits
}

// Queue is one route on which callers hand in jobs.
type Queue struct {
	Name, Host, Prefix, Service string
	Priority, Attempts          int
	Stretch                     float64
	AimMs                       int64 // added to the objective.
	Advice                      *Advice
}

// Advice tells how long the service takes that knows which workers may run a step.
type Advice struct{ DecideMs, EachMs, ValidMs int64 }

// Limits bound callers' requests.
type Limits struct {
	HeaderBytes, BodyBytes int
	HeaderMs, IdleMs       int64
}

// Board holds the newest configuration and the operator's waves.
type Board struct {
	current atomic.Pointer[table]

	mu       sync.Mutex
	waves    map[int]batch.WaveMsg
	watchers []chan struct{}
}

// table is a configuration with its queues by host, the longest prefix first.
type table struct {
	config Config
	hosts  map[string][]Queue
}

// New returns a board without a configuration.
func New() *Board { return &Board{waves: map[int]batch.WaveMsg{}} }

// Put takes a configuration in; an older one than the newest is passed over and false returned.
func (b *Board) Put(c Config) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.current.Load(); t != nil && c.Version <= t.config.Version {
		return false
	}
	t := &table{config: c, hosts: map[string][]Queue{}}
	for _, q := range c.Queues {
		t.hosts[q.Host] = append(t.hosts[q.Host], q)
	}
	for _, l := range t.hosts {
		slices.SortFunc(l, func(a, b Queue) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	b.current.Store(t)
	b.notify()
	return true
}

// PutWave takes a wave in.
func (b *Board) PutWave(w batch.WaveMsg) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waves[w.Number] = w
	b.notify()
}

// Waves returns all waves by number.
func (b *Board) Waves() []batch.WaveMsg {
	b.mu.Lock()
	defer b.mu.Unlock()
	var l []batch.WaveMsg
	for _, w := range b.waves {
		l = append(l, w)
	}
	slices.SortFunc(l, func(x, y batch.WaveMsg) int { return cmp.Compare(x.Number, y.Number) })
	return l
}

// notify wakes the watchers; the lock is held.
func (b *Board) notify() {
	for _, c := range b.watchers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// Watch returns a channel that gets a value after each change, until stop is called.
func (b *Board) Watch() (changed <-chan struct{}, stop func()) {
	c := make(chan struct{}, 1)
	c <- struct{}{}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.watchers = append(b.watchers, c)
	return c, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.watchers = slices.DeleteFunc(b.watchers, func(o chan struct{}) bool { return o == c })
	}
}

// Config returns the newest configuration; false while there is none.
func (b *Board) Config() (Config, bool) {
	t := b.current.Load()
	if t == nil {
		return Config{}, false
	}
	return t.config, true
}

// Find returns the queue for a request and the rest of its path, and the version of the configuration; version 0 means that there is none.
func (b *Board) Find(host, path string) (q Queue, rest string, version int64, found bool) {
	t := b.current.Load()
	if t == nil {
		return Queue{}, "", 0, false
	}
	if h, _, ok := strings.Cut(host, ":"); ok {
		host = h
	}
	for _, q := range t.hosts[host] {
		if r, ok := strings.CutPrefix(path, q.Prefix); ok {
			return q, r, t.config.Version, true
		}
	}
	return Queue{}, "", t.config.Version, false
}
