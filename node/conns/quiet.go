package conns

import (
	"net"
	"syscall"
)

// quiet reports whether the connection is open and nothing waits to be read on it.
//
// A connection that the other side has closed, or that holds a late answer, is not quiet.
func quiet(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	r, err := s.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = r.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = n < 0 && (e == syscall.EAGAIN || e == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && idle
}

// Gone reports whether the other side of c has closed it, without taking anything from it.
func Gone(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	r, err := s.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = r.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		gone = n == 0 || (n < 0 && e != syscall.EAGAIN && e != syscall.EWOULDBLOCK)
		return true
	})
	return err != nil || gone
}
