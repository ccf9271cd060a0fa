package target

import (
	"net"
	"sync"
	"sync/atomic"
)

// gate is a listener that closes connections over a bound and can close all that are open.
type gate struct {
	net.Listener
	bound   int
	refused *atomic.Int64
	mu      sync.Mutex
	open    map[*gated]struct{}
}

type gated struct {
	net.Conn
	gate *gate
}

func newGate(l net.Listener, bound int, refused *atomic.Int64) *gate {
	return &gate{Listener: l, bound: bound, refused: refused, open: map[*gated]struct{}{}}
}

// Accept returns the next connection within the bound.
func (g *gate) Accept() (net.Conn, error) {
	for {
		c, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if x := g.admit(c); x != nil {
			return x, nil
		}
		g.refused.Add(1)
		_ = c.Close()
	}
}

func (g *gate) admit(c net.Conn) net.Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.open) >= g.bound {
		return nil
	}
	x := &gated{Conn: c, gate: g}
	g.open[x] = struct{}{}
	return x
}

// Close closes the connection and gives its place back.
func (c *gated) Close() error {
	c.gate.mu.Lock()
	delete(c.gate.open, c)
	c.gate.mu.Unlock()
	return c.Conn.Close()
}

func (g *gate) closeAll() {
	_ = g.Close()
	g.mu.Lock()
	l := make([]*gated, 0, len(g.open))
	for c := range g.open {
		l = append(l, c)
	}
	g.mu.Unlock()
	for _, c := range l {
		_ = c.Close()
	}
}
