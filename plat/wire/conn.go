package wire

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// defaultIdleTimeout is the time after which an idle connection is no longer used, because the server may have closed it.
const defaultIdleTimeout = 2 * time.Second

// dialTimeout bounds the opening of a connection.
const dialTimeout = time.Second

var errDial = errors.New("dial")

// callConn makes one call at a time on at most one connection, so that closing the connection aborts exactly that call.
type callConn struct {
	host *fasthttp.HostClient

	mu      sync.Mutex
	conn    net.Conn
	aborted bool
}

func newCallConn(addr string, maxBodyBytes int, idleTimeout time.Duration) *callConn {
	l := &callConn{}
	l.host = &fasthttp.HostClient{
		Addr:                      addr,
		MaxConns:                  1,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxIdleConnDuration:       idleTimeout,
		MaxResponseBodySize:       maxBodyBytes,
		NoDefaultUserAgentHeader:  true,
		DialTimeout:               l.dial,
	}
	return l
}

// dial opens the connection and records it for abort. Each error matches errDial.
func (l *callConn) dial(addr string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 || timeout > dialTimeout {
		timeout = dialTimeout
	}
	c, err := net.DialTimeout("tcp", addr, timeout) //nolint:noctx // do closes the connection when the context ends
	if err != nil {
		return nil, errors.Join(errDial, err)
	}
	if t, ok := c.(*net.TCPConn); ok {
		if err := t.SetLinger(0); err != nil { // reset on close: a canceled call must not arrive later, after a network partition heals
			return nil, errors.Join(errDial, err, c.Close())
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.aborted {
		return nil, errors.Join(errDial, c.Close())
	}
	l.conn = c
	return c, nil
}

// do makes the call. If ctx ends first, it closes the connection, so that a late response is not read by another call.
func (l *callConn) do(ctx context.Context, q *fasthttp.Request, a *fasthttp.Response) error {
	stop := context.AfterFunc(ctx, l.abort)
	var err error
	if d, ok := ctx.Deadline(); ok {
		err = l.host.DoDeadline(q, a, d)
	} else {
		err = l.host.Do(q, a)
	}
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	return err
}

func (l *callConn) abort() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.aborted = true
	if l.conn != nil {
		_ = l.conn.Close()
	}
}

// close closes the connection.
func (l *callConn) close() {
	l.abort()
	l.host.CloseIdleConnections()
}
