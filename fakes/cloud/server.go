package cloud

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/plat/keyval"
)

// Server is a simulated platform.
type Server struct {
	store             *keyval.Memory
	fleet             *fleet
	faults            *faults
	log               zerolog.Logger
	controlListenAddr string
	controlClient     *fasthttp.Client
	ready             chan struct{}

	tasks    *Tasks
	taskOpts []TaskOption

	reads, writes, vmCalls meter

	mu          sync.Mutex
	snapshot    keyval.Snapshot
	hasSnapshot bool
	addr        string
	controlAddr string
}

// New returns a server; Serve starts it.
func New(opts ...Option) *Server {
	s := &Server{
		store: keyval.NewMemory(), fleet: newFleet(), faults: newFaults(),
		log: zerolog.Nop(), ready: make(chan struct{}),
		controlClient: &fasthttp.Client{MaxIdemponentCallAttempts: 1, MaxIdleConnDuration: time.Second, Dial: dialWorker},
	}
	for _, o := range opts {
		o(s)
	}
	s.fleet.init(time.Now())
	s.tasks = NewTasks(s.store, s.taskOpts...)
	s.tasks.vmAlive = s.fleet.canRunTasks
	return s
}

// dialWorker opens a connection to a worker's control address.
func dialWorker(addr string) (net.Conn, error) {
	return net.DialTimeout("tcp", addr, controlTimeout) //nolint:noctx // has a timeout of its own
}

// Store gives direct access to the key-value service, which faults do not affect.
func (s *Server) Store() *keyval.Memory { return s.store }

// Ready is closed once the server listens.
func (s *Server) Ready() <-chan struct{} { return s.ready }

// Addr returns the address that the server listens on, once it is ready.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// ControlAddr returns the address that the server listens on for control calls if WithControl is set, once it is ready.
func (s *Server) ControlAddr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.controlAddr
}

// Serve serves the platform's calls on addr until ctx ends.
func (s *Server) Serve(ctx context.Context, addr string) error {
	g, c := errgroup.WithContext(ctx)
	if s.controlListenAddr != "" {
		l, err := listen(c, s.controlListenAddr)
		if err != nil {
			return err
		}
		s.mu.Lock()
		s.controlAddr = l.Addr().String()
		s.mu.Unlock()
		g.Go(func() error { return serve(c, l, s.handleControl) })
	}
	g.Go(func() error { return s.serveCalls(c, addr) })
	return g.Wait()
}

// serveCalls serves the platform's calls, and closes the listener while the mode is Refuse.
func (s *Server) serveCalls(ctx context.Context, addr string) error {
	var once sync.Once
	for ctx.Err() == nil {
		l, err := listen(ctx, addr)
		if err != nil {
			return err
		}
		addr = l.Addr().String()
		once.Do(func() {
			s.mu.Lock()
			s.addr = addr
			s.mu.Unlock()
			close(s.ready)
		})
		if err := s.serveUntilRefused(ctx, l); err != nil {
			return err
		}
		s.faults.waitForListener(ctx, false)
	}
	return nil
}

func (s *Server) serveUntilRefused(ctx context.Context, l net.Listener) error {
	c, cancel := context.WithCancel(ctx)
	defer cancel()
	var g errgroup.Group
	g.Go(func() error {
		defer cancel()
		return serve(c, l, func(q *fasthttp.RequestCtx) { s.handle(c, q) })
	})
	g.Go(func() error {
		defer cancel()
		s.faults.waitForListener(c, true)
		return nil
	})
	return g.Wait()
}

func listen(ctx context.Context, addr string) (net.Listener, error) {
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "cloud: listen at %s", addr)
	}
	return &trackedListener{Listener: l, conns: map[net.Conn]struct{}{}}, nil
}

// serve serves h on l until ctx ends, then closes all connections.
func serve(ctx context.Context, l net.Listener, h fasthttp.RequestHandler) error {
	v := &fasthttp.Server{Handler: h, MaxRequestBodySize: 4 << 20, NoDefaultServerHeader: true, Logger: discardLogger{}}
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	err := v.Serve(l)
	if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return eris.Wrap(err, "cloud: serve")
}

type discardLogger struct{}

// Printf discards the line.
func (discardLogger) Printf(string, ...any) {}

// trackedListener is a listener whose Close also closes the connections that it has accepted.
type trackedListener struct {
	net.Listener

	mu     sync.Mutex
	closed bool
	conns  map[net.Conn]struct{}
}

type trackedConn struct {
	net.Conn
	listener *trackedListener
}

// Accept implements net.Listener.
func (t *trackedListener) Accept() (net.Conn, error) {
	c, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		_ = c.Close()
		return nil, net.ErrClosed
	}
	t.conns[c] = struct{}{}
	return &trackedConn{Conn: c, listener: t}, nil
}

// Close implements net.Listener.
func (t *trackedListener) Close() error {
	err := t.Listener.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for c := range t.conns {
		_ = c.Close()
	}
	clear(t.conns)
	return err
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c.Conn)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
