package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases[6] = lateAcceptance }

// lateAcceptance has the store lose the answers of some writes and make them 1 to 6 s later, while submissions are handed in that are done
// soon. The owner is stopped by SIGTERM once the records of their ends are no longer kept.
func lateAcceptance(w *world, trouble bool) ([]string, error) {
	const (
		jobs   = 40
		runMs  = 300
		share  = 0.35                    // of the writes are made late and not answered,
		during = 4500 * time.Millisecond // for this long.
	)
	w.statusS = 30
	if s, err := strconv.Atoi(os.Getenv("STATUS_S")); err == nil {
		w.statusS = s
		maxCase = time.Duration(2*s+60) * time.Second
	}
	rnd := rand.New(rand.NewPCG(7, 7))
	var active atomic.Bool
	var mu sync.Mutex
	w.store.late = func(put []storeItem) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if !active.Load() || len(put) == 0 || put[0].Lease != 0 || rnd.Float64() >= share {
			return 0
		}
		d := time.Duration(1000+rnd.IntN(5000)) * time.Millisecond
		w.rec.add("store", "a write of %s is not answered, and made after %.1f s", keys(put), d.Seconds())
		return d
	}
	w.store.lateDone = func(put []storeItem, status int) { w.rec.add("store", "late write of %s: %d", keys(put), status) }
	w.plan = func(string, string) taskPlan { return taskPlan{size: size{CPU: 500, MemMB: 200}, runMs: runMs} }
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
	active.Store(trouble)
	time.AfterFunc(during, func() { active.Store(false) })
	paths, done := []string{}, make(chan int, jobs)
	for n := range jobs {
		p := fmt.Sprintf("/puxa400/5c0e7a21d94b%04x", n)
		paths = append(paths, p)
		job := map[string]any{"spec": "short", "phases": []any{map[string]any{"count": 2, "cpu": 500, "mem_mb": 200, "estimate_ms": runMs}}}
		go func() {
			s, _ := w.ask(http.MethodPost, p, job, 20*time.Second)
			done <- s
		}()
		time.Sleep(during / jobs)
	}
	for range jobs {
		if s := <-done; s != http.StatusOK {
			return nil, errors.New("a submission was not accepted")
		}
	}
	for _, p := range paths {
		if s := w.awaitState(p, 20*time.Second, "completed"); s != "completed" {
			return nil, fmt.Errorf("%s is shown as %s", p, s)
		}
	}
	shown := time.Now()
	w.rec.show("case", "all submissions are shown as completed")
	time.Sleep(time.Until(shown.Add(time.Duration(2*w.statusS+8) * time.Second)))
	o := w.owner()
	if o == nil {
		return nil, errors.New("there is no owner")
	}
	if trouble {
		former := w.holder()
		o.stop(time.Second)
		if _, err := w.awaitOwner(former, 10*time.Second); err != nil {
			return nil, err
		}
	}
	time.Sleep(5 * time.Second)
	return w.checker.twice(), nil
}

// keys names the keys of a write.
func keys(put []storeItem) string {
	var l []string
	for _, i := range put {
		l = append(l, i.Key)
	}
	return strings.Join(l, " ")
}
