// Package plant is a stand-in of a platform with workers, for tests that run entries as processes: a store with outages and lost
// answers, workers with leases, lifetimes and late orders, machines, and a judge of what happens at the workers.
package plant

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/fakes/floor"
	"burdockreach.dev/fleet/batch"
	"burdockreach.dev/node/board"
	"burdockreach.dev/plat/keyval"
	"burdockreach.dev/platform"
)

// Times of the stand-in.
const (
	step      = 5 * time.Millisecond
	heartbeat = 400 * time.Millisecond
	beats     = 3 // an entry is removed after so many silent heartbeats.
)

// Plant is a running platform.
type Plant struct {
	start time.Time
	store *store
	group *errgroup.Group
	ctx   context.Context //nolint:containedctx // the life of the plant
	stop  func()

	mu    sync.Mutex
	judge *floor.Judge
	units []*unit
	rnd   *rand.Rand
	late  int // orders of a thousand that are carried out late and not answered.
	lost  int // answers of a thousand that are lost.

	storeAddr, machinesAddr string
}

// unit is one worker and its address.
type unit struct {
	p       *Plant
	w       *floor.Worker
	service string
	addr    string
	lease   keyval.LeaseID
}

// store is a store in memory that can be away.
type store struct {
	*keyval.Memory
	down atomic.Bool
	lose atomic.Int64 // writes of a thousand whose answer is lost.
	rnd  func(int) int
}

// Txn applies the transaction; its answer may be lost.
func (s *store) Txn(ctx context.Context, t keyval.Txn) (keyval.Revision, error) {
	r, err := s.Memory.Txn(ctx, t)
	if err == nil && s.rnd(1000) < int(s.lose.Load()) {
		return 0, errLost
	}
	return r, err
}

var errLost = fmt.Errorf("plant: answer lost")

// New starts a platform with workers of each service; everything random follows from seed.
func New(seed uint64, services map[string]int, room batch.Size) (*Plant, error) {
	c, stop := context.WithCancel(context.Background())
	g, c := errgroup.WithContext(c)
	p := &Plant{start: time.Now(), group: g, ctx: c, stop: stop, rnd: rand.New(rand.NewPCG(seed, 11))}
	p.judge = floor.NewJudge(p.now)
	p.store = &store{Memory: keyval.NewMemory(), rnd: p.random}
	var err error
	if p.storeAddr, err = p.serve(p.answerStore(platform.StoreHandler(p.store))); err != nil {
		return nil, err
	}
	if p.machinesAddr, err = p.serve(platform.MachineHandler(machines{p})); err != nil {
		return nil, err
	}
	for _, s := range floor.Sorted(services) {
		for i := range services[s] {
			if err := p.addUnit(s, i, room); err != nil {
				return nil, err
			}
		}
	}
	g.Go(p.pass)
	g.Go(p.beat)
	return p, nil
}

// Close ends the platform.
func (p *Plant) Close() error {
	p.stop()
	return p.group.Wait()
}

// StoreAddr returns the address of the store.
func (p *Plant) StoreAddr() string { return p.storeAddr }

// MachinesAddr returns the address of the machines' interface.
func (p *Plant) MachinesAddr() string { return p.machinesAddr }

// Judge has f called with the judge, while nothing else happens.
func (p *Plant) Judge(f func(*floor.Judge)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.judge)
}

// Configure puts a configuration.
func (p *Plant) Configure(c board.Config) error {
	k, b := platform.EncodeConfig(c)
	_, err := p.store.Put(p.ctx, k, b, keyval.Any, 0)
	return err
}

// SetStore makes the store answer or not, and lose so many of a thousand answers to writes.
func (p *Plant) SetStore(down bool, lose int) {
	p.store.down.Store(down)
	p.store.lose.Store(int64(lose))
}

// SetOrders makes so many of a thousand orders to workers late, or lose their answers.
func (p *Plant) SetOrders(late, lost int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.late, p.lost = late, lost
}

// Crash takes the power from a random worker for d.
func (p *Plant) Crash(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.units[p.rnd.IntN(len(p.units))].w.Crash(d.Milliseconds())
}

func (p *Plant) now() int64 { return time.Since(p.start).Milliseconds() + 1 }

func (p *Plant) random(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rnd.IntN(n)
}

func (p *Plant) serve(h fasthttp.RequestHandler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // closed with the plant
	if err != nil {
		return "", err
	}
	s := fasthttp.Server{Handler: h, Logger: quiet{}}
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

type quiet struct{}

// Printf implements fasthttp.Logger.
func (quiet) Printf(string, ...any) {}

// answerStore leaves calls unanswered while the store is down.
func (p *Plant) answerStore(h fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(c *fasthttp.RequestCtx) {
		if p.store.down.Load() {
			c.SetStatusCode(fasthttp.StatusServiceUnavailable)
			return
		}
		h(c)
	}
}

func (p *Plant) addUnit(service string, i int, room batch.Size) error {
	id := fmt.Sprintf("%s-%02d", service, i)
	u := &unit{p: p, service: service}
	u.w = floor.New(id, room, 0.98+0.02*p.rnd.Float64(), p.now(), p.judge.Hooks())
	a, err := p.serve(u.guard(platform.WorkerHandler(u)))
	u.addr = a
	p.units = append(p.units, u)
	return err
}

// guard lets calls to a worker without power hang until the caller gives up.
func (u *unit) guard(h fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(c *fasthttp.RequestCtx) {
		u.p.mu.Lock()
		dark := u.w.Dark()
		u.p.mu.Unlock()
		if dark {
			u.hang(c)
			return
		}
		h(c)
	}
}

// hangFor is longer than any caller waits.
const hangFor = 4 * time.Second

func (u *unit) hang(c *fasthttp.RequestCtx) {
	select {
	case <-time.After(hangFor):
	case <-u.p.ctx.Done():
	}
	c.SetStatusCode(fasthttp.StatusGatewayTimeout)
}

// pass lets the time pass at the workers.
func (p *Plant) pass() error {
	t := time.NewTicker(step)
	defer t.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return nil
		case <-t.C:
		}
		p.mu.Lock()
		for _, u := range p.units {
			u.w.Pass(p.now())
		}
		p.mu.Unlock()
	}
}

// beat writes the workers' entries, each under a lease.
func (p *Plant) beat() error {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		for _, u := range p.units {
			u.beat()
		}
		select {
		case <-p.ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

func (u *unit) beat() {
	u.p.mu.Lock()
	dark := u.w.Dark()
	k, b := platform.EncodeEntry(batch.WorkerEntry{
		ID: u.w.ID(), Service: u.service, Addr: u.addr, Zone: "z", Room: u.w.Room(), Labels: []string{"a", "r1"},
		ClockMs: u.w.Clock(), Born: u.w.Born(),
	})
	u.p.mu.Unlock()
	if dark || u.p.store.down.Load() {
		return
	}
	if u.lease == 0 || u.p.store.Renew(u.p.ctx, u.lease) != nil {
		id, err := u.p.store.Grant(u.p.ctx, beats*heartbeat)
		if err != nil {
			return // the next heartbeat tries again.
		}
		u.lease = id
	}
	if _, err := u.p.store.Put(u.p.ctx, k, b, keyval.Any, u.lease); err != nil {
		u.lease = 0
	}
}

// ID implements platform.WorkerBackend.
func (u *unit) ID() string { return u.w.ID() }

// fate is what becomes of one order.
type fate int

const (
	prompt fate = iota
	silent      // carried out, and the answer lost.
	held        // carried out seconds later.
)

func (p *Plant) draw() (fate, time.Duration) {
	switch n := p.rnd.IntN(1000); {
	case n < p.late:
		return held, time.Second + time.Duration(p.rnd.IntN(4000))*time.Millisecond
	case n < p.late+p.lost:
		return silent, 0
	}
	return prompt, 0
}

// order carries an order out, and tells whether it is answered.
func (u *unit) order(do func()) bool {
	u.p.mu.Lock()
	defer u.p.mu.Unlock()
	f, d := u.p.draw()
	if f != held {
		do()
		return f == prompt
	}
	born := u.w.Lifetime()
	u.p.group.Go(func() error {
		select {
		case <-time.After(d):
		case <-u.p.ctx.Done():
			return nil
		}
		u.p.mu.Lock()
		defer u.p.mu.Unlock()
		if u.w.Lifetime() == born && !u.w.Dark() {
			do()
		}
		return nil
	})
	return false
}

// Hold implements platform.WorkerBackend.
func (u *unit) Hold(ctx context.Context, c batch.PollCmd) batch.PolledMsg {
	var g batch.PolledMsg
	if !u.order(func() { g = u.w.Hold(c) }) {
		return batch.PolledMsg{Result: batch.NoAnswer}
	}
	end := time.Now().Add(time.Duration(c.WaitMs) * time.Millisecond)
	for g.Result == batch.OK && len(g.Ended) == 0 && time.Now().Before(end) && ctx.Err() == nil {
		time.Sleep(step)
		u.p.mu.Lock()
		if u.w.News(c.ForgetUpTo) || u.w.Dark() {
			g = u.w.Hold(c)
		}
		u.p.mu.Unlock()
	}
	u.p.mu.Lock()
	defer u.p.mu.Unlock()
	if len(g.Ended) == 0 && g.Result == batch.OK {
		g = u.w.Hold(batch.PollCmd{Fence: c.Fence, ForgetUpTo: c.ForgetUpTo})
	}
	return g
}

// Spec tells the stand-in how a task of a job goes.
type Spec struct {
	RunMs int64 `json:"runMs"`
	Fails int   `json:"fails"` // of a thousand runs.
}

// Encode returns the job's spec.
func (s Spec) Encode() string {
	b, err := json.Marshal(s)
	if err != nil {
		return "" // numbers are always encoded.
	}
	return string(b)
}

// Start implements platform.WorkerBackend.
func (u *unit) Start(c batch.StartCmd) (batch.Result, int64) {
	var r batch.Result
	var clock int64
	if !u.order(func() {
		r, clock = batch.Rejected, u.w.Clock()
		k := u.p.judge.Find(c.Task.Job)
		if k == nil || c.Task.Step >= len(k.Job.Steps) {
			u.p.judge.Wrong("UNASKED: %s at %s", c.Task, u.w.ID())
			return
		}
		r = u.w.Start(c, u.p.plan(c, k.Job.Steps[c.Task.Step]))
	}) {
		return batch.NoAnswer, 0
	}
	return r, clock
}

func (p *Plant) plan(c batch.StartCmd, s batch.Step) floor.Plan {
	var x Spec
	if err := json.Unmarshal([]byte(c.Spec), &x); err != nil {
		p.judge.Wrong("UNASKED: %s with spec %s", c.Task, strconv.Quote(c.Spec))
	}
	f := floor.Plan{RunMs: x.RunMs, How: batch.EndDone, Size: s.Size}
	if s.Lasting {
		f.RunMs = floor.Never
	}
	if p.rnd.IntN(1000) < x.Fails {
		f.How = batch.EndFailed
	}
	return f
}

// Stop implements platform.WorkerBackend.
func (u *unit) Stop(c batch.StopCmd) (batch.Result, int64) {
	var r batch.Result
	var clock int64
	if !u.order(func() { r, clock = u.w.Stop(c), u.w.Clock() }) {
		return batch.NoAnswer, 0
	}
	return r, clock
}

// machines is the plant's machines: they stay in their pools.
type machines struct{ p *Plant }

// List implements platform.MachineBackend.
func (m machines) List() []batch.Machine {
	m.p.mu.Lock()
	defer m.p.mu.Unlock()
	var l []batch.Machine
	for _, u := range m.p.units {
		l = append(l, batch.Machine{Name: "m-" + u.w.ID(), Pool: u.service, Zone: "z", State: batch.MachineUp, Room: u.w.Room(), Worker: u.w.ID()})
	}
	return l
}

// Move implements platform.MachineBackend.
func (machines) Move(string, batch.MoveCmd) batch.OrderResult { return batch.OrderBusy }

// Upkeep implements platform.MachineBackend.
func (machines) Upkeep(string, batch.UpkeepCmd) batch.OrderResult { return batch.OrderBusy }
