package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockreach.dev/bench/slope"
	"burdockreach.dev/fakes/cloud"
	"burdockreach.dev/flow/ledger"
	"burdockreach.dev/node/entry"
	"burdockreach.dev/node/relay"
	"burdockreach.dev/node/view"
	"burdockreach.dev/plat/keyval"
)

var (
	serviceSizes = []int{13, 26, 51, 102}
	callSizes    = []int{50, 100, 200, 400}
)

const measuredBeats = 200

// countedConn adds the bytes that it reads and writes to a sum.
type countedConn struct {
	net.Conn
	sum *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.sum.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sum.Add(int64(n))
	return n, err
}

// peerReport has the JSON form of what node/daemon puts into the members field of a beat.
type peerReport struct {
	Version       view.Version      `json:"v"`
	Leading       bool              `json:"lead,omitempty"`
	Drained       []entry.DrainedVM `json:"quits,omitempty"`
	Leaving       []entry.LeavingVM `json:"leaving,omitempty"`
	Delta         *view.Delta       `json:"delta,omitempty"`
	SettledRoster int64             `json:"shares,omitempty"`
}

// idleEntry is the state of an entry with that number of services, in which nothing changes.
type idleEntry int

func (idleEntry) Applied() int64                            { return 16_000 }
func (idleEntry) ChangesSince(int64) (c [][]byte, s []byte) { return nil, nil }
func (idleEntry) Offer([][]byte, []byte)                    {}
func (n idleEntry) Report() relay.Report {
	b, err := json.Marshal(peerReport{Version: view.Version{Fence: 1 << 20, Count: 4000}, SettledRoster: 3 << 40})
	if err != nil {
		panic(fmt.Sprint("bench: encode: ", err))
	}
	r := relay.Report{Members: b}
	for i := range int(n) {
		r.Loads = append(r.Loads, &relay.ServiceLoad{Service: serviceName(i), Busy: 70, Queued: 12, Idle: 10, Arrivals: 31.5})
	}
	return r
}

// beatSeries measures beats between two entries, and calls of the platform's service, over loopback.
func beatSeries() []slope.Series {
	return []slope.Series{
		measureSeries("beatBytes", "beat and its answer on the wire, both ways", "B", "service", serviceSizes, func(n int) float64 { return measureBeats(n).bytes }),
		measureSeries("beatCPU", "beat at sender and receiver together", "ns", "service", serviceSizes, func(n int) float64 { return measureBeats(n).cpu }),
		measureSeries("farBytes", "beat to another data centre on the wire, both ways", "B", "beat", callSizes, farBytes),
		measureSeries("callBytes", "calls of the platform's service without values on the wire, both ways", "B", "call", callSizes,
			func(n int) float64 { return measureCalls(n).bytes }),
		measureSeries("callCPU", "calls of the platform's service with its stand-in", "ns", "call", callSizes,
			func(n int) float64 { return measureCalls(n).cpu }),
	}
}

type beatCost struct{ bytes, cpu float64 }

// withPeer starts an entry with n services and calls f with a client, the entry's address and the count of their bytes.
func withPeer(n int, f func(c *relay.Client, addr string, sum *atomic.Int64)) {
	var lc net.ListenConfig
	ctx, stop := context.WithCancel(context.Background())
	l, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		panic(fmt.Sprint("bench: listen: ", err))
	}
	var sum atomic.Int64
	d := net.Dialer{Timeout: time.Second}
	c := relay.NewClient(relay.WithCallTimeout(time.Second), relay.WithDial(func(x context.Context, network, addr string) (net.Conn, error) {
		o, err := d.DialContext(x, network, addr)
		return countedConn{o, &sum}, err
	}))
	self := ledger.Member{Entry: "entry-north-1-02", Addr: l.Addr().String(), Incarnation: 2}
	k := relay.NewKeeper(self, homeDataCentre, dataCentres, keyval.NewMemory(), c)
	s := relay.NewServer(relay.Service{Keeper: k, Beater: relay.NewBeater(k, c, idleEntry(n))})
	var g errgroup.Group
	g.Go(func() error { return s.Serve(ctx, l) })
	f(c, l.Addr().String(), &sum)
	c.Close()
	stop()
	_ = g.Wait()
}

func beatRequest(dataCentre string) *relay.BeatRequest {
	return &relay.BeatRequest{
		Entry: "entry-" + dataCentre + "-01", DataCentre: dataCentre, Incarnation: 1 << 60, Applied: 16_000, Roster: 3 << 40,
		Holding: 3 << 40, PeerRoster: 3 << 40, Addr: "10.20.30.40:7101",
	}
}

func sendBeat(c *relay.Client, addr string, q *relay.BeatRequest) {
	if _, err := c.Beat(context.Background(), addr, q); err != nil {
		panic(fmt.Sprint("bench: beat: ", err))
	}
}

func measureBeats(n int) (b beatCost) {
	withPeer(n, func(c *relay.Client, addr string, sum *atomic.Int64) {
		q, r := beatRequest(homeDataCentre), idleEntry(n).Report()
		q.Roster = 0 // the receiver has no roster, and with another number would fetch one
		q.Loads, q.Members = r.Loads, r.Members
		sendBeat(c, addr, q)
		bytesBefore := sum.Load()
		for range measuredBeats {
			sendBeat(c, addr, q)
		}
		b.bytes = float64(sum.Load()-bytesBefore) / measuredBeats
		b.cpu = cpuOf(func() { sendBeat(c, addr, q) })
	})
	return b
}

func farBytes(n int) (b float64) {
	withPeer(poolCount, func(c *relay.Client, addr string, sum *atomic.Int64) {
		q := beatRequest(dataCentres[1])
		sendBeat(c, addr, q)
		bytesBefore := sum.Load()
		for range n {
			sendBeat(c, addr, q)
		}
		b = float64(sum.Load() - bytesBefore)
	})
	return b
}

// measureCalls makes n calls of a stand-in of the platform's service, through a forwarder to count bytes and directly to measure
// processor time.
func measureCalls(n int) (b beatCost) {
	ctx, stop := context.WithCancel(context.Background())
	var g errgroup.Group
	s := cloud.New()
	g.Go(func() error { return s.Serve(ctx, "127.0.0.1:0") })
	<-s.Ready()
	var sum atomic.Int64
	addr := startForwarder(ctx, &g, s.Addr(), &sum)
	direct, counted := keyval.New(s.Addr(), keyval.WithName("entry-north-1-01")), keyval.New(addr, keyval.WithName("entry-north-1-01"))
	get := func(c *keyval.Client) {
		if _, err := c.Get(ctx, "dc/north-1/leader"); err != nil {
			panic(fmt.Sprint("bench: get: ", err))
		}
	}
	for range n {
		get(counted)
	}
	b.bytes = float64(sum.Load())
	cpuBefore := cpuNow()
	for range n {
		get(direct)
	}
	b.cpu = float64(cpuNow() - cpuBefore)
	direct.Close()
	counted.Close()
	stop()
	_ = g.Wait()
	return b
}
