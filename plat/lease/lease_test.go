package lease_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"burdockreach.dev/plat/keyval"
	"burdockreach.dev/plat/lease"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

const ttl = 6 * time.Second

// rough is a store whose calls are slow, hang for longer than a lease, fail and lose their answers by chance.
type rough struct {
	keyval.Store
	mu *sync.Mutex
	r  *rand.Rand
}

func (s *rough) n(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.r.Intn(n)
}

// pause sleeps for a short time, or now and then, as a process that was stopped, for up to twice a lease.
func (s *rough) pause() {
	d := time.Duration(s.n(100)) * time.Millisecond
	if s.n(10) == 0 {
		d = time.Duration(s.n(int(2 * ttl)))
	}
	time.Sleep(d)
}

// do performs the write between two pauses, or loses it, or its answer.
func (s *rough) do(write func() error) error {
	s.pause()
	defer s.pause()
	switch s.n(12) {
	case 0:
		return keyval.ErrUnknown
	case 1, 2:
		_ = write()
		return keyval.ErrUnknown
	}
	return write()
}

func (s *rough) Put(ctx context.Context, key string, v []byte, cond keyval.Revision, l keyval.LeaseID) (rev keyval.Revision, err error) {
	err = s.do(func() error {
		rev, err = s.Store.Put(context.WithoutCancel(ctx), key, v, cond, l)
		return err
	})
	return rev, err
}

func (s *rough) Grant(ctx context.Context, d time.Duration) (id keyval.LeaseID, err error) {
	err = s.do(func() error {
		id, err = s.Store.Grant(context.WithoutCancel(ctx), d)
		return err
	})
	return id, err
}

func (s *rough) Renew(ctx context.Context, l keyval.LeaseID) error {
	return s.do(func() error { return s.Store.Renew(context.WithoutCancel(ctx), l) })
}

// act is what a holder does: it takes the document over under its fence, then writes under the revision that it read.
func act(ctx context.Context, s *rough, l *lease.Lease) error {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(1+s.n(500)) * time.Millisecond)
		f, ok := l.Held()
		if !ok {
			continue
		}
		i, err := s.Store.Get(ctx, "doc")
		if err != nil {
			continue
		}
		if at, _ := strconv.ParseInt(string(i.Value()), 10, 64); at > int64(f) {
			continue // a later holder has been here.
		}
		if s.n(10) == 0 {
			time.Sleep(time.Duration(s.n(20)) * time.Second) // paused between the look and the act.
		}
		_, _ = s.Store.Put(ctx, "doc", []byte(fmt.Sprint(int64(f))), i.Rev(), 0)
	}
	return nil
}

// watch returns an error when two believe at one moment that they hold the key; the number of moments with a holder goes to seen.
func watch(ctx context.Context, leases []*lease.Lease, seen *int) error {
	for ctx.Err() == nil {
		time.Sleep(37 * time.Millisecond)
		held := 0
		for _, l := range leases {
			if _, ok := l.Held(); ok {
				held++
			}
		}
		if held > 1 {
			return fmt.Errorf("%d holders at once", held)
		}
		*seen += held
	}
	return nil
}

// fences returns an error when the document was written under an older fence after a newer one.
func fences(m *keyval.Memory) error {
	l, _, err := m.Watch(context.Background(), "doc", 0, 0)
	if err != nil {
		return err
	}
	last := int64(0)
	for _, e := range l {
		f, _ := strconv.ParseInt(string(e.Item().Value()), 10, 64)
		if f < last {
			return fmt.Errorf("a write under fence %d after %d", f, last)
		}
		last = f
	}
	return nil
}

func run(t *testing.T, seed int64, n int) (seen int, err error) {
	synctest.Test(t, func(t *testing.T) {
		m := keyval.NewMemory()
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
		defer cancel()
		var g errgroup.Group
		s := &rough{Store: m, mu: &sync.Mutex{}, r: rand.New(rand.NewSource(seed))}
		var leases []*lease.Lease
		for i := range n {
			l := lease.New(s, "dc/north/leader", fmt.Sprint("e", i), lease.WithTTL(ttl))
			leases = append(leases, l)
			g.Go(func() error { return l.Run(ctx) })
			g.Go(func() error { return act(ctx, s, l) })
		}
		g.Go(func() error { return watch(ctx, leases, &seen) })
		if err = g.Wait(); err == nil {
			err = fences(m)
		}
	})
	return seen, err
}

func TestNeverTwoHolders(t *testing.T) {
	total := 0
	rapid.Check(t, func(r *rapid.T) {
		seen, err := run(t, rapid.Int64().Draw(r, "seed"), rapid.IntRange(1, 4).Draw(r, "holders"))
		total += seen
		if err != nil {
			r.Fatal(err)
		}
	})
	if total == 0 {
		t.Fatal("nobody ever held the key")
	}
}

func TestHandOverAtShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := keyval.NewMemory()
		var g errgroup.Group
		ctx, cancel := context.WithCancel(t.Context())
		a, b := lease.New(m, "k", "a"), lease.New(m, "k", "b")
		first, stop := context.WithCancel(ctx)
		g.Go(func() error { return a.Run(first) })
		time.Sleep(time.Second)
		g.Go(func() error { return b.Run(ctx) })
		time.Sleep(10 * lease.DefaultTTL)
		fa, ok := a.Held()
		is.True(ok)               // renewed all the time
		is.Equal(b.Leader(), "a") // the candidate knows who leads
		stop()
		time.Sleep(lease.DefaultTTL / 2)
		_, ok = a.Held()
		is.True(!ok)
		fb, ok := b.Held()
		is.True(ok) // sooner than the lease would have lapsed
		is.True(fb > fa)
		cancel()
		is.NoErr(g.Wait())
	})
}

// slow is a store that answers after a delay.
type slow struct {
	keyval.Store
	delay time.Duration
}

func (s *slow) Get(ctx context.Context, key string) (keyval.Item, error) {
	time.Sleep(s.delay)
	return s.Store.Get(ctx, key)
}

func (s *slow) Grant(ctx context.Context, d time.Duration) (keyval.LeaseID, error) {
	time.Sleep(s.delay)
	return s.Store.Grant(ctx, d)
}

func (s *slow) Put(ctx context.Context, key string, v []byte, cond keyval.Revision, l keyval.LeaseID) (keyval.Revision, error) {
	time.Sleep(s.delay)
	return s.Store.Put(ctx, key, v, cond, l)
}

func (s *slow) Renew(ctx context.Context, l keyval.LeaseID) error {
	time.Sleep(s.delay)
	return s.Store.Renew(ctx, l)
}

func TestSlowServiceKeepsItsLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := keyval.NewMemory()
		var g errgroup.Group
		ctx, cancel := context.WithCancel(t.Context())
		a := lease.New(&slow{Store: m, delay: 2 * time.Second}, "k", "a", lease.WithTTL(ttl))
		b := lease.New(&slow{Store: m, delay: 2 * time.Second}, "k", "b", lease.WithTTL(ttl))
		g.Go(func() error { return a.Run(ctx) })
		time.Sleep(20 * time.Second)
		g.Go(func() error { return b.Run(ctx) })
		first, ok := a.Held()
		is.True(ok)
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			f, ok := a.Held()
			is.True(ok)
			is.Equal(f, first)
		}
		cancel()
		is.NoErr(g.Wait())
	})
}
