package main

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockreach.dev/node/leader"
	"burdockreach.dev/node/view"
	"burdockreach.dev/plat/conf"
	"burdockreach.dev/plat/hosts"
	"burdockreach.dev/plat/keyval"
)

const (
	leaderTick           = 100 * time.Millisecond // a tenth of the default, so that a short run has enough ticks
	measuredTicks        = 8                      // ticks in one measurement
	warmUpTicks          = 20                     // ticks before the measurement, in which the leader writes the membership
	entriesPerDataCentre = 12
)

// staticPlatform is a platform whose VMs change only by setVMs. Its commands do nothing.
type staticPlatform struct{ list atomic.Pointer[[]hosts.VM] }

// newPlatform returns a platform with n live VMs in the home data centre.
func newPlatform(n int) *staticPlatform {
	p := &staticPlatform{}
	p.setVMs(n, 0)
	return p
}

// setVMs replaces the list with n VMs, of which the first k are gone and the others are live.
func (p *staticPlatform) setVMs(n, k int) {
	l := make([]hosts.VM, 0, n)
	for i, w := range platformVMs(n, false) {
		if i < k {
			w.State = hosts.Gone
		}
		l = append(l, hosts.FromWire(w))
	}
	p.list.Store(&l)
}

func (p *staticPlatform) List(context.Context) ([]hosts.VM, error)   { return *p.list.Load(), nil }
func (*staticPlatform) Drain(context.Context, string) error          { return nil }
func (*staticPlatform) Undrain(context.Context, string) error        { return nil }
func (*staticPlatform) Reboot(context.Context, string, string) error { return nil }
func (*staticPlatform) Assign(context.Context, string, string) error { return nil }

// heldLease is a leader's lease that is always held.
type heldLease struct{}

func (heldLease) Held() (keyval.Revision, bool) { return 1, true }

// fixedReporters is a source of entry reports; its value is the number of entries. Each entry reports the same load for every service.
type fixedReporters int

func (n fixedReporters) EntryReports() []leader.EntryReport {
	l := make([]leader.EntryReport, n)
	for i := range l {
		l[i] = leader.EntryReport{Entry: fmt.Sprint("entry-", i), ReceivedAt: time.Now()}
		for s := range poolCount {
			l[i].Loads = append(l[i].Loads, leader.Load{Service: serviceName(s), Busy: 3, ArrivalsPerSecond: 40})
		}
	}
	return l
}

// countedStore counts gets and lists as reads, puts as writes, and the bytes of the values in all three. Other calls are not counted.
type countedStore struct {
	*keyval.Memory
	reads, writes, bytes atomic.Int64
}

func (c *countedStore) Get(ctx context.Context, key string) (keyval.Item, error) {
	c.reads.Add(1)
	i, err := c.Memory.Get(ctx, key)
	c.bytes.Add(int64(len(i.Value())))
	return i, err
}

func (c *countedStore) List(ctx context.Context, prefix, after string, limit int) ([]keyval.Item, keyval.Revision, error) {
	c.reads.Add(1)
	l, rev, err := c.Memory.List(ctx, prefix, after, limit)
	for _, i := range l {
		c.bytes.Add(int64(len(i.Value())))
	}
	return l, rev, err
}

func (c *countedStore) Put(ctx context.Context, key string, v []byte, cond keyval.Revision, id keyval.LeaseID) (keyval.Revision, error) {
	c.writes.Add(1)
	c.bytes.Add(int64(len(v)))
	return c.Memory.Put(ctx, key, v, cond, id)
}

// leaderRun is a running leader and the view that it fills.
type leaderRun struct {
	views *view.Holder
	stop  context.CancelFunc
	group errgroup.Group
}

// startLeader starts a leader of the home data centre for the platform's VMs.
func startLeader(s keyval.Store, p hosts.Platform, h *conf.Holder) *leaderRun {
	t := &leaderRun{views: view.NewHolder()}
	l := leader.New(homeDataCentre, "entry-0", s, p, heldLease{}, h, fixedReporters(entriesPerDataCentre), t.views, leader.WithTick(leaderTick), leader.WithOtherDataCentres(dataCentres[1:]))
	ctx, stop := context.WithCancel(context.Background())
	t.stop = stop
	t.group.Go(func() error { return l.Run(ctx) })
	return t
}

// stopAndCheck panics unless the leader's view has n targets, and then stops the leader.
func (t *leaderRun) stopAndCheck(n int) {
	if got := t.views.View().Len(); got != n {
		panic(fmt.Sprintf("bench: the leader shows %d of %d targets", got, n))
	}
	t.stop()
	_ = t.group.Wait()
}

// leaderCost holds processor time in nanoseconds per tick and heap in bytes.
type leaderCost struct{ cpuNanos, heapBytes float64 }

// measureLeader measures the processor time per tick and the heap of a leader with n VMs.
func measureLeader(n int) (c leaderCost) {
	h, p := configHolder(poolCount, designTeams), newPlatform(n)
	before := heapNow()
	t := startLeader(keyval.NewMemory(), p, h)
	time.Sleep(warmUpTicks * leaderTick)
	c.cpuNanos = minOfRuns(func() float64 {
		cpuBefore, began := cpuNow(), time.Now()
		time.Sleep(measuredTicks * leaderTick)
		return float64(cpuNow()-cpuBefore) / (float64(time.Since(began)) / float64(leaderTick))
	})
	c.heapBytes = float64(heapNow()) - float64(before)
	t.stopAndCheck(n)
	return c
}

// takeoverCost holds calls to the store and bytes of the values in them.
type takeoverCost struct{ calls, bytes float64 }

// measureTakeover counts the calls to the store, and the bytes of their values, that a second leader makes in its first ticks. A first
// leader with the same n VMs wrote the membership before and has stopped.
func measureTakeover(n int) takeoverCost {
	h, p, s := configHolder(poolCount, designTeams), newPlatform(n), &countedStore{Memory: keyval.NewMemory()}
	t := startLeader(s, p, h)
	time.Sleep(warmUpTicks * leaderTick)
	t.stopAndCheck(n)
	calls, bytes := s.reads.Load()+s.writes.Load(), s.bytes.Load()
	t = startLeader(s, p, h)
	time.Sleep(measuredTicks * leaderTick)
	t.stopAndCheck(n)
	return takeoverCost{calls: float64(s.reads.Load() + s.writes.Load() - calls), bytes: float64(s.bytes.Load() - bytes)}
}

// lossWrites counts the leader's writes after k of designVMs VMs are gone at once.
func lossWrites(k int) float64 {
	h, p, s := configHolder(poolCount, designTeams), newPlatform(designVMs), &countedStore{Memory: keyval.NewMemory()}
	t := startLeader(s, p, h)
	time.Sleep(warmUpTicks * leaderTick)
	writesBefore := s.writes.Load()
	p.setVMs(designVMs, k)
	time.Sleep(2 * warmUpTicks * leaderTick)
	t.stopAndCheck(designVMs)
	return float64(s.writes.Load() - writesBefore)
}
