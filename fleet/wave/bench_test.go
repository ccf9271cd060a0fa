package wave

import (
	"fmt"
	"testing"

	"burdockreach.dev/fleet/pool"
)

// newMidWavePlanner returns a planner that has read all documents and is in the middle of a wave, and its host list.
func newMidWavePlanner(vms, pools int) (*Planner, HostsMsg) {
	p, h := New("a", pool.ShardCount), HostsMsg{At: 1000}
	var rules []ServicePolicy
	w := Wave{ID: "w"}
	for i := range pools {
		n := fmt.Sprintf("pool%d", i)
		rules = append(rules, ServicePolicy{Name: n, Pool: n, MaxOut: 2, DrainMillis: 30_000, RebootMillis: 300_000})
		w.Pools = append(w.Pools, n)
	}
	for i := range vms {
		h.Hosts = append(h.Hosts, Host{Name: fmt.Sprintf("vm%d", i), Pool: rules[i%pools].Pool, Rack: fmt.Sprintf("r%d", i/4), Boot: 1})
	}
	h.Hosts = append(h.Hosts, Host{Name: "e1", RunsEntry: true})
	r := &replay{planners: map[string]*Planner{"a": p}, shards: map[string]*pool.Table{}, budgets: map[string]BudgetMsg{}, vms: map[string]*replayVM{}}
	for _, v := range h.Hosts {
		r.vms[v.Name] = &replayVM{}
	}
	t := pool.NewTable(pool.ShardCount)
	r.shards["a"] = &t
	r.deliver("a", PolicyMsg{At: 1000, Services: rules, Waves: []Wave{w}})
	r.deliver("a", EntryReportMsg{At: 1000, Entry: "e1"})
	r.deliver("a", h)
	r.deliver("a", TickMsg{At: 1000})
	return p, h
}

func BenchmarkTick(b *testing.B) {
	for _, c := range []struct{ vms, pools int }{{50, 5}, {500, 51}, {1500, 51}, {9000, 51}} {
		b.Run(fmt.Sprintf("vms=%d/pools=%d", c.vms, c.pools), func(b *testing.B) {
			p, h := newMidWavePlanner(c.vms, c.pools)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				h.At = 1000 + int64(i)
				p.Update(h)
				p.Update(EntryReportMsg{At: h.At, Entry: "e1"})
				p.Update(TickMsg{At: h.At})
			}
		})
	}
}
