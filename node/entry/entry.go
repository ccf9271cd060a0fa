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
	tickInterval           = 10 * time.Millisecond // the scheduler's time while requests wait
	leavingRefreshInterval = time.Second           // the table's, while a VM is leaving
	idleRefreshInterval    = 10 * time.Second      // the table's, when nothing has changed
	reapInterval           = time.Second
	healthPath             = "/health"
	maxHeaderBytes         = 16 << 10 // bytes; the longest request header
	readTimeout            = 30 * time.Second
	writeTimeout           = 30 * time.Second
	idleTimeout            = 75 * time.Second
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
	settings       setup.Settings
	log            zerolog.Logger
	documents      Documents
	view           *view.Shelf
	keys           Keys
	outcomeCounter Burner
	readyCheck     func() bool
	shareName      string
	borrowRequests chan Ask

	hasLeader  func() bool
	onLeaving  func()
	requestIDs *requestIDs
	requestCtx context.Context

	health    *health
	services  sync.Map // name → *service
	table     atomic.Pointer[table]
	counters  counters
	bodyBytes atomic.Int64 // bytes of the bodies of requests in flight

	tableMu     sync.Mutex
	leaving     map[string]leavingMark // VMs that refused as leaving
	targetsView *view.View             // the view that the services' lists were made from
	roster      share.RosterMsg        // the newest one
	quotas      sched.QuotasMsg

	stopMu    sync.Mutex
	stopping  bool // the health page is unhealthy
	refusing  bool // new requests are refused
	inFlight  int
	drainedCh chan struct{}
}

// Option changes an Entry when it is made.
type Option func(*Entry)

// WithKeys sets where idempotency keys are claimed; without it, no keyed request is taken.
func WithKeys(k Keys) Option { return func(e *Entry) { e.keys = k } }

// WithSelf sets the name of this life of the entry among those that share slots; a restarted entry needs another one.
// Without it the entry shares with nobody.
func WithSelf(name string) Option { return func(e *Entry) { e.shareName = name } }

// WithBurner sets what counts requests against objectives.
func WithBurner(b Burner) Option { return func(e *Entry) { e.outcomeCounter = b } }

// WithGate sets what must hold besides before the entry is ready, such as its place among its peers.
func WithGate(ok func() bool) Option { return func(e *Entry) { e.readyCheck = ok } }

// WithLeader sets what tells whether the data centre has a leader at work.
func WithLeader(ok func() bool) Option { return func(e *Entry) { e.hasLeader = ok } }

// WithOnLeaving sets what is called when a VM is found to be leaving.
func WithOnLeaving(f func()) Option { return func(e *Entry) { e.onLeaving = f } }

// readyCheckPasses reports whether the gate is open.
func (e *Entry) readyCheckPasses() bool { return e.readyCheck == nil || e.readyCheck() }

// New returns an entry over the configuration and the view.
func New(s setup.Settings, l zerolog.Logger, d Documents, v *view.Shelf, opts ...Option) *Entry {
	e := &Entry{
		settings: s, log: l, documents: d, view: v, keys: noKeys{}, outcomeCounter: noOutcomeCounter{}, requestIDs: newRequestIDs(s.Name()), health: newHealth(),
		borrowRequests: make(chan Ask, maxBorrowRequests),
		requestCtx:     context.Background(),
		leaving:        make(map[string]leavingMark), targetsView: v.View(), drainedCh: make(chan struct{}, 1),
	}
	e.table.Store(&table{})
	for _, o := range opts {
		o(e)
	}
	if e.shareName == "" {
		e.shareName = s.Name()
		e.roster = share.RosterMsg{Now: time.Now(), Number: 1, Entries: []string{e.shareName}}
	}
	return e
}

// Run serves callers on ln until the context ends, then finishes what it has accepted, for at most the settings' drain wait.
func (e *Entry) Run(ctx context.Context, ln net.Listener) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	e.requestCtx = work
	s := e.server()
	g, x := errgroup.WithContext(work)
	g.Go(func() error { return eris.Wrapf(s.Serve(ln), "step=serve peer=%s", ln.Addr()) })
	g.Go(func() error { return e.runTicks(x) })
	g.Go(func() error { return e.watchChanges(x) })
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
		Handler: e.serve, ErrorHandler: e.serveUnreadable, Name: "burdockreach",
		MaxRequestBodySize: e.settings.MaxBodyBytes(), ReadBufferSize: maxHeaderBytes,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		Concurrency: e.settings.MaxCallerConns(), NoDefaultContentType: true, NoDefaultDate: true,
		NoDefaultServerHeader: true, CloseOnShutdown: true, Logger: discardLogger{},
	}
}

// discardLogger drops the server's own lines; what a caller did wrong is counted and answered.
type discardLogger struct{}

// Printf drops the line.
func (discardLogger) Printf(string, ...any) {}

// runTicks lets the services' time pass.
func (e *Entry) runTicks(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	var reaped, refreshed time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			e.eachService(func(v *service) { v.tick(now) })
			if now.Sub(reaped) >= reapInterval {
				e.reapConns(now)
				reaped = now
			}
			if now.Sub(refreshed) >= leavingRefreshInterval && (e.anyLeaving() || now.Sub(refreshed) >= idleRefreshInterval) {
				e.refresh(now)
				refreshed = now
			}
		}
	}
}

// watchChanges rebuilds the table when the view or the configuration changes.
func (e *Entry) watchChanges(ctx context.Context) error {
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
			n := e.documents.Document().Number()
			e.refresh(time.Now())
			if e.documents.Wait(x, n+1) != nil {
				return nil
			}
		}
	})
	return g.Wait()
}

func (e *Entry) reapConns(now time.Time) {
	for _, t := range *e.table.Load() {
		t.conns.Reap(now)
	}
}

// Loads returns the use of each service's slots at this entry.
func (e *Entry) Loads() map[string]sched.Stats {
	m := make(map[string]sched.Stats)
	e.eachService(func(v *service) { m[v.name] = v.stats() })
	return m
}

// canServe reports whether the entry has slots of some service's targets, or knows that no service is configured.
func (e *Entry) canServe() bool {
	if d := e.documents.Document(); len(d.Services()) == 0 {
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
	return !e.stopping && e.readyCheckPasses() && e.canServe()
}
