package owner

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/fleet/batch"
	"burdockreach.dev/node/desk"
	"burdockreach.dev/plat/keyval"
)

// terms plays terms of different processes on one store.
type terms struct {
	*testing.T
	store *keyval.Memory
}

// begin lets the process take the claim and write the record of its term. It returns the term, and how long orders of former terms may
// still take effect.
func (s terms) begin(holder string) (*term, time.Duration) {
	s.Helper()
	is, x := is.New(s), context.Background()
	is.NoErr(s.store.Delete(x, ClaimKey, keyval.Any))
	f, err := s.store.Put(x, ClaimKey, []byte(holder), keyval.Absent, 0)
	is.NoErr(err)
	t := newTestTerm(s.store, f)
	t.o.holder = holder
	t.o.lastOrders.Store(&lastOrders{})
	r, err := t.recordStart(x)
	is.NoErr(err)
	return t, r.orderLifetime()
}

// An owner that is cut off goes on with the workers that it reaches. That must not be forgotten when its successor leaves in order soon
// after: the third owner has to wait as long as the second one had to.
func TestHandoverRemembersOwnerThatWasCutOff(t *testing.T) {
	x := context.Background()
	t.Run("the second owner leaves in order", func(t *testing.T) {
		is := is.New(t)
		s := terms{t, keyval.NewMemory()}
		s.begin("a/1")
		b, wait := s.begin("b/1")
		is.Equal(wait, maxOrderLifetime)
		b.recordHandover(x)
		c, wait := s.begin("c/1")
		is.True(wait > maxOrderLifetime-time.Second)
		c.recordHandover(x)
		_, wait = s.begin("d/1")
		is.True(wait > maxOrderLifetime-time.Second)
	})
	t.Run("the first owner leaves in order", func(t *testing.T) {
		is := is.New(t)
		s := terms{t, keyval.NewMemory()}
		a, wait := s.begin("a/1")
		is.Equal(wait, time.Duration(0))
		a.recordHandover(x)
		b, wait := s.begin("b/1")
		is.Equal(wait, maxWorkerLease)
		b.recordHandover(x)
		_, wait = s.begin("c/1")
		is.Equal(wait, maxWorkerLease)
	})
}

// A killed owner names nobody: its successor takes over what it knew of the owners before, until they answer or their time is over.
func TestFormerOwnersOfKilledOwner(t *testing.T) {
	x := context.Background()
	begin := func(t *testing.T) (terms, *term) {
		t.Helper()
		s := terms{t, keyval.NewMemory()}
		s.begin("a/1")
		s.begin("b/1") // it is killed.
		c, _ := s.begin("c/1")
		return s, c
	}
	holders := func(l []formerTerm) []string {
		var h []string
		for _, f := range l {
			h = append(h, f.Holder)
		}
		slices.Sort(h)
		return h
	}
	t.Run("both may give orders", func(t *testing.T) {
		is := is.New(t)
		_, c := begin(t)
		is.Equal(holders(c.formers.mayOrder(time.Now())), []string{"a/1", "b/1"})
	})
	t.Run("one answers that it gives none", func(t *testing.T) {
		is := is.New(t)
		s, c := begin(t)
		l := c.formers.mayOrder(time.Now())
		i := slices.IndexFunc(l, func(f formerTerm) bool { return f.Holder == "b/1" })
		is.True(c.formers.end(l[i].Fence, time.Now()) > maxOrderLifetime-time.Second)
		c.recordHandover(x)
		d, wait := s.begin("d/1")
		is.True(wait > maxOrderLifetime-time.Second)
		is.Equal(holders(d.formers.mayOrder(time.Now())), []string{"a/1"})
	})
	t.Run("their time is over", func(t *testing.T) {
		is := is.New(t)
		_, c := begin(t)
		is.Equal(len(c.formers.mayOrder(time.Now().Add(maxOrderLifetime))), 0)
	})
	t.Run("the process of an earlier term is in a later one", func(t *testing.T) {
		is := is.New(t)
		s, _ := begin(t)
		a, _ := s.begin("a/1")
		is.Equal(holders(a.formers.mayOrder(time.Now())), []string{"a/1", "b/1", "c/1"})
		a.recordHandover(x)
		d, _ := s.begin("d/1")
		is.Equal(holders(d.formers.mayOrder(time.Now())), []string{"b/1", "c/1"})
	})
}

// An owner that has learned that no earlier one gives orders says so in its record, so that its successor does not wait for them.
func TestRecordForgetsOwnersThatAreGone(t *testing.T) {
	is, x := is.New(t), context.Background()
	s := terms{t, keyval.NewMemory()}
	s.begin("127.0.0.1:1/1")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	served, stop := context.WithCancel(x)
	g := errgroup.Group{}
	another := &Owner{holder: "another"}
	another.lastOrders.Store(&lastOrders{})
	g.Go(func() error { return desk.Serve(served, l, another) })
	former := termRecord{Fence: 1, Holder: l.Addr().String() + "/1"}
	b, _ := s.begin("b/1")
	b.o.peers, b.msgs = desk.NewClient(), make(chan batch.Msg, 8)
	b.formers.start(former.mayOrder(), time.Now())
	is.NoErr(b.probeFormers(x, former))
	i, err := s.store.Get(x, termKey)
	is.NoErr(err)
	var r termRecord
	is.NoErr(json.Unmarshal(i.Value(), &r))
	is.Equal(len(r.Former), 0)
	is.Equal((<-b.msgs).(batch.BlindMsg).ForMs/100, maxWorkerLease.Milliseconds()/100)
	stop()
	is.NoErr(g.Wait())
}

// A call to a former lifetime of a worker may have extended the lease for longer than its owner asked for. What runs there must not start
// elsewhere before that lease has expired.
func TestSuccessorWaitsForLongestLease(t *testing.T) {
	const longestMs, slowestMs = 10_000, 10_204 // by the worker's clock, and on the slowest one.
	x := context.Background()
	play := func(t *testing.T, leave bool) int64 {
		t.Helper()
		is := is.New(t)
		s := terms{t, keyval.NewMemory()}
		a, _ := s.begin("127.0.0.1:1/1")
		if leave {
			a.recordHandover(x)
		}
		b, _ := s.begin("b/1")
		b.o.settings.Model.LeaseMs = longestMs
		b.o.peers = desk.NewClient()
		c, stop := context.WithCancel(x)
		g := errgroup.Group{}
		g.Go(func() error { return b.loadRecords(c) })
		m := (<-b.msgs).(batch.LoadedMsg)
		stop()
		is.NoErr(g.Wait())
		return m.BlindMs
	}
	t.Run("after an owner that left in order", func(t *testing.T) { is.New(t).True(play(t, true) >= slowestMs) })
	t.Run("after an owner that may still give orders", func(t *testing.T) {
		is.New(t).True(play(t, false) >= slowestMs+(ClaimGracePeriod+ClaimTTL).Milliseconds())
	})
}
