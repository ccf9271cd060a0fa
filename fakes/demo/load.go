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
	sendersPerDC   = 6
	sendPause      = 10 * time.Millisecond // of a sender, from an answer to its next order
	healthInterval = 50 * time.Millisecond // between two health checks of the balancer
)

// balancer selects entries whose health page answers 200, as the platform's load balancer does.
type balancer struct {
	entries []entry
	healthy []atomic.Bool
}

func newBalancer(nodes []entry) *balancer {
	b := &balancer{entries: nodes, healthy: make([]atomic.Bool, len(nodes))}
	b.check()
	return b
}

// check requests the health page of every entry once.
func (b *balancer) check() {
	for i, n := range b.entries {
		a, err := call(n.callerAddr, request{"GET", "/health", "", "", nil})
		b.healthy[i].Store(err == nil && a.status == 200)
	}
}

// run checks all entries every healthInterval until c ends.
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

// pick returns the healthy entry of the data centre that the i-th request goes to, in turn.
func (b *balancer) pick(dc string, i int) (entry, error) {
	for k := range b.entries {
		j := (i + k) % len(b.entries)
		if b.entries[j].dataCentre == dc && b.healthy[j].Load() {
			return b.entries[j], nil
		}
	}
	return entry{}, eris.Errorf("no entry of data centre %s is healthy", dc)
}

// load sends orders and counts them by outcome.
type load struct {
	name                          string
	balancer                      *balancer
	sent, answered, notRun, other atomic.Int64
	slowestMs                     atomic.Int64
}

// loadCount is the number of loads so far. It makes the keys of different loads differ.
var loadCount atomic.Int64

// underLoad calls f while orders go to every entry, checks the callers' outcomes against the targets' counters and returns the number
// of reboots.
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

// send sends orders to entries of the data centre, one after the other, until c ends.
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

// count counts the answer by its outcome and prints it unless the order was answered.
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

// compareCounts checks the callers' outcomes against the increase of the targets' counters and returns the number of reboots.
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
		return boots, eris.New("the number of answered orders differs from the number of runs at the targets")
	case l.notRun.Load() != 0:
		return boots, eris.New("orders were refused")
	}
	return boots, nil
}
