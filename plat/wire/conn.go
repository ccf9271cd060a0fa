package wire

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// defaultIdleTimeout is the time after which an unused connection is not trusted any more.
const defaultIdleTimeout = 2 * time.Second

// dialTimeout bounds the opening of a connection.
const dialTimeout = time.Second

var errDial = errors.New("dial")

// callConn carries one call at a time on at most one connection, so that a call can be cut off with its connection.
type callConn struct {
	host *fasthttp.HostClient

	mu      sync.Mutex
	conn    net.Conn
	aborted bool
}

func newCallConn(addr string, maxBody int, idle time.Duration) *callConn {
	l := &callConn{}
	l.host = &fasthttp.HostClient{
		Addr:                      addr,
		MaxConns:                  1,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxIdleConnDuration:       idle,
		MaxResponseBodySize:       maxBody,
		NoDefaultUserAgentHeader:  true,
		DialTimeout:               l.dial,
	}
	return l
}

// dial opens the lane's connection and remembers it; its error is an errDial.
func (l *callConn) dial(addr string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 || timeout > dialTimeout {
		timeout = dialTimeout
	}
	c, err := net.DialTimeout("tcp", addr, timeout) //nolint:noctx // the lane's owner closes the connection when its context ends
	if err != nil {
		return nil, errors.Join(errDial, err)
	}
	if t, ok := c.(*net.TCPConn); ok {
		if err := t.SetLinger(0); err != nil { // a call that is given up must not arrive later, when a cut on its way heals.
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

// do performs the call; when ctx ends first, it closes the connection, so that no late answer is read by another call.
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

// close drops the connection.
func (l *callConn) close() {
	l.abort()
	l.host.CloseIdleConnections()
}
