package conf_test

import (
	"context"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"burdockreach.dev/plat/keyval"
)

// flakyStore is a store whose calls are slow and, at random, fail or lose their answers.
type flakyStore struct {
	keyval.Store
	faults     *faultInjector
	lateWrites bool // a write whose answer was lost may take effect later.
	calls      int
}

// faultInjector draws the faults of several stores.
type faultInjector struct {
	mu       sync.Mutex
	r        *rand.Rand
	down     bool // each call fails with ErrDown.
	noFaults bool // calls are slow and do not fail, unless down is set.
}

func (c *faultInjector) intn(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.r.Intn(n)
}

func (c *faultInjector) set(down, calm bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down, c.noFaults = down, calm
}

func (c *faultInjector) state() (down, calm bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.down, c.noFaults
}

// withFault runs call under a random fault. ErrUnknown for a write has three causes that its caller cannot tell apart: the
// write was lost, took effect, or takes effect later.
func (f *flakyStore) withFault(ctx context.Context, write bool, call func(context.Context) error) error {
	f.faults.mu.Lock()
	f.calls++
	f.faults.mu.Unlock()
	time.Sleep(time.Duration(1+f.faults.intn(20)) * time.Millisecond)
	down, calm := f.faults.state()
	if down || ctx.Err() != nil {
		return keyval.ErrDown
	}
	if calm {
		return call(ctx)
	}
	switch k := f.faults.intn(10); {
	case k == 0:
		return keyval.ErrDown
	case k == 1:
		return keyval.ErrUnknown
	case k <= 3 && write:
		_ = call(ctx)
		return keyval.ErrUnknown
	case k == 4 && write && f.lateWrites:
		time.AfterFunc(time.Duration(f.faults.intn(400))*time.Millisecond, func() { _ = call(context.Background()) })
		return keyval.ErrUnknown
	}
	return call(ctx)
}

func (f *flakyStore) Get(ctx context.Context, key string) (i keyval.Item, err error) {
	err = f.withFault(ctx, false, func(c context.Context) error {
		i, err = f.Store.Get(c, key)
		return err
	})
	return i, err
}

func (f *flakyStore) List(ctx context.Context, p, after string, n int) (l []keyval.Item, rev keyval.Revision, err error) {
	err = f.withFault(ctx, false, func(c context.Context) error {
		l, rev, err = f.Store.List(c, p, after, n)
		return err
	})
	return l, rev, err
}

func (f *flakyStore) Put(ctx context.Context, key string, v []byte, cond keyval.Revision, l keyval.LeaseID) (keyval.Revision, error) {
	var rev atomic.Int64 // atomic, as a late write ends after Put has returned.
	err := f.withFault(ctx, true, func(c context.Context) error {
		n, err := f.Store.Put(c, key, v, cond, l)
		rev.Store(int64(n))
		return err
	})
	return keyval.Revision(rev.Load()), err
}

func (f *flakyStore) Watch(ctx context.Context, p string, rev keyval.Revision, wait time.Duration) (l []keyval.Event, to keyval.Revision, err error) {
	err = f.withFault(ctx, false, func(c context.Context) error {
		l, to, err = f.Store.Watch(c, p, rev, wait)
		return err
	})
	return l, to, err
}
