package proxy

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

const bufferBytes = 16 << 10

// Proxy forwards TCP connections to one address. It is safe for concurrent use.
type Proxy struct {
	listenAddr, upstreamAddr, controlAddr string
	refusing                              atomic.Bool
	ready                                 chan struct{}

	mu        sync.Mutex
	boundAddr string
	pairs     map[*connPair]struct{}
	stats     Stats
}

// Stats holds the counters of a proxy. Open is the number of connections that are open now; the others are totals.
type Stats struct {
	Open     int `json:"open"`
	Accepted int `json:"taken"`
	Refused  int `json:"refused"`
	Cut      int `json:"cut"`
	Stalled  int `json:"stalled"`
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
	var g errgroup.Group
	g.Go(func() error { p.copy(upstream, client); return nil })
	g.Go(func() error { p.copy(client, upstream); return nil })
	_ = g.Wait()
	p.close()
	c.mu.Lock()
	delete(c.pairs, p)
	c.mu.Unlock()
}

// copy forwards bytes until the connection ends. When the pair is stalled, it discards them, and does not close one side when the
// other one closes.
func (p *connPair) copy(to, from net.Conn) {
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
		if !p.stalled.Swap(true) {
			c.updateStats(func(s *Stats) { s.Stalled++ })
		}
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
