package cutter

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

const bufferBytes = 16 << 10

// Cutter forwards TCP connections to one address; it is safe for concurrent use.
type Cutter struct {
	listenAddr, upstreamAddr, controlAddr string
	refusing                              atomic.Bool
	ready                                 chan struct{}

	mu        sync.Mutex
	boundAddr string
	pairs     map[*connPair]struct{}
	stats     Stats
}

// Stats is what a Cutter has counted.
type Stats struct {
	Open    int `json:"open"`
	Taken   int `json:"taken"`
	Refused int `json:"refused"`
	Cut     int `json:"cut"`
	Stalled int `json:"stalled"`
}

// Option changes a Cutter at its making.
type Option func(*Cutter)

// WithControl serves the control calls on addr.
func WithControl(addr string) Option { return func(c *Cutter) { c.controlAddr = addr } }

// connPair is a caller's connection and its other side.
type connPair struct {
	client, upstream net.Conn
	stalled          atomic.Bool
}

// New returns a forwarder from the address listen to the address to.
func New(listenAddr, upstreamAddr string, opts ...Option) *Cutter {
	c := &Cutter{listenAddr: listenAddr, upstreamAddr: upstreamAddr, pairs: map[*connPair]struct{}{}, ready: make(chan struct{})}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Addr waits until the forwarder listens and returns its address.
func (c *Cutter) Addr(ctx context.Context) (string, error) {
	select {
	case <-c.ready:
	case <-ctx.Done():
		return "", eris.Wrapf(ctx.Err(), "wait for forwarder to %s", c.upstreamAddr)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.boundAddr, nil
}

// Serve forwards until ctx ends, then closes all connections; it returns an error if an address cannot be had.
func (c *Cutter) Serve(ctx context.Context) error {
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

func (c *Cutter) acceptConns(ctx context.Context, g *errgroup.Group, l net.Listener) error {
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

func (c *Cutter) updateStats(f func(*Stats)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.stats)
}

// forward copies both ways until one side closes.
func (c *Cutter) forward(ctx context.Context, client net.Conn) {
	var d net.Dialer
	upstream, err := d.DialContext(ctx, "tcp", c.upstreamAddr)
	if err != nil {
		_ = client.Close()
		return
	}
	p := &connPair{client: client, upstream: upstream}
	c.mu.Lock()
	c.pairs[p] = struct{}{}
	c.stats.Taken++
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

// copy passes bytes on until the connection ends; a silent pair drops them and hides that the other side closed.
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

func (c *Cutter) openPairs() []*connPair {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := make([]*connPair, 0, len(c.pairs))
	for p := range c.pairs {
		l = append(l, p)
	}
	return l
}

// Cut closes every open connection.
func (c *Cutter) Cut() {
	for _, p := range c.openPairs() {
		c.updateStats(func(s *Stats) { s.Cut++ })
		p.close()
	}
}

// Stall makes every open connection silent for good; new connections work.
func (c *Cutter) Stall() {
	for _, p := range c.openPairs() {
		if !p.stalled.Swap(true) {
			c.updateStats(func(s *Stats) { s.Stalled++ })
		}
	}
}

// Refuse closes new connections as they come, until Accept.
func (c *Cutter) Refuse() { c.refusing.Store(true) }

// Accept takes new connections again.
func (c *Cutter) Accept() { c.refusing.Store(false) }

// Stats returns what has been counted.
func (c *Cutter) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.stats
	s.Open = len(c.pairs)
	return s
}
