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
	Teams    []Team
	Closed   bool // teams are configured and none of them can be used: calls need keys, and no key is valid.
	Limits   Limits
}

// Team is a team of callers and the keys that admit them.
type Team struct {
	batch.Team
	Keys []string
}

// BatchTeams returns the teams without their keys.
func (c Config) BatchTeams() []batch.Team {
	l := make([]batch.Team, 0, len(c.Teams))
	for _, t := range c.Teams {
		l = append(l, t.Team)
	}
	return l
}

// AdviceTimes returns the times of advice of the queues whose jobs need it, by queue.
func (c Config) AdviceTimes() map[string]batch.AdviceTimes {
	l := map[string]batch.AdviceTimes{}
	for _, q := range c.Queues {
		if q.Advice != nil {
			l[q.Name] = *q.Advice
		}
	}
	return l
}

// Queue is one route for jobs, given by host and path prefix.
type Queue struct {
	Name, Host, Prefix, Service string
	Priority, Attempts          int
	ObjectiveFactor             float64            // objective in multiples of the longest chain of work.
	ObjectiveExtraMs            int64              // added to the objective, ms.
	Advice                      *batch.AdviceTimes // nil if its jobs need no advice.
	Public                      bool               // calls need no key.
}

// Limits holds the limits of callers' requests in bytes. A limit that is zero is not set.
type Limits struct{ HeaderBytes, BodyBytes int }

// Board holds the newest configuration and the operator's waves. It is safe for concurrent use.
type Board struct {
	current atomic.Pointer[table]

	mu       sync.Mutex
	waves    map[int]batch.WaveMsg
	watchers []chan struct{}
}

// table is a configuration with its queues indexed by host, longest prefix first, and its keys.
type table struct {
	config Config
	hosts  map[string][]Queue
	keys   keyIndex
}

// New returns a Board without a configuration.
func New() *Board { return &Board{waves: map[int]batch.WaveMsg{}} }

// PutConfig stores a configuration. It returns false and changes nothing if the version is not newer than the current one.
func (b *Board) PutConfig(c Config) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.current.Load(); t != nil && c.Version <= t.config.Version {
		return false
	}
	t := &table{config: c, hosts: map[string][]Queue{}, keys: indexKeys(c)}
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

// PutWave stores a wave and replaces one with the same number.
func (b *Board) PutWave(w batch.WaveMsg) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waves[w.Number] = w
	b.notify()
}

// Waves returns all waves, sorted by number.
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

// notify wakes the watchers. The caller holds mu.
func (b *Board) notify() {
	for _, c := range b.watchers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// Watch returns a channel that gets a value at once and after changes, until stop is called. Several
// changes may share one value.
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

// Config returns the newest configuration, or false while there is none.
func (b *Board) Config() (Config, bool) {
	t := b.current.Load()
	if t == nil {
		return Config{}, false
	}
	return t.config, true
}

// Find returns the queue for a request, the rest of its path after the queue's prefix, and the version of the configuration. Version 0
// means that there is no configuration.
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
