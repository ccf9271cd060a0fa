package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// historyLen is the number of changes that the store remembers for watches.
const historyLen = 100_000

// item is one key of the store, and one event of a watch.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// grant is a lease of the store.
type grant struct {
	ttl   time.Duration
	until time.Time
}

// store is a linearizable key-value store in memory with the calls of the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]item
	leases  map[int64]*grant
	nextID  int64
	events  []item
	changed chan struct{}
	writes  int64
}

func newStore() *store {
	s := &store{rev: 1, items: map[string]item{}, leases: map[int64]*grant{}, nextID: 1000, changed: make(chan struct{})}
	return s
}

// expire removes the leases that have ended, with their keys. The caller holds mu.
func (s *store) expire(now time.Time) {
	for id, g := range s.leases {
		if now.After(g.until) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for k, i := range s.items {
		if i.Lease == id {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.rev++
	for _, k := range keys {
		s.remove(k)
	}
	s.notify()
}

func (s *store) remove(k string) {
	if _, ok := s.items[k]; ok {
		delete(s.items, k)
		s.events = append(s.events, item{Key: k, Revision: s.rev, Deleted: true})
	}
}

func (s *store) notify() {
	if n := len(s.events) - historyLen; n > 0 {
		s.events = s.events[n:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key without a condition, as the operator and the workers do.
func (s *store) put(k string, v any, lease int64) {
	b, ok := v.([]byte)
	if !ok {
		b, _ = json.Marshal(v)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.write(k, b, lease)
	s.notify()
}

func (s *store) del(k string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.remove(k)
	s.notify()
}

func (s *store) write(k string, v []byte, lease int64) {
	old, ok := s.items[k]
	c := s.rev
	if ok {
		c = old.Created
	}
	i := item{Key: k, Value: v, Revision: s.rev, Created: c, Lease: lease}
	s.items[k] = i
	s.events = append(s.events, i)
}

// get returns the value of a key.
func (s *store) get(k string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	i, ok := s.items[k]
	return i.Value, ok
}

func reply(w http.ResponseWriter, status int, v any) {
	b, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

// ServeHTTP serves the calls of the store.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p := strings.TrimPrefix(r.URL.Path, "/burdockreach/")
	q := r.URL.Query()
	switch {
	case p == "kv-key":
		s.mu.Lock()
		s.expire(time.Now())
		i, ok := s.items[q.Get("key")]
		rev := s.rev
		s.mu.Unlock()
		if !ok {
			reply(w, 404, map[string]any{"current_rev": rev})
			return
		}
		reply(w, 200, struct {
			item
			Rev int64 `json:"current_rev"`
		}{i, rev})
	case p == "kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case p == "kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		ms, _ := strconv.Atoi(q.Get("wait_ms"))
		s.serveWatch(w, r, q.Get("prefix"), after, time.Duration(ms)*time.Millisecond)
	case p == "kv-txn":
		s.serveTxn(w, r)
	case p == "kv-lease":
		var b struct {
			TTL int64 `json:"ttl_ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&b)
		s.mu.Lock()
		s.nextID++
		id := s.nextID
		d := time.Duration(max(b.TTL, 1000)) * time.Millisecond
		s.leases[id] = &grant{d, time.Now().Add(d)}
		s.mu.Unlock()
		reply(w, 200, map[string]any{"lease": id, "ttl_ms": d.Milliseconds()})
	case strings.HasPrefix(p, "kv-keep/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(p, "kv-keep/"), 10, 64)
		s.mu.Lock()
		s.expire(time.Now())
		g := s.leases[id]
		if g != nil {
			g.until = time.Now().Add(g.ttl)
		}
		s.mu.Unlock()
		if g == nil {
			reply(w, 404, map[string]any{})
			return
		}
		reply(w, 200, map[string]any{"ttl_ms": g.ttl.Milliseconds()})
	case strings.HasPrefix(p, "kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(p, "kv-lease-end/"), 10, 64)
		s.mu.Lock()
		_, ok := s.leases[id]
		s.endLease(id)
		s.mu.Unlock()
		if !ok {
			reply(w, 404, map[string]any{})
			return
		}
		reply(w, 200, map[string]any{})
	default:
		w.WriteHeader(404)
	}
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	s.expire(time.Now())
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > 500
	keys = keys[:min(len(keys), 500)]
	l := []item{}
	for _, k := range keys {
		l = append(l, s.items[k])
	}
	rev := s.rev
	s.mu.Unlock()
	reply(w, 200, map[string]any{"items": l, "has_more": more, "current_rev": rev})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	end := time.Now().Add(wait)
	for {
		s.mu.Lock()
		s.expire(time.Now())
		var l []item
		n := sort.Search(len(s.events), func(i int) bool { return s.events[i].Revision > after })
		for _, e := range s.events[n:] {
			if strings.HasPrefix(e.Key, prefix) {
				l = append(l, e)
			}
		}
		rev, c := s.rev, s.changed
		s.mu.Unlock()
		left := time.Until(end)
		if len(l) > 0 || left <= 0 {
			if l == nil {
				l = []item{}
			}
			reply(w, 200, map[string]any{"events": l, "current_rev": rev})
			return
		}
		select {
		case <-c:
		case <-time.After(min(left, 20*time.Millisecond)): // leases expire without a call.
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Expect []item   `json:"expect"`
		Put    []item   `json:"put"`
		Delete []string `json:"delete_keys"`
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil || len(b.Expect)+len(b.Put)+len(b.Delete) > 32 {
		reply(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	ok := true
	cur := []item{}
	for _, e := range b.Expect {
		i, found := s.items[e.Key]
		if !found {
			i = item{Key: e.Key}
		}
		cur = append(cur, i)
		ok = ok && i.Revision == e.Revision
	}
	if !ok {
		reply(w, 412, map[string]any{"items": cur})
		return
	}
	for _, p := range b.Put {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, 404, map[string]any{})
			return
		}
	}
	s.rev++
	s.writes++
	for _, p := range b.Put {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, k := range b.Delete {
		s.remove(k)
	}
	s.notify()
	reply(w, 200, map[string]any{"revision": s.rev})
}
