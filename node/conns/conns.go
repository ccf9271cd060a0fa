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
	// ErrNotSent reports that no byte of the request left.
	ErrNotSent = eris.New("conns: not sent")
	// ErrLost reports that the request left, wholly or in part, and that no whole answer of its own came back.
	ErrLost = eris.New("conns: answer lost")
	// ErrClosed reports that the pool is closed; nothing was sent.
	ErrClosed = eris.New("conns: closed")
)

const (
	defaultIdle      = 2 * time.Second
	defaultConnect   = time.Second
	defaultMaxAnswer = 8 << 20     // bytes
	bufferSize       = 4 << 10     // bytes
	lately           = time.Second // within which a connection must have answered to carry what cannot be repeated
)

// MarkHeader carries the request's id to the target, which repeats it in its answer.
const MarkHeader = "Burdock-Request"

// Pool is the set of connections to one target; it is safe for concurrent use.
type Pool struct {
	addr      string
	idle      time.Duration
	connect   time.Duration
	maxAnswer int
	dialer    net.Dialer

	mu     sync.Mutex
	free   []*conn // used last at the end
	open   map[*conn]struct{}
	closed bool
}

// Option changes a Pool when it is made.
type Option func(*Pool)

// WithIdle sets how long a connection may rest before it is closed instead of used.
func WithIdle(d time.Duration) Option { return func(p *Pool) { p.idle = d } }

// WithConnect sets the longest wait for a new connection.
func WithConnect(d time.Duration) Option { return func(p *Pool) { p.connect = d } }

// WithMaxAnswer sets the largest answer body in bytes.
func WithMaxAnswer(n int) Option { return func(p *Pool) { p.maxAnswer = n } }

// New returns a pool of connections to the target at addr, which is host:port.
func New(addr string, opts ...Option) *Pool {
	p := &Pool{
		addr: addr, idle: defaultIdle, connect: defaultConnect, maxAnswer: defaultMaxAnswer,
		open: make(map[*conn]struct{}),
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// conn is one connection with its buffers.
type conn struct {
	net.Conn
	r       *bufio.Reader
	w       *bufio.Writer
	written int64
	last    time.Time
	probe   *probe
}

// Write counts the bytes that have left.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written += int64(n)
	return n, err
}

// Send writes q once and reads the whole answer into a by the deadline; once means that q cannot be repeated, so that it goes
// only on a connection that is new or has answered lately.
//
// The error wraps ErrNotSent or ErrLost; after an error, a holds nothing.
func (p *Pool) Send(ctx context.Context, q *fasthttp.Request, a *fasthttp.Response, deadline time.Time, once bool) error {
	rest := p.idle
	if once {
		rest = min(rest, lately)
	}
	c, err := p.take(ctx, deadline, rest)
	if err != nil {
		return err
	}
	if err = p.exchange(c, q, a, deadline); err != nil {
		p.drop(c)
		p.suspect()
		a.Reset()
		return err
	}
	if a.ConnectionClose() {
		p.drop(c)
		return nil
	}
	p.put(c)
	return nil
}

// suspect closes the resting connections after one was lost, since what lost track of it may have lost track of them.
func (p *Pool) suspect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.free {
		p.forget(c)
	}
	p.free = p.free[:0]
}

func (p *Pool) exchange(c *conn, q *fasthttp.Request, a *fasthttp.Response, deadline time.Time) error {
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
		return eris.Wrapf(ErrLost, "step=read peer=%s: %v", p.addr, err)
	}
	return p.check(c, q, a)
}

func (p *Pool) writeError(c *conn, err error) error {
	if c.written == 0 {
		return eris.Wrapf(ErrNotSent, "step=write peer=%s: %v", p.addr, err)
	}
	return eris.Wrapf(ErrLost, "step=write peer=%s: %v", p.addr, err)
}

// check refuses an answer that is not provably the whole answer to q.
func (p *Pool) check(c *conn, q *fasthttp.Request, a *fasthttp.Response) error {
	if c.r.Buffered() > 0 {
		return eris.Wrapf(ErrLost, "step=read peer=%s: answer is longer than it declares", p.addr)
	}
	mark := a.Header.Peek(MarkHeader)
	if len(mark) > 0 && string(mark) != string(q.Header.Peek(MarkHeader)) {
		return eris.Wrapf(ErrLost, "step=read peer=%s: answer carries the mark of another request", p.addr)
	}
	return nil
}

// take returns a connection that has rested less than rest, or a new one.
func (p *Pool) take(ctx context.Context, deadline time.Time, rest time.Duration) (*conn, error) {
	now := time.Now()
	for {
		c, err := p.pop()
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx, now, deadline)
		}
		if now.Sub(c.last) < rest && c.quiet() {
			return c, nil
		}
		p.drop(c)
	}
}

func (p *Pool) pop() (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, eris.Wrapf(ErrNotSent, "step=take peer=%s: %v", p.addr, ErrClosed)
	}
	n := len(p.free)
	if n == 0 {
		return nil, nil
	}
	c := p.free[n-1]
	p.free[n-1] = nil
	p.free = p.free[:n-1]
	return c, nil
}

func (p *Pool) dial(ctx context.Context, now, deadline time.Time) (*conn, error) {
	limit := now.Add(p.connect)
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
	p.open[c] = struct{}{}
	return c, nil
}

func (p *Pool) put(c *conn) {
	c.last = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		p.forget(c)
		return
	}
	p.free = append(p.free, c)
}

func (p *Pool) drop(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget(c)
}

// forget closes c; p.mu is held.
func (p *Pool) forget(c *conn) {
	delete(p.open, c)
	_ = c.Close()
}

// Reap closes connections that have rested too long.
func (p *Pool) Reap(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for n < len(p.free) && now.Sub(p.free[n].last) >= p.idle {
		p.forget(p.free[n])
		n++
	}
	p.free = append(p.free[:0], p.free[n:]...)
}

// Open returns the number of open connections.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.open)
}

// Close closes the resting connections; one that is in use is closed when its request has ended.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.free {
		p.forget(c)
	}
	p.free = nil
}
