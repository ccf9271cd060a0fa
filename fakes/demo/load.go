package main

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

const (
	sendersPerDC   = 6                     // in each data centre
	sendPause      = 10 * time.Millisecond // of a sender between orders
	healthInterval = 50 * time.Millisecond // of the balancer's checks
)

// balancer sends to the entries whose health page is good, as the platform's does.
type balancer struct {
	entries []entry
	healthy []atomic.Bool
}

func newBalancer(nodes []entry) *balancer {
	b := &balancer{entries: nodes, healthy: make([]atomic.Bool, len(nodes))}
	b.check()
	return b
}

// check asks every health page once.
func (b *balancer) check() {
	for i, n := range b.entries {
		a, err := call(n.callerAddr, request{"GET", "/health", "", "", nil})
		b.healthy[i].Store(err == nil && a.status == 200)
	}
}

// run checks until c ends.
func (b *balancer) run(c context.Context) error {
	t := time.NewTicker(healthInterval)
	defer t.Stop()
	for {
		select {
		case <-c.Done():
			return nil
		case <-t.C:
			b.check()
		}
	}
}

// pick returns the entry of the data centre for the i-th request.
func (b *balancer) pick(dc string, i int) (entry, error) {
	for k := range b.entries {
		j := (i + k) % len(b.entries)
		if b.entries[j].dataCentre == dc && b.healthy[j].Load() {
			return b.entries[j], nil
		}
	}
	return entry{}, eris.Errorf("no entry of %s takes work", dc)
}

// load counts what became of the orders that were sent.
type load struct {
	name                          string
	balancer                      *balancer
	sent, answered, notRun, other atomic.Int64
	slowestMs                     atomic.Int64
}

// loadCount numbers the loadCount, so that their keys differ.
var loadCount atomic.Int64

// underLoad does f while orders come to every entry, holds what callers were told against what the targets counted, and returns the
// number of reboots.
func (s *fleet) underLoad(c context.Context, f func(context.Context) error) (int64, error) {
	before, err := s.totalCounts()
	if err != nil {
		return 0, err
	}
	l := &load{name: fmt.Sprintf("load-%d", loadCount.Add(1)), balancer: newBalancer(s.entries)}
	g, t := errgroup.WithContext(c)
	t, stop := context.WithCancel(t)
	defer stop()
	g.Go(func() error { return l.balancer.run(t) })
	for _, d := range dataCentres() {
		for i := range sendersPerDC {
			g.Go(func() error { return l.send(t, d, i) })
		}
	}
	ferr := f(t)
	stop()
	if err := g.Wait(); err != nil {
		return 0, err
	}
	if ferr != nil {
		return 0, ferr
	}
	return s.compareCounts(before, l)
}

// send sends orders of one data centre until c ends.
func (l *load) send(c context.Context, dc string, sender int) error {
	for i := 0; c.Err() == nil; i++ {
		n, err := l.balancer.pick(dc, sender+i)
		if err != nil {
			return err
		}
		key := fmt.Sprintf("%s/%s-%d-%d", dc, l.name, sender, i)
		l.sent.Add(1)
		a, err := call(n.callerAddr, request{"POST", "/call/orders/basket", deskToken, key, []byte(`{"trays": 1}`)})
		if err != nil {
			return err
		}
		l.count(a)
		time.Sleep(sendPause)
	}
	return nil
}

// count counts one answer.
func (l *load) count(a answer) {
	for old := l.slowestMs.Load(); old < a.took.Milliseconds(); old = l.slowestMs.Load() {
		l.slowestMs.CompareAndSwap(old, a.took.Milliseconds())
	}
	switch {
	case a.status == 200 && a.outcome == "answered":
		l.answered.Add(1)
	case a.outcome == "not-run":
		l.notRun.Add(1)
		printLine("an order was refused: %v", a)
	default:
		l.other.Add(1)
		printLine("an order ended as %v", a)
	}
}

// compareCounts holds what callers were told against what the targets counted and returns the number of reboots.
func (s *fleet) compareCounts(before runCounts, l *load) (int64, error) {
	after, err := s.totalCounts()
	if err != nil {
		return 0, err
	}
	runs, boots := after.Runs-before.Runs, after.Boot-before.Boot
	printLine("callers: %d orders sent, %d answered, %d not run, %d other; slowest answer %d ms",
		l.sent.Load(), l.answered.Load(), l.notRun.Load(), l.other.Load(), l.slowestMs.Load())
	printLine("targets: %d runs, %d cut, %d doubled, %d reboots", runs, after.Cut, after.DoubledKeys+after.DoubledRequests, boots)
	switch {
	case after.Cut != 0 || after.DoubledKeys != 0 || after.DoubledRequests != 0:
		return boots, eris.New("requests were cut or run twice")
	case l.other.Load() != 0 || runs != l.answered.Load():
		return boots, eris.New("what callers were told is not what the targets ran")
	case l.notRun.Load() != 0:
		return boots, eris.New("orders were refused")
	}
	return boots, nil
}
