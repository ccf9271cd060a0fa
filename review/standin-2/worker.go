package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Figures of the pages (DEPLOY.md, [bounds]).
const (
	holdMaxMs   = 6000
	heartbeat   = 1500 * time.Millisecond
	startupTime = 500 * time.Millisecond // of a work item that lasts; it is at work after that.
)

// work says how long the work items of a job take. Executors learn it from the job's specification; here the case sets it.
type work struct {
	took  time.Duration
	lasts bool
}

// activeRun is one run on an executor.
type activeRun struct {
	task  string
	run   int
	begun time.Time
	work  work
	index int // of its record in the world's list of runs.
}

// worker is a stand-in for one executor (PROTOCOL.md, "Running work items"). It may crash and start again under its id.
type worker struct {
	w    *world
	id   string
	rack string

	mu        sync.Mutex
	addr      string
	kind      string
	skew      time.Duration // of its machine's time of day.
	up        bool
	life      int // number of its lifetime.
	server    *http.Server
	born      int64
	startedAt time.Time
	fence     int64
	running   map[string]*activeRun
	highest   map[string]int // highest run of a task that was stopped or ended here.
	ended     [][]any
	lastEnd   int64
	until     int64 // end of the lease on its clock, ms.
	sequence  int64
	changed   chan struct{}
	grey      bool         // refuses starts with 503, as an unhealthy executor does.
	cutFrom   map[int]bool // entries that have no path to it.
}

func (k *worker) clock() int64 { return time.Since(k.startedAt).Milliseconds() + 1000 }

// start begins a new lifetime.
func (k *worker) start() {
	k.mu.Lock()
	defer k.mu.Unlock()
	l := listen(k.addr)
	k.addr = l.Addr().String()
	k.up, k.life, k.startedAt = true, k.life+1, time.Now()
	k.born = time.Now().Add(k.skew).UnixMilli()
	k.fence, k.running, k.highest, k.ended, k.lastEnd, k.until, k.sequence = 0, map[string]*activeRun{}, map[string]int{}, nil, 0, 0, 0
	k.changed = make(chan struct{})
	k.server = &http.Server{Handler: http.HandlerFunc(k.handle)}
	go k.server.Serve(l)
	go k.live(k.life)
	k.w.note("executor %s starts, lifetime %d, kind %s, born %d", k.id, k.life, k.kind, k.born)
}

// crash ends the lifetime at once. All that runs there ends with it, and nothing is written.
func (k *worker) crash() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.up = false
	k.server.Close()
	for _, r := range k.running {
		k.w.endRun(r.index, "crashed")
	}
	k.running = map[string]*activeRun{}
	k.w.note("executor %s crashes", k.id)
}

// live writes the entry, ends the runs that are done and those whose lease has expired, for one lifetime.
func (k *worker) live(life int) {
	last := time.Time{}
	for {
		k.mu.Lock()
		if !k.up || k.life != life {
			k.mu.Unlock()
			return
		}
		now := time.Now()
		for _, r := range k.running {
			switch {
			case k.clock() > k.until:
				k.end(r, "lapsed")
			case !r.work.lasts && now.Sub(r.begun) >= r.work.took:
				k.end(r, "done")
			}
		}
		write := now.Sub(last) >= heartbeat
		if write {
			last = now
			k.sequence++
		}
		e := k.entry()
		k.mu.Unlock()
		if write {
			time.Sleep(time.Duration(k.w.store.slow.Load()) * time.Millisecond)
			if k.alive(life) {
				k.w.store.put("servers/"+k.id, e)
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (k *worker) alive(life int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.up && k.life == life
}

func (k *worker) entry() map[string]any {
	return map[string]any{
		"service": serviceName, "address": k.addr, "zone": "z-a", "version": "v1", "slots": 8, "state": "ready", "warmup_left_ms": 0,
		"capacity": capacity, "labels": []string{k.kind, k.rack}, "clock_ms": k.clock(), "sequence": k.sequence, "born": k.born,
	}
}

func (k *worker) end(r *activeRun, how string) {
	k.lastEnd++
	k.ended = append(k.ended, []any{k.lastEnd, r.task, r.run, how, ""})
	k.highest[r.task] = max(k.highest[r.task], r.run)
	delete(k.running, r.task)
	k.w.endRun(r.index, how)
	close(k.changed)
	k.changed = make(chan struct{})
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run_id"`
	Spec     string `json:"spec"`
	UntilMs  int64  `json:"until_ms"`
	Fence    int64  `json:"fencing_token"`
	LastSeen int64  `json:"last_seen"`
	WaitMs   int64  `json:"wait_ms"`
}

func (k *worker) handle(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("X-Burdockreach-Expect-Instance"); id != "" && id != k.id {
		answer(w, 421, map[string]any{})
		return
	}
	b, _ := io.ReadAll(r.Body)
	var o order
	if err := json.Unmarshal(b, &o); err != nil {
		answer(w, 400, map[string]any{})
		return
	}
	from := k.w.store.writerOf(o.Fence)
	k.mu.Lock()
	if k.cutFrom[from] {
		k.mu.Unlock()
		hang(r)
	}
	if o.Fence < k.fence {
		defer k.mu.Unlock()
		answer(w, 409, map[string]any{"clock_ms": k.clock(), "reason": "fence", "born": k.born})
		return
	}
	switch r.URL.Path {
	case "/burdockreach/run-start":
		defer k.mu.Unlock()
		status, v := k.startRun(o)
		answer(w, status, v)
	case "/burdockreach/run-stop":
		defer k.mu.Unlock()
		k.fence = o.Fence
		if x := k.running[o.Task]; x != nil && x.run <= o.Run {
			k.end(x, "stopped")
		}
		k.highest[o.Task] = max(k.highest[o.Task], o.Run)
		answer(w, 200, map[string]any{"clock_ms": k.clock(), "born": k.born})
	case "/burdockreach/hold":
		k.fence = o.Fence
		k.extend(o.UntilMs)
		for len(k.ended) > 0 && k.ended[0][0].(int64) <= o.LastSeen {
			k.ended = k.ended[1:]
		}
		k.waitForEnd(time.Duration(o.WaitMs) * time.Millisecond)
		defer k.mu.Unlock()
		answer(w, 200, k.lists())
	case "/burdockreach/pace":
		defer k.mu.Unlock()
		k.fence = o.Fence
		answer(w, 200, map[string]any{"clock_ms": k.clock(), "born": k.born})
	default:
		defer k.mu.Unlock()
		answer(w, 404, map[string]any{})
	}
}

// waitForEnd waits until an ended run is listed, or for d. The worker's lock is held before and after.
func (k *worker) waitForEnd(d time.Duration) {
	end := time.After(d)
	for len(k.ended) == 0 && d > 0 {
		c := k.changed
		k.mu.Unlock()
		select {
		case <-c:
			k.mu.Lock()
		case <-end:
			k.mu.Lock()
			return
		}
	}
}

// cut cuts the path between the executor and one entry, or heals it.
func (k *worker) cut(entry int, lost bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.cutFrom == nil {
		k.cutFrom = map[int]bool{}
	}
	k.cutFrom[entry] = lost
	k.w.note("executor %s has no path to entry %d: %t", k.id, entry+1, lost)
}

func (k *worker) extend(until int64) { k.until = max(k.until, min(until, k.clock()+holdMaxMs)) }

func (k *worker) lists() map[string]any {
	running := [][]any{}
	for _, r := range k.running {
		percent := 0
		switch d := time.Since(r.begun); {
		case r.work.lasts && d >= startupTime:
			percent = 100
		case !r.work.lasts:
			percent = int(min(99, 100*d/r.work.took))
		}
		running = append(running, []any{r.task, r.run, "", percent, 0})
	}
	ended := k.ended
	if ended == nil {
		ended = [][]any{}
	}
	return map[string]any{"clock_ms": k.clock(), "born": k.born, "running": running, "ended": ended[:min(len(ended), 500)]}
}

func (k *worker) startRun(o order) (int, any) {
	v := map[string]any{"clock_ms": k.clock(), "born": k.born}
	if k.grey {
		k.w.note("executor %s refuses start of %s run %d: 503, fence %d", k.id, o.Task, o.Run, o.Fence)
		return 503, v
	}
	k.fence = o.Fence
	x := k.running[o.Task]
	switch {
	case x != nil && x.run == o.Run:
		return 200, v
	case o.Run <= k.highest[o.Task] || x != nil && o.Run < x.run:
		k.extend(o.UntilMs)
		v["reason"] = "old"
		return 409, v
	case o.UntilMs < k.clock():
		v["reason"] = "late"
		return 409, v
	}
	k.extend(o.UntilMs)
	r := &activeRun{task: o.Task, run: o.Run, begun: time.Now(), work: k.w.workOf(o.Task)}
	r.index = k.w.beginRun(o.Task, o.Run, k.id, k.kind, o.Fence)
	k.running[o.Task] = r
	return 200, v
}
