package wave

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// TestReplay checks that a wave keeps the budget and takes at most 10% longer than the longest-job-first schedule.
func TestReplay(t *testing.T) {
	for _, seed := range []int64{1, 2, 3} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			r := Replay(DayTrace(seed, 10, 2))
			t.Logf("%+v ratio to least %.3f, to bound %.3f", r, float64(r.Took)/float64(r.Least), float64(r.Took)/float64(r.Bound))
			is.New(t).True(r.Took > 0)
			is.New(t).True(r.MaxOut <= 2)
			is.New(t).True(r.Took*100 <= r.Least*110)
		})
	}
}

// TestBadWave checks that canaries at least halve the VMs lost to a wave whose reboots never end.
func TestBadWave(t *testing.T) {
	d := DayTrace(1, 60, 9)
	for i := range d.VMs {
		d.VMs[i].Wrecked = d.VMs[i].Pool != "office"
	}
	a, b := Replay(d), Replay(d, WithCanary(0))
	t.Logf("lost with a canary %d, without %d of %d", a.Lost, b.Lost, len(d.VMs))
	is.New(t).Equal(a.Took, int64(0)) // the wave stops before it is done.
	is.New(t).True(a.Lost*2 < b.Lost)
}

func ExampleReplay() {
	r := Replay(DayTrace(1, 4, 1))
	fmt.Println(r.MaxOut, r.Lost)
	// Output: 1 0
}
