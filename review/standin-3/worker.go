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

// Limits of a worker, as in the bounds of a small site.
const (
	holdMax        = 6 * time.Second
	heartbeat      = 1500 * time.Millisecond
	missedBeats    = 3
	gangTimeout    = 3 * time.Second
	lastingStartup = 900 * time.Millisecond
)

// taskSpec is what a worker knows of the tasks of one step. Callers know nothing of it.
type taskSpec struct {
	cpu, memMB int64
	work       time.Duration
	lasting    bool
	gang       int
	advised    bool
	failMean   time.Duration // of a lasting task, from its start until it fails; 0 if it does not fail.
}

// plans holds the steps of the submitted jobs, by ID.STEP.
type plans struct {
	mu sync.Mutex
	m  map[string]taskSpec
}

func (p *plans) set(id string, step int, t taskSpec) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.m[fmt.Sprintf("%s.%d", id, step)] = t
}

func (p *plans) of(task string) taskSpec {
	f := strings.Split(task, ".")
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(f) != 4 {
		return taskSpec{}
	}
	return p.m[f[0]+"."+f[2]]
}

type run struct {
	task    string
	number  int
	spec    taskSpec
	began   time.Time // when it began to work; zero while a gang waits.
	started time.Time
	timer   *time.Timer
}

type endRow struct {
	n     int64
	task  string
	run   int
	how   string
	saved string
}

// worker is one executor. Its fields below mu are those of the present lifetime.
type worker struct {
	id, machine, service, addr string
	labels                     []string
	cpu, memMB                 int64
	rig                        *rig

	mu       sync.Mutex
	up       bool
	born     int64
	since    time.Time // start of the lifetime.
	clock0   int64     // the clock at the start of the lifetime.
	fence    int64
	lease    int64
	runs     []*run
	ended    []endRow
	lastEnd  int64
	highest  map[string]int
	changed  chan struct{}
	sequence int64
	lastBeat time.Time
	listed   bool
	server   *http.Server
	draining bool
}

// start begins a lifetime of w and opens its port.
func (w *worker) start() error {
	l, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.up, w.born, w.since = true, time.Now().UnixMilli(), time.Now()
	w.clock0 = 1000
	if w.rig.clockStart != nil {
		w.clock0 = w.rig.clockStart()
	}
	w.fence, w.lease, w.runs, w.ended, w.lastEnd, w.highest = 0, 0, nil, nil, 0, map[string]int{}
	w.changed, w.sequence = make(chan struct{}), 0
	s := &http.Server{Handler: w}
	w.server = s
	w.lastBeat = time.Now().Add(w.rig.registerAfter - heartbeat)
	if w.rig.registerAfter == 0 {
		w.beat()
	}
	w.mu.Unlock()
	w.rig.rec.add("worker %s begins a lifetime", w.id)
	w.rig.group.Add(1)
	go func() { defer w.rig.group.Done(); _ = s.Serve(l) }()
	return nil
}

// crash ends the lifetime of w and all that runs there; connections are reset.
func (w *worker) crash() {
	w.mu.Lock()
	s := w.server
	if !w.up {
		w.mu.Unlock()
		return
	}
	w.up = false
	var names []string
	for _, r := range w.runs {
		r.timer.Stop()
		names = append(names, fmt.Sprintf("%s run %d", r.task, r.number))
		w.rig.log.end(w, r.task, r.number, "lost")
	}
	w.runs, w.ended = nil, nil
	w.mu.Unlock()
	_ = s.Close()
	w.rig.rec.add("worker %s crashes; lost: %s", w.id, strings.Join(names, ", "))
}

// tick sends heartbeats and ends what has no lease any more.
func (w *worker) tick(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		if w.listed && now.Sub(w.lastBeat) > missedBeats*heartbeat {
			w.listed = false
			w.rig.store.del("servers/" + w.id)
		}
		return
	}
	if now.Sub(w.lastBeat) >= heartbeat {
		w.beat()
	}
	if len(w.runs) > 0 && w.clock() > w.lease {
		for _, r := range append([]*run{}, w.runs...) {
			w.end(r, "lapsed")
		}
	}
}

func (w *worker) beat() {
	w.sequence++
	w.lastBeat, w.listed = time.Now(), true
	state := "ready"
	if w.draining {
		state = "draining"
	}
	w.rig.store.put("servers/"+w.id, map[string]any{
		"service": w.service, "address": w.addr, "zone": "z-a", "version": "v1", "slots": 8, "state": state, "warmup_left_ms": 0,
		"capacity": map[string]any{"cpu": w.cpu, "mem_mb": w.memMB, "gpu": 0}, "labels": w.labels, "clock_ms": w.clock(), "born": w.born, "sequence": w.sequence,
	}, 0)
}

func (w *worker) clock() int64 { return w.clock0 + time.Since(w.since).Milliseconds() }

func (w *worker) used() (cpu, mem int64) {
	for _, r := range w.runs {
		cpu, mem = cpu+r.spec.cpu, mem+r.spec.memMB
	}
	return cpu, mem
}

func (w *worker) find(task string, number int) *run {
	for _, r := range w.runs {
		if r.task == task && (number == 0 || r.number == number) {
			return r
		}
	}
	return nil
}

// end ends a run and lists its end. The caller holds mu.
func (w *worker) end(r *run, how string) {
	i := -1
	for n, o := range w.runs {
		if o == r {
			i = n
		}
	}
	if i < 0 {
		return
	}
	r.timer.Stop()
	w.runs = append(w.runs[:i:i], w.runs[i+1:]...)
	w.lastEnd++
	w.ended = append(w.ended, endRow{w.lastEnd, r.task, r.number, how, ""})
	w.highest[r.task] = max(w.highest[r.task], r.number)
	close(w.changed)
	w.changed = make(chan struct{})
	w.rig.log.end(w, r.task, r.number, how)
	if r.spec.gang > 1 && how != "done" && how != "broken" && how != "alone" {
		w.rig.gangs.leave(r)
	}
}

// ServeHTTP serves the calls to the worker.
func (w *worker) ServeHTTP(o http.ResponseWriter, q *http.Request) {
	if id := q.Header.Get("X-Burdockreach-Expect-Instance"); id != "" && id != w.id {
		o.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var b struct {
		Task     string `json:"task"`
		Run      int    `json:"run_id"`
		Spec     string `json:"spec"`
		Until    int64  `json:"until_ms"`
		Fence    int64  `json:"fencing_token"`
		LastSeen int64  `json:"last_seen"`
		Wait     int64  `json:"wait_ms"`
		Ticket   string `json:"ticket"`
	}
	if err := json.NewDecoder(q.Body).Decode(&b); err != nil {
		o.WriteHeader(400)
		return
	}
	if w.rig.cut != nil && w.rig.cut(w, b.Fence) {
		w.rig.hang(q)
	}
	if strings.HasSuffix(q.URL.Path, "/run-start") && w.rig.holdUp != nil && w.rig.holdUp(w, lateStart{b.Task, b.Run, b.Until, b.Fence}) {
		w.rig.hang(q)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		panic(http.ErrAbortHandler)
	}
	refuse := func(reason string) {
		reply(o, 409, map[string]any{"clock_ms": w.clock(), "reason": reason})
	}
	if b.Fence < w.fence {
		refuse("fence")
		return
	}
	w.fence = b.Fence
	extend := func() {
		if b.Until > 0 {
			w.lease = max(w.lease, min(b.Until, w.clock()+holdMax.Milliseconds()))
		}
	}
	switch strings.TrimPrefix(q.URL.Path, "/burdockreach/") {
	case "run-start":
		p := w.rig.plans.of(b.Task)
		if w.find(b.Task, b.Run) != nil {
			extend()
			reply(o, 200, map[string]any{"clock_ms": w.clock()})
			return
		}
		cpu, mem := w.used()
		switch {
		case b.Until < w.clock():
			refuse("late")
			return
		case b.Run <= w.highest[b.Task]:
			extend()
			refuse("old")
			return
		case cpu+p.cpu > w.cpu || mem+p.memMB > w.memMB:
			extend()
			refuse("room")
			return
		case p.advised && !w.rig.advice.valid(b.Ticket, b.Task, w):
			refuse("ticket")
			return
		}
		extend()
		w.begin(b.Task, b.Run, p)
		reply(o, 200, map[string]any{"clock_ms": w.clock()})
	case "run-stop":
		if r := w.find(b.Task, 0); r != nil && r.number <= b.Run {
			w.end(r, "stopped")
		}
		w.highest[b.Task] = max(w.highest[b.Task], b.Run)
		reply(o, 200, map[string]any{"clock_ms": w.clock()})
	case "pace":
		reply(o, 200, map[string]any{"clock_ms": w.clock()})
	case "hold":
		extend()
		if b.LastSeen > 0 {
			var l []endRow
			for _, e := range w.ended {
				if e.n > b.LastSeen {
					l = append(l, e)
				} else {
					w.rig.log.acked(e.task, e.run, e.how)
				}
			}
			w.ended = l
		}
		end := time.Now().Add(time.Duration(min(b.Wait, 2000)) * time.Millisecond)
		life := w.born
		for len(w.ended) == 0 && time.Now().Before(end) {
			c := w.changed
			w.mu.Unlock()
			select {
			case <-c:
			case <-time.After(time.Until(end)):
			case <-q.Context().Done():
			}
			w.mu.Lock()
			if !w.up || w.born != life {
				panic(http.ErrAbortHandler)
			}
			if q.Context().Err() != nil {
				return
			}
		}
		if w.rig.cut != nil && w.rig.cut(w, b.Fence) { // the answer does not get through.
			w.mu.Unlock()
			defer w.mu.Lock()
			w.rig.hang(q)
		}
		w.list(o)
	default:
		o.WriteHeader(404)
	}
}

// lateStart is a start that is held up on its way.
type lateStart struct {
	task   string
	number int
	until  int64
	fence  int64
}

// carryOut carries out a start that was held up, as the worker would have done on time. Nobody gets the answer.
func (w *worker) carryOut(s lateStart) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.rig.plans.of(s.task)
	cpu, mem := w.used()
	why := ""
	switch {
	case !w.up:
		why = "down"
	case s.fence < w.fence:
		why = "fence"
	case s.until < w.clock():
		why = "late"
	case s.number <= w.highest[s.task]:
		why = "old"
	case cpu+p.cpu > w.cpu || mem+p.memMB > w.memMB:
		why = "room"
	}
	if why != "" {
		w.rig.rec.add("the late start of %s run %d at %s does nothing: %s", s.task, s.number, w.id, why)
		return
	}
	w.rig.rec.add("the late start of %s run %d is carried out at %s", s.task, s.number, w.id)
	w.fence = s.fence
	w.lease = max(w.lease, min(s.until, w.clock()+holdMax.Milliseconds()))
	w.begin(s.task, s.number, p)
}

func (w *worker) begin(task string, number int, p taskSpec) {
	r := &run{task: task, number: number, spec: p, started: time.Now(), began: time.Now()}
	r.timer = time.AfterFunc(time.Hour, func() {})
	w.runs = append(w.runs, r)
	w.rig.log.begin(w, task, number)
	switch {
	case p.lasting && p.failMean > 0:
		r.timer = time.AfterFunc(lastingStartup+time.Duration(w.rig.random.ExpFloat64()*float64(p.failMean)), func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.up {
				w.end(r, "failed")
			}
		})
		return
	case p.lasting:
		return
	case p.gang > 1:
		w.rig.gangs.join(w, r)
		return
	}
	r.timer = time.AfterFunc(p.work, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.up {
			w.end(r, "done")
		}
	})
}

func (w *worker) list(o http.ResponseWriter) {
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.runs {
		span := r.spec.work
		if r.spec.lasting {
			span = lastingStartup
		}
		percent := min(100, int(100*time.Since(r.began)/max(span, 1)))
		running = append(running, []any{r.task, r.number, "", percent, 0})
	}
	for _, e := range w.ended {
		if len(ended) < 500 {
			ended = append(ended, []any{e.n, e.task, e.run, e.how, e.saved})
		}
	}
	reply(o, 200, map[string]any{"clock_ms": w.clock(), "born": w.born, "running": running, "ended": ended})
}

// runLog keeps what workers have run.
type runLog struct {
	mu      sync.Mutex
	rec     *record
	active  map[string]string // TASK run N: worker.
	starts  map[string][]start
	ends    map[string][]string
	doubles map[string]string // by task: the runs that were active at once.
}

type start struct {
	worker string
	number int
	at     time.Time
}

func newRunLog(r *record) *runLog {
	return &runLog{rec: r, active: map[string]string{}, starts: map[string][]start{}, ends: map[string][]string{}, doubles: map[string]string{}}
}

func (l *runLog) begin(w *worker, task string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k := range l.active {
		if strings.HasPrefix(k, task+" run ") {
			l.doubles[task] = fmt.Sprintf("%s while run %d begins at %s", k, n, w.id)
			l.rec.add("TWO RUNS AT ONCE: %s", l.doubles[task])
		}
	}
	l.active[task+" run "+strconv.Itoa(n)+" at "+w.id] = w.id
	l.starts[task] = append(l.starts[task], start{w.id, n, time.Now()})
	l.rec.add("run begins: %s run %d at %s", task, n, w.id)
}

func (l *runLog) end(w *worker, task string, n int, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.active, task+" run "+strconv.Itoa(n)+" at "+w.id)
	l.ends[task] = append(l.ends[task], how)
	l.rec.add("run ends: %s run %d at %s: %s", task, n, w.id, how)
}

func (l *runLog) acked(string, int, string) {}

// isRunning reports whether the task has an active run.
func (l *runLog) isRunning(task string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k := range l.active {
		if strings.HasPrefix(k, task+" run ") {
			return true
		}
	}
	return false
}

// running returns the number of active runs of the job.
func (l *runLog) running(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for k := range l.active {
		if strings.HasPrefix(k, id+".") {
			n++
		}
	}
	return n
}

// countEnds returns how many runs of the task have ended so.
func (l *runLog) countEnds(task, how string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, h := range l.ends[task] {
		if h == how {
			n++
		}
	}
	return n
}

func (l *runLog) startsOf(task string) []start {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]start{}, l.starts[task]...)
}

// overlaps returns how many work items of the job had two runs at once, and one of them.
func (l *runLog) overlaps(id string) (int, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, text := 0, ""
	for k, d := range l.doubles {
		if strings.HasPrefix(k, id+".") {
			n, text = n+1, ", such as "+d
		}
	}
	return n, text
}
