package main

import (
	"fmt"
	"time"
)

// Three jobs that last, of three work items each, on three workers. A work item fails after 15 s on the mean.
const (
	failWorkers = 3
	failJobs    = 3
	failMean    = 15 * time.Second
	failWatched = 95 * time.Second
	failBound   = 9 * time.Second // 6 s after its last run, and 3 s on end.
)

// lastingFails checks that work items that last are restarted when they fail.
func lastingFails(r *rig) (verdict, error) {
	for range failWorkers {
		if _, err := r.addWorker("huvo11a", workerCPU, workerMemMB); err != nil {
			return verdict{}, err
		}
	}
	r.configure(7, []string{"huvo11a"}, route{name: "r-1", prefix: ordersPath, service: "huvo11a", attempts: 4})
	for range 2 {
		if _, err := r.addEntry(r.storeAt); err != nil {
			return verdict{}, err
		}
	}
	for _, e := range r.entries {
		if err := r.awaitReady(e, ordersPath); err != nil {
			return verdict{}, err
		}
	}
	var tasks, ids []string
	for range failJobs {
		id := r.newID()
		p := phase{Count: 3, CPU: 2600, MemMB: 8700, EstMs: 900, Lasting: true, MayMiss: 1}
		t := taskSpec{cpu: p.CPU, memMB: p.MemMB, lasting: true}
		if r.trouble {
			t.failMean = failMean
		}
		r.plans.set(id, 0, t)
		if s, _ := r.send(r.entries[0], "POST", ordersPath+id, map[string]any{"spec": "x", "phases": []phase{p}}, 3*time.Second); s != 200 {
			return verdict{}, fmt.Errorf("%w: a job was answered %d", errSetup, s)
		}
		ids = append(ids, id)
		tasks = append(tasks, id+".0.0.0", id+".0.0.1", id+".0.0.2")
	}
	time.Sleep(2 * time.Second)
	since, longest, which := map[string]time.Time{}, time.Duration(0), ""
	begin := time.Now()
	for time.Since(begin) < failWatched {
		for _, t := range tasks {
			if r.log.isRunning(t) || since[t].IsZero() {
				since[t] = time.Now()
			}
			if d := time.Since(since[t]); d > longest {
				longest, which = d, t
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	failed := 0
	for _, t := range tasks {
		failed += r.log.countEnds(t, "failed")
	}
	s := r.state(r.entries[0], ordersPath, ids[0])
	return verdict{longest > failBound, fmt.Sprintf("%s had no run for %.1f s on end, with room on sound workers; %d runs ended failed in %.0f s; the caller is told %q", which, longest.Seconds(),
		failed, failWatched.Seconds(), s)}, nil
}
