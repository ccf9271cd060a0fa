package rig

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockreach.dev/fakes/cloud"
	"burdockreach.dev/fakes/target"
	"burdockreach.dev/plat/conf"
	"burdockreach.dev/plat/hosts"
)

// Names and tokens that are the same in every rig.
const (
	Service       = "orders"
	Team          = "kitchen"
	Token         = "kitchen-token"
	OperatorToken = "operator-token"
	Pool          = "kitchen-pool"
	SparePool     = "back-office"
)

const (
	awaitTimeout = 30 * time.Second // of Await and Commit
	stopTimeout  = 20 * time.Second // from a signal to the exit of a process
)

// Plan sets the size and the timing of a rig.
type Plan struct {
	DataCentres int
	Entries     int           // in each data centre
	Targets     int           // targets of the service, in each data centre
	Spares      int           // targets that start in the spare pool, in each data centre
	RunTime     time.Duration // of a request at a target
	MaxOut      int           // VMs of the service that may be out at once, planned and unplanned together
	RebootTime  time.Duration // downtime of a VM during a reboot
	ListLag     time.Duration // age of the platform's VM list
}

// Rig is a running fleet: fake platform, fake targets and entry processes.
type Rig struct {
	T            testing.TB
	Cloud        *cloud.Server
	Targets      map[string]*target.Target
	Entries      []*Entry
	ConfigHolder *conf.Holder
	committer    *conf.Committer
	spares       map[string]bool // VMs that start in the spare pool
	plan         Plan
	dir, bin     string
	group        *errgroup.Group
	ctx          context.Context
	cancel       context.CancelFunc
}

// Entry is an entry with its addresses and its process, if one runs.
type Entry struct {
	Name, DataCentre, CallerAddr, PeerAddr, OperatorAddr string

	rig          *Rig
	settingsFile string
	mu           sync.Mutex
	cmd          *exec.Cmd
	exited       chan struct{}
	log          *os.File
}

var (
	buildOnce sync.Once
	builtPath string
	buildErr  error
)

// Binary builds burdockreach once for each test process and returns the path of the program.
func Binary(t testing.TB) string {
	t.Helper()
	buildOnce.Do(func() {
		d, err := os.MkdirTemp("", "burdockreach")
		if err != nil {
			buildErr = err
			return
		}
		builtPath = filepath.Join(d, "burdockreach")
		out, err := exec.CommandContext(context.Background(), "go", "build", "-o", builtPath, "burdockreach.dev/cmd/burdockreach").CombinedOutput()
		if err != nil {
			buildErr = fmt.Errorf("build: %w: %s", err, out)
		}
	})
	if buildErr != nil {
		t.Fatal(buildErr)
	}
	return builtPath
}

// New starts a fleet, waits until every entry is ready, and stops the fleet when the test ends.
func New(t testing.TB, p Plan) *Rig {
	t.Helper()
	r := &Rig{T: t, plan: p, dir: t.TempDir(), bin: Binary(t), Targets: make(map[string]*target.Target), ConfigHolder: conf.NewHolder(), spares: make(map[string]bool)}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.group = &errgroup.Group{}
	t.Cleanup(r.close)
	vms := r.startTargets()
	for d := range p.DataCentres {
		for range p.Entries {
			vms = append(vms, r.addEntry(DataCentre(d)))
		}
	}
	r.startCloud(vms)
	r.configure()
	for _, e := range r.Entries {
		e.writeSettings()
		e.Start()
	}
	for _, e := range r.Entries {
		e.AwaitReady()
	}
	return r
}

// DataCentre returns the name of the n-th data centre.
func DataCentre(n int) string { return fmt.Sprintf("dc%d", n+1) }

func (r *Rig) close() {
	for _, e := range r.Entries {
		e.Kill()
	}
	r.cancel()
	_ = r.group.Wait()
	if r.T.Failed() {
		r.logTails()
	}
}

// logTails writes the last 3000 bytes of each entry's log to the test's log.
func (r *Rig) logTails() {
	const tail = 3000
	for _, e := range r.Entries {
		b, _ := os.ReadFile(e.log.Name())
		r.T.Logf("log of %s:\n%s", e.Name, b[max(0, len(b)-tail):])
	}
}

// startTargets starts the targets and returns them as items of the platform's VM list.
func (r *Rig) startTargets() []hosts.VMWire {
	var l []hosts.VMWire
	for d := range r.plan.DataCentres {
		for k := range r.plan.Targets + r.plan.Spares {
			w := hosts.VMWire{
				ID: fmt.Sprintf("%s-w%d", DataCentre(d), k+1), DataCentre: DataCentre(d), Rack: fmt.Sprintf("%s-r%d", DataCentre(d), k/2+1),
				Pool: Pool, State: hosts.Live, Kind: hosts.Worker, Boot: 1, Cores: 32, MemoryMB: 64 << 10, Addr: freeTargetAddr(r.T),
			}
			if k >= r.plan.Targets {
				w.Pool = SparePool
				r.spares[w.ID] = true
			}
			r.startTarget(w)
			l = append(l, w)
		}
	}
	return l
}

func (r *Rig) startTarget(w hosts.VMWire) {
	t := target.New(target.WithName(w.ID), target.WithRunTime(r.plan.RunTime), target.WithRebootTime(r.plan.RebootTime))
	r.Targets[w.ID] = t
	r.group.Go(func() error { return t.Serve(r.ctx, w.Addr, controlAddr(w.Addr)) })
}

func (r *Rig) startCloud(vms []hosts.VMWire) {
	r.Cloud = cloud.New(cloud.WithVMs(vms...), cloud.WithRebootTime(r.plan.RebootTime), cloud.WithListLag(r.plan.ListLag), cloud.WithControl("127.0.0.1:0"))
	addr := FreeAddr(r.T)
	r.group.Go(func() error { return r.Cloud.Serve(r.ctx, addr) })
	<-r.Cloud.Ready()
}

// configure commits the service, its pool, its profile, the team and its approval.
func (r *Rig) configure() {
	r.committer = conf.NewCommitter(r.Cloud.Store(), r.ConfigHolder)
	vms := r.plan.Targets * r.plan.DataCentres
	for _, c := range []conf.Change{
		{Kind: conf.PutProfile, Profile: &conf.ProfileSpec{
			Name: "gold", MinVMs: vms, MaxVMs: 2 * vms, MaxOut: max(1, r.plan.MaxOut), DrainSeconds: 30, RebootSeconds: 20, DeadlineMillis: 5000,
		}},
		{Kind: conf.PutPool, Pool: &conf.PoolSpec{Name: Pool}},
		{Kind: conf.PutPool, Pool: &conf.PoolSpec{Name: SparePool, Spare: true}},
		{Kind: conf.PutService, Service: &conf.ServiceSpec{Name: Service, Profile: "gold", Pool: Pool, Slots: 8, Conns: 64}},
		{Kind: conf.PutTeam, Team: &conf.TeamSpec{Name: Team, TokenDigest: digest(Token)}},
		{Kind: conf.Approve, Approval: &conf.ApprovalSpec{Team: Team, Service: Service}},
	} {
		r.Commit(c)
	}
}

// Commit writes c as the next configuration change, straight to the platform's store, and returns its number.
func (r *Rig) Commit(c conf.Change) conf.Number {
	r.T.Helper()
	c.By, c.Op = "rig", fmt.Sprintf("rig-%d-%d", time.Now().UnixNano(), r.ConfigHolder.Document().Number())
	x, cancel := context.WithTimeout(r.ctx, awaitTimeout)
	defer cancel()
	n, err := r.committer.Commit(x, c)
	if err != nil {
		r.T.Fatal(err)
	}
	return n
}

// addEntry adds an entry to the data centre without starting it and returns it as an item of the platform's VM list.
func (r *Rig) addEntry(dataCentre string) hosts.VMWire {
	n := 1
	for _, e := range r.Entries {
		if e.DataCentre == dataCentre {
			n++
		}
	}
	e := &Entry{
		Name: fmt.Sprintf("%s-e%d", dataCentre, n), DataCentre: dataCentre,
		CallerAddr: FreeAddr(r.T), PeerAddr: FreeAddr(r.T), OperatorAddr: FreeAddr(r.T), rig: r,
	}
	r.Entries = append(r.Entries, e)
	return hosts.VMWire{
		ID: e.Name, Addr: e.PeerAddr, DataCentre: dataCentre, Rack: e.Name + "-rack", State: hosts.Live, Kind: hosts.Entry, Boot: 1, Cores: 2, MemoryMB: 2048,
	}
}

// Replace kills the entry, makes its VM fail permanently at the platform, and starts an entry with another name on a new VM.
// It does not wait until the new entry is ready.
func (r *Rig) Replace(old *Entry) *Entry {
	r.T.Helper()
	old.Kill()
	r.CallPlatform("/vm/fail", map[string]any{"id": old.Name})
	w := r.addEntry(old.DataCentre)
	r.CallPlatform("/vm/add", w)
	e := r.Entries[len(r.Entries)-1]
	e.writeSettings()
	e.Start()
	return e
}

// writeSettings writes the entry's settings file.
func (e *Entry) writeSettings() {
	var all []string
	peers := []string{}
	for d := range e.rig.plan.DataCentres {
		all = append(all, DataCentre(d))
	}
	for _, o := range e.rig.Entries {
		if o != e && o.DataCentre == e.DataCentre {
			peers = append(peers, o.PeerAddr)
		}
	}
	b, err := json.Marshal(map[string]any{
		"name": e.Name, "dataCentre": e.DataCentre, "dataCentres": all, "callerAddr": e.CallerAddr, "peerAddr": e.PeerAddr,
		"operatorAddr": e.OperatorAddr, "platformAddr": e.rig.Cloud.Addr(), "peerAddrs": peers, "logLevel": "info",
		"operatorTokenDigests": []string{digest(OperatorToken)}, "tickMs": 200, "beatMs": 100, "leaderLeaseMs": 2000, "drainWaitMs": 10000,
	})
	if err != nil {
		e.rig.T.Fatal(err)
	}
	e.settingsFile = filepath.Join(e.rig.dir, e.Name+".json")
	if err := os.WriteFile(e.settingsFile, b, 0o600); err != nil {
		e.rig.T.Fatal(err)
	}
	if e.log, err = os.Create(filepath.Join(e.rig.dir, e.Name+".log")); err != nil {
		e.rig.T.Fatal(err)
	}
}

// Start starts the entry's process.
func (e *Entry) Start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := exec.CommandContext(e.rig.ctx, e.rig.bin, "entry", "-settings", e.settingsFile)
	c.Stdout, c.Stderr = e.log, e.log
	if err := c.Start(); err != nil {
		e.rig.T.Fatal(err)
	}
	e.cmd, e.exited = c, make(chan struct{})
	done := e.exited
	e.rig.group.Go(func() error {
		defer close(done)
		_ = c.Wait() // Stop reads the exit status from ProcessState
		return nil
	})
}

// running returns the entries whose process is running, frozen ones included.
func (r *Rig) running() []*Entry {
	var l []*Entry
	for _, e := range r.Entries {
		if e.processName() != "" {
			l = append(l, e)
		}
	}
	return l
}

// processName returns the entry's name and process ID, or "" if no process runs.
func (e *Entry) processName() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd == nil {
		return ""
	}
	select {
	case <-e.exited:
		return ""
	default:
		return fmt.Sprintf("%s/%d", e.Name, e.cmd.Process.Pid)
	}
}

// signal sends s to the entry's process, if it was started.
func (e *Entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd != nil {
		_ = e.cmd.Process.Signal(s)
	}
}

// Kill sends SIGKILL to the process and waits for its exit.
func (e *Entry) Kill() {
	e.signal(syscall.SIGKILL)
	e.awaitExit()
}

// Freeze suspends the process by SIGSTOP until Thaw.
func (e *Entry) Freeze() { e.signal(syscall.SIGSTOP) }

// Thaw resumes a frozen process by SIGCONT.
func (e *Entry) Thaw() { e.signal(syscall.SIGCONT) }

// Stop sends SIGTERM to the process, waits for its exit and returns its exit status.
func (e *Entry) Stop() int {
	e.signal(syscall.SIGTERM)
	e.awaitExit()
	return e.cmd.ProcessState.ExitCode()
}

// awaitExit waits for the process's exit. After stopTimeout it fails the test and kills the process.
func (e *Entry) awaitExit() {
	if e.cmd == nil {
		return
	}
	select {
	case <-e.exited:
	case <-time.After(stopTimeout):
		e.rig.T.Errorf("entry %s did not exit in time", e.Name)
		e.signal(syscall.SIGKILL)
	}
}

// digest returns the hexadecimal SHA-256 digest of the token, as the configuration stores it.
func digest(token string) string {
	s := sha256.Sum256([]byte(token))
	return hex.EncodeToString(s[:])
}
