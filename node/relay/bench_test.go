package relay

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"google.golang.org/protobuf/proto"

	"burdockreach.dev/flow/ledger"
)

// benchFleet starts three entries on loopback and waits until their roster is in force.
func benchFleet(b *testing.B) []*node {
	f := newFleet(b)
	l := []*node{f.startAt("a", "east"), f.startAt("b", "east"), f.startAt("c", "east")}
	f.inForce(l...)
	b.ResetTimer()
	return l
}

// BenchmarkTake measures one claim at a time at two holders over loopback; the claimant is itself a holder of two keys in three.
func BenchmarkTake(b *testing.B) {
	n := benchFleet(b)[0]
	b.ReportAllocs()
	for k := range b.N {
		t, err := n.ClaimKey(n.ctx, fmt.Sprint("east/", k), body, "1")
		if err != nil {
			b.Fatal(err)
		}
		t.Settle(ledger.Answered, 200, "text/plain", body)
	}
}

// BenchmarkTakeParallel measures concurrent claims.
func BenchmarkTakeParallel(b *testing.B) {
	n := benchFleet(b)[0]
	b.SetParallelism(10)
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			id := n.nextBenchKey()
			t, err := n.ClaimKey(n.ctx, id, body, "1")
			if err != nil {
				b.Error(err)
				return
			}
			t.Settle(ledger.Answered, 200, "text/plain", body)
		}
	})
}

func (n *node) nextBenchKey() string { return fmt.Sprint("east/p", n.benchKeys.Add(1)) }

// BenchmarkBeatSize reports the bytes of a beat with the loads of 51 services and with lists of drained VMs.
func BenchmarkBeatSize(b *testing.B) {
	for _, vms := range []int{-1, 0, 20, 200} {
		b.Run(fmt.Sprint(vms, " drained"), func(b *testing.B) {
			q := &BeatRequest{
				Entry: "entry-east-17", DataCentre: "east", Incarnation: 1 << 60, Applied: 16_000, Roster: 3 << 40, Holding: 3 << 40,
				PeerRoster: 3 << 40, Addr: "10.20.30.40:7101",
			}
			for s := range 51 * min(vms+1, 1) { // no loads for vms = -1
				q.Loads = append(q.Loads, &ServiceLoad{Service: fmt.Sprint("service-", s), Busy: 70, Queued: 12, Idle: 10, Arrivals: 31.5})
			}
			for v := range max(vms, 0) {
				q.Drained = append(q.Drained, fmt.Sprintf("worker-east-%04d", v))
			}
			var w []byte
			for b.Loop() {
				w, _ = proto.Marshal(q)
			}
			b.ReportMetric(float64(len(w)), "B/beat")
		})
	}
}

// countingConn counts the bytes sent and received on a connection.
type countingConn struct {
	net.Conn
	out, in *atomic.Int64
}

func (c countingConn) Write(b []byte) (int, error) {
	c.out.Add(int64(len(b)))
	return c.Conn.Write(b)
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Add(int64(n))
	return n, err
}

// BenchmarkBeatWire measures a beat without loads over HTTP: its time, and the bytes of request and reply with their headers.
func BenchmarkBeatWire(b *testing.B) {
	f := newFleet(b)
	n := f.startAt("entry-east-17", "east")
	var out, in atomic.Int64
	c := NewClient(WithDial(func(ctx context.Context, network, addr string) (net.Conn, error) {
		d, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		return countingConn{Conn: d, out: &out, in: &in}, err
	}))
	defer c.Close()
	q := &BeatRequest{
		Entry: "entry-east-18", DataCentre: "east", Incarnation: 1 << 60, Applied: 16_000, Roster: 3 << 40, Holding: 3 << 40,
		PeerRoster: 3 << 40, Addr: "10.20.30.40:7101", NoLoads: true,
	}
	b.ResetTimer()
	for range b.N {
		if _, err := c.Beat(b.Context(), n.self.Addr, q); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(out.Load())/float64(b.N), "B-out/beat")
	b.ReportMetric(float64(in.Load())/float64(b.N), "B-in/beat")
}
