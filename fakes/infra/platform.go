package infra

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/fakes/advice"
	"burdockreach.dev/fakes/proxy"
	"burdockreach.dev/fakes/worker"
	"burdockreach.dev/fleet/batch"
	"burdockreach.dev/node/board"
	"burdockreach.dev/plat/keyval"
	"burdockreach.dev/platform"
)

// Timing of the simulated platform.
const (
	tickInterval        = 5 * time.Millisecond
	heartbeatInterval   = 400 * time.Millisecond
	crashOutageMs       = 1500 // of a worker that a task has crashed.
	maxMissedHeartbeats = 3    // a worker's entry is removed after so many heartbeat intervals without renewal.
	// initialAge is the age of the first lifetimes of workers, so that times on their clocks lie far beyond those of the next ones.
	initialAge = time.Minute
)

// MaxLease is the longest lease that the workers grant.
const MaxLease = 10 * time.Second

// Platform is a running simulated platform.
type Platform struct {
	start time.Time
	store *store
	group *errgroup.Group
	ctx   context.Context //nolint:containedctx // ends when the platform is closed
	stop  func()

	mu           sync.Mutex
	checker      *worker.Checker
	capacity     batch.Size // of each worker, unless it is shrunk.
	workers      []*workerServer
	rnd          *rand.Rand
	latePerMille int // orders per thousand that are executed late and not answered.
	lostPerMille int // orders per thousand that are executed and whose answer is lost.
	proxied      bool
	dropStarts   bool // late starts reach no later lifetime.

	advice *advice.Service // nil without WithAdvice.

	storeAddr, machinesAddr, adviceAddr string
}

// workerServer serves one simulated worker over HTTP.
type workerServer struct {
	platform *Platform
	worker   *worker.Worker
	service  string
	addr     string
	proxy    *proxy.Proxy // nil unless the platform has proxies.
	lease    keyval.LeaseID
}

// Option configures a platform.
type Option func(*Platform)

// WithWorkerProxies puts a proxy in front of each worker, which all its callers go through.
func WithWorkerProxies() Option { return func(p *Platform) { p.proxied = true } }

// WithLateStartsDroppedAtRestart lets a worker that restarts drop the starts to it that are late. Late polls and stops reach its next lifetime.
func WithLateStartsDroppedAtRestart() Option { return func(p *Platform) { p.dropStarts = true } }

// store is an in-memory store that can be made unavailable.
type store struct {
	*keyval.Memory
	down         atomic.Bool
	lostPerMille atomic.Int64 // writes per thousand whose answer is lost.
	rnd          func(int) int
}

// Limits of one transaction, as the users' platform has them.
const (
	maxTxnEntries = 32
	maxValueBytes = 1 << 20
)

// Txn applies the transaction; its answer may be lost. It rejects one that exceeds the limits.
func (s *store) Txn(ctx context.Context, t keyval.Txn) (keyval.Revision, error) {
	if n := len(t.Guards) + len(t.Writes); n > maxTxnEntries {
		return 0, keyval.NewStatusError(http.StatusBadRequest, fmt.Sprintf("%d entries", n), true)
	}
	for _, w := range t.Writes {
		if len(w.Value) > maxValueBytes {
			return 0, keyval.NewStatusError(http.StatusBadRequest, fmt.Sprintf("%s: %d bytes", w.Key, len(w.Value)), true)
		}
	}
	r, err := s.Memory.Txn(ctx, t)
	if err == nil && s.rnd(1000) < int(s.lostPerMille.Load()) {
		return 0, errAnswerLost
	}
	return r, err
}

var errAnswerLost = fmt.Errorf("infra: answer lost: %w", keyval.ErrUnknown)

// New starts a platform with the given number of workers for each service, each with the given capacity. All random draws derive
// from seed.
func New(seed uint64, services map[string]int, capacity batch.Size, opts ...Option) (*Platform, error) {
	c, stop := context.WithCancel(context.Background())
	g, c := errgroup.WithContext(c)
	p := &Platform{start: time.Now().Add(-initialAge), group: g, ctx: c, stop: stop, rnd: rand.New(rand.NewPCG(seed, 11))}
	p.capacity, p.checker = capacity, worker.NewChecker(p.now)
	for _, o := range opts {
		o(p)
	}
	p.store = &store{Memory: keyval.NewMemory(), rnd: p.randomInt}
	var err error
	if p.storeAddr, err = p.serve(p.failWhileDown(platform.StoreHandler(p.store))); err != nil {
		return nil, err
	}
	if p.machinesAddr, err = p.serve(platform.MachineHandler(machines{p})); err != nil {
		return nil, err
	}
	if p.advice != nil {
		if p.adviceAddr, err = p.serve(platform.AdviceHandler(adviceBackend{p})); err != nil {
			return nil, err
		}
	}
	for _, s := range worker.Sorted(services) {
		for i := range services[s] {
			if err := p.addWorker(s, i, capacity); err != nil {
				return nil, err
			}
		}
	}
	g.Go(p.advanceWorkers)
	g.Go(p.sendHeartbeats)
	return p, nil
}

// Close stops the platform and waits until all its goroutines have ended.
func (p *Platform) Close() error {
	p.stop()
	return p.group.Wait()
}

// AdviceAddr returns the address of the advice service; it is empty without WithAdvice.
func (p *Platform) AdviceAddr() string { return p.adviceAddr }

// StoreAddr returns the address of the store.
func (p *Platform) StoreAddr() string { return p.storeAddr }

// MachinesAddr returns the address of the machines' interface.
func (p *Platform) MachinesAddr() string { return p.machinesAddr }

// InspectRuns calls f with the checker of the workers' runs while the platform's lock is held, so that no worker changes meanwhile.
func (p *Platform) InspectRuns(f func(*worker.Checker)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.checker)
}

// Configure writes a configuration to the store.
func (p *Platform) Configure(c board.Config) error {
	k, b := platform.EncodeConfig(c)
	_, err := p.store.Put(p.ctx, k, b, keyval.Any, 0)
	return err
}

// SetStoreFaults sets whether the store is down, and how many of a thousand answers to writes it loses.
func (p *Platform) SetStoreFaults(down bool, lostPerMille int) {
	p.store.down.Store(down)
	p.store.lostPerMille.Store(int64(lostPerMille))
}

// SetOrderFaults sets how many of a thousand orders to workers are late, and how many lose their answers.
func (p *Platform) SetOrderFaults(latePerMille, lostPerMille int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.latePerMille, p.lostPerMille = latePerMille, lostPerMille
}

// CrashWorker cuts the power of a random worker for d.
func (p *Platform) CrashWorker(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.workers[p.rnd.IntN(len(p.workers))].worker.Crash(d.Milliseconds())
}

// CrashWorkers cuts the power of the first n workers of a service for d.
func (p *Platform) CrashWorkers(service string, n int, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range p.workersOf(service)[:n] {
		u.worker.Crash(d.Milliseconds())
	}
}

// WorkerProxies returns the proxies in front of a service's workers. The platform must have WithWorkerProxies.
func (p *Platform) WorkerProxies(service string) []*proxy.Proxy {
	var l []*proxy.Proxy
	for _, u := range p.workersOf(service) {
		l = append(l, u.proxy)
	}
	return l
}

func (p *Platform) workersOf(service string) []*workerServer {
	var l []*workerServer
	for _, u := range p.workers {
		if u.service == service {
			l = append(l, u)
		}
	}
	return l
}

// ShrinkWorker halves the CPU of a random worker for d.
func (p *Platform) ShrinkWorker(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[p.rnd.IntN(len(p.workers))].worker
	if w.Capacity() != p.capacity {
		return
	}
	w.SetCapacity(batch.Size{CPU: p.capacity.CPU / 2, MemMB: p.capacity.MemMB, GPU: p.capacity.GPU})
	p.group.Go(func() error {
		select {
		case <-time.After(d):
		case <-p.ctx.Done():
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		w.SetCapacity(p.capacity)
		return nil
	})
}

// Unguard makes the workers of a service start tasks that do not fit.
func (p *Platform) Unguard(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range p.workersOf(service) {
		u.worker.SetUnguarded()
	}
}

func (p *Platform) now() int64 { return time.Since(p.start).Milliseconds() + 1 }

func (p *Platform) randomInt(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rnd.IntN(n)
}

func (p *Platform) serve(h fasthttp.RequestHandler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // closed with the platform
	if err != nil {
		return "", err
	}
	s := fasthttp.Server{Handler: h, Logger: discardLogger{}}
	p.group.Go(func() error {
		stop := context.AfterFunc(p.ctx, func() { _ = l.Close() })
		defer stop()
		if err := s.Serve(l); err != nil && p.ctx.Err() == nil {
			return err
		}
		return nil
	})
	return l.Addr().String(), nil
}

type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// failWhileDown answers calls with status 503 while the store is down.
func (p *Platform) failWhileDown(h fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(c *fasthttp.RequestCtx) {
		if p.store.down.Load() {
			c.SetStatusCode(fasthttp.StatusServiceUnavailable)
			return
		}
		h(c)
	}
}

func (p *Platform) addWorker(service string, i int, capacity batch.Size) error {
	id := fmt.Sprintf("%s-%02d", service, i)
	u := &workerServer{platform: p, service: service}
	u.worker = worker.New(id, capacity, 0.98+0.02*p.rnd.Float64(), 1, p.checker.Hooks())
	u.worker.SetMaxLease(MaxLease.Milliseconds())
	u.worker.Advance(p.now())
	p.workers = append(p.workers, u)
	var err error
	u.addr, err = p.serve(u.hangWhileOff(platform.WorkerHandler(u)))
	if err != nil || !p.proxied {
		return err
	}
	u.proxy = proxy.New("127.0.0.1:0", u.addr)
	p.group.Go(func() error { return u.proxy.Serve(p.ctx) })
	u.addr, err = u.proxy.Addr(p.ctx)
	return err
}

// hangWhileOff lets calls to a worker without power hang until the caller's timeout. If a task has crashed the worker's process, the
// connection ends at once.
func (u *workerServer) hangWhileOff(h fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(c *fasthttp.RequestCtx) {
		u.platform.mu.Lock()
		off, refuses := u.worker.PoweredOff(), u.worker.RefusesConnections()
		u.platform.mu.Unlock()
		switch {
		case refuses:
			_ = c.Conn().Close() // the caller sees the end of the connection, whatever Close returns.
		case off:
			u.hang(c)
		default:
			h(c)
		}
	}
}

// hangTime is longer than the timeout of any caller.
const hangTime = 4 * time.Second

func (u *workerServer) hang(c *fasthttp.RequestCtx) {
	select {
	case <-time.After(hangTime):
	case <-u.platform.ctx.Done():
	}
	c.SetStatusCode(fasthttp.StatusGatewayTimeout)
}

// advanceWorkers advances the time at the workers in each tick.
func (p *Platform) advanceWorkers() error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return nil
		case <-t.C:
		}
		p.mu.Lock()
		for _, u := range p.workers {
			u.worker.Advance(p.now())
		}
		if p.advice != nil {
			p.advice.Advance(p.now())
		}
		p.mu.Unlock()
	}
}

// sendHeartbeats writes the entry of each worker to the store, under a lease of its own, in each heartbeat interval.
func (p *Platform) sendHeartbeats() error {
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for {
		for _, u := range p.workers {
			u.writeEntry()
		}
		select {
		case <-p.ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

func (u *workerServer) writeEntry() {
	u.platform.mu.Lock()
	off := u.worker.PoweredOff()
	k, b := platform.EncodeEntry(batch.WorkerEntry{
		ID: u.worker.ID(), Service: u.service, Addr: u.addr, Zone: "z", Room: u.worker.Capacity(), Labels: []string{"a", "r1"},
		ClockMs: u.worker.Clock(), Born: u.worker.Born(),
	})
	u.platform.mu.Unlock()
	if off || u.platform.store.down.Load() {
		return
	}
	if u.lease == 0 || u.platform.store.Renew(u.platform.ctx, u.lease) != nil {
		id, err := u.platform.store.Grant(u.platform.ctx, maxMissedHeartbeats*heartbeatInterval)
		if err != nil {
			return // the next heartbeat retries.
		}
		u.lease = id
	}
	if _, err := u.platform.store.Put(u.platform.ctx, k, b, keyval.Any, u.lease); err != nil {
		u.lease = 0
	}
}

// ID implements platform.WorkerBackend.
func (u *workerServer) ID() string { return u.worker.ID() }

// orderOutcome is what happens to one order to a worker.
type orderOutcome int

const (
	answered   orderOutcome = iota
	answerLost              // executed, and the answer is lost.
	delayed                 // executed one to five seconds later, and not answered.
)

func (p *Platform) drawOutcome() (orderOutcome, time.Duration) {
	switch n := p.rnd.IntN(1000); {
	case n < p.latePerMille:
		return delayed, time.Second + time.Duration(p.rnd.IntN(4000))*time.Millisecond
	case n < p.latePerMille+p.lostPerMille:
		return answerLost, 0
	}
	return answered, 0
}

// execute carries out an order by calling do, and reports whether the order is answered. A delayed order is carried out by the lifetime
// that the worker is in by then, unless it is to be dropped at a restart, and dropped if the worker has no power.
func (u *workerServer) execute(dropAtRestart bool, do func()) bool {
	u.platform.mu.Lock()
	defer u.platform.mu.Unlock()
	f, d := u.platform.drawOutcome()
	if f != delayed {
		do()
		return f == answered
	}
	born := u.worker.LifetimeStart()
	u.platform.group.Go(func() error {
		select {
		case <-time.After(d):
		case <-u.platform.ctx.Done():
			return nil
		}
		u.platform.mu.Lock()
		defer u.platform.mu.Unlock()
		if !u.worker.PoweredOff() && (u.worker.LifetimeStart() == born || !dropAtRestart) {
			u.platform.checker.RunLate(do)
		}
		return nil
	})
	return false
}

// Hold implements platform.WorkerBackend. It extends the lease when the call arrives, and waits up to c.WaitMs for a run to end. If the worker's lifetime ends meanwhile, the poll is
// not answered, and the next lifetime does not get its numbers.
func (u *workerServer) Hold(ctx context.Context, c batch.PollCmd) batch.PolledMsg {
	var g batch.PolledMsg
	born := int64(0)
	if !u.execute(false, func() { g, born = u.worker.Hold(c), u.worker.LifetimeStart() }) {
		return batch.PolledMsg{Result: batch.NoAnswer}
	}
	end := time.Now().Add(time.Duration(c.WaitMs) * time.Millisecond)
	for g.Result == batch.OK && len(g.Ended) == 0 && time.Now().Before(end) && ctx.Err() == nil {
		time.Sleep(tickInterval)
		u.platform.mu.Lock()
		over := u.worker.PoweredOff() || u.worker.LifetimeStart() != born
		if !over && u.worker.HasUnackedEnds(c.ForgetUpTo) {
			g = u.worker.Hold(batch.PollCmd{Fence: c.Fence, ForgetUpTo: c.ForgetUpTo})
		}
		u.platform.mu.Unlock()
		if over {
			return batch.PolledMsg{Result: batch.NoAnswer}
		}
	}
	u.platform.mu.Lock()
	defer u.platform.mu.Unlock()
	if len(g.Ended) == 0 && g.Result == batch.OK && u.worker.LifetimeStart() == born && !u.worker.PoweredOff() {
		g = u.worker.Hold(batch.PollCmd{Fence: c.Fence, ForgetUpTo: c.ForgetUpTo})
	}
	return g
}

// TaskSpec is the spec of a job; it sets how the job's tasks behave at the simulated workers.
type TaskSpec struct {
	RunMs        int64 `json:"runMs"`
	FailPerMille int   `json:"fails"` // failing runs per thousand.
	CrashAfterMs int64 `json:"crash"` // after this time, the first task of the first step crashes its worker; 0 for never.
}

// Encode returns the spec as JSON.
func (s TaskSpec) Encode() string {
	b, err := json.Marshal(s)
	if err != nil {
		return "" // cannot happen: encoding numbers never fails.
	}
	return string(b)
}

// Start implements platform.WorkerBackend.
func (u *workerServer) Start(c batch.StartCmd) (batch.Result, int64) {
	var r batch.Result
	var clock int64
	if !u.execute(u.platform.dropStarts, func() {
		r, clock = batch.Rejected, u.worker.Clock()
		k := u.platform.checker.FindJob(c.Task.Job)
		if k == nil || c.Task.Step >= len(k.Job.Steps) {
			u.platform.checker.AddViolation("UNASKED: %s at %s", c.Task, u.worker.ID())
			return
		}
		f := u.platform.planRun(c, k.Job.Steps[c.Task.Step])
		f.NoTicket = k.Job.Advised && !u.platform.advice.IsValid(c.Ticket, stepName(c.Task), u.worker.ID(), u.worker.LifetimeStart())
		r = u.worker.Start(c, f)
	}) {
		return batch.NoAnswer, 0
	}
	return r, clock
}

func (p *Platform) planRun(c batch.StartCmd, s batch.Step) worker.Plan {
	var x TaskSpec
	if err := json.Unmarshal([]byte(c.Spec), &x); err != nil {
		p.checker.AddViolation("UNASKED: %s with spec %s", c.Task, strconv.Quote(c.Spec))
	}
	f := worker.Plan{RunMs: x.RunMs, Reason: batch.EndDone, Size: s.Size}
	if s.Lasting {
		f.RunMs = worker.Never
	}
	if p.rnd.IntN(1000) < x.FailPerMille {
		f.Reason = batch.EndFailed
	}
	if n := (batch.TaskName{Job: c.Task.Job}); c.Task == n {
		f.CrashAfterMs, f.OutageMs = x.CrashAfterMs, crashOutageMs
	}
	return f
}

// Stop implements platform.WorkerBackend.
func (u *workerServer) Stop(c batch.StopCmd) (batch.Result, int64) {
	var r batch.Result
	var clock int64
	if !u.execute(false, func() { r, clock = u.worker.Stop(c), u.worker.Clock() }) {
		return batch.NoAnswer, 0
	}
	return r, clock
}

// machines lists one machine per worker, and answers every order to move or maintain one with DutyBusy, so that they stay in
// their pools.
type machines struct{ p *Platform }

// List implements platform.MachineBackend.
func (m machines) List() []batch.Machine {
	m.p.mu.Lock()
	defer m.p.mu.Unlock()
	var l []batch.Machine
	for _, u := range m.p.workers {
		k := batch.Machine{Name: "m-" + u.worker.ID(), Pool: u.service, Zone: "z", State: batch.MachineDown, Room: u.worker.Capacity()}
		if !u.worker.PoweredOff() {
			k.State, k.Worker = batch.MachineUp, u.worker.ID()
		}
		l = append(l, k)
	}
	return l
}

// Move implements platform.MachineBackend.
func (machines) Move(string, batch.MoveCmd) batch.OrderResult { return batch.OrderBusy }

// Upkeep implements platform.MachineBackend.
func (machines) Upkeep(string, batch.UpkeepCmd) batch.OrderResult { return batch.OrderBusy }
