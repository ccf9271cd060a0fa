package main

import (
	"errors"
	"net/http"
	"strings"
	"time"
)

func init() { cases[5] = manyRounds }

// manyRounds kills the owner while a later occurrence of a repeated submission is at work, whose occurrences together have more than
// 50,000 work items.
func manyRounds(w *world, trouble bool) ([]string, error) {
	const (
		steps, count = 3, 8400 // of each occurrence.
		intervalMs   = 20_000
		runMs        = 300
		path         = "/puxa400/5c0e7a21d94b36f8"
		noted        = 1500 // work items of the second occurrence that are done before the kill.
	)
	w.plan = func(string, string) taskPlan { return taskPlan{size: size{CPU: 100, MemMB: 50}, runMs: runMs} }
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
	o, err := w.awaitOwner("", 10*time.Second)
	if err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	step := map[string]any{"count": count, "cpu": 100, "mem_mb": 50, "estimate_ms": runMs}
	job := map[string]any{
		"spec": "repeated", "phases": []any{step, step, step}, "repeat_count": 2, "interval_ms": intervalMs,
		"first_run_ms": time.Now().Add(500 * time.Millisecond).UnixMilli(),
	}
	if s, _ := w.ask(http.MethodPost, path, job, 10*time.Second); s != http.StatusOK {
		return nil, errors.New("the submission was not accepted")
	}
	begin := time.Now()
	second := func() (n int) {
		w.checker.mu.Lock()
		defer w.checker.mu.Unlock()
		for name, t := range w.checker.tasks {
			if strings.Split(name, ".")[1] == "1" && t.runs[0].how == "done" && !t.runs[0].noted.IsZero() {
				n++
			}
		}
		return n
	}
	for {
		_, done := w.checker.counts()
		if done > steps*count && second() >= noted {
			break
		}
		if time.Since(begin) > 75*time.Second {
			return nil, errors.New("the first occurrence was not done in time: the machine is too slow")
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.rec.show("case", "the first occurrence is done, and %d work items of the second are done and taken note of, after %.1f s", second(), time.Since(begin).Seconds())
	if trouble {
		former := w.holder()
		o.killAndRestart(time.Second)
		if _, err := w.awaitOwner(former, 15*time.Second); err != nil {
			return nil, err
		}
	}
	time.Sleep(8 * time.Second)
	return w.checker.twice(), nil
}
