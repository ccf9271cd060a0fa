package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// gangs holds the gangs that wait or work, by step and run number. Their members work from the moment when all are present, and end
// together.
type gangs struct {
	mu sync.Mutex
	m  map[string]*gang
}

type gang struct {
	members []member
	timer   *time.Timer
	working bool
}

type member struct {
	w *worker
	r *run
}

func gangKey(r *run) string {
	return fmt.Sprintf("%s run %d", r.task[:strings.LastIndexByte(r.task, '.')], r.number)
}

// join adds a member that has just started. The caller holds the lock of its worker.
func (g *gangs) join(w *worker, r *run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.m == nil {
		g.m = map[string]*gang{}
	}
	k := gangKey(r)
	x := g.m[k]
	if x == nil {
		x = &gang{}
		g.m[k] = x
		x.timer = time.AfterFunc(gangTimeout, func() { g.finish(k, "alone") })
	}
	x.members = append(x.members, member{w, r})
	if len(x.members) == r.spec.gang && !x.working {
		x.working = true
		x.timer.Stop()
		for _, o := range x.members {
			o.r.began = time.Now()
		}
		x.timer = time.AfterFunc(r.spec.work, func() { g.finish(k, "done") })
	}
}

// leave ends the gang of a run that has ended by itself.
func (g *gangs) leave(r *run) { go g.finish(gangKey(r), "broken") }

// finish ends the members that are left.
func (g *gangs) finish(k, how string) {
	g.mu.Lock()
	x := g.m[k]
	delete(g.m, k)
	g.mu.Unlock()
	if x == nil {
		return
	}
	x.timer.Stop()
	for _, o := range x.members {
		o.w.mu.Lock()
		if o.w.up {
			o.w.end(o.r, how)
		}
		o.w.mu.Unlock()
	}
}
