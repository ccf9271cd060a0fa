package main

import (
	"fmt"
	"time"
)

// One worker of ten goes down and up, as srv_flap of the site files does: a share of 0.1, with a period of 1.1 s, for 6.5 s. The other nine
// are filled by a job that lasts, so that what comes then runs on the tenth.
const (
	flapWorkers = 10
	flapPeriod  = 1100 * time.Millisecond
	flapFor     = 6500 * time.Millisecond
	workerCPU   = 32_000
	workerMemMB = 65_536
	ordersPath  = "/puxa400/"
)

// flapSetup starts two entries and ten workers, and fills nine of them. It returns the tenth.
func flapSetup(r *rig) (*worker, error) {
	for range flapWorkers {
		if _, err := r.addWorker("huvo11a", workerCPU, workerMemMB); err != nil {
			return nil, err
		}
	}
	r.configure(7, []string{"huvo11a"}, route{name: "r-1", prefix: ordersPath, service: "huvo11a", attempts: 4})
	for range 2 {
		if _, err := r.addEntry(r.storeAt); err != nil {
			return nil, err
		}
	}
	for _, e := range r.entries {
		if err := r.awaitReady(e, ordersPath); err != nil {
			return nil, err
		}
	}
	id := r.newID()
	p := phase{Count: flapWorkers - 1, CPU: 30_000, MemMB: 1000, EstMs: 900, Lasting: true, MayMiss: 1, PerSrv: 1}
	if err := r.submit(r.entries[0], ordersPath, id, 0, false, p); err != nil {
		return nil, err
	}
	for end := time.Now().Add(10 * time.Second); r.log.running(id) < flapWorkers-1; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return nil, fmt.Errorf("%w: the other workers are not filled", errSetup)
		}
	}
	time.Sleep(2 * time.Second)
	for _, w := range r.workers {
		w.mu.Lock()
		n := len(w.runs)
		w.mu.Unlock()
		if n == 0 {
			r.rec.add("worker %s is the one with room", w.id)
			return w, nil
		}
	}
	return nil, fmt.Errorf("%w: no worker has room", errSetup)
}

// flap lets w go down and up.
func flap(r *rig, w *worker) error {
	for end := time.Now().Add(flapFor); time.Now().Before(end); {
		if r.trouble {
			w.crash()
		}
		time.Sleep(flapPeriod / 2)
		if r.trouble {
			if err := w.start(); err != nil {
				return fmt.Errorf("%w: %w", errSetup, err)
			}
		}
		time.Sleep(flapPeriod / 2)
	}
	r.rec.add("worker %s stays up from now on", w.id)
	return nil
}

// flapLasting checks that a work item that lasts runs again once its executor is stable.
func flapLasting(r *rig) (verdict, error) {
	w, err := flapSetup(r)
	if err != nil {
		return verdict{}, err
	}
	id := r.newID()
	if err := r.submit(r.entries[0], ordersPath, id, 0, false, phase{Count: 1, CPU: 4000, MemMB: 1000, EstMs: 900, Lasting: true, MayMiss: 0}); err != nil {
		return verdict{}, err
	}
	time.Sleep(200 * time.Millisecond)
	if err := flap(r, w); err != nil {
		return verdict{}, err
	}
	time.Sleep(7 * time.Second) // 3 s, the 4 s before them, and 6 s from its last run.
	longest, since := time.Duration(0), time.Now()
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if r.log.running(id) > 0 {
			since = time.Now()
		}
		longest = max(longest, time.Since(since))
	}
	s := r.state(r.entries[0], ordersPath, id)
	t := fmt.Sprintf("its work item had no run for %.1f s on end, from 7 s after the worker was stable; %d starts; the caller is told %q", longest.Seconds(),
		len(r.log.startsOf(id+".0.0.0")), s)
	return verdict{longest > 3*time.Second, t}, nil
}

// flapJob checks that a submission whose work item never ended "failed" is not shown as failed.
func flapJob(r *rig) (verdict, error) {
	w, err := flapSetup(r)
	if err != nil {
		return verdict{}, err
	}
	id := r.newID()
	if err := r.submit(r.entries[0], ordersPath, id, 3*time.Second, false, phase{Count: 1, CPU: 4000, MemMB: 1000, EstMs: 3000}); err != nil {
		return verdict{}, err
	}
	time.Sleep(time.Second)
	if err := flap(r, w); err != nil {
		return verdict{}, err
	}
	s := ""
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end) && s != "completed" && s != "failed"; time.Sleep(500 * time.Millisecond) {
		s = r.state(r.entries[0], ordersPath, id)
	}
	n := r.log.countEnds(id+".0.0.0", "failed")
	t := fmt.Sprintf("the caller is told %q; %d starts, %d ended failed, of 4 attempts", s, len(r.log.startsOf(id+".0.0.0")), n)
	return verdict{s == "failed", t}, nil
}
