package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// item is one key of the store.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Rev     int64  `json:"revision"`
	Created int64  `json:"created"`
	Lease   int64  `json:"lease"`
}

// change is one entry of the store's history.
type change struct {
	item
	deleted bool
}

type storeLease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in for the platform's metadata store (PROTOCOL.md, "The platform's metadata store").
type store struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]item
	history []change
	leases  map[int64]*storeLease
	lastID  int64
	changed chan struct{} // closed at the next change.

	slow       atomic.Int64 // added to each answer, ms.
	lastWriter atomic.Int64 // gate of the last write under a condition: DEPLOY.md calls that machine the leader.

	writers map[int64]int // gate of the entry that wrote at a revision.
}

func newStore() *store {
	s := &store{rev: 1, items: map[string]item{}, leases: map[int64]*storeLease{}, writers: map[int64]int{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

// expire ends the leases that have run out, and removes their keys.
func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for k, i := range s.items {
		if i.Lease == id {
			s.remove(k)
		}
	}
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.note(change{item: item{Key: key, Rev: s.rev}, deleted: true})
}

func (s *store) set(key string, value []byte, lease int64) {
	s.rev++
	i := item{Key: key, Value: value, Rev: s.rev, Created: s.rev, Lease: lease}
	if o, ok := s.items[key]; ok {
		i.Created = o.Created
	}
	s.items[key] = i
	s.note(change{item: i})
}

func (s *store) note(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key for the operator or an executor.
func (s *store) put(key string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(key, b, 0)
}

func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// writerOf returns the entry that wrote at a revision, and -1 if none did. The entries' fence numbers are revisions of their writes.
func (s *store) writerOf(rev int64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n, ok := s.writers[rev]; ok {
		return n
	}
	return -1
}

// gate is the link of one entry to the store.
type gate struct {
	addr string
	cut  atomic.Bool
}

// serve opens a listener for one entry, so that its link can be cut apart from the others.
func (s *store) serve(n int) *gate {
	g := &gate{}
	l := listen("")
	g.addr = l.Addr().String()
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if g.cut.Load() {
			hang(r)
		}
		status, v := s.handle(r, body, n)
		time.Sleep(time.Duration(s.slow.Load()) * time.Millisecond)
		if g.cut.Load() || status == 0 {
			hang(r)
		}
		answer(w, status, v)
	}))
	return g
}

// Ports of the scripts. They lie below those that the system gives to outgoing connections, which could take the port of an executor that
// is down for a moment.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

// listen opens a listener on loopback: at addr, which may be in use for a moment, or at a free port if addr is empty.
func listen(addr string) net.Listener {
	for range 200 {
		a := addr
		if a == "" {
			a = fmt.Sprintf("127.0.0.1:%d", firstPort+rand.Intn(lastPort-firstPort))
		}
		if l, err := net.Listen("tcp", a); err == nil {
			return l
		}
		time.Sleep(10 * time.Millisecond)
	}
	giveUp("cannot listen at " + addr)
	return nil
}

// hang leaves a request without an answer until its sender closes the connection.
func hang(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

type txn struct {
	Expect []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expect"`
	Put []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"put"`
	Delete []string `json:"delete_keys"`
}

func (s *store) handle(r *http.Request, body []byte, n int) (int, any) {
	q := r.URL.Query()
	path := strings.TrimPrefix(r.URL.Path, "/burdockreach/")
	switch {
	case path == "kv-key":
		s.mu.Lock()
		defer s.mu.Unlock()
		i, ok := s.items[q.Get("key")]
		if !ok {
			return 404, map[string]any{"current_rev": s.rev}
		}
		return 200, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Rev, "created": i.Created, "lease": i.Lease, "current_rev": s.rev}
	case path == "kv-range":
		return s.list(q.Get("prefix"), q.Get("after"))
	case path == "kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
		return s.watch(r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case path == "kv-txn":
		var t txn
		if err := json.Unmarshal(body, &t); err != nil {
			return 400, map[string]any{"error": err.Error()}
		}
		status, v := s.txn(t, n)
		if status == 200 && len(t.Expect) > 0 {
			s.lastWriter.Store(int64(n))
		}
		return status, v
	case path == "kv-lease":
		var t struct {
			TTL int64 `json:"ttl_ms"`
		}
		if err := json.Unmarshal(body, &t); err != nil || t.TTL < 1000 {
			return 400, map[string]any{"error": "ttl_ms"}
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lastID++
		d := time.Duration(t.TTL) * time.Millisecond
		s.leases[s.lastID] = &storeLease{ttl: d, end: time.Now().Add(d)}
		return 200, map[string]any{"lease": s.lastID, "ttl_ms": t.TTL}
	case strings.HasPrefix(path, "kv-keep/"), strings.HasPrefix(path, "kv-lease-end/"):
		verb, id, _ := strings.Cut(path, "/")
		k, _ := strconv.ParseInt(id, 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		l := s.leases[k]
		if l == nil {
			return 404, map[string]any{"error": "no such lease"}
		}
		if verb == "kv-lease-end" {
			s.endLease(k)
			return 200, map[string]any{}
		}
		l.end = time.Now().Add(l.ttl)
		return 200, map[string]any{"ttl_ms": l.ttl.Milliseconds()}
	}
	return 404, map[string]any{"error": "no such call"}
}

const pageItems = 500

func (s *store) list(prefix, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := []item{}
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			l = append(l, i)
		}
	}
	sort.Slice(l, func(a, b int) bool { return l[a].Key < l[b].Key })
	more := len(l) > pageItems
	return 200, map[string]any{"items": l[:min(len(l), pageItems)], "has_more": more, "current_rev": s.rev}
}

func (s *store) watch(r *http.Request, prefix string, after int64, wait time.Duration) (int, any) {
	end := time.After(wait)
	for {
		s.mu.Lock()
		l := []any{}
		for _, c := range s.history {
			switch {
			case c.Rev <= after || !strings.HasPrefix(c.Key, prefix):
			case c.deleted:
				l = append(l, map[string]any{"key": c.Key, "revision": c.Rev, "deleted": true})
			default:
				l = append(l, c.item)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(l) > 0 {
			return 200, map[string]any{"events": l, "current_rev": rev}
		}
		select {
		case <-changed:
		case <-end:
			return 200, map[string]any{"events": l, "current_rev": rev}
		case <-r.Context().Done():
			return 0, nil
		}
	}
}

func (s *store) txn(t txn, n int) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(t.Expect)+len(t.Put)+len(t.Delete) > 32 {
		return 400, map[string]any{"error": "more than 32 entries"}
	}
	now := []item{}
	failed := false
	for _, e := range t.Expect {
		i := s.items[e.Key]
		failed = failed || i.Rev != e.Revision
		i.Key = e.Key
		now = append(now, i)
	}
	if failed {
		return 412, map[string]any{"items": now}
	}
	for _, p := range t.Put {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return 404, map[string]any{"error": fmt.Sprintf("no lease %d", p.Lease)}
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return 403, map[string]any{"error": p.Key}
		}
	}
	for _, p := range t.Put {
		s.set(p.Key, p.Value, p.Lease)
		s.writers[s.rev] = n
	}
	for _, k := range t.Delete {
		s.remove(k)
	}
	return 200, map[string]any{"revision": s.rev}
}
