package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// world is a small deployment: entries as processes, and stand-ins of the platform, the executors, the operator and the consumers.
type world struct {
	rec     *record
	checker *checker
	store   *store
	zones   []string
	paths   sync.Map // by the id of an executor: its addresses, one for each entry.
	fleetMu sync.Mutex
	fleet   []*machine
	entries []*entry
	plan    func(task, spec string) taskPlan
	dir     string // for settings and logs.
	bin     string
	tmpl    string

	machinesAddr string
	routes       []map[string]any
	services     []map[string]any
	version      int64
	host         string
	storeDown    atomic.Bool
	cutZone      atomic.Pointer[string]        // zone that is partitioned from the store and from the other zones; nil for none.
	returnAfter  func(x *worker) time.Duration // how long after the store's return an executor's entry is back; nil for at once.
	statusS      int                           // how long the state of an ended submission must be readable, s.
}

// entry is one process of the system.
type entry struct {
	w                         *world
	name, zone                string
	index                     int
	storeAddr                 string // the store, as this entry sees it.
	front, ready, peer, stats string
	mu                        sync.Mutex
	cmd                       *exec.Cmd
	exited                    chan struct{}
}

func newWorld(dir, bin, tmpl string, rec *record) (*world, error) {
	w := &world{rec: rec, checker: newChecker(rec), store: newStore(), zones: []string{"nbi-a", "nbi-b", "nbi-c"}, dir: dir, bin: bin, tmpl: tmpl, host: "pule25.example", statusS: 120}
	var err error
	w.machinesAddr, err = serve(http.HandlerFunc(w.machines))
	return w, err
}

// isCut reports whether a zone is partitioned from the store and from the other zones.
func (w *world) isCut(zone string) bool {
	z := w.cutZone.Load()
	return z != nil && *z == zone
}

// reaches reports whether an entry reaches an executor.
func (w *world) reaches(e, executor string) bool {
	return e == executor || !w.isCut(e) && !w.isCut(executor)
}

// rewriteFor gives each entry an address of its own for each executor, so that single paths can be cut.
func (w *world) rewriteFor(n int) func(storeItem) storeItem {
	return func(i storeItem) storeItem {
		id, ok := strings.CutPrefix(i.Key, "servers/")
		if a, known := w.paths.Load(id); ok && known && !i.Deleted {
			l := a.([]string)
			i.Value = bytes.Replace(i.Value, []byte(`"`+l[0]+`"`), []byte(`"`+l[n]+`"`), 1)
		}
		return i
	}
}

func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String(), nil
}

// freePort listens at a free port of a loopback address, below the range from which the system takes the ports of its own choice.
func freePort() (net.Listener, error) {
	for range 100 {
		if l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(20_000+rand.IntN(12_000)))); err == nil {
			return l, nil
		}
	}
	return nil, errors.New("no free port was found")
}

// addRoute adds a queue to the configuration, which configure writes.
func (w *world) addRoute(name, service string) {
	w.routes = append(w.routes, map[string]any{
		"name": name, "host": w.host, "prefix": "/" + name + "/", "kind": "unsafe", "timeout_ms": 3000, "target_duration_ms": 600, "priority": 0,
		"service": service, "max_attempts": 4, "stretch": 1.6,
	})
}

func (w *world) addService(name string) {
	w.services = append(w.services, map[string]any{"name": name, "rejects_overload": true})
}

func (w *world) configure() {
	w.version += 3
	w.store.put("op/config", map[string]any{"version": w.version, "routes": w.routes, "services": w.services, "limits": map[string]any{}})
}

// addEntry writes the settings of an entry from the template of the deploy file, and starts it.
func (w *world) addEntry(n int) (*entry, error) {
	e := &entry{w: w, zone: w.zones[n%len(w.zones)], index: n}
	var held []net.Listener // keeps the ports until the process starts.
	var err error
	e.storeAddr, err = serve(storeView{store: w.store, silent: func() bool { return w.storeDown.Load() || w.isCut(e.zone) }, rewrite: w.rewriteFor(n)})
	if err != nil {
		return nil, err
	}
	e.name = fmt.Sprintf("front-%s-%d", e.zone, n/len(w.zones)+1)
	for _, a := range []*string{&e.front, &e.ready, &e.peer, &e.stats} {
		l, err := freePort()
		if err != nil {
			return nil, err
		}
		defer l.Close() // in case of an error.
		held = append(held, l)
		*a = l.Addr().String()
	}
	b, err := os.ReadFile(w.tmpl)
	if err != nil {
		return nil, err
	}
	ip, port, _ := net.SplitHostPort(e.peer)
	f := map[string]any{
		"node_name": e.name, "zone": e.zone, "listen_addrs.front": e.front, "listen_addrs.ready": e.ready, "ip": ip, "internal_port_range.0": json.Number(port),
		"platform.address": e.storeAddr, "cloud_api.address": w.machinesAddr, "advice": "", "bounds.hold_max_ms": holdMaxMs, "bounds.status_s": w.statusS,
		"bounds.lease_ms": 3000, "cloud_api.duty_per_s": 64, "bounds.grace_s": 6, "limits.cpu_share": 0.4, "limits.memory_mb": 284, "limits.link_mbps": 1000,
	}
	unknown := ""
	s := regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`).ReplaceAllStringFunc(string(b), func(p string) string {
		k, isJSON := strings.CutSuffix(strings.Trim(p, "{}"), "|json")
		v, ok := f[k]
		if !ok {
			unknown = k
		}
		if isJSON {
			j, _ := json.Marshal(v)
			return string(j)
		}
		return fmt.Sprint(v)
	})
	if unknown != "" {
		return nil, fmt.Errorf("the template of the settings has the unknown field %q", unknown)
	}
	s = strings.Replace(s, ip+":9090", e.stats, 1) // all entries share one machine here.
	if err := os.WriteFile(e.settings(), []byte(s), 0o600); err != nil {
		return nil, err
	}
	w.entries = append(w.entries, e)
	for _, l := range held {
		_ = l.Close()
	}
	return e, e.start()
}

func (e *entry) settings() string { return filepath.Join(e.w.dir, e.name+".json") }

// start starts the process with the command of the deploy file.
func (e *entry) start() error {
	log, err := os.OpenFile(filepath.Join(e.w.dir, e.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(e.w.bin, "site", "-settings", e.settings())
	c.Stdout, c.Stderr = log, log
	c.Env = append(os.Environ(), "BURDOCKREACH_NODE_FILE="+e.settings())
	if err := c.Start(); err != nil {
		return err
	}
	x := make(chan struct{})
	e.mu.Lock()
	e.cmd, e.exited = c, x
	e.mu.Unlock()
	e.w.rec.add(e.name, "process started")
	go func() {
		err := c.Wait()
		_ = log.Close()
		e.w.rec.add(e.name, "process ended: %v", err)
		close(x)
	}()
	return nil
}

func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.w.rec.show(e.name, "signal sent: %s", s)
	_ = e.cmd.Process.Signal(s)
}

// killAndRestart kills the process and starts it again after d.
func (e *entry) killAndRestart(d time.Duration) {
	e.signal(syscall.SIGKILL)
	<-e.exited
	time.AfterFunc(d, func() { _ = e.start() })
}

// stop stops the process by SIGTERM, kills it if it has not ended after grace_s, and starts it again after d.
func (e *entry) stop(d time.Duration) {
	e.signal(syscall.SIGTERM)
	select {
	case <-e.exited:
	case <-time.After(6 * time.Second):
		e.signal(syscall.SIGKILL)
		<-e.exited
	}
	time.AfterFunc(d, func() { _ = e.start() })
}

// close ends all processes that the world started.
func (w *world) close() {
	for _, e := range w.entries {
		e.mu.Lock()
		if e.cmd != nil {
			_ = e.cmd.Process.Kill()
			e.mu.Unlock()
			<-e.exited
			continue
		}
		e.mu.Unlock()
	}
	w.fleetMu.Lock()
	defer w.fleetMu.Unlock()
	for _, k := range w.fleet {
		if k.worker != nil {
			k.worker.close()
		}
	}
}

// awaitReady waits until every entry reports that it is ready.
func (w *world) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, e := range w.entries {
		for {
			c := http.Client{Timeout: time.Second}
			r, err := c.Get("http://" + e.ready + "/burdockreach/readiness")
			if err == nil {
				_ = r.Body.Close()
				if r.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// holder returns the owner and its process as the store names them, or an empty string while there is no owner.
func (w *world) holder() string {
	var v struct {
		Holder string `json:"holder"`
	}
	_ = json.Unmarshal(w.store.value("own/all"), &v)
	return v.Holder
}

// owner returns the entry of the holder: the one that last wrote to the store under a condition. It returns nil while there is none.
func (w *world) owner() *entry {
	h := w.holder()
	for _, e := range w.entries {
		if strings.HasPrefix(h, e.peer+"/") {
			return e
		}
	}
	return nil
}

// awaitOwner waits for an owner other than the former holder, which may be a new process of the same entry.
func (w *world) awaitOwner(former string, limit time.Duration) (*entry, error) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if o := w.owner(); o != nil && w.holder() != former {
			return o, nil
		}
	}
	return nil, fmt.Errorf("no owner after %s", limit)
}

// consumer sends the requests of one consumer.
var consumer = http.Client{Timeout: 3 * time.Second}

// request sends one request to an entry, and returns the status, or 0 without an answer, and the body.
func (e *entry) request(method, path string, body any) (int, string) {
	b, _ := json.Marshal(body)
	if body == nil {
		b = nil
	}
	r, _ := http.NewRequest(method, "http://"+e.front+path, bytes.NewReader(b))
	r.Host = e.w.host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Burdockreach-Request-Deadline-Ms", "3000")
	e.w.rec.add("consumer", "%s %s to %s %.300s", method, path, e.name, b)
	a, err := consumer.Do(r)
	if err != nil {
		e.w.rec.add("consumer", "%s %s to %s: no answer: %v", method, path, e.name, err)
		return 0, ""
	}
	defer a.Body.Close()
	t, _ := io.ReadAll(a.Body)
	e.w.rec.add("consumer", "%s %s to %s: %d %s", method, path, e.name, a.StatusCode, t)
	return a.StatusCode, string(t)
}

// ask sends a request to the entries in turn until one answers with a status below 500 or the time is over.
func (w *world) ask(method, path string, body any, limit time.Duration) (int, string) {
	end := time.Now().Add(limit)
	for n := 0; ; n++ {
		s, b := w.entries[n%len(w.entries)].request(method, path, body)
		if s != 0 && s < 500 && s != http.StatusTooManyRequests || time.Now().After(end) {
			return s, b
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// state returns the state of a submission as an entry shows it.
func (w *world) state(path string) string {
	s, b := w.ask(http.MethodGet, path, nil, 10*time.Second)
	if s != http.StatusOK {
		return strconv.Itoa(s)
	}
	var v struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(b), &v)
	return v.State
}

// awaitState waits until a submission is shown in one of the states.
func (w *world) awaitState(path string, limit time.Duration, states ...string) string {
	s := ""
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		s = w.state(path)
		for _, x := range states {
			if s == x {
				return s
			}
		}
	}
	return s
}
