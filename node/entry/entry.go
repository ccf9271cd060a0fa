package entry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/flow/sched"
	"burdockreach.dev/flow/share"
	"burdockreach.dev/node/burn"
	"burdockreach.dev/node/setup"
	"burdockreach.dev/node/view"
	"burdockreach.dev/plat/conf"
)

const (
	tickEvery    = 10 * time.Millisecond // the scheduler's time while requests wait
	refreshEvery = time.Second           // the table's, while a VM is leaving
	restRefresh  = 10 * time.Second      // the table's, when nothing has changed
	reapEvery    = time.Second
	healthPath   = "/health"
	readBuffer   = 16 << 10 // bytes; the longest request header
	readTimeout  = 30 * time.Second
	writeTimeout = 30 * time.Second
	idleTimeout  = 75 * time.Second
)

// Documents gives the configuration in force.
type Documents interface {
	Document() *conf.Document
	Wait(ctx context.Context, n conf.Number) error
}

// Burner counts requests against the objective of their service and class.
type Burner interface {
	Add(k burn.Key, o burn.Outcome)
}

// Entry serves callers; New makes one and Run runs it.
type Entry struct {
	set    setup.Settings
	log    zerolog.Logger
	conf   Documents
	view   *view.Holder
	keys   Keys
	burner Burner
	gate   func() bool
	self   string
	asks   chan Ask

	hasLeader func() bool
	onLeaving func()
	ids       *ids
	ctx       context.Context

	health   *health
	services sync.Map // name → *service
	table    atomic.Pointer[table]
	count    counts
	bodies   atomic.Int64 // bytes of the bodies of requests in flight

	tableMu sync.Mutex
	leaving map[string]mark // VMs that refused as leaving
	listed  *view.View      // the view that the services' lists were made from
	roster  share.RosterMsg // the newest one
	quotas  sched.QuotasMsg

	stopMu   sync.Mutex
	stopping bool // the health page is unhealthy
	closed   bool // new requests are refused
	inFlight int
	empty    chan struct{}
}

// Option changes an Entry when it is made.
type Option func(*Entry)

// WithKeys sets where idempotency keys are claimed; without it, no keyed request is taken.
func WithKeys(k Keys) Option { return func(e *Entry) { e.keys = k } }

// WithSelf sets the name of this life of the entry among those that share slots; a restarted entry needs another one.
// Without it the entry shares with nobody.
func WithSelf(name string) Option { return func(e *Entry) { e.self = name } }

// WithBurner sets what counts requests against objectives.
func WithBurner(b Burner) Option { return func(e *Entry) { e.burner = b } }

// WithGate sets what must hold besides before the entry is ready, such as its place among its peers.
func WithGate(ok func() bool) Option { return func(e *Entry) { e.gate = ok } }

// WithLeader sets what tells whether the data centre has a leader at work.
func WithLeader(ok func() bool) Option { return func(e *Entry) { e.hasLeader = ok } }

// WithOnLeaving sets what is called when a VM is found to be leaving.
func WithOnLeaving(f func()) Option { return func(e *Entry) { e.onLeaving = f } }

// admitted reports whether the gate is open.
func (e *Entry) admitted() bool { return e.gate == nil || e.gate() }

// New returns an entry over the configuration and the view.
func New(s setup.Settings, l zerolog.Logger, d Documents, v *view.Holder, opts ...Option) *Entry {
	e := &Entry{
		set: s, log: l, conf: d, view: v, keys: noKeys{}, burner: noBurner{}, ids: newIDs(s.Name()), health: newHealth(),
		asks:    make(chan Ask, maxAsks),
		ctx:     context.Background(),
		leaving: make(map[string]mark), listed: v.View(), empty: make(chan struct{}, 1),
	}
	e.table.Store(&table{})
	for _, o := range opts {
		o(e)
	}
	if e.self == "" {
		e.self = s.Name()
		e.roster = share.RosterMsg{Now: time.Now(), Number: 1, Entries: []string{e.self}}
	}
	return e
}

// Run serves callers on ln until the context ends, then finishes what it has accepted, for at most the settings' drain wait.
func (e *Entry) Run(ctx context.Context, ln net.Listener) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	e.ctx = work
	s := e.server()
	g, x := errgroup.WithContext(work)
	g.Go(func() error { return eris.Wrapf(s.Serve(ln), "step=serve peer=%s", ln.Addr()) })
	g.Go(func() error { return e.loop(x) })
	g.Go(func() error { return e.follow(x) })
	g.Go(func() error { return e.probe(x) })
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-x.Done():
			return nil
		}
		err := e.stop(s)
		cancel()
		return err
	})
	return g.Wait()
}

func (e *Entry) server() *fasthttp.Server {
	return &fasthttp.Server{
		Handler: e.serve, ErrorHandler: e.broken, Name: "burdockreach",
		MaxRequestBodySize: e.set.MaxBodyBytes(), ReadBufferSize: readBuffer,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		Concurrency: e.set.MaxCallerConns(), NoDefaultContentType: true, NoDefaultDate: true,
		NoDefaultServerHeader: true, CloseOnShutdown: true, Logger: quietLogger{},
	}
}

// quietLogger drops the server's own lines; what a caller did wrong is counted and answered.
type quietLogger struct{}

// Printf drops the line.
func (quietLogger) Printf(string, ...any) {}

// loop lets the services' time pass.
func (e *Entry) loop(ctx context.Context) error {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	var reaped, refreshed time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			e.eachService(func(v *service) { v.tick(now) })
			if now.Sub(reaped) >= reapEvery {
				e.reap(now)
				reaped = now
			}
			if now.Sub(refreshed) >= refreshEvery && (e.anyLeaving() || now.Sub(refreshed) >= restRefresh) {
				e.refresh(now)
				refreshed = now
			}
		}
	}
}

// follow rebuilds the table when the view or the configuration changes.
func (e *Entry) follow(ctx context.Context) error {
	g, x := errgroup.WithContext(ctx)
	g.Go(func() error {
		for {
			v := e.view.View().Version()
			e.refresh(time.Now())
			if e.view.Wait(x, v) != nil {
				return nil
			}
		}
	})
	g.Go(func() error {
		for {
			n := e.conf.Document().Number()
			e.refresh(time.Now())
			if e.conf.Wait(x, n+1) != nil {
				return nil
			}
		}
	})
	return g.Wait()
}

func (e *Entry) reap(now time.Time) {
	for _, t := range *e.table.Load() {
		t.conns.CloseExpired(now)
	}
}

// Loads returns the use of each service's slots at this entry.
func (e *Entry) Loads() map[string]sched.Stats {
	m := make(map[string]sched.Stats)
	e.eachService(func(v *service) { m[v.name] = v.stats() })
	return m
}

// usable reports whether the entry has slots of some service's targets, or knows that no service is configured.
func (e *Entry) usable() bool {
	if d := e.conf.Document(); len(d.Services()) == 0 {
		return d.Number() > 0
	}
	ok := false
	e.eachService(func(v *service) { ok = ok || v.stats().Slots() > 0 })
	return ok
}

// Ready reports whether the entry takes new work.
func (e *Entry) Ready() bool {
	e.stopMu.Lock()
	defer e.stopMu.Unlock()
	return !e.stopping && e.admitted() && e.usable()
}
