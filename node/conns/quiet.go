package conns

import (
	"net"
	"syscall"
)

// probe looks at a connection's socket without taking anything from it.
type probe struct {
	raw  syscall.RawConn
	look func(fd uintptr) bool
	n    int
	err  error
}

// newProbe returns a probe of c, or nil when c has no socket.
func newProbe(c net.Conn) *probe {
	s, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	r, err := s.SyscallConn()
	if err != nil {
		return nil
	}
	p := &probe{raw: r}
	p.look = func(fd uintptr) bool {
		var b [1]byte
		p.n, _, p.err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	}
	return p
}

// waits reports whether the socket is open and holds nothing to be read.
func (p *probe) waits() bool {
	if err := p.raw.Read(p.look); err != nil {
		return false
	}
	return p.n < 0 && (p.err == syscall.EAGAIN || p.err == syscall.EWOULDBLOCK)
}

// quiet reports whether the connection is open and nothing waits to be read on it.
//
// A connection that the other side has closed, or that holds a late answer, is not quiet.
func (c *conn) quiet() bool { return c.probe == nil || c.probe.waits() }

// Gone reports whether the other side of c has closed it, without taking anything from it.
func Gone(c net.Conn) bool {
	p := newProbe(c)
	if p == nil {
		return false
	}
	return !p.waits() && p.n <= 0
}
