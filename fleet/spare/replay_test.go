package spare

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// neverMove is a policy that never moves a VM.
type neverMove struct{}

func (neverMove) Update(Msg) []Cmd { return nil }

func TestReplayDay(t *testing.T) {
	for _, strike := range []bool{false, true} {
		for _, seed := range []int64{1} {
			t.Run(fmt.Sprintf("strike %v seed %d", strike, seed), func(t *testing.T) {
				d := DayTrace(seed, strike)
				a, b, c := Replay(d, New()), Replay(d, NewThreshold()), Replay(d, neverMove{})
				t.Logf("sizer %+v moves to hindsight %.2f", a, float64(a.Moves)/float64(a.PlanMoves))
				t.Logf("naive %d moves, %.4f late; no moves %.4f late, %.0f VM hours", b.Moves, b.LateShare, c.LateShare, c.ExcessHours)
				is.New(t).True(a.Moves*10 < b.Moves)
				is.New(t).True(a.LateShare < b.LateShare)
			})
		}
	}
}

func TestBuffers(t *testing.T) {
	for _, strike := range []bool{false, true} {
		var sum Buffer
		for seed := range int64(3) {
			for h := range 24 {
				b := Buffers(DayTrace(seed+1, strike).Needs(h), 4, 1)
				sum.Shared, sum.PerPool, sum.EqualShare = sum.Shared+b.Shared, sum.PerPool+b.PerPool, sum.EqualShare+b.EqualShare
			}
		}
		t.Logf("strike %v: spare VM hours of three days: %+v", strike, sum)
		is.New(t).True(sum.Shared < sum.PerPool && sum.PerPool <= sum.EqualShare)
	}
	var needs []int
	for i := range 51 {
		needs = append(needs, 25+i%10)
	}
	b := Buffers(needs, 4, 1)
	t.Logf("51 pools: %+v", b)
	is.New(t).True(b.Shared*10 <= b.PerPool*7)
}
