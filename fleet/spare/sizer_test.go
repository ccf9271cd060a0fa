package spare

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "5s")
}

// testFleet returns two pools and a spare pool of three VMs each, in three racks.
func testFleet() ([]Rule, []VM) {
	r := []Rule{
		{Pool: "orders", Slots: 8, MinVMs: 1, MaxVMs: 5, TargetUse: 0.7, SurviveRacks: 1, MoveWeight: 1, BufferWeight: 1},
		{Pool: "checks", Slots: 8, MinVMs: 2, MaxVMs: 5, TargetUse: 0.7, SurviveRacks: 1, MoveWeight: 1, BufferWeight: 1},
		{Pool: "office", Spare: true},
	}
	var l []VM
	for i := range 9 {
		l = append(l, VM{Name: fmt.Sprintf("vm%d", i), Pool: r[i/3].Pool, Rack: fmt.Sprintf("r%d", i%3)})
	}
	return r, l
}

// drive sends the policy a tick for each second of the given time, with constant demand, and returns its moves. If v is
// given, the moves are made in it at once.
func drive(p Policy, v []VM, from, seconds int64, orders, checks float64) []MoveCmd {
	var l []MoveCmd
	for at := from * 1000; at < (from+seconds)*1000; at += 1000 {
		d := map[string]Demand{"orders": {Busy: orders, Arrivals: orders, Done: orders}, "checks": {Busy: checks, Arrivals: checks, Done: checks}}
		for _, c := range p.Update(TickMsg{AtMillis: at, Demand: d}) {
			m := c.(MoveCmd)
			l = append(l, m)
			if i := slices.IndexFunc(v, func(o VM) bool { return o.Name == m.VM }); i >= 0 {
				v[i].Pool = m.To
				p.Update(FleetMsg{VMs: v})
			}
		}
	}
	return l
}

func checkReasons(t *testing.T, l []MoveCmd, want ...Reason) {
	t.Helper()
	var got []Reason
	for _, m := range l {
		got = append(got, m.Reason)
	}
	is.New(t).Equal(got, want)
}

func TestSizer(t *testing.T) {
	begin := func() (*Sizer, []VM) {
		r, v := testFleet()
		s := New()
		s.Update(RulesMsg{Rules: r})
		s.Update(FleetMsg{VMs: v})
		checkReasons(t, drive(s, v, 1, 900, 14, 14))
		return s, v
	}
	t.Run("a burst that ends moves nothing", func(t *testing.T) {
		s, v := begin()
		checkReasons(t, drive(s, v, 901, 20, 60, 14))
		checkReasons(t, drive(s, v, 921, 60, 1, 14))
	})
	t.Run("lasting demand moves spare VMs in", func(t *testing.T) {
		s, v := begin()
		checkReasons(t, drive(s, v, 901, 40, 26, 14), Short)
		is.New(t).Equal(s.Need("orders"), 5)
		checkReasons(t, drive(s, v, 941, 620, 26, 14), Short) // four VMs can run it, though above the target use.
	})
	t.Run("a move that the list of VMs does not show yet is not commanded again", func(t *testing.T) {
		s, v := begin()
		checkReasons(t, drive(s, nil, 901, 40, 26, 14), Short)
		for at := int64(941); at < 960; at++ {
			s.Update(FleetMsg{VMs: v})
			checkReasons(t, drive(s, nil, at, 1, 26, 14))
		}
	})
	t.Run("waiting requests count once", func(t *testing.T) {
		s, _ := begin()
		for at := int64(901); at < 1500; at++ {
			d := map[string]Demand{"orders": {Busy: 14, Queued: 40, Arrivals: 14, Done: 14}, "checks": {Busy: 14, Arrivals: 14, Done: 14}}
			is.New(t).Equal(len(s.Update(TickMsg{AtMillis: at * 1000, Demand: d})), 0)
		}
	})
	t.Run("a failed VM is replaced after a while", func(t *testing.T) {
		s, v := begin()
		v[0].Failed, v[1].Failed = true, true
		s.Update(FleetMsg{VMs: v})
		checkReasons(t, drive(s, v, 901, 20, 6, 14))
		checkReasons(t, drive(s, v, 921, 600, 10, 14), Lost, Lost)
	})
	t.Run("a VM that reboots is not replaced", func(t *testing.T) {
		s, v := begin()
		v[0].Unavailable, v[1].Unavailable = true, true
		s.Update(FleetMsg{VMs: v})
		checkReasons(t, drive(s, v, 901, 700, 8, 14))
	})
	t.Run("an idle VM is returned once it has cost as much as two moves", func(t *testing.T) {
		s, v := begin()
		checkReasons(t, drive(s, v, 901, 7000, 1, 14))
		checkReasons(t, drive(s, v, 7901, 1500, 1, 14), Idle)
	})
	t.Run("a pool in one rack is spread", func(t *testing.T) {
		s, v := begin()
		for i := range v[:6] {
			v[i].Rack = "r0"
		}
		v[6].Rack, v[7].Rack, v[8].Rack = "r0", "r0", "r1"
		s.Update(FleetMsg{VMs: v})
		l := drive(s, v, 901, 40, 14, 14)
		is.New(t).True(len(l) > 0)
		is.New(t).True(l[0].Reason == Spread && l[0].VM == "vm8")
	})
}

// TestSizerTraces runs the sizer and the naive policy with the same random demand and failures and checks each move.
func TestSizerTraces(t *testing.T) {
	moves, naive := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		trace := rapid.SliceOfN(rapid.Uint16(), 10, 60).Draw(t, "trace")
		moves += runTrace(t, New(), trace, true)
		naive += runTrace(t, NewThreshold(), trace, false)
	})
	is.New(t).True(moves*2 < naive)
	t.Logf("moves %d, naive %d", moves, naive)
}

// runTrace runs the trace of demand and failures under the policy, checks its moves and returns their number.
func runTrace(t *rapid.T, p Policy, trace []uint16, strict bool) int {
	rules, v := testFleet()
	p.Update(RulesMsg{Rules: rules})
	n, at := 0, int64(1)
	for _, u := range trace {
		v[int(u>>8)%9].Failed = u%5 == 0
		for i := range v {
			v[i].Moving = false
		}
		p.Update(FleetMsg{VMs: v})
		for _, m := range drive(p, nil, at, int64(u%90)+1, float64(u%50), float64(u/50%40)) {
			n++
			apply(t, v, m, strict)
		}
		at += int64(u%90) + 1
	}
	return n
}

// apply makes the move in v. It fails the test if the VM is not in the pool that the move names, and with strict also if
// the VM cannot move or the pool exceeds its greatest number of VMs.
func apply(t *rapid.T, v []VM, m MoveCmd, strict bool) {
	for i := range v {
		if v[i].Name != m.VM {
			continue
		}
		if v[i].Pool != m.From || v[i].Pool == m.To || strict && (v[i].Failed || v[i].Moving) {
			t.Fatalf("move %+v of %+v", m, v[i])
		}
		v[i].Pool, v[i].Moving = m.To, true
	}
	n := 0
	for _, o := range v {
		if o.Pool == m.To && !o.Failed {
			n++
		}
	}
	if strict && m.To != "office" && m.Reason != Spread && n > 5 {
		t.Fatalf("move %+v brings pool %s above its MaxVMs", m, m.To)
	}
}

func ExampleSizer() {
	rules, vms := testFleet()
	s := New()
	s.Update(RulesMsg{Rules: rules})
	s.Update(FleetMsg{VMs: vms})
	drive(s, vms, 1, 600, 14, 14)
	for _, m := range drive(s, vms, 601, 60, 26, 14) {
		fmt.Println(m.VM, m.From, m.To, m.Reason)
	}
	// Output: vm6 office orders short
}

func BenchmarkTick(b *testing.B) {
	for _, c := range []struct{ vms, pools int }{{50, 5}, {500, 51}, {1500, 51}, {9000, 51}} {
		b.Run(fmt.Sprintf("vms=%d/pools=%d", c.vms, c.pools), func(b *testing.B) {
			s, d, l := New(), map[string]Demand{}, []VM{}
			var r []Rule
			for i := range c.pools {
				n := fmt.Sprintf("pool%d", i)
				r = append(r, Rule{Pool: n, Slots: 8, MinVMs: 1, TargetUse: 0.7, SurviveRacks: 1, MoveWeight: 1, BufferWeight: 0.001, Spare: i == 0})
				d[n] = Demand{Busy: 1, Arrivals: 1, Done: 1}
			}
			for i := range c.vms {
				l = append(l, VM{Name: fmt.Sprintf("vm%d", i), Pool: r[i%c.pools].Pool, Rack: fmt.Sprintf("r%d", i/4)})
			}
			s.Update(RulesMsg{Rules: r})
			b.ReportAllocs()
			for i := range b.N {
				s.Update(FleetMsg{VMs: l})
				s.Update(TickMsg{AtMillis: int64(i) * 1000, Demand: d})
			}
		})
	}
}
