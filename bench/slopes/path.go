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
	warmUpTime      = 300 * time.Millisecond
	idlePeriod      = 1000 * time.Millisecond
	callers         = 16
	ampleQuota      = 1e6 // requests a second
	minimalSettings = `{"name":"entry-0","dataCentre":"north-1","dataCentres":["north-1"],"callerAddr":"127.0.0.1:1",
		"peerAddr":"127.0.0.1:2","operatorAddr":"127.0.0.1:3","platformAddr":"127.0.0.1:4"}`
)

// settings returns the settings of an entry, all with their defaults.
func settings() setup.Settings {
	s, err := setup.Parse([]byte(minimalSettings))
	if err != nil {
		panic(fmt.Sprint("bench: settings: ", err))
	}
	return s
}

// pathSeries measures an entry's request path and the memory that it uses.
func pathSeries() []slope.Series {
	return []slope.Series{
		measureSeries("queueHeap", "requests that wait in the scheduler", "B", "request", queueSizes, queueHeap),
		measureSeries("quotaHeap", "quotas of 51 services in memory", "B", "team", teamSizes, quotaHeap),
		measureSeries("keyHeap", "records of keys in memory", "B", "key", keySizes, keyHeap),
		measureSeries("entryIdle", "entry with 51 services and 12 entries, without requests, each second", "ns", "VM of the data centre", vmSizes,
			func(n int) float64 { return idleCPU(configHolder(poolCount, designTeams), n) }),
		measureSeries("entryServices", "entry with 1,500 targets, without requests, each second", "ns", "service", idleServices,
			func(n int) float64 { return idleCPU(configHolder(n, designTeams), designVMs) }),
		measureSeries("entryChange", "entry's tables made anew for one change", "ns", "VM of the data centre", vmSizes, changeCPU),
		measureSeries("entryHeap", "entry's tables of targets, shares and connections in memory", "B", "VM of the data centre", heapSizes, func(n int) float64 {
			h, v := configHolder(poolCount, designTeams), viewHolder(targets(n))
			// The larger of two runs: memory that earlier runs release late can only lower the result.
			return max(entryHeap(h, v, designTeams), entryHeap(h, v, designTeams))
		}),
		measureSeries("requestCPU", "requests through the entry, less the same straight to the target", "ns", "request", requestSizes, requestCPU),
		measureSeries("keyCPU", "claims and settlements at one holder without the wire", "ns", "key", keySizes, keyCPU),
	}
}

func viewHolder(l []view.Target) *view.Holder {
	s := view.NewHolder()
	if err := s.Put(view.New(view.Version{Fence: 1, Count: 1}, l)); err != nil {
		panic(fmt.Sprint("bench: put: ", err))
	}
	return s
}

// runEntry starts an entry and calls f with its address. Its roster has 12 entries, all settled on it, so that
// each keeps to its share.
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
	time.Sleep(warmUpTime / 3)
	now, names, rates := time.Now(), []string{}, map[string]float64{}
	for i := range entriesPerDataCentre {
		names = append(names, fmt.Sprint("entry-", i))
	}
	for i := range teams {
		rates[teamName(i)] = ampleQuota
	}
	e.SetRoster(now, 2, names)
	for _, n := range names {
		e.SetPeerSettled(now, n, 2)
	}
	e.SetQuotas(now, rates)
	time.Sleep(warmUpTime)
	f(l.Addr().String())
	stop()
	_ = g.Wait()
}

// idleCPU returns the processor time, in nanoseconds a second, of an entry without requests.
func idleCPU(h *conf.Holder, n int) (c float64) {
	runEntry(h, viewHolder(targets(n)), designTeams, func(string) {
		c = minOfRuns(func() float64 {
			cpuBefore, began := cpuNow(), time.Now()
			time.Sleep(idlePeriod)
			return float64(cpuNow()-cpuBefore) / time.Since(began).Seconds()
		})
	})
	return c
}

// measuredChanges is the number of changes over which the cost of one is averaged.
const (
	measuredChanges = 20
	changePause     = 30 * time.Millisecond
)

// changeCPU returns the processor time of one change in nanoseconds: that of a period with changes less that of one without.
func changeCPU(n int) (c float64) {
	h := configHolder(poolCount, designTeams)
	runEntry(h, viewHolder(targets(n)), designTeams, func(string) {
		cpuBefore := cpuNow()
		time.Sleep(measuredChanges * changePause)
		idle := cpuNow() - cpuBefore
		cpuBefore = cpuNow()
		for i := range measuredChanges {
			time.Sleep(changePause)
			q := quotaChange(int(h.Document().Number())+1, i)
			q.Prev = ""
			if _, err := h.Offer(q); err != nil {
				panic(fmt.Sprint("bench: offer: ", err))
			}
		}
		c = float64(cpuNow()-cpuBefore-idle) / measuredChanges
	})
	return max(c, 0)
}

func entryHeap(h *conf.Holder, v *view.Holder, teams int) (c float64) {
	before := heapNow()
	runEntry(h, v, teams, func(string) { c = float64(heapNow()) - float64(before) })
	return c
}

// requestCPU returns the processor time of n requests through an entry, less that of n requests sent directly to the target.
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
	runEntry(configHolder(poolCount, designTeams), viewHolder(ts), designTeams, func(addr string) {
		sendRequests(addr, n/4)
		sendRequests(l.Addr().String(), n/4)
		cost := func(to string) float64 {
			cpuBefore := cpuNow()
			sendRequests(to, n)
			return float64(cpuNow() - cpuBefore)
		}
		c = minOfRuns(func() float64 { return cost(addr) }) - minOfRuns(func() float64 { return cost(l.Addr().String()) })
	})
	_ = s.Shutdown()
	_ = g.Wait()
	return c
}

const designVMs = 1500 // in one data centre

// sendRequests makes n requests, divided among concurrent callers.
func sendRequests(addr string, n int) {
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
	now := time.UnixMilli(startMillis)
	return heapOf(func() any {
		s := sched.New(serviceName(0), sched.WithMaxQueued(2*n))
		s.Update(sched.QuotasMsg{Now: now, Rates: map[string]float64{teamName(0): ampleQuota}})
		s.Update(sched.TargetsMsg{Now: now, Targets: []sched.Target{sched.NewTarget(vmName(homeDataCentre, 0), "rack", slotsPerWorker)}})
		for i := range n + slotsPerWorker {
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
		rates[teamName(i)] = ampleQuota
	}
	c := heapOf(func() any {
		var l []*sched.Scheduler
		for i := range poolCount {
			s := sched.New(serviceName(i))
			s.Update(sched.QuotasMsg{Now: time.UnixMilli(startMillis), Rates: rates})
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
		l[i] = ledger.NewID(fmt.Sprint(homeDataCentre, "/order-", i))
	}
	return l
}

// settledBook returns the book of a holder in which every key is claimed and settled.
func settledBook(ids []ledger.ID) *ledger.Book {
	now, m := time.UnixMilli(startMillis), ledger.Member{Entry: "entry-0", Incarnation: 1}
	b := ledger.NewBook(m, ledger.WithRecords(2*len(ids)))
	r := ledger.NewRoster(homeDataCentre, []ledger.Member{m}, 1)
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
	c := heapOf(func() any { return settledBook(ids) })
	runtime.KeepAlive(ids)
	return c
}

func keyCPU(n int) float64 {
	ids := keyIDs(n)
	return cpuOf(func() { settledBook(ids) })
}
