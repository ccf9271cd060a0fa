package main

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/bench/slope"
	"burdockreach.dev/flow/ledger"
	"burdockreach.dev/flow/sched"
	"burdockreach.dev/node/entry"
	"burdockreach.dev/node/setup"
	"burdockreach.dev/node/view"
	"burdockreach.dev/plat/conf"
)

var (
	requestSizes = []int{1000, 2000, 4000, 8000}
	queueSizes   = []int{1000, 2000, 4000, 8000}
	idleServices = []int{6, 13, 26, 51}
	heapSizes    = []int{1500, 3000, 6000, 9000}
	keySizes     = []int{10_000, 20_000, 50_000, 100_000}
)

const (
	idleWarm  = 300 * time.Millisecond
	idleFor   = 1000 * time.Millisecond
	callers   = 16
	freeQuota = 1e6 // requests a second
	minimal   = `{"name":"entry-0","dataCentre":"north-1","dataCentres":["north-1"],"callerAddr":"127.0.0.1:1",
		"peerAddr":"127.0.0.1:2","operatorAddr":"127.0.0.1:3","platformAddr":"127.0.0.1:4"}`
)

// settings returns an entry's settings with the defaults.
func settings() setup.Settings {
	s, err := setup.Parse([]byte(minimal))
	if err != nil {
		panic(fmt.Sprint("bench: settings: ", err))
	}
	return s
}

// pathSeries measures an entry's request path and what it holds.
func pathSeries() []slope.Series {
	return []slope.Series{
		series("queueHeap", "requests that wait in the scheduler", "B", "request", queueSizes, queueHeap),
		series("quotaHeap", "quotas of 51 services in memory", "B", "team", teamSizes, quotaHeap),
		series("keyHeap", "records of keys in memory", "B", "key", keySizes, keyHeap),
		series("entryIdle", "entry with 51 services and 12 entries, without requests, each second", "ns", "VM of the data centre", vmSizes,
			func(n int) float64 { return idle(holder(pools, designTeams), n) }),
		series("entryServices", "entry with 1,500 targets, without requests, each second", "ns", "service", idleServices,
			func(n int) float64 { return idle(holder(n, designTeams), designVMs) }),
		series("entryChange", "entry's tables made anew for one change", "ns", "VM of the data centre", vmSizes, changeCPU),
		series("entryHeap", "entry's tables of targets, shares and connections in memory", "B", "VM of the data centre", heapSizes, func(n int) float64 {
			h, v := holder(pools, designTeams), shelfOf(targets(n))
			return max(entryHeap(h, v, designTeams), entryHeap(h, v, designTeams)) // what earlier runs let go of late only lessens it
		}),
		series("requestCPU", "requests through the entry, less the same straight to the target", "ns", "request", requestSizes, requestCPU),
		series("keyCPU", "claims and settlements at one holder without the wire", "ns", "key", keySizes, keyCPU),
	}
}

func shelfOf(l []view.Target) *view.Holder {
	s := view.NewHolder()
	if err := s.Put(view.New(view.Version{Fence: 1, Count: 1}, l)); err != nil {
		panic(fmt.Sprint("bench: put: ", err))
	}
	return s
}

// runEntry starts an entry among 12 that all keep to their shares and calls f with its address.
func runEntry(h *conf.Holder, v *view.Holder, teams int, f func(addr string)) {
	var lc net.ListenConfig
	ctx, stop := context.WithCancel(context.Background())
	l, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		panic(fmt.Sprint("bench: listen: ", err))
	}
	e := entry.New(settings(), zerolog.Nop(), h, v, entry.WithShareName("entry-0"))
	var g errgroup.Group
	g.Go(func() error { return e.Run(ctx, l) })
	time.Sleep(idleWarm / 3)
	now, names, rates := time.Now(), []string{}, map[string]float64{}
	for i := range talkers {
		names = append(names, fmt.Sprint("entry-", i))
	}
	for i := range teams {
		rates[teamName(i)] = freeQuota
	}
	e.SetRoster(now, 2, names)
	for _, n := range names {
		e.SetPeerSettled(now, n, 2)
	}
	e.SetQuotas(now, rates)
	time.Sleep(idleWarm)
	f(l.Addr().String())
	stop()
	_ = g.Wait()
}

// idle is the processor time a second of an entry that has nothing to do.
func idle(h *conf.Holder, n int) (c float64) {
	runEntry(h, shelfOf(targets(n)), designTeams, func(string) {
		c = least(func() float64 {
			at, began := cpuNow(), time.Now()
			time.Sleep(idleFor)
			return float64(cpuNow()-at) / time.Since(began).Seconds()
		})
	})
	return c
}

// changesTried is the number of changes over which the cost of one is taken.
const (
	changesTried = 20
	changePause  = 30 * time.Millisecond
)

// changeCPU is the cost of changes over that of the same time without them.
func changeCPU(n int) (c float64) {
	h := holder(pools, designTeams)
	runEntry(h, shelfOf(targets(n)), designTeams, func(string) {
		at := cpuNow()
		time.Sleep(changesTried * changePause)
		idle := cpuNow() - at
		at = cpuNow()
		for i := range changesTried {
			time.Sleep(changePause)
			q := quotaChange(int(h.Document().Number())+1, i)
			q.Prev = ""
			if _, err := h.Offer(q); err != nil {
				panic(fmt.Sprint("bench: offer: ", err))
			}
		}
		c = float64(cpuNow()-at-idle) / changesTried
	})
	return max(c, 0)
}

func entryHeap(h *conf.Holder, v *view.Holder, teams int) (c float64) {
	before := heapNow()
	runEntry(h, v, teams, func(string) { c = float64(heapNow()) - float64(before) })
	return c
}

// requestCPU is the processor time of n requests through an entry, less that of the same straight to the target.
func requestCPU(n int) (c float64) {
	var lc net.ListenConfig
	l, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		panic(fmt.Sprint("bench: listen: ", err))
	}
	s := fasthttp.Server{Handler: func(x *fasthttp.RequestCtx) { x.SetBodyString("a tray of soup") }, CloseOnShutdown: true}
	var g errgroup.Group
	g.Go(func() error { return s.Serve(l) })
	ts := targets(designVMs)
	for i := range ts {
		ts[i].Addr = l.Addr().String()
	}
	runEntry(holder(pools, designTeams), shelfOf(ts), designTeams, func(addr string) {
		send(addr, n/4)
		send(l.Addr().String(), n/4)
		cost := func(to string) float64 {
			at := cpuNow()
			send(to, n)
			return float64(cpuNow() - at)
		}
		c = least(func() float64 { return cost(addr) }) - least(func() float64 { return cost(l.Addr().String()) })
	})
	_ = s.Shutdown()
	_ = g.Wait()
	return c
}

const designVMs = 1500 // of a data centre

// send makes n requests by as many callers as are at work at once.
func send(addr string, n int) {
	c := fasthttp.HostClient{Addr: addr, MaxConns: callers, NoDefaultUserAgentHeader: true}
	var g errgroup.Group
	for range callers {
		g.Go(func() error {
			var q fasthttp.Request
			var a fasthttp.Response
			q.SetRequestURI("http://" + addr + "/call/" + serviceName(0) + "/x")
			q.Header.Set("Authorization", "Bearer "+token(teamName(0)))
			for range n / callers {
				if err := c.Do(&q, &a); err != nil || a.StatusCode() != fasthttp.StatusOK {
					return fmt.Errorf("status %d: %s: %w", a.StatusCode(), a.Body(), err)
				}
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		panic(fmt.Sprint("bench: request: ", err))
	}
	c.CloseIdleConnections()
}

func queueHeap(n int) float64 {
	now := time.UnixMilli(began)
	return heapOf(func() any {
		s := sched.New(serviceName(0), sched.WithMaxQueued(2*n))
		s.Update(sched.QuotasMsg{Now: now, Rates: map[string]float64{teamName(0): freeQuota}})
		s.Update(sched.TargetsMsg{Now: now, Targets: []sched.Target{sched.NewTarget(vmName(home, 0), "rack", slots)}})
		for i := range n + slots {
			s.Update(sched.ArriveMsg{Now: now, ID: sched.ID(i), Team: teamName(0), Deadline: now.Add(time.Hour)})
		}
		if got := s.Stats().Queued(sched.Normal) + s.Stats().Queued(sched.Urgent); got != n {
			panic(fmt.Sprintf("bench: %d of %d requests wait", got, n))
		}
		return s
	})
}

func quotaHeap(n int) float64 {
	rates := map[string]float64{}
	for i := range n {
		rates[teamName(i)] = freeQuota
	}
	c := heapOf(func() any {
		var l []*sched.Scheduler
		for i := range pools {
			s := sched.New(serviceName(i))
			s.Update(sched.QuotasMsg{Now: time.UnixMilli(began), Rates: rates})
			l = append(l, s)
		}
		return l
	})
	runtime.KeepAlive(rates)
	return c
}

func keyIDs(n int) []ledger.ID {
	l := make([]ledger.ID, n)
	for i := range l {
		l[i] = ledger.NewID(fmt.Sprint(home, "/order-", i))
	}
	return l
}

// book claims and settles every id at one holder.
func book(ids []ledger.ID) *ledger.Book {
	now, m := time.UnixMilli(began), ledger.Member{Entry: "entry-0", Incarnation: 1}
	b := ledger.NewBook(m, ledger.WithRecords(2*len(ids)))
	r := ledger.NewRoster(home, []ledger.Member{m}, 1)
	b.Adopt(ledger.RosterMsg{Now: now, Roster: r})
	for _, id := range ids {
		if a := b.Claim(ledger.ClaimMsg{Now: now, ID: id, Roster: r.Number(), Attempt: 7, Digest: 9}); a.Verdict != ledger.Granted {
			panic(fmt.Sprint("bench: claim: ", a.Verdict))
		}
		b.Settle(ledger.SettleMsg{Now: now, Record: ledger.Record{ID: id, Attempt: 7, Phase: ledger.Answered}})
	}
	return b
}

func keyHeap(n int) float64 {
	ids := keyIDs(n)
	c := heapOf(func() any { return book(ids) })
	runtime.KeepAlive(ids)
	return c
}

func keyCPU(n int) float64 {
	ids := keyIDs(n)
	return cpuOf(func() { book(ids) })
}
