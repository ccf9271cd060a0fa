package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// advice is the service that decides which workers may run a step. It handles one call at a time for each calling machine, in turn.
type advice struct {
	rig            *rig
	decide, each   time.Duration
	validMs        int64
	mu             sync.Mutex
	waiting        int
	line           chan struct{} // holds one value while a call is handled.
	tickets        map[string]time.Time
	calls, refused int
	dropped        int
}

func newAdvice(r *rig) *advice {
	return &advice{rig: r, line: make(chan struct{}, 1), tickets: map[string]time.Time{}, validMs: 3000}
}

func (a *advice) valid(ticket, task string, w *worker) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	step := task[:strings.LastIndexByte(task, '.')]
	until, ok := a.tickets[ticket]
	return ok && strings.HasPrefix(ticket, step+"-"+w.id+"-"+fmt.Sprint(w.born)) && time.Now().Before(until)
}

// ServeHTTP answers calls for advice in turn. All entries of a script that uses it call from one machine.
func (a *advice) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	var b struct {
		Phase   string   `json:"phase"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(q.Body).Decode(&b); err != nil {
		w.WriteHeader(400)
		return
	}
	a.mu.Lock()
	a.calls++
	if a.waiting >= 32 {
		a.refused++
		a.mu.Unlock()
		a.rig.rec.add("advice for %s: 429, 32 calls are waiting", b.Phase)
		w.WriteHeader(429)
		return
	}
	a.waiting++
	a.mu.Unlock()
	begin := time.Now()
	select {
	case a.line <- struct{}{}:
	case <-q.Context().Done(): // the caller has gone: the call is dropped before its turn.
		a.mu.Lock()
		a.waiting--
		a.mu.Unlock()
		a.rig.rec.add("advice for %s: the caller has gone after %d ms of waiting", b.Phase, time.Since(begin).Milliseconds())
		return
	}
	a.mu.Lock()
	a.waiting--
	a.mu.Unlock()
	d := a.decide + time.Duration(len(b.Workers))*a.each
	time.Sleep(d)
	<-a.line
	l := [][]string{}
	a.mu.Lock()
	for _, id := range b.Workers {
		born := int64(0)
		for _, x := range a.rig.workers {
			if x.id == id {
				born = x.born
			}
		}
		t := fmt.Sprintf("%s-%s-%d-%d", b.Phase, id, born, len(a.tickets))
		a.tickets[t] = time.Now().Add(time.Duration(a.validMs) * time.Millisecond)
		l = append(l, []string{id, t})
	}
	a.mu.Unlock()
	gone := q.Context().Err() != nil
	a.rig.rec.add("advice for %s, %d workers: answered after %d ms, caller gone: %t", b.Phase, len(b.Workers), time.Since(begin).Milliseconds(), gone)
	reply(w, 200, map[string]any{"granted": l, "valid_ms": a.validMs})
}
