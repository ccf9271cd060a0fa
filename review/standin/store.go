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

// Limits of the store, as the pages give them.
const (
	maxPageItems  = 500
	maxTxnEntries = 32
	maxKeyBytes   = 200
	maxValueBytes = 1 << 20
)

type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type storeLease struct {
	ttl time.Duration
	end time.Time
}

// store is the platform's metadata store. Its answers are linearizable, and it loses nothing.
type store struct {
	mu      sync.Mutex
	items   map[string]storeItem
	leases  map[int64]*storeLease
	history []storeItem
	rev     int64
	lastID  int64
	changed chan struct{}

	// late, if not nil, is asked about each transaction. If it returns more than 0, the transaction is not answered and is made after that
	// time. It is set before the entries start.
	late     func(put []storeItem) time.Duration
	lateDone func(put []storeItem, status int)
}

func newStore() *store {
	s := &store{items: map[string]storeItem{}, leases: map[int64]*storeLease{}, rev: 100, lastID: 70000, changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

// apply changes one key. The caller holds the lock and has increased the revision.
func (s *store) apply(key string, value []byte, lease int64, del bool) {
	if del {
		if _, ok := s.items[key]; !ok {
			return
		}
		delete(s.items, key)
		s.history = append(s.history, storeItem{Key: key, Revision: s.rev, Deleted: true})
		return
	}
	i := storeItem{Key: key, Value: value, Revision: s.rev, Created: s.rev, Lease: lease}
	if o, ok := s.items[key]; ok {
		i.Created = o.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.end) {
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
		s.apply(k, nil, 0, true)
	}
	s.notify()
}

// lapse ends all leases, and removes the entries of the executors.
func (s *store) lapse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.endLease(id)
	}
	s.rev++
	for k := range s.items {
		if strings.HasPrefix(k, "servers/") {
			s.apply(k, nil, 0, true)
		}
	}
	s.notify()
}

// put writes a key on behalf of the operator or an executor.
func (s *store) put(key string, v any) {
	b, _ := json.Marshal(v)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.apply(key, b, 0, false)
	s.notify()
}

// remove deletes a key on behalf of the operator or an executor.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.apply(key, nil, 0, true)
	s.notify()
}

// value returns the value at a key, or nil.
func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// storeView is the store as one entry sees it.
type storeView struct {
	*store
	silent  func() bool                 // reports whether the entry gets no answers.
	rewrite func(i storeItem) storeItem // changes an item that the entry reads.
}

// ServeHTTP answers a call, or leaves it without an answer while the store is silent for the entry.
func (v storeView) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if v.silent() {
		hang(r)
	}
	s, p := v.store, strings.TrimPrefix(r.URL.Path, "/burdockreach/")
	switch {
	case p == "kv-key":
		s.get(w, r, v)
	case p == "kv-range":
		s.list(w, r, v)
	case p == "kv-watch":
		s.watch(w, r, v)
	case p == "kv-txn":
		s.txn(w, r)
	case p == "kv-lease":
		s.grant(w, r)
	case strings.HasPrefix(p, "kv-keep/"):
		s.keep(w, strings.TrimPrefix(p, "kv-keep/"))
	case strings.HasPrefix(p, "kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(p, "kv-lease-end/"), 10, 64)
		s.mu.Lock()
		_, ok := s.leases[id]
		if ok {
			s.endLease(id)
		}
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
		}
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

// hang leaves a request without an answer, until its sender gives it up.
func hang(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

func (s *store) get(w http.ResponseWriter, r *http.Request, v storeView) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, v.rewrite(i))
}

func (s *store) list(w http.ResponseWriter, r *http.Request, v storeView) {
	q := r.URL.Query()
	prefix, after := q.Get("prefix"), q.Get("after")
	s.mu.Lock()
	l := []storeItem{}
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			l = append(l, v.rewrite(i))
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(l, func(a, b int) bool { return l[a].Key < l[b].Key })
	n, size := 0, 0
	for n < len(l) && n < maxPageItems && (n == 0 || size < maxValueBytes) {
		size += len(l[n].Value)
		n++
	}
	answer(w, http.StatusOK, map[string]any{"items": l[:n], "has_more": n < len(l), "current_rev": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, v storeView) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMs, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	end := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []storeItem{}
		for n := len(s.history) - 1; n >= 0 && s.history[n].Revision > after; n-- {
			if strings.HasPrefix(s.history[n].Key, q.Get("prefix")) {
				events = append(events, v.rewrite(s.history[n]))
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if v.silent() {
			hang(r)
		}
		if len(events) > 0 {
			sort.SliceStable(events, func(a, b int) bool { return events[a].Revision < events[b].Revision })
			answer(w, http.StatusOK, map[string]any{"events": events, "current_rev": rev})
			return
		}
		select {
		case <-changed:
			continue
		case <-end:
		case <-r.Context().Done():
		}
		answer(w, http.StatusOK, map[string]any{"events": events, "current_rev": rev})
		return
	}
}

type txnBody struct {
	Expect []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expect"`
	Put    []storeItem `json:"put"`
	Delete []string    `json:"delete_keys"`
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var b txnBody
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil || len(b.Expect)+len(b.Put)+len(b.Delete) > maxTxnEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, p := range b.Put {
		if len(p.Key) > maxKeyBytes || len(p.Value) > maxValueBytes {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if s.late != nil {
		if d := s.late(b.Put); d > 0 {
			time.AfterFunc(d, func() {
				status, _ := s.commit(b)
				s.lateDone(b.Put, status)
			})
			hang(r) // the channel returns nothing further.
		}
	}
	status, body := s.commit(b)
	if body == nil {
		w.WriteHeader(status)
		return
	}
	answer(w, status, body)
}

// commit makes the changes of a transaction, all or none.
func (s *store) commit(b txnBody) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	now := []storeItem{}
	ok := true
	for _, e := range b.Expect {
		i, found := s.items[e.Key]
		if !found {
			i = storeItem{Key: e.Key}
		}
		now = append(now, i)
		ok = ok && i.Revision == e.Revision
	}
	if !ok {
		return http.StatusPreconditionFailed, map[string]any{"items": now}
	}
	for _, p := range b.Put {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	s.rev++
	for _, p := range b.Put {
		s.apply(p.Key, p.Value, p.Lease, false)
	}
	for _, k := range b.Delete {
		s.apply(k, nil, 0, true)
	}
	s.notify()
	return http.StatusOK, map[string]any{"revision": s.rev}
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var b struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil || b.TTLMs < 1000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	d := time.Duration(b.TTLMs) * time.Millisecond
	s.leases[s.lastID] = &storeLease{ttl: d, end: time.Now().Add(d)}
	answer(w, http.StatusOK, map[string]any{"lease": s.lastID, "ttl_ms": b.TTLMs})
}

func (s *store) keep(w http.ResponseWriter, id string) {
	n, _ := strconv.ParseInt(id, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[n]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.end = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}
