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
	maxIdlePerPeer   = 64                     // connections
	circuitThreshold = 3                      // consecutive failures that open the circuit
	probeInterval    = 500 * time.Millisecond // between calls to a peer whose circuit is open
	unusedPeerTTL    = 10 * time.Minute
	claimConcurrency = 2   // concurrent calls to one peer that carry claims
	claimBatchMax    = 256 // claims in one call
)

// Client calls other entries. It does not retry, bounds the time of each call, and has a circuit breaker for each peer.
type Client struct {
	callTimeout time.Duration
	dial        DialFunc
	now         func() time.Time

	mu      sync.Mutex
	peers   map[string]*peerClient // by address
	sweptAt time.Time              // when unused peers were last removed
}

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithCallTimeout sets the timeout of all calls except Records; an earlier deadline of the context applies too.
func WithCallTimeout(d time.Duration) ClientOption { return func(c *Client) { c.callTimeout = d } }

// WithDial sets how connections are opened.
func WithDial(f DialFunc) ClientOption { return func(c *Client) { c.dial = f } }

// NewClient returns a client for calls to other entries.
func NewClient(o ...ClientOption) *Client {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	c := &Client{callTimeout: callTimeout, dial: d.DialContext, now: time.Now, peers: map[string]*peerClient{}}
	for _, f := range o {
		f(c)
	}
	return c
}

// Close closes the idle connections to all peers.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.peers {
		l.transport.CloseIdleConnections()
	}
}

// CircuitOpen reports whether the peer's circuit is open, so that calls to it fail at once.
func (c *Client) CircuitOpen(addr string) bool { return c.peer(addr).isOpen() }

// Beat sends this entry's state to the peer at addr, also when the circuit is open.
func (c *Client) Beat(ctx context.Context, addr string, r *BeatRequest) (*BeatReply, error) {
	return call(ctx, c, callOptions{name: "beat", force: true}, addr, r, Relay.Beat)
}

// Claim asks the holder at addr to grant a claim; concurrent claims to one holder share calls.
func (c *Client) Claim(ctx context.Context, addr string, r *ClaimRequest) (*ClaimReply, error) {
	return c.peer(addr).claims.do(ctx, r, func(l []*ClaimRequest) ([]*ClaimReply, error) {
		return c.claimAll(context.WithoutCancel(ctx), addr, l)
	})
}

// claimAll sends the claims to the holder at addr in one call.
func (c *Client) claimAll(ctx context.Context, addr string, l []*ClaimRequest) ([]*ClaimReply, error) {
	if len(l) == 1 {
		a, err := call(ctx, c, callOptions{name: "claim"}, addr, l[0], Relay.Claim)
		return []*ClaimReply{a}, err
	}
	a, err := call(ctx, c, callOptions{name: "claim"}, addr, &BatchRequest{Claims: l}, Relay.Batch)
	if err == nil && len(a.GetClaims()) != len(l) {
		err = wrapErr("claim", addr, eris.Wrap(ErrCallFailed, "number of answers differs from number of claims"))
	}
	return a.GetClaims(), err
}

// Settle delivers settlements to the holder at addr, and returns the number of the newest roster that the holder knows.
func (c *Client) Settle(ctx context.Context, addr string, l []*SettleRequest) (roster int64, err error) {
	a, err := call(ctx, c, callOptions{name: "settle"}, addr, &BatchRequest{Settles: l}, Relay.Batch)
	return a.GetRoster(), err
}

// Records fetches a page of records from the entry at addr, also when the circuit is open.
func (c *Client) Records(ctx context.Context, addr string, r *RecordsRequest) (*RecordsReply, error) {
	return call(ctx, c, callOptions{name: "records", timeout: recordsTimeout, force: true}, addr, r, Relay.Records)
}

// Borrow asks the entry at addr to lend idle slots of targets.
func (c *Client) Borrow(ctx context.Context, addr string, r *BorrowRequest) (*BorrowReply, error) {
	return call(ctx, c, callOptions{name: "borrow"}, addr, r, Relay.Borrow)
}

// Return gives borrowed slots back to the entry at addr.
func (c *Client) Return(ctx context.Context, addr string, r *ReturnRequest) (*ReturnReply, error) {
	return call(ctx, c, callOptions{name: "return"}, addr, r, Relay.Return)
}

// callOptions are the options of one call. A zero timeout stands for the client's own; force sends the call even if the circuit is
// open.
type callOptions struct {
	name    string // step in errors
	timeout time.Duration
	force   bool
}

// call performs f with the peer at addr and updates the peer's circuit.
func call[Q, A any](ctx context.Context, c *Client, s callOptions, addr string, q Q, f func(Relay, context.Context, Q) (A, error)) (A, error) {
	var none A
	l := c.peer(addr)
	if !l.allow(s.force) {
		return none, wrapErr(s.name, addr, ErrCircuitOpen)
	}
	if s.timeout == 0 {
		s.timeout = c.callTimeout
	}
	t, end := context.WithTimeout(ctx, s.timeout)
	defer end()
	a, err := f(l.relay, t, q)
	if err != nil {
		l.recordFailure(ctx.Err() != nil)
		return none, wrapErr(s.name, addr, eris.Wrap(ErrCallFailed, err.Error()))
	}
	l.recordSuccess()
	return a, nil
}

// peer returns the client of the peer at addr, and creates it if needed.
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

// sweep removes peers that have not been called for unusedPeerTTL; c.mu is held.
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

// peerClient holds the connections and the circuit breaker of one peer.
type peerClient struct {
	relay     Relay
	transport *http.Transport
	now       func() time.Time
	claims    *batcher[*ClaimRequest, *ClaimReply]
	usedAt    time.Time // last call; guarded by Client.mu

	mu       sync.Mutex
	failures int       // consecutive failed calls
	probedAt time.Time // last call that was let through the open circuit, or when it opened
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

// headerTrimmer removes HTTP headers that no entry reads; they would be most of the bytes of a beat.
type headerTrimmer struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper. It changes r, which is safe because the client makes each request itself and sends it once.
func (s headerTrimmer) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header.Del("Accept")
	r.Header.Del("Twirp-Version")
	r.Header.Set("User-Agent", "")
	return s.next.RoundTrip(r)
}

// isOpen reports whether the circuit is open.
func (l *peerClient) isOpen() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failures >= circuitThreshold
}

// allow reports whether a call may be sent. While the circuit is open, one call per probeInterval is allowed.
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

// recordFailure counts a failed call, unless the caller cancelled it. It also closes the idle connections, because they may have
// gone silent for the same reason.
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

// recordSuccess closes the circuit.
func (l *peerClient) recordSuccess() {
	l.mu.Lock()
	l.failures = 0
	l.mu.Unlock()
}

// forEach calls f for every element of l, at most n at a time, and waits for all calls.
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
