package conns

import (
	"net"
	"syscall"
)

// probe checks the state of a connection's socket without consuming data.
type probe struct {
	raw  syscall.RawConn
	peek func(fd uintptr) bool
	n    int // result of the last peek
	err  error
}

// newProbe returns a probe of c, or nil if c has no socket.
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
	p.peek = func(fd uintptr) bool {
		var b [1]byte
		p.n, _, p.err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	}
	return p
}

// openAndEmpty reports whether the socket is open and has no data to read.
func (p *probe) openAndEmpty() bool {
	if err := p.raw.Read(p.peek); err != nil {
		return false
	}
	return p.n < 0 && (p.err == syscall.EAGAIN || p.err == syscall.EWOULDBLOCK)
}

// reusable reports whether the connection is open and has no unread data.
//
// A connection that the other side has closed, or that holds a late answer, is not reusable.
func (c *conn) reusable() bool { return c.probe == nil || c.probe.openAndEmpty() }

// ClosedByPeer reports whether the other side of c has closed it, without consuming data.
func ClosedByPeer(c net.Conn) bool {
	p := newProbe(c)
	if p == nil {
		return false
	}
	return !p.openAndEmpty() && p.n <= 0
}
