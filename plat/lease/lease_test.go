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

// unreliableStore is a store whose calls are at random slow, hang for longer than a TTL, fail, or lose their responses.
type unreliableStore struct {
	keyval.Store
	mu *sync.Mutex
	r  *rand.Rand
}

func (s *unreliableStore) intn(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.r.Intn(n)
}

// sleep sleeps for less than 100 ms, or in one of ten calls for up to twice the TTL, like a suspended process.
func (s *unreliableStore) sleep() {
	d := time.Duration(s.intn(100)) * time.Millisecond
	if s.intn(10) == 0 {
		d = time.Duration(s.intn(int(2 * ttl)))
	}
	time.Sleep(d)
}

// performWrite performs the write between two sleeps, or drops it, or drops its response.
func (s *unreliableStore) performWrite(write func() error) error {
	s.sleep()
	defer s.sleep()
	switch s.intn(12) {
	case 0:
		return keyval.ErrUnknown
	case 1, 2:
		_ = write()
		return keyval.ErrUnknown
	}
	return write()
}

func (s *unreliableStore) Put(ctx context.Context, key string, v []byte, cond keyval.Revision, l keyval.LeaseID) (rev keyval.Revision, err error) {
	err = s.performWrite(func() error {
		rev, err = s.Store.Put(context.WithoutCancel(ctx), key, v, cond, l)
		return err
	})
	return rev, err
}

func (s *unreliableStore) Grant(ctx context.Context, d time.Duration) (id keyval.LeaseID, err error) {
	err = s.performWrite(func() error {
		id, err = s.Store.Grant(context.WithoutCancel(ctx), d)
		return err
	})
	return id, err
}

func (s *unreliableStore) Renew(ctx context.Context, l keyval.LeaseID) error {
	return s.performWrite(func() error { return s.Store.Renew(context.WithoutCancel(ctx), l) })
}

// writeAsHolder writes the fencing token of l into the document while l is held, unless the document has a newer token. The write is
// conditional on the revision of the document that it read.
func writeAsHolder(ctx context.Context, s *unreliableStore, l *lease.Lease) error {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(1+s.intn(500)) * time.Millisecond)
		f, ok := l.Held()
		if !ok {
			continue
		}
		i, err := s.Store.Get(ctx, "doc")
		if err != nil {
			continue
		}
		if token, _ := strconv.ParseInt(string(i.Value()), 10, 64); token > int64(f) {
			continue // a later holder has written it
		}
		if s.intn(10) == 0 {
			time.Sleep(time.Duration(s.intn(20)) * time.Second) // paused between the check and the write
		}
		_, _ = s.Store.Put(ctx, "doc", []byte(fmt.Sprint(int64(f))), i.Rev(), 0)
	}
	return nil
}

// checkSingleHolder returns an error if two leases are held at the same time. It counts the samples with a holder.
func checkSingleHolder(ctx context.Context, leases []*lease.Lease, samples *int) error {
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
		*samples += held
	}
	return nil
}

// checkFenceOrder returns an error if the document was written with an older fencing token after a newer one.
func checkFenceOrder(m *keyval.Memory) error {
	l, _, err := m.Watch(context.Background(), "doc", 0, 0)
	if err != nil {
		return err
	}
	last := int64(0)
	for _, e := range l {
		f, _ := strconv.ParseInt(string(e.Item().Value()), 10, 64)
		if f < last {
			return fmt.Errorf("write with fencing token %d after token %d", f, last)
		}
		last = f
	}
	return nil
}

func simulate(t *testing.T, seed int64, n int) (samples int, err error) {
	synctest.Test(t, func(t *testing.T) {
		m := keyval.NewMemory()
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
		defer cancel()
		var g errgroup.Group
		s := &unreliableStore{Store: m, mu: &sync.Mutex{}, r: rand.New(rand.NewSource(seed))}
		var leases []*lease.Lease
		for i := range n {
			l := lease.New(s, "dc/north/leader", fmt.Sprint("e", i), lease.WithTTL(ttl))
			leases = append(leases, l)
			g.Go(func() error { return l.Run(ctx) })
			g.Go(func() error { return writeAsHolder(ctx, s, l) })
		}
		g.Go(func() error { return checkSingleHolder(ctx, leases, &samples) })
		if err = g.Wait(); err == nil {
			err = checkFenceOrder(m)
		}
	})
	return samples, err
}

func TestNeverTwoHolders(t *testing.T) {
	samplesHeld := 0
	rapid.Check(t, func(r *rapid.T) {
		samples, err := simulate(t, rapid.Int64().Draw(r, "seed"), rapid.IntRange(1, 4).Draw(r, "holders"))
		samplesHeld += samples
		if err != nil {
			r.Fatal(err)
		}
	})
	if samplesHeld == 0 {
		t.Fatal("the key was held in no sample")
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
		is.True(ok)               // renewed throughout
		is.Equal(b.Leader(), "a") // the candidate knows the holder
		stop()
		time.Sleep(lease.DefaultTTL / 2)
		_, ok = a.Held()
		is.True(!ok)
		fb, ok := b.Held()
		is.True(ok) // earlier than the lease would have expired
		is.True(fb > fa)
		cancel()
		is.NoErr(g.Wait())
	})
}

// slowStore is a store that answers after a delay.
type slowStore struct {
	keyval.Store
	delay time.Duration
}

func (s *slowStore) Get(ctx context.Context, key string) (keyval.Item, error) {
	time.Sleep(s.delay)
	return s.Store.Get(ctx, key)
}

func (s *slowStore) Grant(ctx context.Context, d time.Duration) (keyval.LeaseID, error) {
	time.Sleep(s.delay)
	return s.Store.Grant(ctx, d)
}

func (s *slowStore) Put(ctx context.Context, key string, v []byte, cond keyval.Revision, l keyval.LeaseID) (keyval.Revision, error) {
	time.Sleep(s.delay)
	return s.Store.Put(ctx, key, v, cond, l)
}

func (s *slowStore) Renew(ctx context.Context, l keyval.LeaseID) error {
	time.Sleep(s.delay)
	return s.Store.Renew(ctx, l)
}

func TestSlowServiceKeepsItsLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := keyval.NewMemory()
		var g errgroup.Group
		ctx, cancel := context.WithCancel(t.Context())
		a := lease.New(&slowStore{Store: m, delay: 2 * time.Second}, "k", "a", lease.WithTTL(ttl))
		b := lease.New(&slowStore{Store: m, delay: 2 * time.Second}, "k", "b", lease.WithTTL(ttl))
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
