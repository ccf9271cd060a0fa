package main

import (
	"fmt"
	"sync"
	"time"
)

// Times of the late start: applied_late carries orders out 2 to 12 s later; srv_crash lets an executor be down for some seconds.
const (
	lateJobs    = 24
	lateWork    = 8 * time.Second
	crashAfter  = 2800 * time.Millisecond // from the start that is held up.
	downFor     = 1500 * time.Millisecond
	carriedOut  = 300 * time.Millisecond  // after the executor is up again: 4.6 s after it was sent.
	registersIn = 1200 * time.Millisecond // an executor writes its entry every 1.5 s (heartbeat_ms); this is its first after the start.
)

// lateStartCase checks that no work item has two runs at once. One start is held up, and its executor starts again under its id meanwhile.
func lateStartCase(r *rig) (verdict, error) {
	r.clockStart = func() int64 { return 400_000 + r.random.Int63n(100_000) } // the executors have been up for some minutes.
	for range flapWorkers {
		if _, err := r.addWorker("huvo11a", workerCPU, workerMemMB); err != nil {
			return verdict{}, err
		}
	}
	r.registerAfter = registersIn
	r.clockStart = func() int64 { return 1000 } // "its counts start anew (..., its clock)".
	r.configure(7, []string{"huvo11a"}, route{name: "r-1", prefix: ordersPath, service: "huvo11a", attempts: 4})
	for range 3 {
		if _, err := r.addEntry(r.storeAt); err != nil {
			return verdict{}, err
		}
	}
	for _, e := range r.entries {
		if err := r.awaitReady(e, ordersPath); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var held *worker
	var order lateStart
	starts := 0
	r.holdUp = func(w *worker, s lateStart) bool {
		mu.Lock()
		defer mu.Unlock()
		starts++
		if !r.trouble || held != nil || starts < lateJobs/2 {
			return false
		}
		held, order = w, s
		r.rec.add("the start of %s run %d at %s is held up", s.task, s.number, w.id)
		return true
	}
	var ids []string
	for range lateJobs {
		id := r.newID()
		ids = append(ids, id)
		if err := r.submit(r.entries[0], ordersPath, id, lateWork, false, phase{Count: 1, CPU: 2000, MemMB: 500, EstMs: lateWork.Milliseconds()}); err != nil {
			return verdict{}, err
		}
	}
	if r.trouble {
		mu.Lock()
		w, s := held, order
		mu.Unlock()
		if w == nil {
			return verdict{}, fmt.Errorf("%w: no start was held up", errSetup)
		}
		time.Sleep(crashAfter)
		w.crash()
		time.Sleep(downFor)
		if err := w.start(); err != nil {
			return verdict{}, fmt.Errorf("%w: %w", errSetup, err)
		}
		time.Sleep(carriedOut)
		w.carryOut(s)
	}
	time.Sleep(20 * time.Second)
	n, text, open := 0, "", 0
	for _, id := range ids {
		if d, t := r.log.overlaps(id); d > 0 {
			n, text = n+d, t
		}
		if r.state(r.entries[0], ordersPath, id) != "completed" {
			open++
		}
	}
	return verdict{n > 0, fmt.Sprintf("%d work items had two runs at once%s; %d of %d jobs not completed", n, text, open, len(ids))}, nil
}
