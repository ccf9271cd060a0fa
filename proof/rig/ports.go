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
	firstPort       = 11_000 // ports up to lastPort are below the range of ephemeral ports, so that no outgoing connection takes one
	lastPort        = 30_000
	portsPerProcess = 300  // offset between the first ports of test processes with consecutive process IDs
	controlOffset   = 1000 // offset of a target's control port from its request port
)

var (
	portMu   sync.Mutex
	nextPort = firstPort + os.Getpid()*portsPerProcess%(lastPort-firstPort)
	reserved = make(map[int]bool)
)

// controlAddr returns the controlAddr address of the target at addr.
func controlAddr(addr string) string {
	h, p, _ := net.SplitHostPort(addr)
	n, _ := strconv.Atoi(p)
	return net.JoinHostPort(h, strconv.Itoa(n+controlOffset))
}

// FreeAddr returns a loopback address that is not in use and whose port is not an ephemeral port.
func FreeAddr(t testing.TB) string {
	t.Helper()
	return address(reserve(t, 0))
}

// freeTargetAddr returns a free address for a target whose control address is free too.
func freeTargetAddr(t testing.TB) string {
	t.Helper()
	return address(reserve(t, controlOffset))
}

// reserve returns a free port. The port that lies offset above it is free too, and both are reserved in this test process.
func reserve(t testing.TB, offset int) int {
	t.Helper()
	portMu.Lock()
	defer portMu.Unlock()
	for range lastPort - firstPort {
		n := nextPort
		if nextPort++; nextPort >= lastPort {
			nextPort = firstPort
		}
		if reserved[n] || reserved[n+offset] || !canListen(n) || !canListen(n+offset) {
			continue
		}
		reserved[n], reserved[n+offset] = true, true
		return n
	}
	t.Fatal("no free port")
	return 0
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// canListen reports whether the port is free to listen on.
func canListen(port int) bool {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address(port))
	if err != nil {
		return false
	}
	return l.Close() == nil
}
