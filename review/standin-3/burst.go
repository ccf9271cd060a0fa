package main

import (
	"fmt"
	"sync"
	"time"
)

// A queue with advice gets 3 jobs a second, and 2.6 times as many for 4 s: the burst of the site files. One call for advice on 12 workers
// takes 270 ms, so that the service can handle 3.7 calls a second.
const (
	adviceWorkers = 12
	jobsPerSec    = 3
	burstFactor   = 2.6
	burstFor      = 4 * time.Second
	calmFor       = 3 * time.Second
	finishAfter   = 14 * time.Second // finish_s.
)

// adviceBurst checks that accepted submissions begin once the burst is over and the executors are idle.
func adviceBurst(r *rig) (verdict, error) {
	r.advice.decide, r.advice.each, r.advice.validMs = 150*time.Millisecond, 10*time.Millisecond, 3000
	for range adviceWorkers {
		if _, err := r.addWorker("huvo11a", workerCPU, workerMemMB); err != nil {
			return verdict{}, err
		}
	}
	r.configure(7, []string{"huvo11a"}, route{
		name: "r-1", prefix: ordersPath, service: "huvo11a", attempts: 4, advice: map[string]any{"decide_ms": 150, "each_ms": 10, "valid_ms": 3000},
	})
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
	var mu sync.Mutex
	var accepted []string
	var g sync.WaitGroup
	send := func(perSec float64, d time.Duration) {
		for n := range int(perSec * d.Seconds()) {
			id, e := r.newID(), r.entries[n%2]
			r.plans.set(id, 0, taskSpec{cpu: 1000, memMB: 500, work: 500 * time.Millisecond, advised: true})
			g.Add(1)
			go func() {
				defer g.Done()
				p := phase{Count: 2, CPU: 1000, MemMB: 500, EstMs: 500}
				if s, _ := r.send(e, "POST", ordersPath+id, map[string]any{"spec": "x", "phases": []phase{p}}, 3*time.Second); s == 200 {
					mu.Lock()
					accepted = append(accepted, id)
					mu.Unlock()
				}
			}()
			time.Sleep(time.Duration(float64(time.Second) / perSec))
		}
	}
	send(jobsPerSec, calmFor)
	rate := float64(jobsPerSec)
	if r.trouble {
		rate *= burstFactor
	}
	send(rate, burstFor)
	send(jobsPerSec, calmFor)
	g.Wait()
	r.rec.add("the last job has been handed in; %d accepted", len(accepted))
	time.Sleep(finishAfter)
	left := func() []string {
		var l []string
		for _, id := range accepted {
			if len(r.log.startsOf(id+".0.0.0"))+len(r.log.startsOf(id+".0.0.1")) == 0 {
				l = append(l, id)
			}
		}
		return l
	}
	before := left()
	time.Sleep(20 * time.Second)
	after := left()
	s := ""
	if len(after) > 0 {
		s = r.state(r.entries[0], ordersPath, after[0])
	}
	t := fmt.Sprintf("%d of %d accepted jobs had not begun 14 s after the last one was handed in, %d 20 s later, with idle executors; the caller of one is told %q",
		len(before), len(accepted), len(after), s)
	return verdict{len(after) > 0, t}, nil
}
