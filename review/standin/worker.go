package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of executors, as the sheet of the site gives them.
const (
	holdMaxMs   = 6000
	maxEndRows  = 500  // ends that one answer lists.
	maxWaitMs   = 2000 // longest wait of a hold.
	heartbeatMs = 1500
)

type size struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"mem_mb"`
	GPU   int64 `json:"gpu"`
}

// taskPlan tells how the work items of a step behave.
type taskPlan struct {
	size  size
	runMs int64 // 0 for a work item that lasts.
}

type run struct {
	task    string
	number  int64
	started time.Time
	plan    taskPlan
	timer   *time.Timer
}

type end struct {
	number int64
	run    *run
	how    string
	at     time.Time
}

// worker is one executor. It carries out each order at once, as the pages say.
type worker struct {
	w       *world
	id      string
	machine string
	service string
	zone    string
	rack    string
	addr    string
	room    size
	servers []*http.Server

	mu       sync.Mutex
	born     time.Time
	fence    int64
	leaseEnd int64 // on its clock, ms.
	leaseTmr *time.Timer
	runs     map[string]*run
	highest  map[string]int64 // highest run that was stopped or has ended, by work item.
	used     size
	ends     []end
	lastEnd  int64
	lapsed   int64 // the lease has expired after the ends up to this number.
	ended    chan struct{}
	closed   bool
	sequence int64
	busy     bool // answers 503 to starts.
}

func (w *world) addWorker(service string, n int, room size) (*worker, error) {
	k := &machine{
		name: fmt.Sprintf("m-%s-%02d", service, n), pool: service, state: "up", zone: w.zones[n%len(w.zones)],
		rack: fmt.Sprintf("r%d-%d", n%len(w.zones)+1, n/4+1), room: room,
	}
	w.fleet = append(w.fleet, k)
	return k.boot(w, fmt.Sprintf("i-%s-%02d", service, n))
}

// boot starts an executor on the machine.
func (k *machine) boot(w *world, id string) (*worker, error) {
	x := &worker{w: w, id: id, machine: k.name, service: k.pool, zone: k.zone, rack: k.rack, room: k.room}
	x.begin()
	addrs := make([]string, maxEntries)
	for n := range addrs {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		addrs[n] = l.Addr().String()
		s := &http.Server{Handler: path{worker: x, entry: n}}
		x.servers = append(x.servers, s)
		go func() { _ = s.Serve(l) }()
	}
	x.addr = addrs[0]
	w.paths.Store(id, addrs)
	go x.beat()
	k.worker = x
	return x, nil
}

// begin starts a lifetime, which holds and knows nothing of before.
func (x *worker) begin() {
	x.born, x.fence, x.leaseEnd, x.used, x.ends, x.lastEnd, x.lapsed, x.sequence = time.Now(), 0, 0, size{}, nil, 0, 0, 0
	x.runs, x.highest, x.ended = map[string]*run{}, map[string]int64{}, make(chan struct{})
}

func (x *worker) clock() int64 { return time.Since(x.born).Milliseconds() }

// beat writes the executor's entry every heartbeatMs, if it reaches the store then, until the executor is closed. Three heartbeats without
// a write remove the entry. After an outage of the store the entry is back as returnAfter says.
func (x *worker) beat() {
	missed := 0
	for {
		lost := x.w.storeDown.Load()
		for x.w.storeDown.Load() {
			time.Sleep(20 * time.Millisecond)
		}
		if lost && x.w.returnAfter != nil {
			time.Sleep(x.w.returnAfter(x))
		}
		x.mu.Lock()
		if x.closed {
			x.mu.Unlock()
			return
		}
		x.sequence++
		v := map[string]any{
			"service": x.service, "address": x.addr, "zone": x.zone, "version": "v1", "slots": 8, "state": "ready", "warmup_left_ms": 0,
			"capacity": x.room, "labels": []string{"a", x.rack}, "clock_ms": x.clock(), "sequence": x.sequence, "born": x.born.UnixMilli(),
		}
		if x.w.isCut(x.zone) {
			if missed++; missed == 3 {
				x.w.store.remove("servers/" + x.id)
			}
		} else {
			missed = 0
			x.w.store.put("servers/"+x.id, v)
		}
		x.mu.Unlock()
		for begin := time.Now(); time.Since(begin) < heartbeatMs*time.Millisecond && !x.w.storeDown.Load(); {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// maxEntries is the largest number of entries of a case.
const maxEntries = 4

// path is the way of one entry to an executor.
type path struct {
	*worker
	entry int
}

func (p path) open() bool { return p.w.reaches(p.w.entries[p.entry].zone, p.zone) }

// ServeHTTP carries out an order, or leaves it without an answer while the path is cut.
func (p path) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !p.open() {
		hang(r)
	}
	x := p.worker
	if i := r.Header.Get("X-Burdockreach-Expect-Instance"); i != "" && i != x.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var b struct {
		Task     string `json:"task"`
		Run      int64  `json:"run_id"`
		Spec     string `json:"spec"`
		UntilMs  int64  `json:"until_ms"`
		Fence    int64  `json:"fencing_token"`
		Saved    string `json:"checkpoint"`
		LastSeen int64  `json:"last_seen"`
		WaitMs   int64  `json:"wait_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	x.mu.Lock()
	if b.Fence < x.fence {
		v := map[string]any{"clock_ms": x.clock(), "reason": "fence"}
		x.mu.Unlock()
		answer(w, http.StatusConflict, v)
		return
	}
	x.fence = b.Fence
	switch strings.TrimPrefix(r.URL.Path, "/burdockreach/") {
	case "run-start":
		status, reason := x.start(b.Task, b.Run, b.Spec, b.UntilMs)
		v := map[string]any{"clock_ms": x.clock()}
		if reason != "" {
			v["reason"] = reason
		}
		x.mu.Unlock()
		if reason != "" {
			x.w.rec.add(x.id, "start of %s run %d rejected: %s", b.Task, b.Run, reason)
		}
		answer(w, status, v)
	case "run-stop":
		x.highest[b.Task] = max(x.highest[b.Task], b.Run)
		if u := x.runs[b.Task]; u != nil && u.number <= b.Run {
			x.endRun(u, "stopped")
		}
		v := map[string]any{"clock_ms": x.clock()}
		x.mu.Unlock()
		answer(w, http.StatusOK, v)
	case "hold":
		x.hold(w, r, p, b.UntilMs, b.LastSeen, b.WaitMs) // unlocks
	case "pace":
		v := map[string]any{"clock_ms": x.clock()}
		x.mu.Unlock()
		answer(w, http.StatusOK, v)
	default:
		x.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
	}
}

func (x *worker) extend(until int64) {
	until = min(until, x.clock()+holdMaxMs)
	if until <= x.leaseEnd {
		return
	}
	x.leaseEnd = until
	if x.leaseTmr != nil {
		x.leaseTmr.Stop()
	}
	born := x.born
	x.leaseTmr = time.AfterFunc(time.Duration(until-x.clock())*time.Millisecond, func() { x.lapse(born) })
}

func (x *worker) lapse(born time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.born != born || x.clock() < x.leaseEnd {
		return
	}
	x.lapsed = x.lastEnd
	for _, u := range x.runs {
		x.endRun(u, "lapsed")
	}
}

func (x *worker) start(task string, number int64, spec string, until int64) (int, string) {
	if until < x.clock() {
		return http.StatusConflict, "late"
	}
	if x.busy {
		return http.StatusServiceUnavailable, ""
	}
	x.extend(until)
	if u := x.runs[task]; u != nil && u.number == number {
		return http.StatusOK, ""
	}
	if number <= x.highest[task] {
		return http.StatusConflict, "old"
	}
	p := x.w.plan(task, spec)
	if x.used.CPU+p.size.CPU > x.room.CPU || x.used.MemMB+p.size.MemMB > x.room.MemMB {
		return http.StatusConflict, "room"
	}
	u := &run{task: task, number: number, started: time.Now(), plan: p}
	x.runs[task] = u
	x.used.CPU += p.size.CPU
	x.used.MemMB += p.size.MemMB
	x.w.checker.begun(x, u, spec)
	if p.runMs > 0 {
		u.timer = time.AfterFunc(time.Duration(p.runMs)*time.Millisecond, func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			if x.runs[task] == u {
				x.endRun(u, "done")
			}
		})
	}
	return http.StatusOK, ""
}

// endRun ends a run and lists its end. The caller holds the lock.
func (x *worker) endRun(u *run, how string) {
	if u.timer != nil {
		u.timer.Stop()
	}
	delete(x.runs, u.task)
	x.used.CPU -= u.plan.size.CPU
	x.used.MemMB -= u.plan.size.MemMB
	x.highest[u.task] = max(x.highest[u.task], u.number)
	x.lastEnd++
	x.ends = append(x.ends, end{number: x.lastEnd, run: u, how: how, at: time.Now()})
	x.w.checker.ended(x, u, how)
	close(x.ended)
	x.ended = make(chan struct{})
}

// hold answers with both lists. The caller holds the lock, which hold releases.
func (x *worker) hold(w http.ResponseWriter, r *http.Request, p path, until, lastSeen, waitMs int64) {
	if until > 0 {
		x.extend(until)
	}
	keep := x.ends[:0:0]
	for _, e := range x.ends {
		if e.number > lastSeen {
			keep = append(keep, e)
			continue
		}
		x.w.checker.noted(x, e.run, e.how, e.number <= x.lapsed)
	}
	x.ends = keep
	if len(x.ends) == 0 && waitMs > 0 {
		ended := x.ended
		x.mu.Unlock()
		select {
		case <-ended:
		case <-time.After(time.Duration(min(waitMs, maxWaitMs)) * time.Millisecond):
		case <-r.Context().Done():
		}
		x.mu.Lock()
	}
	running, ends := [][]any{}, [][]any{}
	for _, u := range x.runs {
		percent := int64(100)
		if u.plan.runMs > 0 {
			percent = min(99, 100*time.Since(u.started).Milliseconds()/u.plan.runMs)
		}
		running = append(running, []any{u.task, u.number, "", percent, u.plan.size.CPU})
	}
	for _, e := range x.ends[:min(len(x.ends), maxEndRows)] {
		ends = append(ends, []any{e.number, e.run.task, e.run.number, e.how, ""})
	}
	v := map[string]any{"clock_ms": x.clock(), "born": x.born.UnixMilli(), "running": running, "ended": ends}
	n := len(x.ends)
	x.mu.Unlock()
	if !p.open() {
		hang(r)
	}
	if n > maxEndRows {
		x.w.rec.add(x.id, "lists %d of %d ends", maxEndRows, n)
	}
	answer(w, http.StatusOK, v)
}

func (x *worker) close() {
	x.mu.Lock()
	x.closed = true
	x.mu.Unlock()
	for _, s := range x.servers {
		_ = s.Close()
	}
}

// leave ends the executor with all that runs on it, and removes its entry.
func (x *worker) leave() {
	x.close()
	x.mu.Lock()
	for _, u := range x.runs {
		x.endRun(u, "ended with its executor")
	}
	x.mu.Unlock()
	x.w.store.remove("servers/" + x.id)
}

// indexOf returns the index of a work item in its step, and 0 if its name cannot be read.
func indexOf(task string) int {
	n, _ := strconv.Atoi(task[strings.LastIndexByte(task, '.')+1:])
	return n
}
