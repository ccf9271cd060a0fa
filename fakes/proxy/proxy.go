package proxy

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

const bufferBytes = 16 << 10

// Proxy forwards TCP connections to one address. It is safe for concurrent use.
type Proxy struct {
	listenAddr, upstreamAddr, controlAddr string
	refusing, isolated                    atomic.Bool
	delay                                 atomic.Pointer[func() time.Duration]
	ready                                 chan struct{}

	mu        sync.Mutex
	boundAddr string
	pairs     map[*connPair]struct{}
	stats     Stats
}

// Stats holds the counters of a proxy. Open is the number of connections that are open now; the others are totals. Delayed
// counts the reads from clients that were held back.
type Stats struct {
	Open     int `json:"open"`
	Accepted int `json:"taken"`
	Refused  int `json:"refused"`
	Cut      int `json:"cut"`
	Stalled  int `json:"stalled"`
	Delayed  int `json:"delayed"`
}

// Option configures a proxy.
type Option func(*Proxy)

// WithControl serves the control calls on addr.
func WithControl(addr string) Option { return func(c *Proxy) { c.controlAddr = addr } }

// connPair is a client's connection and the one to the upstream server that it is forwarded to.
type connPair struct {
	client, upstream net.Conn
	stalled          atomic.Bool
}

// New returns a proxy that listens on listenAddr and forwards to upstreamAddr. Serve starts it.
func New(listenAddr, upstreamAddr string, opts ...Option) *Proxy {
	c := &Proxy{listenAddr: listenAddr, upstreamAddr: upstreamAddr, pairs: map[*connPair]struct{}{}, ready: make(chan struct{})}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Addr waits until the proxy listens and returns its address.
func (c *Proxy) Addr(ctx context.Context) (string, error) {
	select {
	case <-c.ready:
	case <-ctx.Done():
		return "", eris.Wrapf(ctx.Err(), "wait for forwarder to %s", c.upstreamAddr)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.boundAddr, nil
}

// Serve forwards until ctx ends, then closes all connections. It returns an error if it cannot listen on an address.
func (c *Proxy) Serve(ctx context.Context) error {
	var n net.ListenConfig
	l, err := n.Listen(ctx, "tcp", c.listenAddr)
	if err != nil {
		return eris.Wrapf(err, "listen at forwarder to %s", c.upstreamAddr)
	}
	c.mu.Lock()
	c.boundAddr = l.Addr().String()
	c.mu.Unlock()
	close(c.ready)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		_ = l.Close()
		c.Cut()
		return nil
	})
	g.Go(func() error { return c.acceptConns(ctx, g, l) })
	if c.controlAddr != "" {
		g.Go(func() error { return c.serveControl(ctx) })
	}
	return g.Wait()
}

func (c *Proxy) acceptConns(ctx context.Context, g *errgroup.Group, l net.Listener) error {
	for {
		n, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return eris.Wrapf(err, "accept at forwarder to %s", c.upstreamAddr)
		}
		if c.refusing.Load() {
			c.updateStats(func(s *Stats) { s.Refused++ })
			_ = n.Close()
			continue
		}
		g.Go(func() error { c.forward(ctx, n); return nil })
	}
}

func (c *Proxy) updateStats(f func(*Stats)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.stats)
}

// forward copies bytes in both directions until one side closes.
func (c *Proxy) forward(ctx context.Context, client net.Conn) {
	var d net.Dialer
	upstream, err := d.DialContext(ctx, "tcp", c.upstreamAddr)
	if err != nil {
		_ = client.Close()
		return
	}
	p := &connPair{client: client, upstream: upstream}
	c.mu.Lock()
	c.pairs[p] = struct{}{}
	c.stats.Accepted++
	c.mu.Unlock()
	if ctx.Err() != nil {
		p.close()
	}
	if c.isolated.Load() {
		c.stall(p)
	}
	var g errgroup.Group
	g.Go(func() error { p.copy(upstream, client, func() { c.holdBack(ctx) }); return nil })
	g.Go(func() error { p.copy(client, upstream, func() {}); return nil })
	_ = g.Wait()
	p.close()
	c.mu.Lock()
	delete(c.pairs, p)
	c.mu.Unlock()
}

// copy forwards bytes until the connection ends, and calls wait before each write. When the pair is stalled, it discards them, and does not
// close one side when the other one closes.
func (p *connPair) copy(to, from net.Conn, wait func()) {
	b := make([]byte, bufferBytes)
	for {
		n, err := from.Read(b)
		if p.stalled.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			wait()
			if _, e := to.Write(b[:n]); e != nil {
				err = e
			}
		}
		if err != nil {
			p.close()
			return
		}
	}
}

func (p *connPair) close() {
	_ = p.client.Close()
	_ = p.upstream.Close()
}

func (c *Proxy) openPairs() []*connPair {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := make([]*connPair, 0, len(c.pairs))
	for p := range c.pairs {
		l = append(l, p)
	}
	return l
}

// Cut closes every open connection.
func (c *Proxy) Cut() {
	for _, p := range c.openPairs() {
		c.updateStats(func(s *Stats) { s.Cut++ })
		p.close()
	}
}

// Stall stops forwarding on every open connection, and never resumes it there. New connections work.
func (c *Proxy) Stall() {
	for _, p := range c.openPairs() {
		c.stall(p)
	}
}

func (c *Proxy) stall(p *connPair) {
	if !p.stalled.Swap(true) {
		c.updateStats(func(s *Stats) { s.Stalled++ })
	}
}

// Isolate stalls every open connection and each new one, until Rejoin is called.
func (c *Proxy) Isolate() {
	c.isolated.Store(true)
	c.Stall()
}

// Rejoin ends the effect of Isolate and closes the stalled connections.
func (c *Proxy) Rejoin() {
	c.isolated.Store(false)
	c.Cut()
}

// Delay holds back what clients send, for the time that f returns for each read from a connection. The server receives it even if the client
// has closed the connection or the proxy is isolated by then. A nil f ends the effect.
func (c *Proxy) Delay(f func() time.Duration) {
	if f == nil {
		c.delay.Store(nil)
		return
	}
	c.delay.Store(&f)
}

// holdBack waits for the present delay, or until ctx ends.
func (c *Proxy) holdBack(ctx context.Context) {
	f := c.delay.Load()
	if f == nil {
		return
	}
	d := (*f)()
	if d <= 0 {
		return
	}
	c.updateStats(func(s *Stats) { s.Delayed++ })
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// Refuse closes each new connection at once, until Accept is called.
func (c *Proxy) Refuse() { c.refusing.Store(true) }

// Accept ends the effect of Refuse.
func (c *Proxy) Accept() { c.refusing.Store(false) }

// Stats returns the current counters.
func (c *Proxy) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.stats
	s.Open = len(c.pairs)
	return s
}
