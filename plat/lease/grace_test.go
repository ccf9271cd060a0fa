package lease_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/plat/keyval"
	"burdockreach.dev/plat/lease"
)

// unreachableStore is a store whose renewals can be made to fail.
type unreachableStore struct {
	*keyval.Memory
	failRenewals atomic.Bool
}

func (a *unreachableStore) Renew(c context.Context, id keyval.LeaseID) error {
	if a.failRenewals.Load() {
		return keyval.ErrUnknown
	}
	return a.Memory.Renew(c, id)
}

// startLeases runs the leases and returns a function that stops them.
func startLeases(ls ...*lease.Lease) func() {
	c, stop := context.WithCancel(context.Background())
	g := errgroup.Group{}
	for _, l := range ls {
		g.Go(func() error { return l.Run(c) })
	}
	return func() {
		stop()
		_ = g.Wait()
	}
}

func TestRenewalGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &unreachableStore{Memory: keyval.NewMemory()}
		l := lease.New(s, "k", "a", lease.WithTTL(ttl), lease.WithRenewalGrace(10*time.Second))
		defer startLeases(l)()
		time.Sleep(time.Second)
		f, held := l.Held()
		is.True(held)
		s.failRenewals.Store(true)
		time.Sleep(ttl)
		_, held = l.Held()
		is.True(!held) // another process may hold the key by now
		g, kept := l.Retained()
		is.True(kept)
		is.Equal(g, f)
		is.True(l.SinceRenewal() >= 4*time.Second)
		time.Sleep(12 * time.Second)
		g, kept = l.Retained()
		is.True(!kept || g != f) // released; it may have been acquired again
	})
}

func TestClaimDelayAndStepDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := keyval.NewMemory()
		weak := lease.New(s, "k", "weak", lease.WithTTL(ttl), lease.WithClaimDelay(func() time.Duration { return 3 * time.Second }))
		strong := lease.New(s, "k", "strong", lease.WithTTL(ttl), lease.WithPollInterval(500*time.Millisecond))
		defer startLeases(weak, strong)()
		time.Sleep(time.Second)
		_, held := strong.Held()
		is.True(held) // the weak candidate leaves the free key to it
		strong.StepDown()
		time.Sleep(100 * time.Millisecond)
		_, held = strong.Held()
		is.True(!held)
		time.Sleep(10 * time.Second)
		_, s1 := strong.Held()
		_, s2 := weak.Held()
		is.True(s1 != s2) // one of them holds the key again
	})
}
