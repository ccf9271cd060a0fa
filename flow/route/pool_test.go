package route_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"burdockreach.dev/flow/route"
)

func init() { _ = flag.Set("rapid.seed", "1") }

func pool(n, slots int, o ...route.Option) *route.Pool {
	p := route.New(o...)
	set(p, 0, n, slots)
	return p
}

func set(p *route.Pool, now time.Duration, n, slots int) {
	var l []route.Target
	for i := range n {
		l = append(l, route.NewTarget(fmt.Sprint("vm-", i), fmt.Sprint("rack-", i/2), slots))
	}
	p.SetTargets(now, l)
}

// run sends one request each millisecond of the span and counts the sends by target. Requests end two sends later,
// those to bad targets with a failure.
func run(p *route.Pool, from, to time.Duration, bad func(string) bool) map[string]int {
	sent := map[string]int{}
	var out []string
	for now := from; now < to; now += time.Millisecond {
		if t, ok := p.Pick(now, "", false); ok {
			sent[t]++
			out = append(out, t)
		}
		for len(out) > 2 {
			o := route.Succeeded
			if bad(out[0]) {
				o = route.Failed
			}
			p.Done(now, out[0], o, 0)
			out = out[1:]
		}
	}
	for _, t := range out {
		p.Done(to, t, route.Inconclusive, 0)
	}
	return sent
}

// oneOf returns a predicate that reports whether a target is one of the named ones.
func oneOf(names ...string) func(string) bool {
	m := map[string]bool{}
	for _, n := range names {
		m[n] = true
	}
	return func(s string) bool { return m[s] }
}

func TestEjection(t *testing.T) {
	t.Run("a target that fails everything gets a few requests and then rare probes", func(t *testing.T) {
		i, p := is.New(t), pool(4, 8)
		n := run(p, 0, time.Second, oneOf("vm-1"))
		i.True(n["vm-1"] <= 6)
		n = run(p, time.Second, time.Minute, oneOf("vm-1"))
		i.True(n["vm-1"] >= 4 && n["vm-1"] <= 8) // after 1, 2, 4, 8, 16 and 32 s
		i.Equal(p.Ejected(), 1)
	})
	t.Run("never more than the allowed share is ejected, and the rest stays in use", func(t *testing.T) {
		i, p := is.New(t), pool(10, 8, route.WithMaxEjected(0.3))
		n := run(p, 0, 10*time.Second, func(string) bool { return true })
		i.Equal(p.Ejected(), 3)
		sum := 0
		for _, k := range n {
			sum += k
		}
		i.Equal(sum, 10000)
	})
	t.Run("targets that fail no more than the others are not ejected", func(t *testing.T) {
		i, p, k := is.New(t), pool(4, 8), 0
		run(p, 0, 20*time.Second, func(string) bool { k++; return k*2654435761>>8%10 < 3 })
		i.Equal(p.Ejected(), 0)
	})
	t.Run("a target that recovered gets its slots back one by one", func(t *testing.T) {
		i, p := is.New(t), pool(2, 8)
		run(p, 0, 500*time.Millisecond, oneOf("vm-1"))
		i.Equal(p.Slots(), 8)
		now := 3 * time.Second
		for p.Ejected() == 1 {
			x, _ := p.Pick(now, "", false)
			p.Done(now, x, route.Succeeded, 0)
		}
		i.Equal(p.Free(), 9) // one slot is open to the target that came back
		run(p, now, now+time.Second, oneOf())
		i.Equal(p.Free(), 16)
	})
	t.Run("a request that delays probes is not the first probe", func(t *testing.T) {
		i, p := is.New(t), pool(2, 8)
		run(p, 0, 500*time.Millisecond, oneOf("vm-1"))
		x, _ := p.Pick(1100*time.Millisecond, "", true)
		i.Equal(x, "vm-0")
		x, _ = p.Pick(1200*time.Millisecond, "", false)
		i.Equal(x, "vm-1")
	})
}

// TestLastTargetsAreNotLeftEjected checks that an ejected target is used again when the last other one leaves.
func TestLastTargetsAreNotLeftEjected(t *testing.T) {
	i, p := is.New(t), pool(2, 8)
	run(p, 0, 500*time.Millisecond, oneOf("vm-1"))
	i.Equal(p.Ejected(), 1)
	p.MarkLeaving(500*time.Millisecond, "vm-0")
	i.Equal(p.Free(), 8) // a failing target is better than none
	i.Equal(p.Ejected(), 0)
}

// TestProbeIsDueWithoutFreeSlots checks that the probe of an ejected target does not wait for a free slot elsewhere.
func TestProbeIsDueWithoutFreeSlots(t *testing.T) {
	i, p := is.New(t), pool(2, 8)
	run(p, 0, 500*time.Millisecond, oneOf("vm-1"))
	p.SetSlots("vm-0", 0)
	i.True(!p.Ready(510 * time.Millisecond))
	i.True(p.Ready(2 * time.Second))
	x, _ := p.Pick(2*time.Second, "", false)
	i.Equal(x, "vm-1")
}

func TestLeaving(t *testing.T) {
	i, p := is.New(t), pool(2, 8)
	p.MarkLeaving(0, "vm-0")
	set(p, time.Second, 2, 8) // the list is stale and still has the target
	n := run(p, time.Second, 29*time.Second, oneOf())
	i.Equal(n["vm-0"], 0)
	set(p, 29*time.Second, 0, 8)
	set(p, 29*time.Second, 2, 8)
	n = run(p, 29*time.Second, 30*time.Second, oneOf())
	i.True(n["vm-0"] > 0) // the list dropped the target and has it again
}

func TestSlotOfLostRequestStaysTaken(t *testing.T) {
	i, p := is.New(t), pool(1, 1)
	x, _ := p.Pick(0, "", false)
	p.Done(0, x, route.Lost, time.Second)
	_, ok := p.Pick(999*time.Millisecond, "", false)
	i.True(!ok)
	i.Equal(p.Busy(), 0)
	m := map[string]int{}
	p.Taken(m)
	i.Equal(m["vm-0"], 1)
	p.Done(0, x, route.Succeeded, 0) // a second Done for the same request does nothing
	i.Equal(p.Busy(), 0)
	i.Equal(p.Free(), 0)
	p.Advance(time.Second)
	_, ok = p.Pick(time.Second, "", false)
	i.True(ok)
}

func TestRefusals(t *testing.T) {
	t.Run("a target that is full of requests of other entries is sent less for a while", func(t *testing.T) {
		i, p := is.New(t), pool(1, 8)
		var x string
		for range 8 {
			x, _ = p.Pick(0, "", false)
		}
		for range 5 {
			p.Done(0, x, route.Refused, 0)
		}
		i.Equal(p.Free(), 0) // it accepted three
		i.Equal(p.Ejected(), 0)
		p.Done(0, x, route.Succeeded, 0)
		i.Equal(p.Free(), 2) // the answered request's slot and one that the success opened
	})
	t.Run("a target that refuses while it has no request of this pool is ejected", func(t *testing.T) {
		i, p := is.New(t), pool(2, 8)
		for range 200 {
			x, _ := p.Pick(0, "", false)
			o := route.Succeeded
			if x == "vm-0" {
				o = route.Refused
			}
			p.Done(0, x, o, 0)
		}
		i.Equal(p.Ejected(), 1)
	})
}

// model is a naive reference implementation that scans all targets.
type model map[string]*struct{ slots, out int }

// least returns the least load of a target with a free slot, in sixteenths of its slots; 16 if there is none.
func (m model) least(avoid string) int {
	best := 16
	for n, x := range m {
		if x.out < x.slots && (n != avoid || len(m) == 1) {
			best = min(best, x.out*16/x.slots)
		}
	}
	return best
}

// TestPicksLeastLoadedAsNaive checks that Pick finds a target with the same load as the naive model does.
func TestPicksLeastLoadedAsNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, m := route.New(), model{}
		var l []route.Target
		for i := range rapid.IntRange(1, 12).Draw(t, "targets") {
			n, k := fmt.Sprint("vm-", i), rapid.IntRange(0, 9).Draw(t, "slots")
			m[n] = &struct{ slots, out int }{slots: k}
			l = append(l, route.NewTarget(n, fmt.Sprint(i%3), k))
		}
		p.SetTargets(0, l)
		var out []string
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			if rapid.IntRange(0, 2).Draw(t, "act") == 0 && len(out) > 0 {
				i := rapid.IntRange(0, len(out)-1).Draw(t, "done")
				p.Done(0, out[i], route.Succeeded, 0)
				m[out[i]].out--
				out = append(out[:i], out[i+1:]...)
				continue
			}
			avoid := fmt.Sprint("vm-", rapid.IntRange(0, 20).Draw(t, "avoid"))
			best := m.least(avoid)
			n, ok := p.Pick(0, avoid, false)
			if ok != (best < 16) || ok && m[n].out*16/m[n].slots != best {
				t.Fatalf("picked %q, least load is %d", n, best)
			}
			if ok {
				m[n].out++
				out = append(out, n)
			}
		}
	})
}

func TestSpreadsOverRacks(t *testing.T) {
	i, p := is.New(t), pool(4, 8) // two racks
	racks := map[string]int{}
	for range 2 {
		x, _ := p.Pick(0, "", false)
		racks[map[string]string{"vm-0": "a", "vm-1": "a", "vm-2": "b", "vm-3": "b"}[x]]++
	}
	i.Equal(racks["a"], 1)
}
