package relay

import (
	"context"
	"flag"
	"net"
	"sync"
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

func (q *quiet) Report() Report { return Report{} }

// node is one life of an entry.
type node struct {
	*Keeper
	beater *Beater
	conf   *quiet
	ctx    context.Context
	end    context.CancelFunc
	group  *errgroup.Group
}

func (n *node) kill() {
	n.end()
	_ = n.group.Wait()
}

type lender struct{}

func (lender) Borrow(_ context.Context, r *BorrowRequest) (*BorrowReply, error) {
	return &BorrowReply{Grants: []*Grant{{Target: r.GetService(), Slots: r.GetSlots(), Id: 7}}}, nil
}

func (lender) Return(context.Context, *ReturnRequest) (*ReturnReply, error) {
	return &ReturnReply{}, nil
}

// fleet is the entries of one data centre over loopback.
type fleet struct {
	t     *testing.T
	store keyval.Store
	addrs []Address
	lives int64
}

func newFleet(t *testing.T, s keyval.Store) *fleet { return &fleet{t: t, store: s} }

// start begins a life of an entry; known is whom it is told of besides the entries started before.
func (f *fleet) start(entry string) *node {
	i := is.New(f.t)
	l, err := (&net.ListenConfig{}).Listen(f.t.Context(), "tcp", "127.0.0.1:0")
	i.NoErr(err)
	f.lives++
	c := NewClient()
	m := ledger.Member{Entry: entry, Addr: l.Addr().String(), Incarnation: f.lives}
	n := &node{Keeper: NewKeeper(m, "east", []string{"east"}, f.store, c), conf: &quiet{}}
	n.beater = NewBeater(n.Keeper, c, n.conf, WithEvery(50*time.Millisecond))
	f.addrs = append(f.addrs, NewAddress(entry, m.Addr, "east"))
	n.beater.Know(f.addrs)
	ctx, end := context.WithCancel(f.t.Context())
	g, x := errgroup.WithContext(ctx)
	g.Go(func() error { return n.Run(x) })
	g.Go(func() error { return n.beater.Run(x) })
	g.Go(func() error {
		return NewServer(Service{n.Keeper, n.beater, lender{}}, WithStopWithin(time.Second)).Serve(x, l)
	})
	n.ctx, n.group, n.end = x, g, func() { end(); c.Close() }
	f.t.Cleanup(n.kill)
	return n
}

// await waits until ok holds.
func (f *fleet) await(what string, ok func() bool) {
	f.t.Helper()
	ctx, end := context.WithTimeout(f.t.Context(), 30*time.Second)
	defer end()
	for !ok() {
		select {
		case <-ctx.Done():
			f.t.Fatalf("waited in vain for %s", what)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// inForce waits until all nodes hold one roster of just them.
func (f *fleet) inForce(l ...*node) {
	f.t.Helper()
	f.await("a roster in force", func() bool {
		for _, n := range l {
			r := n.Roster("east")
			if len(r.Members()) != len(l) || n.Holding() != r.Number() || r.Number() != l[0].Holding() {
				return false
			}
		}
		return true
	})
}
