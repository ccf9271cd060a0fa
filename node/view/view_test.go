package view

import (
	"errors"
	"flag"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "1") }

func draw(t *rapid.T, v Version) *View {
	n := rapid.IntRange(0, 5).Draw(t, "n")
	ts := make([]Target, 0, n)
	for k := range n {
		ts = append(ts, Target{VM: fmt.Sprint("vm", k), Pool: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "pool"), Serving: rapid.Bool().Draw(t, "s")})
	}
	return New(v, ts)
}

// TestShelvesConverge passes deltas between shelves in any order, with losses and repeats.
func TestShelvesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shelves := []*Shelf{NewShelf(), NewShelf(), NewShelf()}
		var late []Delta
		var c int64
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			k := rapid.IntRange(0, 2).Draw(t, "to")
			before := shelves[k].View().Version()
			switch rapid.IntRange(0, 3).Draw(t, "act") {
			case 0:
				c++
				_ = shelves[0].Put(draw(t, Version{Fence: 1 + c/7, Count: c}))
			case 1:
				if d, ok := shelves[0].Since(before); ok {
					late = append(late, d)
				}
			default:
				if len(late) > 0 {
					_ = shelves[k].Offer(late[rapid.IntRange(0, len(late)-1).Draw(t, "d")])
				}
			}
			if before.After(shelves[k].View().Version()) {
				t.Fatalf("shelf %d went back from %v to %v", k, before, shelves[k].View().Version())
			}
		}
		for k, s := range shelves[1:] {
			if d, ok := shelves[0].Since(s.View().Version()); ok {
				if err := s.Offer(d); err != nil {
					t.Fatalf("shelf %d: %v", k+1, err)
				}
			}
			if !s.View().Same(shelves[0].View()) {
				t.Fatalf("shelf %d differs after it was brought up to date", k+1)
			}
		}
	})
}

func TestDeltaThatDoesNotFollowIsRefused(t *testing.T) {
	i := is.New(t)
	v := New(Version{1, 1}, []Target{{VM: "a"}})
	_, err := v.Apply(Delta{Base: Version{1, 2}, To: Version{1, 3}})
	i.True(errors.Is(err, ErrGap))
	_, err = v.Apply(Delta{Whole: true, To: Version{1, 1}})
	i.True(errors.Is(err, ErrOld))
}
