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
	leaderTick  = 100 * time.Millisecond // a tenth of the usual, so that a short run has enough ticks
	leaderTicks = 8
	settleTicks = 20 // before the ticks that count, in which the membership is written
	talkers     = 12 // entries of a data centre
)

// quietPlatform has VMs that nothing happens to until they are lost.
type quietPlatform struct{ list atomic.Pointer[[]hosts.VM] }

func newPlatform(n int) *quietPlatform {
	p := &quietPlatform{}
	p.lose(n, 0)
	return p
}

// lose makes the first k of n VMs gone.
func (p *quietPlatform) lose(n, k int) {
	l := make([]hosts.VM, 0, n)
	for i, w := range platformVMs(n, false) {
		if i < k {
			w.State = hosts.Gone
		}
		l = append(l, hosts.FromWire(w))
	}
	p.list.Store(&l)
}

func (p *quietPlatform) List(context.Context) ([]hosts.VM, error)   { return *p.list.Load(), nil }
func (*quietPlatform) Drain(context.Context, string) error          { return nil }
func (*quietPlatform) Undrain(context.Context, string) error        { return nil }
func (*quietPlatform) Reboot(context.Context, string, string) error { return nil }
func (*quietPlatform) Assign(context.Context, string, string) error { return nil }

// alwaysLeads holds the lease for ever.
type alwaysLeads struct{}

func (alwaysLeads) Held() (keyval.Revision, bool) { return 1, true }

// talk is the word of as many entries, each with the use of every service.
type talk int

func (n talk) EntryReports() []leader.EntryReport {
	l := make([]leader.EntryReport, n)
	for i := range l {
		l[i] = leader.EntryReport{Entry: fmt.Sprint("entry-", i), ReceivedAt: time.Now()}
		for s := range pools {
			l[i].Loads = append(l[i].Loads, leader.Load{Service: serviceName(s), Busy: 3, ArrivalsPerSecond: 40})
		}
	}
	return l
}

// countedStore counts calls and the bytes of their values.
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

// term is a leader at work.
type term struct {
	shelf *view.Holder
	stop  context.CancelFunc
	group errgroup.Group
}

// rule starts a leader over the platform's VMs.
func rule(s keyval.Store, p hosts.Platform, h *conf.Holder) *term {
	t := &term{shelf: view.NewHolder()}
	l := leader.New(home, "entry-0", s, p, alwaysLeads{}, h, talk(talkers), t.shelf, leader.WithTick(leaderTick), leader.WithOtherDataCentres(dataCentres[1:]))
	ctx, stop := context.WithCancel(context.Background())
	t.stop = stop
	t.group.Go(func() error { return l.Run(ctx) })
	return t
}

// end stops the leader, which must show n targets.
func (t *term) end(n int) {
	if got := t.shelf.View().Len(); got != n {
		panic(fmt.Sprintf("bench: the leader shows %d of %d targets", got, n))
	}
	t.stop()
	_ = t.group.Wait()
}

type ledCost struct{ cpu, heap float64 }

// lead runs the leader's loop over n VMs.
func lead(n int) (c ledCost) {
	h, p := holder(pools, designTeams), newPlatform(n)
	before := heapNow()
	t := rule(keyval.NewMemory(), p, h)
	time.Sleep(settleTicks * leaderTick)
	c.cpu = least(func() float64 {
		at, began := cpuNow(), time.Now()
		time.Sleep(leaderTicks * leaderTick)
		return float64(cpuNow()-at) / (float64(time.Since(began)) / float64(leaderTick))
	})
	c.heap = float64(heapNow()) - float64(before)
	t.end(n)
	return c
}

type coldCost struct{ calls, bytes float64 }

// takeOver counts what a second leader asks of the service in its first ticks.
func takeOver(n int) coldCost {
	h, p, s := holder(pools, designTeams), newPlatform(n), &countedStore{Memory: keyval.NewMemory()}
	t := rule(s, p, h)
	time.Sleep(settleTicks * leaderTick)
	t.end(n)
	calls, bytes := s.reads.Load()+s.writes.Load(), s.bytes.Load()
	t = rule(s, p, h)
	time.Sleep(leaderTicks * leaderTick)
	t.end(n)
	return coldCost{calls: float64(s.reads.Load() + s.writes.Load() - calls), bytes: float64(s.bytes.Load() - bytes)}
}

// lossWrites counts the writes after k VMs are gone.
func lossWrites(k int) float64 {
	h, p, s := holder(pools, designTeams), newPlatform(designVMs), &countedStore{Memory: keyval.NewMemory()}
	t := rule(s, p, h)
	time.Sleep(settleTicks * leaderTick)
	at := s.writes.Load()
	p.lose(designVMs, k)
	time.Sleep(2 * settleTicks * leaderTick)
	t.end(designVMs)
	return float64(s.writes.Load() - at)
}
