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

// quiet is a Carrier that carries nothing but a number.
type quiet struct {
	mu      sync.Mutex
	applied int64
}

func (q *quiet) Applied() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.applied
}

func (q *quiet) Since(n int64) ([][]byte, []byte) {
	return [][]byte{{byte(n + 1)}}, nil
}

func (q *quiet) Offer(changes [][]byte, _ []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.applied = max(q.applied, int64(changes[0][0]))
}

func (q *quiet) Report() Report { return Report{Loads: []*ServiceLoad{{Service: "s", Busy: 1}}} }

// node is one life of an entry.
type node struct {
	*Keeper
	beater *Beater
	conf   *quiet
	bench  atomic.Int64
	ctx    context.Context
	end    func()
	group  *errgroup.Group
}

func (n *node) kill() {
	n.end()
}

type lender struct{}

func (lender) Borrow(_ context.Context, r *BorrowRequest) (*BorrowReply, error) {
	return &BorrowReply{Grants: []*Grant{{Target: r.GetService(), Slots: r.GetSlots(), Id: 7}}}, nil
}

func (lender) Return(context.Context, *ReturnRequest) (*ReturnReply, error) {
	return &ReturnReply{}, nil
}

// wires is a network in memory whose connections can go silent, so that a whole fleet runs under synctest.
type wires struct {
	mu        sync.Mutex
	listeners map[string]chan net.Conn
	silent    map[string]bool // addresses to which nothing arrives any more
	dials     int
	deaf      int // connections up to this one carry nothing any more
}

type wire struct {
	net.Conn
	w    *wires
	addr string
	dial int
}

func (c wire) Write(b []byte) (int, error) {
	c.w.mu.Lock()
	s := c.w.silent[c.addr] || c.dial <= c.w.deaf
	c.w.mu.Unlock()
	if s {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

type ear struct {
	w     *wires
	addr  string
	conns chan net.Conn
	end   chan struct{}
	once  sync.Once
}

func (e *ear) Accept() (net.Conn, error) {
	select {
	case c := <-e.conns:
		return c, nil
	case <-e.end:
		return nil, net.ErrClosed
	}
}

func (e *ear) Close() error {
	e.once.Do(func() {
		close(e.end)
		e.w.mu.Lock()
		defer e.w.mu.Unlock()
		delete(e.w.listeners, e.addr)
	})
	return nil
}

func (e *ear) Addr() net.Addr { return &net.UnixAddr{Name: e.addr} }

func (w *wires) listen(addr string) net.Listener {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := &ear{w: w, addr: addr, conns: make(chan net.Conn, 64), end: make(chan struct{})}
	w.listeners[addr] = e.conns
	return e
}

func (w *wires) dial(_ context.Context, _, addr string) (net.Conn, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l, ok := w.listeners[addr]
	if !ok {
		return nil, errors.New("refused")
	}
	a, b := net.Pipe()
	l <- b
	w.dials++
	return wire{Conn: a, w: w, addr: addr, dial: w.dials}, nil
}

func (w *wires) hush(addr string, s bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent[addr] = s
}

// forget lets every open connection go silent for good, while new ones work.
func (w *wires) forget() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deaf = w.dials
}

// service is the platform's service, whose reads can fail.
type service struct {
	keyval.Store
	down atomic.Bool
}

func (s *service) Get(ctx context.Context, key string) (keyval.Item, error) {
	if s.down.Load() {
		return keyval.Item{}, keyval.ErrDown
	}
	return s.Store.Get(ctx, key)
}

// fleet is the entries of one data centre.
type fleet struct {
	t     testing.TB
	store *service
	wires *wires
	addrs []Address
	nodes []*node
	lives int64
}

func newFleet(t testing.TB) *fleet {
	return &fleet{t: t, store: &service{Store: keyval.NewMemory()}, wires: &wires{listeners: map[string]chan net.Conn{}, silent: map[string]bool{}}}
}

// start begins a life of an entry.
func (f *fleet) start(entry string) *node {
	f.lives++
	addr := fmt.Sprintf("%s-%d:1", entry, f.lives)
	return f.serve(entry, "east", f.wires.listen(addr), addr, NewClient(WithDial(f.wires.dial)))
}

// startAt begins a life of an entry of a data centre on the machine's loopback.
func (f *fleet) startAt(entry, dataCentre string) *node {
	l, err := (&net.ListenConfig{}).Listen(f.t.Context(), "tcp", "127.0.0.1:0")
	is.New(f.t).NoErr(err)
	f.lives++
	return f.serve(entry, dataCentre, l, l.Addr().String(), NewClient())
}

func (f *fleet) serve(entry, dataCentre string, l net.Listener, addr string, c *Client) *node {
	m := ledger.Member{Entry: entry, Addr: addr, Incarnation: f.lives}
	n := &node{Keeper: NewKeeper(m, dataCentre, []string{"east", "west"}, f.store, c), conf: &quiet{}}
	n.beater = NewBeater(n.Keeper, c, n.conf, WithLeader(func() string { return "b" }))
	f.addrs = append(f.addrs, NewAddress(entry, m.Addr, dataCentre))
	f.nodes = append(f.nodes, n)
	for _, o := range f.nodes {
		o.beater.Know(f.addrs)
	}
	ctx, end := context.WithCancel(f.t.Context())
	g, x := errgroup.WithContext(ctx)
	g.Go(func() error { return n.Run(x) })
	g.Go(func() error { return n.beater.Run(x) })
	g.Go(func() error {
		return NewServer(Service{n.Keeper, n.beater, lender{}}, WithStopWithin(time.Second)).Serve(x, l)
	})
	n.ctx, n.group, n.end = x, g, func() { end(); _ = g.Wait(); c.Close() }
	f.t.Cleanup(n.kill)
	return n
}

// gone tells the entry that started last and lives what the platform's list says; the others learn it from beats.
func (f *fleet) gone(l ...string) {
	for _, n := range slices.Backward(f.nodes) {
		if n.ctx.Err() == nil {
			n.Gone(l)
			return
		}
	}
}

// inForce waits until all nodes hold one roster of just them.
func (f *fleet) inForce(l ...*node) {
	f.t.Helper()
	for range 4000 {
		if agreed(l) {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	for _, n := range l {
		f.t.Logf("%s holds %x of %v", n.self.Entry, n.Holding(), n.Roster(n.dataCentre))
	}
	f.t.Fatal("no roster in force")
}

func agreed(l []*node) bool {
	for _, n := range l {
		r := n.Roster(n.dataCentre)
		if len(r.Members()) != len(l) || n.Holding() != r.Number() || r.Number() != l[0].Holding() {
			return false
		}
	}
	return true
}
