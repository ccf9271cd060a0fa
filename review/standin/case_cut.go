package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

func init() { cases[2] = staleOwner }

// staleOwner has the store fail for some seconds, in which leases and entries lapse. Soon after its return the zone of the owner is cut off.
func staleOwner(w *world, trouble bool) ([]string, error) {
	const (
		items  = 6
		outage = 4500 * time.Millisecond
		cut    = 6400 * time.Millisecond
	)
	w.plan = func(string, string) taskPlan { return taskPlan{size: size{CPU: 2600, MemMB: 8700}} } // they last.
	for n := range 9 {
		if _, err := w.addWorker("orders", n, size{CPU: 32000, MemMB: 65536}); err != nil {
			return nil, err
		}
	}
	w.addService("orders")
	w.addRoute("puxa400", "orders")
	w.configure()
	for n := range 4 {
		if _, err := w.addEntry(n); err != nil {
			return nil, err
		}
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	if _, err := w.awaitOwner("", 10*time.Second); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	for n := range 3 {
		job := map[string]any{"spec": "lasting", "phases": []any{map[string]any{"count": items, "cpu": 2600, "mem_mb": 8700, "long_running": true, "may_miss": 1}}}
		if s, _ := w.ask(http.MethodPost, fmt.Sprintf("/puxa400/5c0e7a21d94b000%d", n), job, 10*time.Second); s != http.StatusOK {
			return nil, errors.New("the submission was not accepted")
		}
	}
	time.Sleep(5 * time.Second)
	if n, _ := w.checker.counts(); n != 3*items {
		return nil, fmt.Errorf("%d of %d work items run", n, 3*items)
	}
	if trouble {
		// The entries of executors are back within two seconds of the store's return, those in the owner's zone first.
		var zone string
		w.returnAfter = func(x *worker) time.Duration {
			for begin := time.Now(); w.owner() == nil && time.Since(begin) < 400*time.Millisecond; time.Sleep(5 * time.Millisecond) {
			}
			if o := w.owner(); o != nil && o.zone == x.zone {
				return 200 * time.Millisecond
			}
			return 1300 * time.Millisecond
		}
		w.storeDown.Store(true)
		w.rec.show("store", "is silent; leases and entries lapse")
		w.store.lapse()
		time.Sleep(outage)
		w.storeDown.Store(false)
		w.rec.show("store", "answers again")
		o, err := w.awaitOwner("", 900*time.Millisecond)
		if err != nil {
			return nil, err
		}
		time.Sleep(700 * time.Millisecond)
		zone = o.zone
		w.cutZone.Store(&zone)
		w.rec.show("zone", "%s, the zone of the owner %s, is cut off", zone, o.name)
		time.Sleep(cut)
		w.cutZone.Store(nil)
		w.rec.show("zone", "%s is back", zone)
	} else {
		time.Sleep(outage + cut + 2*time.Second)
	}
	time.Sleep(8 * time.Second)
	return w.checker.twice(), nil
}
