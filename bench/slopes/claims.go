package main

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockreach.dev/bench/slope"
	"burdockreach.dev/flow/ledger"
	"burdockreach.dev/node/relay"
	"burdockreach.dev/plat/keyval"
)

var claimSizes = []int{500, 1000, 2000, 4000}

const (
	holderCount        = 3 // entries of the small data centre in which keys are claimed
	rosterTimeout      = 20 * time.Second
	rosterPollInterval = 50 * time.Millisecond
	settlementWait     = 200 * time.Millisecond // time for settlements to arrive
)

// claimSeries measures claims of idempotency keys, at the entry that takes the requests and at both holders together.
func claimSeries() []slope.Series {
	var cpu, wire slope.Series
	withHolders(func(k *relay.Keeper, sum *atomic.Int64) {
		round := 0
		claimAll(k, 0, claimSizes[0]) // opens the connections
		cpu = measureSeries("claimCPU", "claims and settlements between 3 entries over loopback, all entries together", "ns", "key", claimSizes, func(n int) float64 {
			round++
			cpuBefore := cpuNow()
			claimAll(k, round, n)
			return float64(cpuNow() - cpuBefore)
		})
		wire = measureSeries("claimBytes", "claims and settlements on the wire, both ways", "B", "key", claimSizes, func(n int) float64 {
			round++
			bytesBefore := sum.Load()
			claimAll(k, round, n)
			return float64(sum.Load() - bytesBefore)
		})
	})
	return []slope.Series{cpu, wire}
}

// withHolders starts the entries and calls f with the first one as soon as all of them hold keys by the same roster.
func withHolders(f func(k *relay.Keeper, sum *atomic.Int64)) {
	var g errgroup.Group
	var sum atomic.Int64
	ctx, stop := context.WithCancel(context.Background())
	store := keyval.NewMemory()
	var ks []*relay.Keeper
	var bs []*relay.Beater
	var known []relay.Address
	for i := range holderCount {
		k, b, a := startHolder(ctx, &g, store, i, &sum)
		ks, bs, known = append(ks, k), append(bs, b), append(known, a)
	}
	for _, b := range bs {
		b.SetEntries(known)
	}
	end := time.Now().Add(rosterTimeout)
	for !rosterAdopted(ks) {
		if time.Now().After(end) {
			panic("bench: the entries agree on no roster")
		}
		time.Sleep(rosterPollInterval)
	}
	f(ks[0], &sum)
	stop()
	_ = g.Wait()
}

func rosterAdopted(ks []*relay.Keeper) bool {
	for _, k := range ks {
		r := k.Roster(homeDataCentre)
		if len(r.Members()) != len(ks) || k.Holding() != r.Number() {
			return false
		}
	}
	return true
}

func startHolder(ctx context.Context, g *errgroup.Group, store keyval.Store, i int, sum *atomic.Int64) (*relay.Keeper, *relay.Beater, relay.Address) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		panic(fmt.Sprint("bench: listen: ", err))
	}
	d := net.Dialer{Timeout: time.Second}
	c := relay.NewClient(relay.WithCallTimeout(time.Second), relay.WithDial(func(x context.Context, network, addr string) (net.Conn, error) {
		o, err := d.DialContext(x, network, addr)
		return countedConn{o, sum}, err
	}))
	self := ledger.Member{Entry: fmt.Sprintf("entry-north-1-%02d", i), Addr: l.Addr().String(), Incarnation: time.Now().UnixNano()}
	k := relay.NewKeeper(self, homeDataCentre, dataCentres[:1], store, c)
	b := relay.NewBeater(k, c, idleEntry(1))
	s := relay.NewServer(relay.Service{Keeper: k, Beater: b})
	g.Go(func() error { return s.Serve(ctx, l) })
	g.Go(func() error { return k.Run(ctx) })
	g.Go(func() error { return b.Run(ctx) })
	context.AfterFunc(ctx, c.Close)
	return k, b, relay.NewAddress(self.Entry, self.Addr, homeDataCentre)
}

// claimAll claims and settles n keys, divided among concurrent callers.
func claimAll(k *relay.Keeper, round, n int) {
	var g errgroup.Group
	body := []byte("a digest of 32 bytes or so, here")
	for c := range callers {
		g.Go(func() error {
			for i := range n / callers {
				t, err := k.ClaimKey(context.Background(), fmt.Sprintf("%s/%d-%d-%d", homeDataCentre, round, c, i), body, fmt.Sprintf("attempt-%d-%d", c, i))
				if err != nil {
					return err
				}
				t.Settle(ledger.Answered, 200, "text/plain", body)
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		panic(fmt.Sprint("bench: claim: ", err))
	}
	time.Sleep(settlementWait)
}
