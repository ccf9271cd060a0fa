package quota

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// account returns the account of a team with this limit and these runs.
func account(limit Size, runs ...Size) *Account {
	l := New()
	l.Set("a", limit)
	for _, s := range runs {
		l.Account("a").Add(s)
	}
	return l.Account("a")
}

func TestFits(t *testing.T) {
	for _, c := range []struct {
		name  string
		limit Size
		used  Size
		size  Size
		want  bool
	}{
		{"no limit", Size{}, Size{CPU: 9_000}, Size{CPU: 9_000, GPU: 4}, true},
		{"up to the limit", Size{CPU: 4_000}, Size{CPU: 3_000}, Size{CPU: 1_000}, true},
		{"beyond the limit", Size{CPU: 4_000}, Size{CPU: 3_001}, Size{CPU: 1_000}, false},
		{"another resource is not limited", Size{CPU: 4_000}, Size{MemMB: 9_000}, Size{CPU: 4_000, MemMB: 9_000}, true},
		{"memory binds", Size{CPU: 4_000, MemMB: 100}, Size{CPU: 1, MemMB: 60}, Size{CPU: 1, MemMB: 60}, false},
		{"larger than the limit, alone", Size{CPU: 4_000}, Size{}, Size{CPU: 5_000}, true},
		{"larger than the limit, beside another", Size{CPU: 4_000}, Size{CPU: 1}, Size{CPU: 5_000}, false},
		{"larger in one resource that is free", Size{CPU: 4_000, GPU: 1}, Size{CPU: 1_000}, Size{CPU: 1_000, GPU: 2}, true},
		{"needs nothing of what a fallen limit exceeds", Size{MemMB: 10}, Size{MemMB: 60}, Size{CPU: 1_000}, true},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(account(c.limit, c.used).Fits(c.size), c.want) })
	}
}

func TestFitsTogether(t *testing.T) {
	for _, c := range []struct {
		name        string
		used        Size
		n           int
		want, alone bool // alone: with nothing else running.
	}{
		{"within the limit", Size{CPU: 1_000}, 3, true, true},
		{"beside too much", Size{CPU: 2_000}, 3, false, true},
		{"never", Size{}, 5, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a := account(Size{CPU: 4_000}, c.used)
			is.Equal(a.FitsTogether(Size{CPU: 1_000}, c.n), c.want)
			is.Equal(a.FitsTogetherBeside(Size{CPU: 1_000}, c.n, Size{}), c.alone)
		})
	}
	t.Run("a single large run", func(t *testing.T) {
		is.New(t).True(account(Size{CPU: 4_000}).FitsTogether(Size{CPU: 5_000}, 1))
	})
}

// Starts that fit, ends in any order and changes of the limit must leave the account at the sum of what runs, and no start above the
// limit unless it is alone.
func TestRandomRuns(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		l := New()
		a := l.Account("a")
		var active []Size
		sum := int64(0)
		for range rapid.IntRange(1, 200).Draw(r, "steps") {
			s := Size{CPU: rapid.Int64Range(0, 3_000).Draw(r, "cpu")}
			switch k := rapid.IntRange(0, 9).Draw(r, "event"); {
			case k == 0:
				l.Set("a", Size{CPU: rapid.Int64Range(0, 8_000).Draw(r, "limit")})
			case k < 7 && a.Fits(s):
				limit := a.Limit().CPU
				if limit > 0 && s.CPU > 0 && sum > 0 && sum+s.CPU > limit {
					r.Fatalf("%d fits beside %d within %d", s.CPU, sum, limit)
				}
				a.Add(s)
				active, sum = append(active, s), sum+s.CPU
			case len(active) > 0:
				a.Remove(active[0])
				sum -= active[0].CPU
				active = active[1:]
			}
			if a.Used().CPU != sum || a.Runs() != len(active) {
				r.Fatalf("counted %+v of %d runs, want %d of %d", a.Used(), a.Runs(), sum, len(active))
			}
		}
	})
}

func TestShare(t *testing.T) {
	is := is.New(t)
	a := account(Size{CPU: 4_000, MemMB: 100})
	is.Equal(a.Share(Size{CPU: 1_000, MemMB: 50}), 0.5)
	is.Equal(a.Share(Size{CPU: 9_000}), 1.0)
	is.Equal(account(Size{}).Share(Size{CPU: 9_000}), 0.0)
}
