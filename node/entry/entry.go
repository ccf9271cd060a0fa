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
	tickInterval           = 10 * time.Millisecond // interval of scheduler ticks while requests wait
	leavingRefreshInterval = time.Second           // table rebuild interval while a VM is leaving
	idleRefreshInterval    = 10 * time.Second      // table rebuild interval when nothing has changed
	reapInterval           = time.Second
	healthPath             = "/health"
	maxHeaderBytes         = 16 << 10 // longest request header
	readTimeout            = 30 * time.Second
	writeTimeout           = 30 * time.Second
	idleTimeout            = 75 * time.Second
)

// Documents provides the configuration in force.
type Documents interface {
	Document() *conf.Document
	Wait(ctx context.Context, n conf.Number) error
}

// OutcomeCounter counts the outcomes of requests against the objective of their service and class.
type OutcomeCounter interface {
	Add(k burn.SeriesKey, o burn.Outcome)
}

// Entry accepts callers' requests and forwards them to targets. New creates an Entry and Run serves its callers.
type Entry struct {
	settings       setup.Settings
	log            zerolog.Logger
	documents      Documents
	view           *view.Holder
	keys           Keys
	outcomeCounter OutcomeCounter
	readyCheck     func() bool
	shareName      string
	borrowRequests chan BorrowRequest

	hasLeader  func() bool
	onLeaving  func()
	requestIDs *requestIDs
	requestCtx context.Context

	health    *health
	services  sync.Map // name → *service
	table     atomic.Pointer[table]
	counters  counters
	bodyBytes atomic.Int64 // total body size of the requests in flight

	tableMu     sync.Mutex
	leaving     map[string]leavingMark // by VM: VMs that refused a request because they are leaving
	targetsView *view.View             // the view from which the services' targets were last set
	roster      share.RosterMsg        // newest roster
	quotas      sched.QuotasMsg

	stopMu    sync.Mutex
	stopping  bool // the health check fails
	refusing  bool // new requests are refused with 503
	inFlight  int
	drainedCh chan struct{}
}

// Option configures an Entry in New.
type Option func(*Entry)

// WithKeys sets where idempotency keys are claimed. Without it, every request with a key is refused.
func WithKeys(k Keys) Option { return func(e *Entry) { e.keys = k } }

// WithShareName sets the name under which this process shares slots with the other entries. A restarted entry needs another
// name, since it has lost its loans. Without a name the entry shares slots with no other entry.
func WithShareName(name string) Option { return func(e *Entry) { e.shareName = name } }

// WithOutcomeCounter sets what counts the outcomes of requests against objectives.
func WithOutcomeCounter(b OutcomeCounter) Option { return func(e *Entry) { e.outcomeCounter = b } }

// WithReadyCheck adds a condition for the entry to be ready, such as membership in its data centre's roster.
func WithReadyCheck(ok func() bool) Option { return func(e *Entry) { e.readyCheck = ok } }

// WithLeaderCheck sets the function that reports whether the data centre has an active leader.
func WithLeaderCheck(ok func() bool) Option { return func(e *Entry) { e.hasLeader = ok } }

// WithOnLeaving sets the function that is called when a VM is newly marked as leaving.
func WithOnLeaving(f func()) Option { return func(e *Entry) { e.onLeaving = f } }

// readyCheckPasses reports whether the additional condition for being ready, if one is set, holds.
func (e *Entry) readyCheckPasses() bool { return e.readyCheck == nil || e.readyCheck() }

// New returns an entry that reads the configuration from d and the targets from v.
func New(s setup.Settings, l zerolog.Logger, d Documents, v *view.Holder, opts ...Option) *Entry {
	e := &Entry{
		settings: s, log: l, documents: d, view: v, keys: noKeys{}, outcomeCounter: noOutcomeCounter{}, requestIDs: newRequestIDs(s.Name()), health: newHealth(),
		borrowRequests: make(chan BorrowRequest, maxBorrowRequests),
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

// Run serves callers on ln until ctx ends. It then waits for accepted requests, for at most the drain wait of the settings.
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

// discardLogger drops the HTTP server's log lines: callers' errors are counted and answered instead.
type discardLogger struct{}

// Printf drops the line.
func (discardLogger) Printf(string, ...any) {}

// runTicks ticks the services, closes idle connections and rebuilds the target table periodically.
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

// watchChanges rebuilds the target table when the view or the configuration changes.
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
		t.conns.CloseExpired(now)
	}
}

// Loads returns the scheduler statistics of each service at this entry.
func (e *Entry) Loads() map[string]sched.Stats {
	m := make(map[string]sched.Stats)
	e.eachService(func(v *service) { m[v.name] = v.stats() })
	return m
}

// canServe reports whether the entry has slots at some service's targets, or has a configuration without services.
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
