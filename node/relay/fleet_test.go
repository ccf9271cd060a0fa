package relay

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/flow/ledger"
	"burdockreach.dev/plat/keyval"
)

func init() { _ = flag.Set("rapid.seed", "1") }

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeState provides the state for beats: one configuration number and fixed loads.
type fakeState struct {
	mu      sync.Mutex
	applied int64
}

func (q *fakeState) Applied() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.applied
}

func (q *fakeState) ChangesSince(n int64) ([][]byte, []byte) {
	return [][]byte{{byte(n + 1)}}, nil
}

func (q *fakeState) Offer(changes [][]byte, _ []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.applied = max(q.applied, int64(changes[0][0]))
}

func (q *fakeState) Report() Report { return Report{Loads: []*ServiceLoad{{Service: "s", Busy: 1}}} }

// node is one incarnation of an entry.
type node struct {
	*KeyHolder
	heartbeater *Heartbeater
	state       *fakeState
	benchKeys   atomic.Int64 // number of keys that nextBenchKey has returned
	ctx         context.Context
	end         func()
	group       *errgroup.Group
}

func (n *node) kill() {
	n.end()
}

// fakeLender grants every request to borrow.
type fakeLender struct{}

func (fakeLender) Borrow(_ context.Context, r *BorrowRequest) (*BorrowReply, error) {
	return &BorrowReply{Grants: []*Grant{{Target: r.GetService(), Slots: r.GetSlots(), Id: 7}}}, nil
}

func (fakeLender) Return(context.Context, *ReturnRequest) (*ReturnReply, error) {
	return &ReturnReply{}, nil
}

// network is an in-memory network whose connections can go silent, so that a whole fleet can run under synctest.
type network struct {
	mu         sync.Mutex
	listeners  map[string]chan net.Conn
	silent     map[string]bool // addresses to which no data arrives any more
	dials      int             // connections opened so far
	silentUpTo int             // connections with this number or a lower one carry no data any more
}

// networkConn is the client side of a connection; writes are discarded while it is silent.
type networkConn struct {
	net.Conn
	network *network
	addr    string
	number  int // in the order of dials
}

func (c networkConn) Write(b []byte) (int, error) {
	c.network.mu.Lock()
	s := c.network.silent[c.addr] || c.number <= c.network.silentUpTo
	c.network.mu.Unlock()
	if s {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// networkListener accepts the connections to one address.
type networkListener struct {
	w     *network
	addr  string
	conns chan net.Conn
	end   chan struct{}
	once  sync.Once
}

func (e *networkListener) Accept() (net.Conn, error) {
	select {
	case c := <-e.conns:
		return c, nil
	case <-e.end:
		return nil, net.ErrClosed
	}
}

func (e *networkListener) Close() error {
	e.once.Do(func() {
		close(e.end)
		e.w.mu.Lock()
		defer e.w.mu.Unlock()
		delete(e.w.listeners, e.addr)
	})
	return nil
}

func (e *networkListener) Addr() net.Addr { return &net.UnixAddr{Name: e.addr} }

func (w *network) listen(addr string) net.Listener {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := &networkListener{w: w, addr: addr, conns: make(chan net.Conn, 64), end: make(chan struct{})}
	w.listeners[addr] = e.conns
	return e
}

func (w *network) dial(_ context.Context, _, addr string) (net.Conn, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l, ok := w.listeners[addr]
	if !ok {
		return nil, errors.New("refused")
	}
	a, b := net.Pipe()
	l <- b
	w.dials++
	return networkConn{Conn: a, network: w, addr: addr, number: w.dials}, nil
}

// silence discards all data sent to addr while s is true.
func (w *network) silence(addr string, s bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent[addr] = s
}

// silenceOpenConns makes every open connection silent; connections opened later work.
func (w *network) silenceOpenConns() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silentUpTo = w.dials
}

// flakyStore is the platform's service; its reads fail while down is set.
type flakyStore struct {
	keyval.Store
	down atomic.Bool
}

func (s *flakyStore) Get(ctx context.Context, key string) (keyval.Item, error) {
	if s.down.Load() {
		return keyval.Item{}, keyval.ErrDown
	}
	return s.Store.Get(ctx, key)
}

// fleet is the entries of a test and what they share.
type fleet struct {
	t               testing.TB
	store           *flakyStore
	network         *network
	addrs           []Address
	nodes           []*node
	lastIncarnation int64
}

func newFleet(t testing.TB) *fleet {
	return &fleet{t: t, store: &flakyStore{Store: keyval.NewMemory()}, network: &network{listeners: map[string]chan net.Conn{}, silent: map[string]bool{}}}
}

// start starts an incarnation of an entry on the in-memory network.
func (f *fleet) start(entry string) *node {
	f.lastIncarnation++
	addr := fmt.Sprintf("%s-%d:1", entry, f.lastIncarnation)
	return f.serve(entry, "east", f.network.listen(addr), addr, NewClient(WithDial(f.network.dial)))
}

// startAt starts an incarnation of an entry of a data centre on loopback.
func (f *fleet) startAt(entry, dataCentre string) *node {
	l, err := (&net.ListenConfig{}).Listen(f.t.Context(), "tcp", "127.0.0.1:0")
	is.New(f.t).NoErr(err)
	f.lastIncarnation++
	return f.serve(entry, dataCentre, l, l.Addr().String(), NewClient())
}

// serve runs an entry with its server on l until it is killed or the test ends.
func (f *fleet) serve(entry, dataCentre string, l net.Listener, addr string, c *Client) *node {
	m := ledger.Member{Entry: entry, Addr: addr, Incarnation: f.lastIncarnation}
	n := &node{KeyHolder: NewKeyHolder(m, dataCentre, []string{"east", "west"}, f.store, c), state: &fakeState{}}
	n.heartbeater = NewHeartbeater(n.KeyHolder, c, n.state, WithLeader(func() string { return "b" }))
	f.addrs = append(f.addrs, NewAddress(entry, m.Addr, dataCentre))
	f.nodes = append(f.nodes, n)
	for _, o := range f.nodes {
		o.heartbeater.SetEntries(f.addrs)
	}
	ctx, end := context.WithCancel(f.t.Context())
	g, x := errgroup.WithContext(ctx)
	g.Go(func() error { return n.Run(x) })
	g.Go(func() error { return n.heartbeater.Run(x) })
	g.Go(func() error {
		return NewServer(Service{n.KeyHolder, n.heartbeater, fakeLender{}}, WithStopTimeout(time.Second)).Serve(x, l)
	})
	n.ctx, n.group, n.end = x, g, func() { end(); _ = g.Wait(); c.Close() }
	f.t.Cleanup(n.kill)
	return n
}

// reportGone gives the platform's list of gone entries to the live entry that was started last; the others learn it from beats.
func (f *fleet) reportGone(l ...string) {
	for _, n := range slices.Backward(f.nodes) {
		if n.ctx.Err() == nil {
			n.SetGone(l)
			return
		}
	}
}

// inForce waits until the nodes hold one roster with exactly them as members.
func (f *fleet) inForce(l ...*node) {
	f.t.Helper()
	for range 4000 {
		if haveSameRoster(l) {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	for _, n := range l {
		f.t.Logf("%s holds %x of %v", n.self.Entry, n.Holding(), n.Roster(n.dataCentre))
	}
	f.t.Fatal("the nodes do not agree on a roster")
}

// haveSameRoster reports whether one roster with len(l) members is in force at all of l.
func haveSameRoster(l []*node) bool {
	for _, n := range l {
		r := n.Roster(n.dataCentre)
		if len(r.Members()) != len(l) || n.Holding() != r.Number() || r.Number() != l[0].Holding() {
			return false
		}
	}
	return true
}
