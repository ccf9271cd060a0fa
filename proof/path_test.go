package proof

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"burdockreach.dev/proof/rig"
)

// smallPlan returns a plan of one data centre with two entries and two targets.
func smallPlan() rig.Plan {
	return rig.Plan{DataCentres: 1, Entries: 2, Targets: 2, RunTime: 5 * time.Millisecond, MaxOut: 1, RebootTime: 300 * time.Millisecond}
}

// allEntries returns a function for StartLoad that returns all entries of the rig.
func allEntries(r *rig.Rig) func() []*rig.Entry { return func() []*rig.Entry { return r.Entries } }

// TestOrderIsServedWhole sends a request and then a copy through another entry. The copy must get the recorded answer without a second run.
func TestOrderIsServedWhole(t *testing.T) {
	i := is.New(t)
	r := rig.New(t, smallPlan())
	a := r.Entries[0].Send(rig.Request{Method: "POST", Path: "/order", Key: "k1", Body: "one tray"})
	i.NoErr(a.Err)
	i.Equal(a.Outcome, "answered")
	var b rig.Answer
	r.Await("the kept answer at the other entry", func() bool {
		b = r.Entries[1].Send(rig.Request{Method: "POST", Path: "/order", Key: "k1", Body: "one tray"})
		i.True(b.Outcome == "repeat" || b.Outcome == "unknown" && b.Status == 409) // 409 until the holders of the key have the outcome
		return b.Outcome == "repeat"
	})
	i.Equal(b.Body, a.Body)
	i.Equal(r.RunsByKey()["k1"], 1)
}
