package target

import (
	"net"
	"sync"
	"sync/atomic"
)

// limitListener is a listener that closes connections over a bound and can close all that are open.
type limitListener struct {
	net.Listener
	limit   int
	refused *atomic.Int64
	mu      sync.Mutex
	open    map[*limitedConn]struct{}
}

type limitedConn struct {
	net.Conn
	listener *limitListener
}

func newLimitListener(l net.Listener, bound int, refused *atomic.Int64) *limitListener {
	return &limitListener{Listener: l, limit: bound, refused: refused, open: map[*limitedConn]struct{}{}}
}

// Accept returns the next connection within the bound.
func (g *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if x := g.track(c); x != nil {
			return x, nil
		}
		g.refused.Add(1)
		_ = c.Close()
	}
}

func (g *limitListener) track(c net.Conn) net.Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.open) >= g.limit {
		return nil
	}
	x := &limitedConn{Conn: c, listener: g}
	g.open[x] = struct{}{}
	return x
}

// Close closes the connection and gives its place back.
func (c *limitedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

func (g *limitListener) closeAll() {
	_ = g.Close()
	g.mu.Lock()
	l := make([]*limitedConn, 0, len(g.open))
	for c := range g.open {
		l = append(l, c)
	}
	g.mu.Unlock()
	for _, c := range l {
		_ = c.Close()
	}
}
