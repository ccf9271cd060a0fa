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

// TestCopiesConverge delivers deltas in any order, with losses and repeats. No copy may return to an older version, and all must hold
// the same targets once they have received the newest delta.
func TestCopiesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		copies := []*Holder{NewHolder(), NewHolder(), NewHolder()}
		var sent []Delta
		var c int64
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			k := rapid.IntRange(0, 2).Draw(t, "to")
			before := copies[k].View().Version()
			switch rapid.IntRange(0, 3).Draw(t, "act") {
			case 0:
				c++
				_ = copies[0].Put(draw(t, Version{Fence: 1 + c/7, Count: c}))
			case 1:
				if d, ok := copies[0].DeltaSince(before); ok {
					sent = append(sent, d)
				}
			default:
				if len(sent) > 0 {
					_ = copies[k].Offer(sent[rapid.IntRange(0, len(sent)-1).Draw(t, "d")])
				}
			}
			if before.After(copies[k].View().Version()) {
				t.Fatalf("copy %d went back from version %v to %v", k, before, copies[k].View().Version())
			}
		}
		for k, s := range copies[1:] {
			if d, ok := copies[0].DeltaSince(s.View().Version()); ok {
				if err := s.Offer(d); err != nil {
					t.Fatalf("copy %d refused the newest delta: %v", k+1, err)
				}
			}
			if !s.View().SameTargets(copies[0].View()) {
				t.Fatalf("copy %d differs from the leader's after the newest delta", k+1)
			}
		}
	})
}

func TestDeltaThatDoesNotFollowIsRefused(t *testing.T) {
	i := is.New(t)
	v := New(Version{1, 1}, []Target{{VM: "a"}})
	_, err := v.Apply(Delta{Base: Version{1, 2}, To: Version{1, 3}})
	i.True(errors.Is(err, ErrGap))
	_, err = v.Apply(Delta{Full: true, To: Version{1, 1}})
	i.True(errors.Is(err, ErrOld))
}
