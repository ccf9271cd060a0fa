package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Names in the operator's configuration.
const (
	serviceName = "rounds"
	hostName    = "rounds.example"
	prefix      = "/ledger/"
)

var capacity = map[string]any{"cpu": 32000, "mem_mb": 65536, "gpu": 0}

// runRecord is one run as the executors saw it.
type runRecord struct {
	task, worker, kind, how string
	run                     int
	fence                   int64
	begun, ended            time.Time // ended is zero while it runs.
}

// errEnded reports that an entry ended at its start.
var errEnded = errors.New("the entry has ended")

// world is one small deployment: the platform's store, its machines, the executors, and the entries as processes.
type world struct {
	store    *store
	workers  []*worker
	entries  []*entry
	dir      string
	begun    time.Time
	machines string // address of the machines' calls.

	machinesSlow atomic.Int64 // added to each answer of the machines' calls, ms.

	mu     sync.Mutex
	record []string
	runs   []runRecord
	works  map[string]work // by the id of the job.
}

// current is the world that is being played.
var current *world

// giveUp ends the script, and the processes that it started, if the case cannot run.
func giveUp(why string) {
	fmt.Fprintln(os.Stderr, why)
	if current != nil {
		current.stop()
	}
	os.Exit(couldNot)
}

// entry is one process of the project.
type entry struct {
	cores         float64
	gate          *gate
	caller, ready string
	cmd           *exec.Cmd
	exited        chan struct{} // closed once the process has ended.
}

const (
	startTime  = 300 * time.Millisecond // after which a process that is still there has opened its ports.
	startTries = 3
	readyWait  = 20 * time.Second
	settleTime = 4 * time.Second // over stable_window_ms.
)

// newWorld starts executors of the given kinds, the platform and the entries, and waits until all entries are ready.
func newWorld(kinds []string, cores []float64) (*world, error) {
	d, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	w := &world{store: newStore(), dir: d, begun: time.Now(), works: map[string]work{}}
	current = w
	w.store.put("op/config", config())
	for i, k := range kinds {
		x := &worker{w: w, id: fmt.Sprintf("i-%07d", i+1), kind: k, rack: fmt.Sprintf("r1-%d", i/4+1)}
		w.workers = append(w.workers, x)
		x.start()
	}
	w.serveMachines()
	for i, c := range cores {
		err := w.startEntry(i, c)
		for range startTries {
			if !errors.Is(err, errEnded) {
				break
			}
			err = w.startEntry(i, c)
		}
		if err != nil {
			return w, err
		}
	}
	return w, w.waitReady()
}

func config() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-ledger", "host": hostName, "prefix": prefix, "kind": "unsafe", "timeout_ms": 3000, "target_duration_ms": 2500,
			"priority": 0, "service": serviceName, "max_attempts": 4, "stretch": 2.2,
		}},
		"services": []any{map[string]any{
			"name": serviceName, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "rejects_overload": true, "standby": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// serveMachines serves the platform's list of machines. No case asks for orders to machines, so none is carried out.
func (w *world) serveMachines() {
	l := listen("")
	w.machines = l.Addr().String()
	go http.Serve(l, http.HandlerFunc(func(a http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/burdockreach/machines" {
			answer(a, 409, map[string]any{"reason": "busy"})
			return
		}
		m := []any{}
		for i, k := range w.workers {
			k.mu.Lock()
			x := map[string]any{
				"machine": fmt.Sprintf("m-%05d", i+1), "pool": serviceName, "state": "up", "zone": "z-a", "labels": []string{k.kind, k.rack},
				"capacity": capacity, "id": k.id,
			}
			if !k.up {
				x["state"], x["id"] = "down", ""
			}
			k.mu.Unlock()
			m = append(m, x)
		}
		time.Sleep(time.Duration(w.machinesSlow.Load()) * time.Millisecond)
		answer(a, 200, map[string]any{"machines": m, "next_token": nil})
	}))
}

// freeAddr returns a loopback address with a port that was free a moment ago.
func freeAddr() string {
	l := listen("")
	defer l.Close()
	return l.Addr().String()
}

// startEntry starts one entry with the command of deploy/system.toml, and with the fields of deploy/settings.json.
func (w *world) startEntry(i int, cores float64) error {
	e := &entry{cores: cores, gate: w.store.serve(i), caller: freeAddr(), ready: freeAddr()}
	s := map[string]any{
		"name": fmt.Sprintf("front-z-a-%d", i+1), "dataCentre": "z-a", "callerAddr": e.caller, "readyAddr": e.ready, "peerAddr": freeAddr(),
		"metricsAddr": "", "storeAddr": e.gate.addr, "machinesAddr": w.machines, "adviceAddr": "", "leaseMaxMs": holdMaxMs, "statusSecs": 120,
		"dutyGapMs": 3000, "machineOrdersPerSec": 64, "graceSecs": 6, "cores": cores, "memoryMb": 284, "linkMbps": 1000, "lookAhead": false,
		"workerSpeed": false, "logLevel": "info",
	}
	b, err := json.Marshal(s)
	if err != nil {
		return err
	}
	f := filepath.Join(w.dir, fmt.Sprintf("entry-%d.json", i+1))
	if err := os.WriteFile(f, b, 0o600); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(w.dir, fmt.Sprintf("entry-%d.log", i+1)))
	if err != nil {
		return err
	}
	e.cmd = exec.Command("target/burdockreach", "site", "-settings", f)
	e.cmd.Stdout, e.cmd.Stderr = out, out
	if err := e.cmd.Start(); err != nil {
		return err
	}
	e.exited = make(chan struct{})
	go func() {
		e.cmd.Wait()
		close(e.exited)
	}()
	select {
	case <-e.exited: // one of its ports was taken meanwhile.
		return errEnded
	case <-time.After(startTime):
		if i < len(w.entries) {
			w.entries[i] = e
		} else {
			w.entries = append(w.entries, e)
		}
		return nil
	}
}

func (w *world) waitReady() error {
	end := time.Now().Add(readyWait)
	for i := range w.entries {
		for {
			e := w.entries[i]
			select {
			case <-e.exited:
				if err := w.startEntry(i, e.cores); err != nil {
					return err
				}
				continue
			default:
			}
			r, err := http.Get("http://" + e.ready + "/burdockreach/readiness")
			if err == nil {
				r.Body.Close()
				if r.StatusCode == 200 {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("entry at %s is not ready", e.ready)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	for s, _, _ := w.call(0, "GET", "", nil); s != 200; s, _, _ = w.call(0, "GET", "", nil) {
		if time.Now().After(end) {
			return fmt.Errorf("no entry answers for the queue")
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(settleTime)
	return nil
}

// stop ends all processes of this world.
func (w *world) stop() {
	for _, e := range w.entries {
		e.cmd.Process.Kill()
		<-e.exited
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.dir)
	}
}

// leader returns the entry that most recently wrote to the store under a condition, as DEPLOY.md defines it.
func (w *world) leader() int { return int(w.store.lastWriter.Load()) }

func (w *world) since(t time.Time) float64 { return t.Sub(w.begun).Seconds() }

// note adds a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record = append(w.record, fmt.Sprintf("%8.3f  ", w.since(time.Now()))+fmt.Sprintf(format, args...))
}

func (w *world) setWork(job string, x work) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.works[job] = x
}

func (w *world) workOf(task string) work {
	w.mu.Lock()
	defer w.mu.Unlock()
	if i := strings.LastIndexByte(task, '.'); i > 0 {
		if x, ok := w.works[task[:i]]; ok { // of one step.
			return x
		}
	}
	job, _, _ := strings.Cut(task, ".")
	return w.works[job]
}

func (w *world) beginRun(task string, run int, id, kind string, fence int64) int {
	w.note("executor %s (kind %s) starts %s run %d, fence %d", id, kind, task, run, fence)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, runRecord{task: task, run: run, worker: id, kind: kind, fence: fence, begun: time.Now()})
	return len(w.runs) - 1
}

func (w *world) endRun(i int, how string) {
	w.mu.Lock()
	r := &w.runs[i]
	r.ended, r.how = time.Now(), how
	x := *r
	w.mu.Unlock()
	w.note("executor %s ends %s run %d: %s", x.worker, x.task, x.run, how)
}

// allRuns returns the runs of one job so far.
func (w *world) allRuns(job string) []runRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	var l []runRecord
	for _, r := range w.runs {
		if strings.HasPrefix(r.task, job+".") {
			l = append(l, r)
		}
	}
	return l
}

// runningNow reports whether a run of the job is at an executor.
func (w *world) runningNow(job string) bool {
	for _, r := range w.allRuns(job) {
		if r.ended.IsZero() {
			return true
		}
	}
	return false
}

// call makes one consumer's call to entry i.
func (w *world) call(i int, method, id string, body any) (int, string, error) {
	var b io.Reader
	if body != nil {
		j, err := json.Marshal(body)
		if err != nil {
			return 0, "", err
		}
		b = bytes.NewReader(j)
	}
	r, err := http.NewRequest(method, "http://"+w.entries[i].caller+prefix+id, b)
	if err != nil {
		return 0, "", err
	}
	r.Host = hostName
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Burdockreach-Request-Deadline-Ms", "3000")
	c := http.Client{Timeout: 3 * time.Second}
	a, err := c.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer a.Body.Close()
	x, err := io.ReadAll(a.Body)
	return a.StatusCode, strings.TrimSpace(string(x)), err
}

// request makes a consumer's call and records it with its answer.
func (w *world) request(i int, method, id string, body any) (int, string) {
	s, x, err := w.call(i, method, id, body)
	if err != nil {
		x = err.Error()
	}
	w.note("consumer: %s %s%s to entry %d -> %d %s", method, prefix, id, i+1, s, x)
	return s, x
}

// submit hands a job in, at one entry after the other, until it is accepted.
func (w *world) submit(id string, x work, body any) error {
	w.setWork(id, x)
	for i := range 8 {
		if s, _ := w.request(i%len(w.entries), "POST", id, body); s == 200 {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", id)
}
