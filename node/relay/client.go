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
	callWithin     = 250 * time.Millisecond
	recordsWithin  = 2 * time.Second
	dialWithin     = 250 * time.Millisecond
	keepAlive      = 15 * time.Second
	idleFor        = 30 * time.Second
	idlePerPeer    = 64 // connections
	opensAfter     = 3  // failures in a row
	probeEvery     = 500 * time.Millisecond
	forgetPeersFor = 10 * time.Minute
	claimFlights   = 2   // calls to one peer that carry claims at a time
	claimBatch     = 256 // claims in one call
)

// Client calls other entries, each call once, with a bound on its time and a circuit for each peer.
type Client struct {
	within time.Duration
	dial   DialFunc
	now    func() time.Time

	mu    sync.Mutex
	peers map[string]*lane
	swept time.Time
}

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// ClientOption changes a new Client.
type ClientOption func(*Client)

// WithCallWithin bounds the time of one call whose context has no earlier deadline.
func WithCallWithin(d time.Duration) ClientOption { return func(c *Client) { c.within = d } }

// WithDial sets how connections are opened.
func WithDial(f DialFunc) ClientOption { return func(c *Client) { c.dial = f } }

// NewClient returns a client of other entries.
func NewClient(o ...ClientOption) *Client {
	d := net.Dialer{Timeout: dialWithin, KeepAlive: keepAlive}
	c := &Client{within: callWithin, dial: d.DialContext, now: time.Now, peers: map[string]*lane{}}
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
func (c *Client) Open(addr string) bool { return c.lane(addr).isOpen() }

// Beat tells the peer at addr the state of this entry; it goes out also when the circuit is open.
func (c *Client) Beat(ctx context.Context, addr string, r *BeatRequest) (*BeatReply, error) {
	return call(ctx, c, step{name: "beat", force: true}, addr, r, Relay.Beat)
}

// Claim asks the holder at addr to record a claim.
func (c *Client) Claim(ctx context.Context, addr string, r *ClaimRequest) (*ClaimReply, error) {
	return c.lane(addr).claims.do(ctx, r, func(l []*ClaimRequest) ([]*ClaimReply, error) {
		return c.claimAll(context.WithoutCancel(ctx), addr, l)
	})
}

func (c *Client) claimAll(ctx context.Context, addr string, l []*ClaimRequest) ([]*ClaimReply, error) {
	if len(l) == 1 {
		a, err := call(ctx, c, step{name: "claim"}, addr, l[0], Relay.Claim)
		return []*ClaimReply{a}, err
	}
	a, err := call(ctx, c, step{name: "claim"}, addr, &BatchRequest{Claims: l}, Relay.Batch)
	if err == nil && len(a.GetClaims()) != len(l) {
		err = fail("claim", addr, eris.Wrap(ErrCall, "answers do not match the claims"))
	}
	return a.GetClaims(), err
}

// Settle tells the holder at addr what became of claims, and returns the newest roster that it knows.
func (c *Client) Settle(ctx context.Context, addr string, l []*SettleRequest) (roster int64, err error) {
	a, err := call(ctx, c, step{name: "settle"}, addr, &BatchRequest{Settles: l}, Relay.Batch)
	return a.GetRoster(), err
}

// Records pulls a page of records from the entry at addr.
func (c *Client) Records(ctx context.Context, addr string, r *RecordsRequest) (*RecordsReply, error) {
	return call(ctx, c, step{name: "records", within: recordsWithin, force: true}, addr, r, Relay.Records)
}

// Borrow asks the entry at addr for slots that it leaves idle.
func (c *Client) Borrow(ctx context.Context, addr string, r *BorrowRequest) (*BorrowReply, error) {
	return call(ctx, c, step{name: "borrow"}, addr, r, Relay.Borrow)
}

// Return gives slots back to the entry at addr.
func (c *Client) Return(ctx context.Context, addr string, r *ReturnRequest) (*ReturnReply, error) {
	return call(ctx, c, step{name: "return"}, addr, r, Relay.Return)
}

// step is what a call is for; a zero bound is the client's, and force makes it go out also with the circuit open.
type step struct {
	name   string
	within time.Duration
	force  bool
}

func call[Q, A any](ctx context.Context, c *Client, s step, addr string, q Q, f func(Relay, context.Context, Q) (A, error)) (A, error) {
	var none A
	l := c.lane(addr)
	if !l.enter(s.force) {
		return none, fail(s.name, addr, ErrOpen)
	}
	if s.within == 0 {
		s.within = c.within
	}
	t, end := context.WithTimeout(ctx, s.within)
	defer end()
	a, err := f(l.relay, t, q)
	if err != nil {
		l.failed(ctx.Err() != nil)
		return none, fail(s.name, addr, eris.Wrap(ErrCall, err.Error()))
	}
	l.answered()
	return a, nil
}

func (c *Client) lane(addr string) *lane {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.sweep(now)
	l, ok := c.peers[addr]
	if !ok {
		l = newLane(addr, c.dial, c.now)
		c.peers[addr] = l
	}
	l.used = now
	return l
}

// sweep forgets peers that nobody has called for long.
func (c *Client) sweep(now time.Time) {
	if now.Sub(c.swept) < forgetPeersFor {
		return
	}
	c.swept = now
	for a, l := range c.peers {
		if now.Sub(l.used) >= forgetPeersFor {
			l.transport.CloseIdleConnections()
			delete(c.peers, a)
		}
	}
}

// lane is the way to one peer.
type lane struct {
	relay     Relay
	transport *http.Transport
	now       func() time.Time
	claims    *joiner[*ClaimRequest, *ClaimReply]
	used      time.Time // guarded by Client.mu

	mu     sync.Mutex
	fails  int
	probed time.Time
}

func newLane(addr string, dial DialFunc, now func() time.Time) *lane {
	t := &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: idlePerPeer,
		IdleConnTimeout:     idleFor,
		DisableCompression:  true,
	}
	return &lane{
		relay: NewRelayProtobufClient("http://"+addr, &http.Client{Transport: slim{t}}), transport: t, now: now,
		claims: newJoiner[*ClaimRequest, *ClaimReply](claimFlights, claimBatch),
	}
}

// slim leaves out headers that no entry reads, which would be most of a beat.
type slim struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper; the request is the client's own and used once.
func (s slim) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header.Del("Accept")
	r.Header.Del("Twirp-Version")
	r.Header.Set("User-Agent", "")
	return s.next.RoundTrip(r)
}

func (l *lane) isOpen() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fails >= opensAfter
}

// enter reports whether a call may go out; with the circuit open one call in probeEvery may.
func (l *lane) enter(force bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fails < opensAfter || force {
		return true
	}
	if n := l.now(); n.Sub(l.probed) >= probeEvery {
		l.probed = n
		return true
	}
	return false
}

// failed counts a failure unless the caller itself ended the call, and drops idle connections, which may be as silent.
func (l *lane) failed(withdrawn bool) {
	if withdrawn {
		return
	}
	l.mu.Lock()
	l.fails++
	if l.fails == opensAfter {
		l.probed = l.now()
	}
	l.mu.Unlock()
	l.transport.CloseIdleConnections()
}

func (l *lane) answered() {
	l.mu.Lock()
	l.fails = 0
	l.mu.Unlock()
}

// each runs f for every element in a group of at most n and waits for all.
func each[T any](ctx context.Context, n int, l []T, f func(context.Context, T)) {
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
