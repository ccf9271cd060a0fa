package oper

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/node/burn"
	"burdockreach.dev/plat/conf"
)

const (
	maxBodyBytes  = 64 << 10
	maxReadBytes  = 1 << 20 // above maxBodyBytes, so that a body that is a little too long is read and refused with the limit
	maxConns      = 256
	readTimeout   = 10 * time.Second
	writeTimeout  = 10 * time.Second
	idleTimeout   = 30 * time.Second
	closeTimeout  = time.Second
	commitTimeout = 8 * time.Second
)

// Config is the access to the configuration that the API needs.
type Config interface {
	// Document returns the document in force at this entry.
	Document() *conf.Document
	// ChangeAt returns a recent change by its number; false means that it is not stored any more, or not yet.
	ChangeAt(n conf.Number) (conf.Change, bool)
	// Commit appends c as the next change and returns its number. After an error that matches conf.ErrUnsettled, the outcome is unknown.
	Commit(ctx context.Context, c conf.Change) (conf.Number, error)
	// Settle returns the number under which op was accepted, or conf.ErrNotAccepted if it was not and will not be accepted.
	Settle(ctx context.Context, op string) (conf.Number, error)
}

// Fleet provides the VMs and entries that the API reports.
type Fleet interface {
	// VMs returns all VMs known to the entry.
	VMs() []VM
	// Entries returns all entries known to the entry, including itself.
	Entries() []Entry
}

// Reporter provides the service-level burn.
type Reporter interface {
	Report(now time.Time) burn.Report
}

// API serves operators' requests; it is safe for concurrent use.
type API struct {
	name     string
	digests  [][]byte
	config   Config
	fleet    Fleet
	reporter Reporter
	log      zerolog.Logger
	now      func() time.Time
	routes   map[string]route

	jobQueue    Jobs // nil when the entry runs no jobs
	dataCentres []string
}

// Option configures an API in New.
type Option func(*API)

// WithLogger sets the logger; without it nothing is logged.
func WithLogger(l zerolog.Logger) Option { return func(a *API) { a.log = l } }

// WithClock sets the clock; the default is time.Now.
func WithClock(now func() time.Time) Option { return func(a *API) { a.now = now } }

// New returns the API of the named entry. digests are the hexadecimal SHA-256 digests of the operators' tokens; without any,
// the API refuses every request.
func New(name string, digests []string, c Config, f Fleet, r Reporter, opts ...Option) *API {
	a := &API{name: name, config: c, fleet: f, reporter: r, log: zerolog.Nop(), now: time.Now}
	for _, s := range digests {
		if b, err := hex.DecodeString(s); err == nil {
			a.digests = append(a.digests, b)
		}
	}
	for _, o := range opts {
		o(a)
	}
	a.routes = a.routeTable()
	return a
}

// Serve listens on addr and serves until ctx ends. It returns nil after a clean shutdown.
func (a *API) Serve(ctx context.Context, addr string) error {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
	if err != nil {
		return eris.Wrapf(err, "oper: listen on %s", addr)
	}
	return a.ServeListener(ctx, l)
}

// ServeListener serves on l until ctx ends, then closes l. It returns nil after a clean shutdown.
func (a *API) ServeListener(ctx context.Context, l net.Listener) error {
	s := &fasthttp.Server{
		Handler: func(x *fasthttp.RequestCtx) { a.Handle(ctx, x) }, Name: "burdockreach", MaxRequestBodySize: maxReadBytes, Concurrency: maxConns,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		CloseOnShutdown: true, NoDefaultDate: true, Logger: discardLogger{}, ErrorHandler: refuseUnreadable,
	}
	g, c := errgroup.WithContext(ctx)
	g.Go(func() error { return eris.Wrap(s.Serve(l), "oper: serve") })
	g.Go(func() error {
		<-c.Done()
		e, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
		defer cancel()
		if err := s.ShutdownWithContext(e); err != nil && !eris.Is(err, context.DeadlineExceeded) {
			return eris.Wrap(err, "oper: shut down")
		}
		return nil
	})
	return g.Wait()
}

// discardLogger drops the HTTP server's log lines, which are about broken connections.
type discardLogger struct{}

// Printf drops the message.
func (discardLogger) Printf(string, ...any) {}

// hasOperatorToken reports whether the request carries an operator's token.
func (a *API) hasOperatorToken(x *fasthttp.RequestCtx) bool {
	t, ok := strings.CutPrefix(string(x.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	if !ok {
		return false
	}
	sum := sha256.Sum256([]byte(t))
	found := 0
	for _, d := range a.digests {
		found |= subtle.ConstantTimeCompare(d, sum[:])
	}
	return found == 1
}
