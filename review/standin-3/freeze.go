package main

import (
	"fmt"
	"syscall"
	"time"
)

// Bounds and doses of the frozen entry.
const (
	cancelBound = 3 * time.Second         // cancel_ms.
	frozenFor   = 3500 * time.Millisecond // node_freeze in the site file.
)

// frozenSubmit checks that a work item does not start long after its caller has left and its cancelling was acknowledged. The entry that
// has the caller's submission stands still meanwhile.
func frozenSubmit(r *rig) (verdict, error) {
	for range 3 {
		if _, err := r.addWorker("huvo11a", workerCPU, workerMemMB); err != nil {
			return verdict{}, err
		}
	}
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
	o := r.owner()
	var frozen, other *entry
	for _, e := range r.entries {
		switch {
		case e == o:
		case frozen == nil:
			frozen = e
		default:
			other = e
		}
	}
	if o == nil || other == nil {
		return verdict{}, fmt.Errorf("%w: no owner", errSetup)
	}
	id := r.newID()
	r.plans.set(id, 0, taskSpec{cpu: 1000, memMB: 500, work: 500 * time.Millisecond})
	if r.trouble {
		r.signal(frozen, syscall.SIGSTOP)
	}
	begin := time.Now()
	p := phase{Count: 2, CPU: 1000, MemMB: 500, EstMs: 500}
	r.send(frozen, "POST", ordersPath+id, map[string]any{"spec": "x", "phases": []phase{p}}, 200*time.Millisecond)
	st, _ := r.send(other, "DELETE", ordersPath+id, nil, 3*time.Second)
	acked := time.Now()
	if st != 200 && st != 410 {
		return verdict{}, fmt.Errorf("%w: the cancel was answered %d", errSetup, st)
	}
	time.Sleep(time.Until(begin.Add(frozenFor)))
	if r.trouble {
		r.signal(frozen, syscall.SIGCONT)
	}
	time.Sleep(5 * time.Second)
	late := time.Duration(0)
	for i := range 2 {
		for _, s := range r.log.startsOf(fmt.Sprintf("%s.0.0.%d", id, i)) {
			late = max(late, s.at.Sub(acked))
		}
	}
	state := r.state(other, ordersPath, id)
	t := fmt.Sprintf("the cancel was answered %d; the last start came %.1f s after that; then the caller is told %q", st, late.Seconds(), state)
	return verdict{late > cancelBound, t}, nil
}
