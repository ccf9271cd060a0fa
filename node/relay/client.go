package relay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

const (
	callTimeout      = 250 * time.Millisecond
	recordsTimeout   = 2 * time.Second
	dialTimeout      = 250 * time.Millisecond
	keepAlive        = 15 * time.Second
	idleTimeout      = 30 * time.Second
	maxIdlePerPeer   = 64 // connections
	circuitThreshold = 3  // failures in a row
	probeInterval    = 500 * time.Millisecond
	unusedPeerTTL    = 10 * time.Minute
	claimConcurrency = 2   // calls to one peer that carry claims at a time
	claimBatchMax    = 256 // claims in one call
)

// Client calls other entries, each call once, with a bound on its time and a circuit for each peer.
type Client struct {
	callTimeout time.Duration
	dial        DialFunc
	now         func() time.Time

	mu      sync.Mutex
	peers   map[string]*peerClient
	sweptAt time.Time
}

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// ClientOption changes a new Client.
type ClientOption func(*Client)

// WithCallWithin bounds the time of one call whose context has no earlier deadline.
func WithCallWithin(d time.Duration) ClientOption { return func(c *Client) { c.callTimeout = d } }

// WithDial sets how connections are opened.
func WithDial(f DialFunc) ClientOption { return func(c *Client) { c.dial = f } }

// NewClient returns a client of other entries.
func NewClient(o ...ClientOption) *Client {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	c := &Client{callTimeout: callTimeout, dial: d.DialContext, now: time.Now, peers: map[string]*peerClient{}}
	for _, f := range o {
		f(c)
	}
	return c
}

// Close drops the unused connections of all peers.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.peers {
		l.transport.CloseIdleConnections()
	}
}

// Open reports whether the circuit of the peer at addr is open, so that calls to it fail at once.
func (c *Client) Open(addr string) bool { return c.peer(addr).isOpen() }

// Beat tells the peer at addr the state of this entry; it goes out also when the circuit is open.
func (c *Client) Beat(ctx context.Context, addr string, r *BeatRequest) (*BeatReply, error) {
	return call(ctx, c, callOptions{name: "beat", force: true}, addr, r, Relay.Beat)
}

// Claim asks the holder at addr to record a claim.
func (c *Client) Claim(ctx context.Context, addr string, r *ClaimRequest) (*ClaimReply, error) {
	return c.peer(addr).claims.do(ctx, r, func(l []*ClaimRequest) ([]*ClaimReply, error) {
		return c.claimAll(context.WithoutCancel(ctx), addr, l)
	})
}

func (c *Client) claimAll(ctx context.Context, addr string, l []*ClaimRequest) ([]*ClaimReply, error) {
	if len(l) == 1 {
		a, err := call(ctx, c, callOptions{name: "claim"}, addr, l[0], Relay.Claim)
		return []*ClaimReply{a}, err
	}
	a, err := call(ctx, c, callOptions{name: "claim"}, addr, &BatchRequest{Claims: l}, Relay.Batch)
	if err == nil && len(a.GetClaims()) != len(l) {
		err = wrapErr("claim", addr, eris.Wrap(ErrCall, "answers do not match the claims"))
	}
	return a.GetClaims(), err
}

// Settle tells the holder at addr what became of claims, and returns the newest roster that it knows.
func (c *Client) Settle(ctx context.Context, addr string, l []*SettleRequest) (roster int64, err error) {
	a, err := call(ctx, c, callOptions{name: "settle"}, addr, &BatchRequest{Settles: l}, Relay.Batch)
	return a.GetRoster(), err
}

// Records pulls a page of records from the entry at addr.
func (c *Client) Records(ctx context.Context, addr string, r *RecordsRequest) (*RecordsReply, error) {
	return call(ctx, c, callOptions{name: "records", timeout: recordsTimeout, force: true}, addr, r, Relay.Records)
}

// Borrow asks the entry at addr for slots that it leaves idle.
func (c *Client) Borrow(ctx context.Context, addr string, r *BorrowRequest) (*BorrowReply, error) {
	return call(ctx, c, callOptions{name: "borrow"}, addr, r, Relay.Borrow)
}

// Return gives slots back to the entry at addr.
func (c *Client) Return(ctx context.Context, addr string, r *ReturnRequest) (*ReturnReply, error) {
	return call(ctx, c, callOptions{name: "return"}, addr, r, Relay.Return)
}

// callOptions is what a call is for; a zero bound is the client's, and force makes it go out also with the circuit open.
type callOptions struct {
	name    string
	timeout time.Duration
	force   bool
}

func call[Q, A any](ctx context.Context, c *Client, s callOptions, addr string, q Q, f func(Relay, context.Context, Q) (A, error)) (A, error) {
	var none A
	l := c.peer(addr)
	if !l.allow(s.force) {
		return none, wrapErr(s.name, addr, ErrOpen)
	}
	if s.timeout == 0 {
		s.timeout = c.callTimeout
	}
	t, end := context.WithTimeout(ctx, s.timeout)
	defer end()
	a, err := f(l.relay, t, q)
	if err != nil {
		l.recordFailure(ctx.Err() != nil)
		return none, wrapErr(s.name, addr, eris.Wrap(ErrCall, err.Error()))
	}
	l.recordSuccess()
	return a, nil
}

func (c *Client) peer(addr string) *peerClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.sweep(now)
	l, ok := c.peers[addr]
	if !ok {
		l = newPeerClient(addr, c.dial, c.now)
		c.peers[addr] = l
	}
	l.usedAt = now
	return l
}

// sweep forgets peers that nobody has called for long.
func (c *Client) sweep(now time.Time) {
	if now.Sub(c.sweptAt) < unusedPeerTTL {
		return
	}
	c.sweptAt = now
	for a, l := range c.peers {
		if now.Sub(l.usedAt) >= unusedPeerTTL {
			l.transport.CloseIdleConnections()
			delete(c.peers, a)
		}
	}
}

// peerClient is the way to one peer.
type peerClient struct {
	relay     Relay
	transport *http.Transport
	now       func() time.Time
	claims    *batcher[*ClaimRequest, *ClaimReply]
	usedAt    time.Time // guarded by Client.mu

	mu       sync.Mutex
	failures int
	probedAt time.Time
}

func newPeerClient(addr string, dial DialFunc, now func() time.Time) *peerClient {
	t := &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdlePerPeer,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &peerClient{
		relay: NewRelayProtobufClient("http://"+addr, &http.Client{Transport: headerTrimmer{t}}), transport: t, now: now,
		claims: newBatcher[*ClaimRequest, *ClaimReply](claimConcurrency, claimBatchMax),
	}
}

// headerTrimmer leaves out headers that no entry reads, which would be most of a beat.
type headerTrimmer struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper; the request is the client's own and used once.
func (s headerTrimmer) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header.Del("Accept")
	r.Header.Del("Twirp-Version")
	r.Header.Set("User-Agent", "")
	return s.next.RoundTrip(r)
}

func (l *peerClient) isOpen() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failures >= circuitThreshold
}

// allow reports whether a call may go out; with the circuit open one call in probeEvery may.
func (l *peerClient) allow(force bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failures < circuitThreshold || force {
		return true
	}
	if n := l.now(); n.Sub(l.probedAt) >= probeInterval {
		l.probedAt = n
		return true
	}
	return false
}

// recordFailure counts a failure unless the caller itself ended the call, and drops idle connections, which may be as silent.
func (l *peerClient) recordFailure(cancelled bool) {
	if cancelled {
		return
	}
	l.mu.Lock()
	l.failures++
	if l.failures == circuitThreshold {
		l.probedAt = l.now()
	}
	l.mu.Unlock()
	l.transport.CloseIdleConnections()
}

func (l *peerClient) recordSuccess() {
	l.mu.Lock()
	l.failures = 0
	l.mu.Unlock()
}

// forEach runs f for every element in a group of at most n and waits for all.
func forEach[T any](ctx context.Context, n int, l []T, f func(context.Context, T)) {
	g := errgroup.Group{}
	g.SetLimit(n)
	for _, e := range l {
		g.Go(func() error {
			f(ctx, e)
			return nil
		})
	}
	_ = g.Wait()
}
