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
			r := Replay(DeploymentTrace(seed, 10, 2))
			t.Logf("%+v ratio to least %.3f, to bound %.3f", r, float64(r.TookMillis)/float64(r.ScheduleMillis), float64(r.TookMillis)/float64(r.LowerBoundMillis))
			is.New(t).True(r.TookMillis > 0)
			is.New(t).True(r.MaxOut <= 2)
			is.New(t).True(r.TookMillis*100 <= r.ScheduleMillis*110)
		})
	}
}

// TestBadWave checks that canaries at least halve the VMs lost to a wave whose reboots never end.
func TestBadWave(t *testing.T) {
	d := DeploymentTrace(1, 60, 9)
	for i := range d.VMs {
		d.VMs[i].RebootHangs = d.VMs[i].Pool != "office"
	}
	a, b := Replay(d), Replay(d, WithCanaryVMs(0))
	t.Logf("lost with a canary %d, without %d of %d", a.Lost, b.Lost, len(d.VMs))
	is.New(t).Equal(a.TookMillis, int64(0)) // the wave stops before it is done.
	is.New(t).True(a.Lost*2 < b.Lost)
}

func ExampleReplay() {
	r := Replay(DeploymentTrace(1, 4, 1))
	fmt.Println(r.MaxOut, r.Lost)
	// Output: 1 0
}
