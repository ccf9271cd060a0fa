package conns

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

var (
	// ErrNotSent reports that no byte of the request was sent.
	ErrNotSent = eris.New("conns: request not sent")
	// ErrAnswerLost reports that at least a part of the request was sent, and that no whole answer to it was received.
	ErrAnswerLost = eris.New("conns: answer lost")
	// ErrClosed reports that the pool is closed; nothing was sent.
	ErrClosed = eris.New("conns: pool is closed")
)

const (
	defaultIdle      = 2 * time.Second
	defaultConnect   = time.Second
	defaultMaxAnswer = 8 << 20 // bytes
	bufferSize       = 4 << 10 // bytes
	// unrepeatableIdleTimeout is how long a connection may have been idle and still carry a request that cannot be repeated.
	unrepeatableIdleTimeout = time.Second
)

// RequestIDHeader is the header that carries the id of a request to the target, which repeats it in the answer.
const RequestIDHeader = "Burdock-Request"

// Pool holds the connections to one target; it is safe for concurrent use.
type Pool struct {
	addr           string
	idleTimeout    time.Duration
	connectTimeout time.Duration
	maxAnswer      int
	dialer         net.Dialer

	mu        sync.Mutex
	idleConns []*conn // the most recently used at the end
	openConns map[*conn]struct{}
	closed    bool
}

// Option configures a Pool.
type Option func(*Pool)

// WithIdleTimeout sets how long a connection may be idle; after that it is closed instead of used.
func WithIdleTimeout(d time.Duration) Option { return func(p *Pool) { p.idleTimeout = d } }

// WithConnectTimeout sets the timeout of opening a connection.
func WithConnectTimeout(d time.Duration) Option { return func(p *Pool) { p.connectTimeout = d } }

// WithMaxAnswer sets the largest accepted answer body in bytes.
func WithMaxAnswer(n int) Option { return func(p *Pool) { p.maxAnswer = n } }

// New returns a pool of connections to the target at addr, which is host:port.
func New(addr string, opts ...Option) *Pool {
	p := &Pool{
		addr: addr, idleTimeout: defaultIdle, connectTimeout: defaultConnect, maxAnswer: defaultMaxAnswer,
		openConns: make(map[*conn]struct{}),
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// conn is one connection with its buffers.
type conn struct {
	net.Conn
	r         *bufio.Reader
	w         *bufio.Writer
	written   int64     // bytes of the current request that were sent
	idleSince time.Time // when the connection last became idle
	probe     *probe    // nil if the connection has no socket
}

// Write writes b and counts the bytes that were sent.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written += int64(n)
	return n, err
}

// Send writes q once and reads the whole answer into a by the deadline. once means that q cannot be repeated; it then uses only a
// connection that is new or has answered within the last second.
//
// The error wraps ErrNotSent or ErrAnswerLost; after an error a is empty.
func (p *Pool) Send(ctx context.Context, q *fasthttp.Request, a *fasthttp.Response, deadline time.Time, once bool) error {
	maxIdle := p.idleTimeout
	if once {
		maxIdle = min(maxIdle, unrepeatableIdleTimeout)
	}
	c, err := p.get(ctx, deadline, maxIdle)
	if err != nil {
		return err
	}
	if err = p.roundTrip(c, q, a, deadline); err != nil {
		p.discard(c)
		p.closeIdle()
		a.Reset()
		return err
	}
	if a.ConnectionClose() {
		p.discard(c)
		return nil
	}
	p.put(c)
	return nil
}

// closeIdle closes all idle connections after a connection has failed, because whatever lost the state of that one may have lost
// the state of the others too.
func (p *Pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idleConns {
		p.closeLocked(c)
	}
	p.idleConns = p.idleConns[:0]
}

// roundTrip sends q on c and reads its answer.
func (p *Pool) roundTrip(c *conn, q *fasthttp.Request, a *fasthttp.Response, deadline time.Time) error {
	c.written = 0
	if err := c.SetDeadline(deadline); err != nil {
		return eris.Wrapf(ErrNotSent, "step=deadline peer=%s: %v", p.addr, err)
	}
	err := q.Write(c.w)
	if err == nil {
		err = c.w.Flush()
	}
	if err != nil {
		return p.writeError(c, err)
	}
	a.SkipBody = q.Header.IsHead()
	if err := readWhole(c.r, a, p.maxAnswer); err != nil {
		return eris.Wrapf(ErrAnswerLost, "step=read peer=%s: %v", p.addr, err)
	}
	return p.checkAnswer(c, q, a)
}

// writeError returns ErrNotSent or ErrAnswerLost for a failed write, depending on whether any byte was sent.
func (p *Pool) writeError(c *conn, err error) error {
	if c.written == 0 {
		return eris.Wrapf(ErrNotSent, "step=write peer=%s: %v", p.addr, err)
	}
	return eris.Wrapf(ErrAnswerLost, "step=write peer=%s: %v", p.addr, err)
}

// checkAnswer returns an error if the answer is longer than declared or carries the id of another request.
func (p *Pool) checkAnswer(c *conn, q *fasthttp.Request, a *fasthttp.Response) error {
	if c.r.Buffered() > 0 {
		return eris.Wrapf(ErrAnswerLost, "step=read peer=%s: answer is longer than it declares", p.addr)
	}
	id := a.Header.Peek(RequestIDHeader)
	if len(id) > 0 && string(id) != string(q.Header.Peek(RequestIDHeader)) {
		return eris.Wrapf(ErrAnswerLost, "step=read peer=%s: answer carries the id of another request", p.addr)
	}
	return nil
}

// get returns a connection that has been idle for less than maxIdle, or a new one.
func (p *Pool) get(ctx context.Context, deadline time.Time, maxIdle time.Duration) (*conn, error) {
	now := time.Now()
	for {
		c, err := p.popIdle()
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx, now, deadline)
		}
		if now.Sub(c.idleSince) < maxIdle && c.reusable() {
			return c, nil
		}
		p.discard(c)
	}
}

// popIdle removes and returns the most recently used idle connection, or nil if there is none.
func (p *Pool) popIdle() (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, eris.Wrapf(ErrNotSent, "step=take peer=%s: %v", p.addr, ErrClosed)
	}
	n := len(p.idleConns)
	if n == 0 {
		return nil, nil
	}
	c := p.idleConns[n-1]
	p.idleConns[n-1] = nil
	p.idleConns = p.idleConns[:n-1]
	return c, nil
}

// dial opens a connection by the deadline and within connectTimeout after now.
func (p *Pool) dial(ctx context.Context, now, deadline time.Time) (*conn, error) {
	limit := now.Add(p.connectTimeout)
	if deadline.Before(limit) {
		limit = deadline
	}
	x, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	n, err := p.dialer.DialContext(x, "tcp", p.addr)
	if err != nil {
		return nil, eris.Wrapf(ErrNotSent, "step=connect peer=%s: %v", p.addr, err)
	}
	c := &conn{Conn: n, probe: newProbe(n)}
	c.r = bufio.NewReaderSize(n, bufferSize)
	c.w = bufio.NewWriterSize(c, bufferSize)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = n.Close()
		return nil, eris.Wrapf(ErrNotSent, "step=connect peer=%s: %v", p.addr, ErrClosed)
	}
	p.openConns[c] = struct{}{}
	return c, nil
}

// put returns c to the idle connections.
func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		p.closeLocked(c)
		return
	}
	p.idleConns = append(p.idleConns, c)
}

// discard closes c and removes it from the pool.
func (p *Pool) discard(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c)
}

// closeLocked closes c and removes it from openConns; p.mu is held.
func (p *Pool) closeLocked(c *conn) {
	delete(p.openConns, c)
	_ = c.Close()
}

// CloseExpired closes the connections that have been idle for longer than the pool allows.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for n < len(p.idleConns) && now.Sub(p.idleConns[n].idleSince) >= p.idleTimeout {
		p.closeLocked(p.idleConns[n])
		n++
	}
	p.idleConns = append(p.idleConns[:0], p.idleConns[n:]...)
}

// OpenCount returns the number of open connections.
func (p *Pool) OpenCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.openConns)
}

// Close closes the idle connections; a connection in use is closed when its request ends.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idleConns {
		p.closeLocked(c)
	}
	p.idleConns = nil
}
