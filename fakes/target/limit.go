package target

import (
	"net"
	"sync"
	"sync/atomic"
)

// limitListener is a listener that closes new connections while limit connections are open, and that can close all open ones.
type limitListener struct {
	net.Listener
	limit   int
	refused *atomic.Int64
	mu      sync.Mutex
	open    map[*limitedConn]struct{}
}

// limitedConn is a connection that counts towards the limit of its listener until it is closed.
type limitedConn struct {
	net.Conn
	listener *limitListener
}

func newLimitListener(l net.Listener, limit int, refused *atomic.Int64) *limitListener {
	return &limitListener{Listener: l, limit: limit, refused: refused, open: map[*limitedConn]struct{}{}}
}

// Accept returns the next connection within the limit and closes those beyond it.
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

// track registers the connection, or returns nil if the limit is reached.
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

// Close closes the connection and removes it from the listener's open connections.
func (c *limitedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// closeAll closes the listener and all open connections.
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
