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
	listen, to, ctl string
	refusing        atomic.Bool
	ready           chan struct{}

	mu    sync.Mutex
	addr  string
	pairs map[*pair]struct{}
	stats Stats
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
func WithControl(addr string) Option { return func(c *Cutter) { c.ctl = addr } }

// pair is a caller's connection and its other side.
type pair struct {
	near, far net.Conn
	silent    atomic.Bool
}

// New returns a forwarder from the address listen to the address to.
func New(listen, to string, opts ...Option) *Cutter {
	c := &Cutter{listen: listen, to: to, pairs: map[*pair]struct{}{}, ready: make(chan struct{})}
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
		return "", eris.Wrapf(ctx.Err(), "wait for forwarder to %s", c.to)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addr, nil
}

// Serve forwards until ctx ends, then closes all connections; it returns an error if an address cannot be had.
func (c *Cutter) Serve(ctx context.Context) error {
	var n net.ListenConfig
	l, err := n.Listen(ctx, "tcp", c.listen)
	if err != nil {
		return eris.Wrapf(err, "listen at forwarder to %s", c.to)
	}
	c.mu.Lock()
	c.addr = l.Addr().String()
	c.mu.Unlock()
	close(c.ready)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		_ = l.Close()
		c.Cut()
		return nil
	})
	g.Go(func() error { return c.accept(ctx, g, l) })
	if c.ctl != "" {
		g.Go(func() error { return c.control(ctx) })
	}
	return g.Wait()
}

func (c *Cutter) accept(ctx context.Context, g *errgroup.Group, l net.Listener) error {
	for {
		n, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return eris.Wrapf(err, "accept at forwarder to %s", c.to)
		}
		if c.refusing.Load() {
			c.count(func(s *Stats) { s.Refused++ })
			_ = n.Close()
			continue
		}
		g.Go(func() error { c.forward(ctx, n); return nil })
	}
}

func (c *Cutter) count(f func(*Stats)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.stats)
}

// forward copies both ways until one side closes.
func (c *Cutter) forward(ctx context.Context, near net.Conn) {
	var d net.Dialer
	far, err := d.DialContext(ctx, "tcp", c.to)
	if err != nil {
		_ = near.Close()
		return
	}
	p := &pair{near: near, far: far}
	c.mu.Lock()
	c.pairs[p] = struct{}{}
	c.stats.Taken++
	c.mu.Unlock()
	if ctx.Err() != nil {
		p.close()
	}
	var g errgroup.Group
	g.Go(func() error { p.copy(far, near); return nil })
	g.Go(func() error { p.copy(near, far); return nil })
	_ = g.Wait()
	p.close()
	c.mu.Lock()
	delete(c.pairs, p)
	c.mu.Unlock()
}

// copy passes bytes on until the connection ends; a silent pair drops them and hides that the other side closed.
func (p *pair) copy(to, from net.Conn) {
	b := make([]byte, bufferBytes)
	for {
		n, err := from.Read(b)
		if p.silent.Load() {
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

func (p *pair) close() {
	_ = p.near.Close()
	_ = p.far.Close()
}

func (c *Cutter) open() []*pair {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := make([]*pair, 0, len(c.pairs))
	for p := range c.pairs {
		l = append(l, p)
	}
	return l
}

// Cut closes every open connection.
func (c *Cutter) Cut() {
	for _, p := range c.open() {
		c.count(func(s *Stats) { s.Cut++ })
		p.close()
	}
}

// Stall makes every open connection silent for good; new connections work.
func (c *Cutter) Stall() {
	for _, p := range c.open() {
		if !p.silent.Swap(true) {
			c.count(func(s *Stats) { s.Stalled++ })
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
