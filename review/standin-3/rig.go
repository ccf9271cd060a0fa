package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// host is the Host header of all queues.
const host = "pule25.example"

// rig is a small installation: a store, workers, machines and an advice service in this process, and entries as processes.
type rig struct {
	rec      *record
	trouble  bool
	random   *rand.Rand
	dir      string
	store    *store
	plans    *plans
	log      *runLog
	advice   *advice
	workers  []*worker
	entries  []*entry
	group    sync.WaitGroup
	ctx      context.Context
	stop     context.CancelFunc
	storeAt  string
	machines string
	adviceAt string
	gangs    gangs
	ports    map[int64]bool // given out by freeAddr.

	holdUp        func(w *worker, s lateStart) bool // tells whether a start is held up; nil if none is.
	clockStart    func() int64                      // what a worker's clock shows when a lifetime begins.
	registerAfter time.Duration                     // from the start of a lifetime until the worker writes its entry.

	// cut tells whether calls with this fencing number do not reach a worker, nor their answers the caller. It is set before workers start.
	cut func(w *worker, fence int64) bool
}

// hang leaves a call without an answer: it returns, by ending the handler, once the caller has given up.
func (r *rig) hang(q *http.Request) {
	select {
	case <-q.Context().Done():
	case <-r.ctx.Done():
	}
	panic(http.ErrAbortHandler)
}

// entry is one process of the program under test.
type entry struct {
	name, front, ready, peer, settings string
	cmd                                *exec.Cmd
	exited                             chan error
	stopped                            bool
}

// errSetup marks a script that could not run.
var errSetup = errors.New("the case could not run")

func newRig(dir string) (*rig, error) {
	rec, err := newRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	c, stop := context.WithCancel(context.Background())
	r := &rig{
		rec: rec, trouble: os.Getenv("TROUBLE") != "0", random: rand.New(&lockedSource{s: rand.NewSource(time.Now().UnixNano())}), dir: tmp, store: newStore(),
		plans: &plans{m: map[string]taskSpec{}}, ctx: c, stop: stop, ports: map[int64]bool{},
	}
	r.log, r.advice = newRunLog(rec), newAdvice(r)
	r.clockStart = func() int64 { return 1000 + r.random.Int63n(500_000) }
	rec.add("trouble: %t", r.trouble)
	if r.storeAt, err = r.serve(r.store); err != nil {
		return nil, err
	}
	if r.machines, err = r.serve(http.HandlerFunc(r.serveMachines)); err != nil {
		return nil, err
	}
	if r.adviceAt, err = r.serve(r.advice); err != nil {
		return nil, err
	}
	r.group.Add(1)
	go r.tick()
	return r, nil
}

func (r *rig) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	context.AfterFunc(r.ctx, func() { _ = s.Close() })
	r.group.Add(1)
	go func() { defer r.group.Done(); _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// freeAddr returns a loopback address with a port that is free, below the ports that the system gives to outgoing connections.
func (r *rig) freeAddr() (string, error) {
	const first, count, tries = 10_000, 20_000, 100
	for range tries {
		port := first + r.random.Int63n(count)
		if r.ports[port] {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			r.ports[port] = true
			return l.Addr().String(), l.Close()
		}
	}
	return "", fmt.Errorf("%w: no free port", errSetup)
}

func (r *rig) tick() {
	defer r.group.Done()
	t := time.NewTicker(5 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case now := <-t.C:
			for _, w := range r.workers {
				w.tick(now)
			}
		}
	}
}

// addWorker starts a worker of a service.
func (r *rig) addWorker(service string, cpu, memMB int64) (*worker, error) {
	a, err := r.freeAddr()
	if err != nil {
		return nil, err
	}
	n := len(r.workers)
	w := &worker{
		id: fmt.Sprintf("i-%08x", 0x7f3a9000+n), machine: fmt.Sprintf("m-%05x", 0xa3f0+n), service: service, addr: a,
		labels: []string{"a", fmt.Sprintf("r1-%d", n/4)}, cpu: cpu, memMB: memMB, rig: r,
	}
	if err := w.start(); err != nil {
		return nil, err
	}
	r.workers = append(r.workers, w)
	return w, nil
}

// serveMachines lists the machines. Orders to machines are refused as busy: no case needs one.
func (r *rig) serveMachines(o http.ResponseWriter, q *http.Request) {
	if q.URL.Path != "/burdockreach/machines" {
		reply(o, 409, map[string]any{"reason": "busy"})
		return
	}
	l := []map[string]any{}
	for _, w := range r.workers {
		w.mu.Lock()
		state, id := "up", w.id
		if !w.up {
			state, id = "down", ""
		}
		w.mu.Unlock()
		l = append(l, map[string]any{
			"machine": w.machine, "pool": w.service, "state": state, "zone": "z-a", "labels": w.labels,
			"capacity": map[string]any{"cpu": w.cpu, "mem_mb": w.memMB, "gpu": 0}, "id": id,
		})
	}
	reply(o, 200, map[string]any{"machines": l, "next_token": nil})
}

// route is a queue of the configuration.
type route struct {
	name, prefix, service string
	attempts              int
	advice                map[string]any
}

func (r *rig) configure(version int, services []string, routes ...route) {
	var l, s []map[string]any
	for _, q := range routes {
		m := map[string]any{
			"name": q.name, "host": host, "prefix": q.prefix, "kind": "unsafe", "timeout_ms": 3000, "target_duration_ms": 600, "priority": 0,
			"service": q.service, "max_attempts": q.attempts, "stretch": 1.6,
		}
		if q.advice != nil {
			m["advice"] = q.advice
		}
		l = append(l, m)
	}
	for _, n := range services {
		s = append(s, map[string]any{"name": n, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "rejects_overload": true, "standby": false})
	}
	r.store.put("op/config", map[string]any{"version": version, "routes": l, "services": s, "limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144}}, 0)
}

// addEntry writes the settings of an entry and starts it with the command of the deploy file.
func (r *rig) addEntry(storeAt string) (*entry, error) {
	e := &entry{name: fmt.Sprintf("front-a-%d", len(r.entries)+1)}
	metrics := ""
	for _, p := range []*string{&e.front, &e.ready, &e.peer, &metrics} {
		a, err := r.freeAddr()
		if err != nil {
			return nil, err
		}
		*p = a
	}
	e.settings = filepath.Join(r.dir, e.name+".json")
	b, _ := json.Marshal(map[string]any{
		"name": e.name, "dataCentre": "z-a", "callerAddr": e.front, "readyAddr": e.ready, "peerAddr": e.peer, "metricsAddr": metrics,
		"storeAddr": storeAt, "machinesAddr": r.machines, "adviceAddr": r.adviceAt, "leaseMaxMs": 6000, "statusSecs": 120, "dutyGapMs": 3000,
		"machineOrdersPerSec": 64.0, "graceSecs": 6, "cores": 0.4, "memoryMb": 284, "linkMbps": 1000.0, "lookAhead": false, "workerSpeed": false,
		"logLevel": "info",
	})
	if err := os.WriteFile(e.settings, b, 0o600); err != nil {
		return nil, err
	}
	r.entries = append(r.entries, e)
	return e, r.launch(e)
}

// launch starts the process of an entry.
func (r *rig) launch(e *entry) error {
	out, err := os.OpenFile(filepath.Join(r.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	e.cmd = exec.Command("target/burdockreach", "site", "-settings", e.settings)
	e.cmd.Env = append(os.Environ(), "BURDOCKREACH_NODE_FILE="+e.settings)
	e.cmd.Stdout, e.cmd.Stderr = out, out
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		return fmt.Errorf("%w: %w", errSetup, err)
	}
	e.exited = make(chan error, 1)
	go func(c *exec.Cmd, x chan error) { x <- c.Wait(); _ = out.Close() }(e.cmd, e.exited)
	r.rec.add("entry %s starts", e.name)
	return nil
}

func (r *rig) signal(e *entry, s syscall.Signal) {
	r.rec.add("entry %s gets %s", e.name, s)
	_ = e.cmd.Process.Signal(s)
}

// awaitReady waits until an entry is ready and answers calls for the number of waiting jobs, so that there is an owner.
func (r *rig) awaitReady(e *entry, prefix string) error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if s, _ := get("http://"+e.ready+"/burdockreach/readiness", time.Second); s != 200 {
			continue
		}
		if s, _ := get("http://"+e.front+prefix, time.Second); s == 200 {
			return nil
		}
	}
	return fmt.Errorf("%w: entry %s is not ready", errSetup, e.name)
}

// owner returns the entry that holds the claim, by its peer address in the store. Only scripts that stop the owner use it; it stands for
// the machine that last wrote to the store under a condition.
func (r *rig) owner() *entry {
	v, _ := r.store.get("own/all")
	for _, e := range r.entries {
		if bytes.Contains(v, []byte(e.peer+"/")) {
			return e
		}
	}
	return nil
}

// close ends all processes and servers.
func (r *rig) close() {
	for _, e := range r.entries {
		if e.cmd != nil && e.cmd.Process != nil {
			_ = e.cmd.Process.Signal(syscall.SIGCONT)
			_ = e.cmd.Process.Kill()
			<-e.exited
		}
	}
	r.stop()
	for _, w := range r.workers {
		w.mu.Lock()
		s := w.server
		w.mu.Unlock()
		_ = s.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println("kept", r.dir)
	}
}

var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func get(url string, timeout time.Duration) (int, string) { return call("GET", url, nil, timeout) }

// call makes one call of a caller. Status 0 means that there was no answer.
func call(method, url string, body any, timeout time.Duration) (int, string) {
	c, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var b io.Reader
	if body != nil {
		j, _ := json.Marshal(body)
		b = bytes.NewReader(j)
	}
	q, err := http.NewRequestWithContext(c, method, url, b)
	if err != nil {
		return 0, err.Error()
	}
	q.Host = host
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("X-Burdockreach-Request-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	a, err := client.Do(q)
	if err != nil {
		return 0, err.Error()
	}
	defer a.Body.Close()
	t, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, err.Error()
	}
	return a.StatusCode, string(t)
}

// send makes a call to an entry and records it.
func (r *rig) send(e *entry, method, path string, body any, timeout time.Duration) (int, string) {
	r.rec.add("caller -> %s: %s %s", e.name, method, path)
	s, t := call(method, "http://"+e.front+path, body, timeout)
	if s == 0 {
		t = "no answer"
	}
	r.rec.add("caller <- %s: %s %s: %d %.200s", e.name, method, path, s, t)
	return s, t
}

// phase is one step of a submission.
type phase struct {
	Count   int    `json:"count"`
	CPU     int64  `json:"cpu"`
	MemMB   int64  `json:"mem_mb"`
	EstMs   int64  `json:"estimate_ms,omitempty"`
	After   []int  `json:"after,omitempty"`
	Gang    bool   `json:"gang,omitempty"`
	Lasting bool   `json:"long_running,omitempty"`
	MayMiss int    `json:"may_miss,omitempty"`
	PerSrv  int    `json:"max_per_server,omitempty"`
	Image   string `json:"image,omitempty"`
}

// newID returns the ID of a job.
func (r *rig) newID() string { return fmt.Sprintf("%016x", r.random.Uint64()) }

// submit hands a job in, again after each refusal, for up to 20 s.
func (r *rig) submit(e *entry, prefix, id string, work time.Duration, advised bool, l ...phase) error {
	for n, p := range l {
		r.plans.set(id, n, taskSpec{cpu: p.CPU, memMB: p.MemMB, work: work, lasting: p.Lasting, advised: advised})
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		if s, _ := r.send(e, "POST", prefix+id, map[string]any{"spec": "task of " + id, "phases": l}, 3*time.Second); s == 200 {
			return nil
		}
	}
	return fmt.Errorf("%w: job %s was not accepted", errSetup, id)
}

// state returns what a GET for a job says.
func (r *rig) state(e *entry, prefix, id string) string {
	s, t := r.send(e, "GET", prefix+id, nil, 3*time.Second)
	var b struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(t), &b)
	if s != 200 {
		return fmt.Sprint(s)
	}
	return b.State
}

// lockedSource is a source of random numbers that several goroutines may use.
type lockedSource struct {
	mu sync.Mutex
	s  rand.Source
}

func (l *lockedSource) Int63() int64 { l.mu.Lock(); defer l.mu.Unlock(); return l.s.Int63() }

func (l *lockedSource) Seed(n int64) { l.mu.Lock(); defer l.mu.Unlock(); l.s.Seed(n) }
