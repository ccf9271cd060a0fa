package wire

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// EntryHeader is the header with which the calling entry identifies itself to the platform.
const EntryHeader = "Burdock-Entry"

// DefaultTimeout is the default for the longest time of a call. An earlier deadline of the call's context applies instead.
const DefaultTimeout = 3 * time.Second

// maxIdleConns is the largest number of idle connections that a Client keeps.
const maxIdleConns = 16

// maxResponseBytes is the largest response body in bytes. It is larger than one value, because a page of a list holds several.
const maxResponseBytes = 64 << 20

// Error reports a failed call.
type Error struct {
	path, peer string
	sent       bool
	status     int
	cause      error
}

// Sent reports whether the call may have taken effect. If it returns false, the call certainly did not.
func (e *Error) Sent() bool { return e.sent }

// Status returns the HTTP status of the response if it was not 200, and 0 otherwise.
func (e *Error) Status() int { return e.status }

// Error returns a message with the path, the peer and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%s at %s (sent %t, status %d): %v", e.path, e.peer, e.sent, e.status, e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Client makes calls to one address. It is safe for concurrent use.
type Client struct {
	addr, name  string
	timeout     time.Duration
	idleTimeout time.Duration

	mu        sync.Mutex
	idleConns []*callConn // the most recently used one is last
}

// Request is a call with any HTTP method.
type Request struct {
	Method string
	Path   string // including the query
	Header map[string]string
	Body   []byte // JSON, or empty
}

// Response is the response to a Request, with any status.
type Response struct {
	Status int
	Header func(name string) string
	Body   []byte
}

// Option configures a Client.
type Option func(*Client)

// WithIdleTimeout sets the time after which an idle connection is no longer used, because the server may have closed it.
func WithIdleTimeout(d time.Duration) Option { return func(c *Client) { c.idleTimeout = d } }

// WithName sets the name by which the caller identifies itself to the platform.
func WithName(name string) Option { return func(c *Client) { c.name = name } }

// WithTimeout sets the longest time of a call. An earlier deadline of the call's context applies instead.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// New returns a client of the server at addr.
func New(addr string, opts ...Option) *Client {
	c := &Client{addr: addr, timeout: DefaultTimeout, idleTimeout: defaultIdleTimeout}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Addr returns the server's address.
func (c *Client) Addr() string { return c.addr }

// Close closes the idle connections. Calls in progress end with their contexts.
func (c *Client) Close() {
	c.mu.Lock()
	l := c.idleConns
	c.idleConns = nil
	c.mu.Unlock()
	for _, o := range l {
		o.close()
	}
}

// Call posts in as JSON to path and decodes the response into out, in one attempt. extra is added to the client's timeout.
// Each error is an *Error, and is not Sent only if the call certainly had no effect.
func (c *Client) Call(ctx context.Context, path string, in, out any, extra time.Duration) error {
	if ctx.Err() != nil {
		return c.newError(path, false, 0, context.Cause(ctx))
	}
	b, err := json.Marshal(in)
	if err != nil {
		return c.newError(path, false, 0, err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout+extra)
	defer cancel()
	q, a := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(a)
	c.prepare(q, path, b)
	if err := c.send(ctx, q, a); err != nil {
		return c.newError(path, !errors.Is(err, errDial), 0, err)
	}
	return c.decode(path, a, out)
}

// Do makes the call in one attempt and returns the response, whatever its status. extra is added to the client's timeout.
// Each error is an *Error.
func (c *Client) Do(ctx context.Context, r Request, extra time.Duration) (Response, error) {
	if ctx.Err() != nil {
		return Response{}, c.newError(r.Path, false, 0, context.Cause(ctx))
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout+extra)
	defer cancel()
	q, a := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(a)
	c.prepare(q, r.Path, r.Body)
	q.Header.SetMethod(r.Method)
	for k, v := range r.Header {
		q.Header.Set(k, v)
	}
	if err := c.send(ctx, q, a); err != nil {
		return Response{}, c.newError(r.Path, !errors.Is(err, errDial), 0, err)
	}
	h := fasthttp.ResponseHeader{}
	a.Header.CopyTo(&h)
	return Response{
		Status: a.StatusCode(), Body: slices.Clone(a.Body()),
		Header: func(n string) string { return string(h.Peek(n)) },
	}, nil
}

func (c *Client) prepare(q *fasthttp.Request, path string, body []byte) {
	q.Header.SetMethod(fasthttp.MethodPost)
	q.Header.SetContentType("application/json")
	q.SetRequestURI("http://" + c.addr + path)
	if c.name != "" {
		q.Header.Set(EntryHeader, c.name)
	}
	q.SetBodyRaw(body)
}

func (c *Client) send(ctx context.Context, q *fasthttp.Request, a *fasthttp.Response) error {
	l := c.acquire()
	err := l.do(ctx, q, a)
	if err != nil {
		l.close()
		return err
	}
	c.release(l)
	return nil
}

func (c *Client) acquire() *callConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.idleConns)
	if n == 0 {
		return newCallConn(c.addr, maxResponseBytes, c.idleTimeout)
	}
	l := c.idleConns[n-1]
	c.idleConns = c.idleConns[:n-1]
	return l
}

func (c *Client) release(l *callConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idleConns) < maxIdleConns {
		c.idleConns = append(c.idleConns, l)
		return
	}
	l.close()
}

type errorBody struct {
	Error string `json:"error"`
}

// decode decodes the response. The call certainly had no effect only if the status is not 200 and the body is a JSON error.
func (c *Client) decode(path string, a *fasthttp.Response, out any) error {
	if s := a.StatusCode(); s != fasthttp.StatusOK {
		var r errorBody
		if err := json.Unmarshal(a.Body(), &r); err != nil || r.Error == "" {
			return c.newError(path, true, s, errors.New("response body is not a JSON error of the platform"))
		}
		return c.newError(path, false, s, errors.New(r.Error))
	}
	if err := json.Unmarshal(a.Body(), out); err != nil {
		return c.newError(path, true, 0, err)
	}
	return nil
}

func (c *Client) newError(path string, sent bool, status int, cause error) error {
	return &Error{path: path, peer: c.addr, sent: sent, status: status, cause: cause}
}
