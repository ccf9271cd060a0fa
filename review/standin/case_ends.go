package main

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

func init() { cases[4] = manyEnds }

// manyEnds kills the owner while executors run several hundred small work items each, of 100 submissions. Most of them end before the next
// owner has read the lists.
func manyEnds(w *world, trouble bool) ([]string, error) {
	const (
		jobs  = 100
		width = 20
		count = jobs * width
		runMs = 8000
	)
	// The work items take 6 to 8 s, and all end 8 to 8.5 s after the first submission.
	begin := time.Now()
	w.plan = func(_, spec string) taskPlan {
		n, _ := strconv.ParseInt(spec, 10, 64)
		return taskPlan{size: size{CPU: 40, MemMB: 40}, runMs: max(runMs+n*500/jobs-time.Since(begin).Milliseconds(), 1)}
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
	o, err := w.awaitOwner("", 10*time.Second)
	if err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	begin = time.Now()
	var paths []string
	for n := range jobs {
		paths = append(paths, fmt.Sprintf("/puxa400/5c0e7a21d94b%04x", n))
		job := map[string]any{"spec": strconv.Itoa(n), "phases": []any{map[string]any{"count": width, "cpu": 40, "mem_mb": 40, "estimate_ms": runMs}}}
		if s, _ := w.ask(http.MethodPost, paths[n], job, 10*time.Second); s != http.StatusOK {
			return nil, errors.New("a submission was not accepted")
		}
	}
	for n := 0; n < count; n, _ = w.checker.counts() {
		if time.Since(begin) > runMs*time.Millisecond/2 {
			return nil, errors.New("the work items were not all started in time: the machine is too slow")
		}
		time.Sleep(10 * time.Millisecond)
	}
	w.rec.show("case", "all %d work items were started after %.1f s", count, time.Since(begin).Seconds())
	time.Sleep(time.Until(begin.Add((runMs - 400) * time.Millisecond)))
	if trouble {
		o.killAndRestart(time.Second)
	}
	states := map[string]int{}
	for _, p := range paths {
		states[w.awaitState(p, 30*time.Second, "completed", "failed", "cancelled")]++
	}
	w.rec.show("case", "the submissions are shown as %v", states)
	time.Sleep(2 * time.Second)
	return w.checker.twice(), nil
}
