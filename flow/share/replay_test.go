package share_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"burdockreach.dev/flow/sched"
	"burdockreach.dev/flow/share"
)

const (
	minGoodput  = 0.97        // of the capacity during bursts, when demand exceeds it
	maxRecovery = time.Second // after a burst
)

// workloads are the run times and class mixes of the bursts.
var workloads = map[string][]share.TraceOption{
	"uniform run times":     nil,
	"exponential run times": {share.WithExponentialRunTimes()},
	"many urgent requests":  {share.WithClasses(0.45, 0.1)},
	"no background":         {share.WithClasses(0.2, 0)},
	"short runs":            {share.WithMeanRunTime(20 * time.Millisecond)},
	"long runs":             {share.WithMeanRunTime(200 * time.Millisecond)},
}

func TestFiveFoldBursts(t *testing.T) {
	for name, o := range workloads {
		for seed := range uint64(2) {
			t.Run(fmt.Sprint(name, " seed ", seed+1), func(t *testing.T) {
				one := append([]share.TraceOption{share.WithEntries(1)}, o...)
				r := share.Replay(share.FiveFoldBursts(seed+1, one...), share.Fixed)
				checkBounds(t, &r, minGoodput)
			})
		}
	}
	t.Run("three entries with equal load", func(t *testing.T) {
		r := share.Replay(share.FiveFoldBursts(1), share.Lending)
		checkBounds(t, &r, minGoodput)
		// When no entry has a slot to spare, borrow requests back off, so few messages are sent.
		is.New(t).True(float64(r.Messages()) <= 4*3*share.FiveFoldBursts(1).End().Seconds())
	})
}

// checkBounds checks the goodput, that all urgent and background requests were answered in time, and the recovery time.
func checkBounds(t *testing.T, r *share.Result, wantGoodput float64) {
	t.Helper()
	i := is.New(t)
	t.Log(r)
	i.True(r.Goodput() >= wantGoodput)
	i.Equal(r.InTime(sched.Urgent), 1.0)
	i.Equal(r.InTime(sched.Background), 1.0)
	i.True(r.Recovery() <= maxRecovery)
}

func TestLendingBeatsOtherPolicies(t *testing.T) {
	i := is.New(t)
	x := share.FiveFoldBursts(1, share.WithSkew(3))
	run := func(p share.Policy) *share.Result {
		r := share.Replay(x, p)
		t.Log(p, &r)
		return &r
	}
	f, l, r, q := run(share.Fixed), run(share.Lending), run(share.Overcommit), run(share.FIFO)
	checkBounds(t, l, minGoodput)
	i.True(l.Goodput() > f.Goodput()+0.1)
	i.True(l.Goodput() > q.Goodput()+0.1)
	i.True(q.Recovery() > 2*l.Recovery())
	i.True(r.InTime(sched.Urgent) < 0.99) // refusals by targets spend the retry budget
	i.True(r.Refused() > 100*(l.Refused()+1))
}

func TestSilentTargetCostsLittleBeyondItsCapacity(t *testing.T) {
	i := is.New(t)
	x := share.FiveFoldBursts(1, share.WithEntries(1), share.WithSilentTarget(5*time.Second), share.WithBursts(6))
	r := share.Replay(x, share.Fixed)
	t.Log(&r, x.Requests())
	i.True(r.Ended(sched.ReasonUnknown)+r.Ended(sched.ReasonDeadline) <= 5)
	i.True(r.Goodput() >= minGoodput*0.75)
	i.True(r.InTime(sched.Urgent) >= 0.99)
}

func TestReplayIsRepeatable(t *testing.T) {
	x := share.FiveFoldBursts(3, share.WithBursts(1), share.WithSkew(2))
	a, b := share.Replay(x, share.Lending), share.Replay(x, share.Lending)
	is.New(t).Equal(a.String(), b.String())
}
