package main

import (
	"errors"
	"net/http"
	"time"
)

func init() { cases[1] = manyEnds }

// manyEnds kills the owner while executors run several hundred small work items each, which end before the next owner has read the lists.
func manyEnds(w *world, trouble bool) ([]string, error) {
	const (
		count = 2000
		runMs = 8000
		path  = "/puxa400/5c0e7a21d94b36f8"
	)
	// The work items of the step take 6.4 to 8 s, the later ones less, so that most of them end within about a second.
	w.plan = func(task, _ string) taskPlan {
		return taskPlan{size: size{CPU: 40, MemMB: 40}, runMs: runMs - int64(indexOf(task))*4/5}
	}
	for n := range 3 {
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
	o, err := w.awaitOwner(nil, 10*time.Second)
	if err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	job := map[string]any{"spec": "small", "phases": []any{map[string]any{"count": count, "cpu": 40, "mem_mb": 40, "estimate_ms": runMs}}}
	if s, _ := w.ask(http.MethodPost, path, job, 10*time.Second); s != http.StatusOK {
		return nil, errors.New("the submission was not accepted")
	}
	begin := time.Now()
	for n := 0; n < count; n, _ = w.checker.counts() {
		if time.Since(begin) > runMs*time.Millisecond*7/10 {
			return nil, errors.New("the work items were not all started in time: the machine is too slow")
		}
		time.Sleep(10 * time.Millisecond)
	}
	w.rec.show("case", "all %d work items were started after %.1f s", count, time.Since(begin).Seconds())
	time.Sleep(time.Until(begin.Add((runMs - 400) * time.Millisecond)))
	if trouble {
		o.killAndRestart(time.Second)
	}
	s := w.awaitState(path, 60*time.Second, "completed", "failed", "cancelled")
	w.rec.show("case", "the submission is shown as %s", s)
	time.Sleep(2 * time.Second)
	return w.checker.twice(), nil
}
