package rig

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"testing"
)

const (
	firstPort   = 11_000 // below the range from which outgoing connections take theirs
	lastPort    = 30_000
	portsPerProcess  = 300  // ports between the first ones of two test processes
	controlOffset = 1000 // from a target's port to its control port
)

var (
	portMu   sync.Mutex
	nextPort = firstPort + os.Getpid()*portsPerProcess%(lastPort-firstPort)
	reserved    = make(map[int]bool)
)

// controlAddr returns the controlAddr address of the target at addr.
func controlAddr(addr string) string {
	h, p, _ := net.SplitHostPort(addr)
	n, _ := strconv.Atoi(p)
	return net.JoinHostPort(h, strconv.Itoa(n+controlOffset))
}

// Free returns a loopback address that nothing listens on and that no outgoing connection can take.
func Free(t testing.TB) string {
	t.Helper()
	return address(reserve(t, 0))
}

// freeTargetAddr returns a free address whose control address is free too.
func freeTargetAddr(t testing.TB) string {
	t.Helper()
	return address(reserve(t, controlOffset))
}

// reserve returns a port that is free, and so is the one that stands step above.
func reserve(t testing.TB, step int) int {
	t.Helper()
	portMu.Lock()
	defer portMu.Unlock()
	for range lastPort - firstPort {
		n := nextPort
		if nextPort++; nextPort >= lastPort {
			nextPort = firstPort
		}
		if reserved[n] || reserved[n+step] || !canListen(n) || !canListen(n+step) {
			continue
		}
		reserved[n], reserved[n+step] = true, true
		return n
	}
	t.Fatal("no free port")
	return 0
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// canListen reports whether the port can be listened on now.
func canListen(port int) bool {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address(port))
	if err != nil {
		return false
	}
	return l.Close() == nil
}
