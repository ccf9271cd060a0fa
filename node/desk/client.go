package desk

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"
)

// Limits of connections between entries.
const (
	dialTimeout    = 400 * time.Millisecond // the network delay to an owner is a few milliseconds.
	idleTimeout    = 20 * time.Second
	maxIdlePerPeer = 32
)

// ErrNotSent marks a call that certainly did not reach the owner, or that reached a process which is not the owner.
var ErrNotSent = eris.New("desk: owner was not reached")

// Client calls other entries, mostly the owner of the jobs. It does not retry.
type Client struct {
	mu    sync.Mutex
	peers map[string]peer
}

type peer struct {
	desk Desk
	http *http.Transport
}

// NewClient returns a Client without connections.
func NewClient() *Client { return &Client{peers: map[string]peer{}} }

// At returns the service at the peer address addr. It connects with the first call.
func (c *Client) At(addr string) Desk {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[addr]
	if !ok {
		p = newPeer(addr, dial)
		c.peers[addr] = p
	}
	return p.desk
}

func newPeer(addr string, dial func(context.Context, string, string) (net.Conn, error)) peer {
	t := &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: maxIdlePerPeer, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}
	return peer{desk: NewDeskProtobufClient("http://"+addr, &http.Client{Transport: transport{t}}), http: t}
}

// transport marks the errors of requests that never got a connection with ErrNotSent.
type transport struct{ base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	x := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	a, err := t.base.RoundTrip(r.WithContext(x))
	if err != nil && !connected.Load() {
		return nil, errors.Join(ErrNotSent, err)
	}
	return a, err
}

// dial opens a connection that is reset when it is closed. Otherwise a call that was given up could still arrive after a network
// partition has healed.
func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	if t, ok := c.(*net.TCPConn); ok {
		if err := t.SetLinger(0); err != nil {
			return nil, errors.Join(err, c.Close())
		}
	}
	return c, nil
}

// Reset closes the idle connections to addr, which may be dead.
func (c *Client) Reset(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.peers[addr]; ok {
		p.http.CloseIdleConnections()
	}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		p.http.CloseIdleConnections()
	}
}

// IsNotSent reports whether err means that the call certainly had no effect.
func IsNotSent(err error) bool {
	var t twirp.Error
	switch {
	case errors.Is(err, ErrNotSent):
		return true
	case errors.As(err, &t):
		return t.Code() == twirp.FailedPrecondition
	}
	return false
}

// NotOwnerError returns the error with which a process that is not the owner of the jobs answers.
func NotOwnerError() error {
	return twirp.NewError(twirp.FailedPrecondition, "this entry does not own the jobs")
}

// OutcomeUnknownError returns the error for a call that may or may not take effect.
func OutcomeUnknownError() error {
	return twirp.NewError(twirp.Aborted, "the owner lost its claim meanwhile")
}

// Serve serves d to other entries on l until ctx ends.
func Serve(ctx context.Context, l net.Listener, d Desk) error {
	s := &http.Server{Handler: NewDeskServer(d), ReadHeaderTimeout: headerTimeout, IdleTimeout: 2 * idleTimeout}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrapf(err, "desk: serve at %s", l.Addr())
	}
	return nil
}

// headerTimeout is the longest time that a peer may take to send a request's header.
const headerTimeout = 5 * time.Second
