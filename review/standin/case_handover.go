package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

func init() { cases[3] = handoverDuringCut }

// handoverDuringCut cuts off the zone of the owner. Another entry takes over, and is soon stopped by SIGTERM, so that a third one takes over.
func handoverDuringCut(w *world, trouble bool) ([]string, error) {
	const (
		items = 6
		cut   = 6400 * time.Millisecond
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
	first, err := w.awaitOwner("", 10*time.Second)
	if err != nil {
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
		w.cutZone.Store(&first.zone)
		begin := time.Now()
		w.rec.show("zone", "%s, the zone of the owner %s, is cut off", first.zone, first.name)
		var second *entry
		for time.Since(begin) < 4*time.Second {
			if o := w.owner(); o != nil && o.zone != first.zone {
				second = o
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		if second == nil {
			return nil, errors.New("no other entry has taken over")
		}
		w.rec.show("owner", "%s has taken over after %.1f s", second.name, time.Since(begin).Seconds())
		time.Sleep(300 * time.Millisecond)
		go second.stop(time.Second)
		time.Sleep(time.Until(begin.Add(cut)))
		w.cutZone.Store(nil)
		w.rec.show("zone", "%s is back", first.zone)
	} else {
		time.Sleep(cut)
	}
	time.Sleep(8 * time.Second)
	return w.checker.twice(), nil
}
