// Package site runs an entry on a platform with workers. The entry answers callers, and runs the jobs while it holds the claim.
package site

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime/debug"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/fleet/batch"
	"burdockreach.dev/node/board"
	"burdockreach.dev/node/desk"
	"burdockreach.dev/node/front"
	"burdockreach.dev/node/logs"
	"burdockreach.dev/node/owner"
	"burdockreach.dev/node/stats"
	"burdockreach.dev/plat/keyval"
	"burdockreach.dev/plat/lease"
	"burdockreach.dev/plat/steady"
)

// Timeouts and limits of an entry.
const (
	configWatchTimeout = 900 * time.Millisecond // of one watch; a dead connection is noticed within twice this time.
	claimsWatchTimeout = 3 * time.Second        // of one watch; it returns earlier when a claim changes, for example when a dead owner's lapses.
	claimCheckInterval = 4 * time.Second        // between two reads of the claim if no change is reported.
	gcPercent          = 400                    // an owner's heap is about 30 MB; four times that is far below the memory of an entry.
	heapShare          = 0.6                    // share of the entry's memory at which garbage collection gets more frequent.
	shutdownMargin     = 1200 * time.Millisecond
	idleTimeout        = 30 * time.Second
)

// Store is the platform's key-value store.
type Store interface {
	keyval.Store
	owner.Store
	Calls() (calls, failed int64)
}

// Platform holds the clients and formats of the platform that an entry uses.
type Platform struct {
	Store     Store
	Workers   owner.Workers
	Machines  owner.Machines
	Format    Format
	Codec     front.Codec
	ReadyPath string
}

// Format encodes and decodes the platform's documents.
type Format interface {
	owner.Format
	OperatorPrefix() string
	IsConfig(key string) bool
	Config(b []byte) (board.Config, error)
	Wave(i keyval.Item, gone bool) (batch.WaveMsg, bool, error)
}

// Site is one entry.
type Site struct {
	settings  Settings
	platform  Platform
	log       zerolog.Logger
	logWriter *logs.Writer
	stats     *stats.Registry
	board     *board.Board
	claims    *claims
	lease     *lease.Lease
	owner     *owner.Owner
	front     *front.Front
	desk      *desk.Client

	carryCtx     context.Context //nolint:containedctx // of the calls made for owners in other entries
	stopCarrying func()
	carryGroup   errgroup.Group
}

// New returns an entry that logs to out and does not serve yet.
func New(s Settings, p Platform, out io.Writer) (*Site, error) {
	l, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, eris.Errorf("site: field %q is %q, want a log level", "logLevel", s.LogLevel)
	}
	zerolog.MessageFieldName = "event"
	e := &Site{settings: s, platform: p, logWriter: logs.New(out), stats: stats.New(), board: board.New(), claims: newClaims(s), desk: desk.NewClient()}
	e.carryCtx, e.stopCarrying = context.WithCancel(context.Background())
	e.log = zerolog.New(e.logWriter).Level(l).With().Timestamp().Str("entry", s.Name).Logger()
	holder := fmt.Sprintf("%s/%d/%d", s.PeerAddr, os.Getpid(), time.Now().UnixNano())
	e.lease = lease.New(p.Store, owner.ClaimKey, holder, lease.WithTTL(owner.ClaimTTL), lease.WithClock(steady.Now),
		lease.WithRenewalGrace(owner.ClaimGracePeriod), lease.WithPollInterval(claimCheckInterval),
		lease.WithClaimDelay(e.claims.delay))
	e.claims.wakeLease = e.lease.Wake
	e.owner = owner.New(owner.Dependencies{
		Store: p.Store, Workers: p.Workers, Machines: p.Machines, Format: p.Format, Board: e.board, Lease: e.lease, Log: e.log, Stats: e.stats,
		Peers: e.desk, Holder: holder, Entries: e.claims, Carrier: owner.NewCarrier(e.carryCtx, &e.carryGroup, p.Workers, e.stats, e.log),
	}, owner.Settings{AdviceAddr: s.AdviceAddr, Model: s.model(), HelperWorkers: s.HelperWorkers})
	e.front = front.New(front.Dependencies{
		Board: e.board, Claims: e.claims, Desk: e.desk, Store: p.Store, Codec: p.Codec, Log: e.log, Stats: e.stats,
	})
	e.registerGauges()
	return e, nil
}

const msPerSecond = 1000

// model returns the settings of the owner's model.
func (s Settings) model() batch.Config {
	return batch.Config{
		LeaseMs: s.LeaseMaxMs, StatusMs: s.StatusSecs * msPerSecond, OrderGapMs: s.DutyGapMs + dutyGapSlackMs, OrdersPerSec: s.OrdersPerSec,
		LookAhead: s.LookAhead, WorkerSpeed: s.WorkerSpeed,
	}
}

// dutyGapSlackMs is added to the least time between orders of two owners to one machine, to allow for slow calls.
const dutyGapSlackMs = 500

// registerGauges adds the counts that are read when metrics are served.
func (e *Site) registerGauges() {
	e.stats.Gauge("store_calls", func() int64 { n, _ := e.platform.Store.Calls(); return n })
	e.stats.Gauge("store_failed", func() int64 { _, n := e.platform.Store.Calls(); return n })
	e.stats.Gauge("log_lines_dropped", e.logWriter.Dropped)
}

// Run serves until ctx ends. It then releases the claim, drains requests in flight and returns.
func (e *Site) Run(ctx context.Context) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(e.settings.MemoryMB * heapShare * (1 << 20)))
	e.log.Info().Str("dataCentre", e.settings.DataCentre).Str("callers", e.settings.CallerAddr).Str("peers", e.settings.PeerAddr).Msg("start")
	logCtx, stopLogs := context.WithCancel(context.WithoutCancel(ctx))
	lg := errgroup.Group{}
	lg.Go(func() error { return e.logWriter.Run(logCtx) })
	err := e.serve(ctx)
	e.stopCarrying()
	err = errors.Join(err, e.carryGroup.Wait())
	if err != nil {
		e.log.Error().Err(err).Msg("failed")
	}
	e.log.Info().Msg("stop")
	stopLogs()
	return errors.Join(err, lg.Wait())
}

// serve runs the servers, the watches and the owner until ctx ends and the front has drained.
func (e *Site) serve(ctx context.Context) error {
	serveCtx, stopServing := context.WithCancel(context.WithoutCancel(ctx)) // canceled once the front has drained.
	defer stopServing()
	g, c := errgroup.WithContext(serveCtx)
	g.Go(func() error {
		defer stopServing()
		return e.listen(ctx, e.settings.CallerAddr, func(x context.Context, l net.Listener) error { return e.front.Serve(x, l, e.drainTime()) })
	})
	g.Go(func() error { return e.listen(c, e.settings.ReadyAddr, e.serveReady) })
	g.Go(func() error {
		return e.listen(c, e.settings.PeerAddr, func(x context.Context, l net.Listener) error { return desk.Serve(x, l, e.owner) })
	})
	if e.settings.MetricsAddr != "" {
		g.Go(func() error { return e.listen(c, e.settings.MetricsAddr, e.serveMetrics) })
	}
	g.Go(func() error {
		return keyval.Follow(c, e.platform.Store, e.platform.Format.OperatorPrefix(), configWatchTimeout, &operatorSink{e})
	})
	g.Go(func() error { return (&search{claims: e.claims, peers: e.desk, log: e.log}).run(c) })
	g.Go(func() error {
		return keyval.Follow(c, e.platform.Store, owner.ClaimPrefix, claimsWatchTimeout, e.claims)
	})
	g.Go(func() error { return e.register(ctx) })
	g.Go(func() error { return e.yieldToLarger(ctx) })
	// The owner stops and the claim is released first, so that another entry takes over while this one drains.
	ownCtx, stopOwn := context.WithCancel(ctx)
	defer stopOwn()
	g.Go(func() error {
		o := errgroup.Group{}
		claimCtx, stopClaim := context.WithCancel(context.WithoutCancel(ownCtx))
		o.Go(func() error { return e.claims.runLease(claimCtx, e.lease.Run) })
		err := e.owner.Run(ownCtx)
		stopClaim()
		return errors.Join(err, o.Wait())
	})
	return g.Wait()
}

// drainTime returns how long the front may drain after SIGTERM. It ends shutdownMargin before the process is killed.
func (e *Site) drainTime() time.Duration {
	return max(time.Duration(e.settings.GraceSecs*float64(time.Second))-shutdownMargin, shutdownMargin)
}

func (e *Site) listen(ctx context.Context, addr string, serve func(context.Context, net.Listener) error) error {
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", addr)
	if err != nil {
		return eris.Wrapf(err, "site: listen at %s", addr)
	}
	return serve(ctx, l)
}

// ready reports whether the entry accepts new callers: it has a configuration and is not stopping.
func (e *Site) ready() bool {
	_, ok := e.board.Config()
	return ok && !e.front.Draining()
}

func (e *Site) serveReady(ctx context.Context, l net.Listener) error {
	return serveHTTP(ctx, l, func(c *fasthttp.RequestCtx) {
		if string(c.Path()) != e.platform.ReadyPath {
			c.SetStatusCode(fasthttp.StatusNotFound)
		} else if !e.ready() {
			c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	})
}

// MetricsPath is the path of the counters, gauges and histograms.
const MetricsPath = "/metrics"

func (e *Site) serveMetrics(ctx context.Context, l net.Listener) error {
	return serveHTTP(ctx, l, func(c *fasthttp.RequestCtx) {
		if string(c.Path()) != MetricsPath {
			c.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		c.SetContentType("text/plain")
		if _, err := e.stats.WriteTo(c); err != nil {
			e.log.Warn().Str("step", "metrics").Err(err).Msg("metrics not written")
		}
	})
}

func serveHTTP(ctx context.Context, l net.Listener, h fasthttp.RequestHandler) error {
	s := &fasthttp.Server{Handler: h, IdleTimeout: idleTimeout, NoDefaultServerHeader: true, NoDefaultDate: true, CloseOnShutdown: true}
	stop := context.AfterFunc(ctx, func() { _ = l.Close() }) // Serve returns the error.
	defer stop()
	if err := s.Serve(l); err != nil && ctx.Err() == nil {
		return eris.Wrapf(err, "site: serve at %s", l.Addr())
	}
	return nil
}

// Reload reads the settings file again. Only the log level can change while the process runs.
func (e *Site) Reload(path string) {
	s, err := Load(path)
	if err != nil {
		e.log.Error().Err(err).Msg("reload refused")
		return
	}
	l, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		e.log.Error().Str("logLevel", s.LogLevel).Msg("reload refused")
		return
	}
	zerolog.SetGlobalLevel(l)
	e.log.Info().Str("logLevel", s.LogLevel).Msg("reload")
}

// operatorSink applies the operator's documents, the configuration and the waves, to the board.
type operatorSink struct{ e *Site }

// Reset implements keyval.Sink.
func (o *operatorSink) Reset(items []keyval.Item) {
	for _, i := range items {
		o.apply(i, false)
	}
}

// Apply implements keyval.Sink. Configurations are applied from the last one to the first: the newest comes into force at once, and one
// that an older version has overwritten is not missed.
func (o *operatorSink) Apply(events []keyval.Event) {
	for _, x := range slices.Backward(events) {
		if o.e.platform.Format.IsConfig(x.Item().Key()) {
			o.apply(x.Item(), x.Deleted())
		}
	}
	for _, x := range events {
		if !o.e.platform.Format.IsConfig(x.Item().Key()) {
			o.apply(x.Item(), x.Deleted())
		}
	}
}

// apply applies one changed document. It logs and skips one that cannot be decoded.
func (o *operatorSink) apply(i keyval.Item, gone bool) {
	f := o.e.platform.Format
	if f.IsConfig(i.Key()) {
		if !gone {
			o.applyConfig(i)
		}
		return
	}
	w, ok, err := f.Wave(i, gone)
	if err != nil {
		o.e.log.Error().Str("key", i.Key()).Err(err).Msg("wave passed over")
	} else if ok {
		o.e.board.PutWave(w)
	}
}

// applyConfig puts a configuration into force if it is newer than the current one. One with faults is used as far as it is valid.
func (o *operatorSink) applyConfig(i keyval.Item) {
	c, err := o.e.platform.Format.Config(i.Value())
	var faults board.Faults
	if err != nil && !errors.As(err, &faults) {
		o.e.log.Error().Str("key", i.Key()).Int64("revision", int64(i.Rev())).Err(err).Msg("configuration passed over")
		return
	}
	newer := o.e.board.PutConfig(c)
	o.e.log.Info().Int64("version", c.Version).Int64("revision", int64(i.Rev())).Int("queues", len(c.Queues)).Int("teams", len(c.Teams)).
		Int("faults", len(faults)).Bool("newer", newer).Msg("configuration")
	if newer {
		o.reportFaults(c.Version, faults)
	}
}

// maxFaultLines is the number of faults of one configuration that are logged; the others are only counted.
const maxFaultLines = 20

func (o *operatorSink) reportFaults(version int64, l board.Faults) {
	if len(l) == 0 {
		return
	}
	o.e.stats.Add("config_faults", int64(len(l)))
	for _, x := range l[:min(len(l), maxFaultLines)] {
		o.e.log.Error().Int64("version", version).Str("team", x.Team()).Str("field", x.Field()).Err(x).Msg("configuration fault")
	}
}

// Disconnected implements keyval.Sink.
func (o *operatorSink) Disconnected(err error) {
	o.e.stats.Add("store_lost", 1)
	o.e.log.Warn().Str("dependency", "store").Str("step", "watch configuration").Err(err).Msg("dependency lost")
}

// Reconnected implements keyval.Sink.
func (o *operatorSink) Reconnected() {
	o.e.log.Info().Str("dependency", "store").Str("step", "watch configuration").Msg("dependency regained")
}
