package target

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

const (
	defaultSlots       = 8
	defaultConnections = 64
	defaultRebootTime  = time.Second
	maxBodyBytes       = 64 << 20
)

// Target is a fake target VM. It is safe for concurrent use.
type Target struct {
	name       string
	slots      int64
	conns      int
	rebootTime time.Duration
	runTime    func(*rand.Rand) time.Duration

	running   atomic.Int64 // requests that occupy a slot
	handling  atomic.Int64 // requests in handle, including those about to be refused
	draining  atomic.Bool
	rebooting atomic.Bool
	fault     atomic.Pointer[Fault]
	count     counter
	reboots   chan reboot
	ready     chan struct{}

	mu         sync.Mutex
	rand       *rand.Rand
	addr       string
	ctlAddr    string
	pool       string
	boot       int64
	bootEnded  chan struct{} // closed when the current boot ends
	drainStart time.Time
}

// reboot is a request to stop the target and start it again after downtime.
type reboot struct {
	planned  bool
	downtime time.Duration
}

// Option configures a Target.
type Option func(*Target)

// WithName sets the name that responses carry.
func WithName(s string) Option { return func(t *Target) { t.name = s } }

// WithSlots sets how many requests may run at once.
func WithSlots(n int) Option { return func(t *Target) { t.slots = int64(n) } }

// WithMaxConnections sets how many connections may be open at once.
func WithMaxConnections(n int) Option { return func(t *Target) { t.conns = n } }

// WithRebootTime sets how long the target is unreachable during a reboot.
func WithRebootTime(d time.Duration) Option { return func(t *Target) { t.rebootTime = d } }

// WithSeed sets the seed of the random run times.
func WithSeed(n uint64) Option {
	return func(t *Target) { t.rand = rand.New(rand.NewPCG(n, 0)) }
}

// WithRunTime makes every request run for d.
func WithRunTime(d time.Duration) Option {
	return func(t *Target) { t.runTime = func(*rand.Rand) time.Duration { return d } }
}

// WithRandomRunTime makes requests run for an exponentially distributed time with the given mean.
func WithRandomRunTime(mean time.Duration) Option {
	return func(t *Target) {
		t.runTime = func(r *rand.Rand) time.Duration { return time.Duration(r.ExpFloat64() * float64(mean)) }
	}
}

// New returns a target with 8 slots, 64 connections, a run time of 0 and a reboot time of 1 s.
func New(opts ...Option) *Target {
	t := &Target{
		name: "target", slots: defaultSlots, conns: defaultConnections, rebootTime: defaultRebootTime,
		runTime: func(*rand.Rand) time.Duration { return 0 },
		rand:    rand.New(rand.NewPCG(1, 0)), reboots: make(chan reboot, 1), ready: make(chan struct{}),
		bootEnded: make(chan struct{}),
	}
	t.count.init()
	for _, o := range opts {
		o(t)
	}
	return t
}

// Addrs waits until the target listens and returns its request address and its control address.
func (t *Target) Addrs(ctx context.Context) (addr, ctl string, err error) {
	select {
	case <-t.ready:
	case <-ctx.Done():
		return "", "", eris.Wrapf(ctx.Err(), "wait for target %s", t.name)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.addr, t.ctlAddr, nil
}

// Serve serves requests on addr and control calls on ctlAddr until ctx ends. It returns an error if it cannot listen on one of them.
func (t *Target) Serve(ctx context.Context, addr, ctlAddr string) error {
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", addr)
	if err != nil {
		return eris.Wrapf(err, "listen at target %s", t.name)
	}
	k, err := c.Listen(ctx, "tcp", ctlAddr)
	if err != nil {
		_ = l.Close()
		return eris.Wrapf(err, "listen at control of target %s", t.name)
	}
	t.mu.Lock()
	t.addr, t.ctlAddr = l.Addr().String(), k.Addr().String()
	t.mu.Unlock()
	close(t.ready)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return serve(ctx, k, t.control, t.name) })
	g.Go(func() error { return t.serveBoots(ctx, l) })
	return g.Wait()
}

// serveBoots serves requests until ctx ends, and after each reboot listens on the same address again.
func (t *Target) serveBoots(ctx context.Context, l net.Listener) error {
	for {
		r, err := t.serveBoot(ctx, l)
		if err != nil || ctx.Err() != nil {
			return err
		}
		if sleep(ctx, r.downtime) != nil {
			return nil
		}
		if l, err = t.listenAgain(ctx); err != nil {
			return err
		}
	}
}

// serveBoot serves requests until the next reboot and returns that reboot. It returns the zero reboot if ctx ended.
func (t *Target) serveBoot(ctx context.Context, l net.Listener) (reboot, error) {
	b, cancel := context.WithCancel(ctx)
	g, b := errgroup.WithContext(b)
	down := make(chan struct{})
	t.mu.Lock()
	t.boot++
	t.bootEnded = down
	t.mu.Unlock()
	t.draining.Store(false)
	t.rebooting.Store(false)
	limited := newLimitListener(l, t.conns, &t.count.refusedConns)
	var r reboot
	g.Go(func() error { return serve(b, limited, t.handle, t.name) })
	g.Go(func() error {
		select {
		case r = <-t.reboots:
			t.rebooting.Store(true)
			t.count.stopped(r.planned, t.running.Load())
		case <-b.Done():
		}
		close(down)
		limited.closeAll()
		cancel()
		return nil
	})
	err := g.Wait()
	cancel()
	return r, err
}

// listenAgain listens on the old address. It makes up to 50 further attempts, 20 ms apart.
func (t *Target) listenAgain(ctx context.Context) (net.Listener, error) {
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", t.addr)
	for i := 0; err != nil && i < 50 && sleep(ctx, 20*time.Millisecond) == nil; i++ {
		l, err = c.Listen(ctx, "tcp", t.addr)
	}
	return l, eris.Wrapf(err, "listen again at target %s", t.name)
}

func serve(ctx context.Context, l net.Listener, h fasthttp.RequestHandler, name string) error {
	s := &fasthttp.Server{
		Handler: h, MaxRequestBodySize: maxBodyBytes, NoDefaultServerHeader: true,
		NoDefaultDate: true, Name: name, KeepHijackedConns: true, CloseOnShutdown: true,
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return eris.Wrapf(s.Serve(l), "serve at target %s", name) })
	g.Go(func() error {
		<-ctx.Done()
		_ = l.Close()
		return nil
	})
	if err := g.Wait(); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}

// sleep waits for d, or returns the error of ctx if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	k := time.NewTimer(d)
	defer k.Stop()
	select {
	case <-k.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
