package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// Times of the cut: zone_cut of the site file lasts up to 6.4 s.
const (
	cutFor   = 6400 * time.Millisecond
	gangWork = 7 * time.Second
	nextWork = 3 * time.Second
)

// gated serves h, and leaves calls without an answer while closed is set.
func (r *rig) gated(h http.Handler, closed *atomic.Bool) (string, error) {
	return r.serve(http.HandlerFunc(func(o http.ResponseWriter, q *http.Request) {
		if closed.Load() {
			r.hang(q)
		}
		h.ServeHTTP(&gatedWriter{o, r, q, closed}, q)
	}))
}

// gatedWriter holds an answer back that is ready while the gate is closed.
type gatedWriter struct {
	http.ResponseWriter
	r      *rig
	q      *http.Request
	closed *atomic.Bool
}

func (w *gatedWriter) WriteHeader(status int) {
	if w.closed.Load() {
		w.r.hang(w.q)
	}
	w.ResponseWriter.WriteHeader(status)
}

// gangCut checks that no work item has two runs at once. A gang works at executors of two zones, and the owner's zone is cut off from the
// other zones and the store. Each side learns of the gang's end from the member on its own side.
func gangCut(r *rig) (verdict, error) {
	var ownerCut atomic.Bool // the owner's zone is cut off.
	var lastFence int64      // fencing numbers up to this one are those of the owner whose zone is cut off.
	inZone := map[string]bool{}
	r.cut = func(w *worker, fence int64) bool {
		return ownerCut.Load() && inZone[w.id] != (fence <= atomic.LoadInt64(&lastFence))
	}
	for range 4 {
		if _, err := r.addWorker("huvo11a", workerCPU, workerMemMB); err != nil {
			return verdict{}, err
		}
	}
	inZone[r.workers[1].id], inZone[r.workers[2].id] = true, true
	r.configure(7, []string{"huvo11a"}, route{name: "r-1", prefix: ordersPath, service: "huvo11a", attempts: 4})
	gates := map[*entry]*atomic.Bool{}
	for range 3 {
		g := &atomic.Bool{}
		s, err := r.gated(r.store, g)
		if err != nil {
			return verdict{}, err
		}
		r.machines, err = r.gated(http.HandlerFunc(r.serveMachines), g)
		if err != nil {
			return verdict{}, err
		}
		e, err := r.addEntry(s)
		if err != nil {
			return verdict{}, err
		}
		gates[e] = g
	}
	for _, e := range r.entries {
		if err := r.awaitReady(e, ordersPath); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(3 * time.Second)
	o := r.owner()
	if o == nil {
		return verdict{}, fmt.Errorf("%w: no owner", errSetup)
	}
	r.rec.add("the owner is %s; its zone holds the workers %s and %s", o.name, r.workers[1].id, r.workers[2].id)
	id := r.newID()
	l := []phase{{Count: 2, CPU: 8000, MemMB: 500, EstMs: gangWork.Milliseconds(), Gang: true, PerSrv: 1}, {Count: 2, CPU: 4000, MemMB: 500, EstMs: nextWork.Milliseconds(), After: []int{0}}}
	r.plans.set(id, 0, taskSpec{cpu: 8000, memMB: 500, work: gangWork, gang: 2})
	r.plans.set(id, 1, taskSpec{cpu: 4000, memMB: 500, work: nextWork})
	if s, _ := r.send(o, "POST", ordersPath+id, map[string]any{"spec": "x", "phases": l}, 3*time.Second); s != 200 {
		return verdict{}, fmt.Errorf("%w: the job was answered %d", errSetup, s)
	}
	time.Sleep(2 * time.Second)
	a, b := r.log.startsOf(id+".0.0.0"), r.log.startsOf(id+".0.0.1")
	if len(a) != 1 || len(b) != 1 || inZone[a[0].worker] == inZone[b[0].worker] {
		return verdict{}, fmt.Errorf("%w: the gang is not spread over both zones", errSetup)
	}
	if r.trouble {
		r.store.mu.Lock()
		atomic.StoreInt64(&lastFence, r.store.rev)
		r.store.mu.Unlock()
		ownerCut.Store(true)
		gates[o].Store(true)
		r.rec.add("the zone of %s is cut off", o.name)
	}
	time.Sleep(cutFor)
	if r.trouble {
		ownerCut.Store(false)
		gates[o].Store(false)
		r.rec.add("the cut has healed")
	}
	time.Sleep(8 * time.Second)
	state := ""
	for _, e := range r.entries {
		state = r.state(e, ordersPath, id)
	}
	n, text := r.log.overlaps(id)
	return verdict{n > 0, fmt.Sprintf("%d work items had two runs at once%s; the caller is told %q", n, text, state)}, nil
}
