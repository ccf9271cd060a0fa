package admit_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"burdockreach.dev/flow/admit"
)

func init() { _ = flag.Set("rapid.seed", "1") }

const capacity = 100.0 // requests a second

// admittedRates sends requests of each team at its rate from one time to another, and returns the admitted requests per second.
func admittedRates(g *admit.Gate, from, to time.Duration, shedding bool, perSecond map[string]float64) map[string]float64 {
	got, next := map[string]float64{}, map[string]time.Duration{}
	for now := from; now < to; now += time.Millisecond {
		for _, n := range []string{"a", "b", "c", "none"} {
			p := perSecond[n]
			if p == 0 || now < next[n] {
				continue
			}
			next[n] = max(next[n], from) + time.Duration(float64(time.Second)/p)
			if v, _ := g.Arrive(now, n, admit.NewLoad(false, shedding, capacity)); v.Admitted() {
				got[n] += 1 / (to - from).Seconds()
			}
		}
	}
	return got
}

func expectBetween(t *testing.T, x, least, most float64) {
	t.Helper()
	if x < least || x > most {
		t.Fatalf("%v is not between %v and %v", x, least, most)
	}
}

func TestGate(t *testing.T) {
	start := func() *admit.Gate {
		g := admit.New()
		g.SetRates(map[string]float64{"a": 60, "b": 30, "c": 10})
		return g
	}
	t.Run("admits every request without rates", func(t *testing.T) {
		v, _ := admit.New().Arrive(0, "a", admit.NewLoad(false, true, capacity))
		is.New(t).Equal(v, admit.Within)
	})
	t.Run("shares by rate when all teams are over their rates", func(t *testing.T) {
		got := admittedRates(start(), 0, 20*time.Second, true, map[string]float64{"a": 300, "b": 300, "c": 300})
		expectBetween(t, got["a"], 60, 72)
		expectBetween(t, got["b"], 30, 36)
		expectBetween(t, got["c"], 10, 12)
	})
	t.Run("lends an idle share and takes it back within a second", func(t *testing.T) {
		g := start()
		all := map[string]float64{"a": 60, "b": 30, "c": 300}
		admittedRates(g, 0, time.Second, false, all)
		got := admittedRates(g, time.Second, 10*time.Second, false, map[string]float64{"c": 300})
		expectBetween(t, got["c"], 90, 125) // its own rate is 10
		got = admittedRates(g, 10*time.Second, 11*time.Second, false, all)
		expectBetween(t, got["a"], 59, 61)
		expectBetween(t, got["b"], 29, 31)
		got = admittedRates(g, 11*time.Second, 20*time.Second, false, all)
		expectBetween(t, got["c"], 10, 12)
	})
	t.Run("a team without a rate gets only idle capacity", func(t *testing.T) {
		i, g := is.New(t), start()
		v, after := g.Arrive(0, "none", admit.NewLoad(false, false, capacity))
		i.Equal(v, admit.OverRate)
		i.True(after > 0)
		v, _ = g.Arrive(0, "none", admit.NewLoad(true, false, capacity))
		i.Equal(v, admit.Lent)
	})
	t.Run("a retry after the returned time is admitted", func(t *testing.T) {
		i, g := is.New(t), admit.New()
		g.SetRates(map[string]float64{"a": 120, "b": 80}) // more than the capacity
		got := admittedRates(g, 0, 5*time.Second, true, map[string]float64{"a": 300, "b": 300})
		expectBetween(t, got["a"], 1.4*got["b"], 1.6*got["b"])
		v, after := admit.Within, time.Duration(0)
		for k := 0; v.Admitted() && k < 3; k++ {
			v, after = g.Arrive(5*time.Second, "a", admit.NewLoad(false, true, capacity))
		}
		i.Equal(v, admit.Overloaded)
		v, _ = g.Arrive(5*time.Second+after+time.Millisecond, "a", admit.NewLoad(false, true, capacity))
		i.Equal(v, admit.Within)
	})
}

func TestRefusedRequestsComeBackAtTheTeamsRate(t *testing.T) {
	i, g := is.New(t), admit.New()
	g.SetRates(map[string]float64{"a": 10})
	busy := admit.NewLoad(false, false, 0)
	due := map[time.Duration]int{}
	firstRefusals, refusals := 0, 0
	for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
		n := due[now]
		if now == 0 {
			n = 100
		}
		for range n {
			v, after := g.Arrive(now, "a", busy)
			if !v.Admitted() {
				due[now+after.Truncate(10*time.Millisecond)+20*time.Millisecond]++ // retries after the wait, never earlier
				refusals++
				if now == 0 {
					firstRefusals++
				}
			}
		}
	}
	i.True(firstRefusals >= 89)
	i.Equal(refusals, firstRefusals) // no request is refused twice
}

// naiveGate is a reference implementation that finds the active teams by a scan of all teams.
type naiveGate struct {
	rates, usedUntil map[string]float64
	lastRequest      map[string]time.Duration
	now              time.Duration
	virtual          float64
}

func (n *naiveGate) arrive(now time.Duration, name string, idleSlot, shedding bool) admit.Verdict {
	if n.rates[name] == 0 {
		if idleSlot {
			return admit.Lent
		}
		return admit.OverRate
	}
	n.lastRequest[name] = now
	active := 0.0
	for t, s := range n.lastRequest {
		if s+time.Second >= now {
			active += n.rates[t]
		}
	}
	speed := 1.1 * capacity / active
	if !shedding {
		speed = max(1, speed)
	}
	n.virtual += min(now-n.now, time.Second).Seconds() * speed
	n.now = now
	switch {
	case n.usedUntil[name] <= n.virtual+1:
		n.usedUntil[name] = max(n.usedUntil[name], n.virtual) + 1/n.rates[name]
		return admit.Within
	case idleSlot:
		return admit.Lent
	case speed < 1:
		return admit.Overloaded
	}
	return admit.OverRate
}

func TestSameAsNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, n := admit.New(), &naiveGate{rates: map[string]float64{}, usedUntil: map[string]float64{}, lastRequest: map[string]time.Duration{}}
		for k := range rapid.IntRange(1, 6).Draw(t, "teams") {
			n.rates[fmt.Sprint(k)] = float64(rapid.IntRange(0, 80).Draw(t, "rate"))
		}
		g.SetRates(n.rates)
		var now time.Duration
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now += time.Duration(rapid.SampledFrom([]int{0, 1, 5, 50, 400}).Draw(t, "pass")) * time.Millisecond
			name := fmt.Sprint(rapid.IntRange(0, 6).Draw(t, "team"))
			idleSlot, shedding := rapid.IntRange(0, 9).Draw(t, "spare") == 0, rapid.Bool().Draw(t, "tight")
			a, _ := g.Arrive(now, name, admit.NewLoad(idleSlot, shedding, capacity))
			if b := n.arrive(now, name, idleSlot, shedding); a != b {
				t.Fatalf("verdict %v on %s, naive %v", a, name, b)
			}
		}
	})
}
