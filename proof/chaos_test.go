package proof

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockreach.dev/fakes/cloud"
	"burdockreach.dev/fakes/target"
	"burdockreach.dev/node/oper"
	"burdockreach.dev/plat/conf"
	"burdockreach.dev/proof/rig"
)

var (
	chaosSeed  = flag.Uint64("chaos.seed", 1, "seed of the failures that TestFailuresTogether injects")
	chaosSteps = flag.Int("chaos.steps", 14, "number of steps of TestFailuresTogether, with two failures each")
)

// failure is a kind of failure. inject causes it and returns the function that ends it.
type failure struct {
	name   string
	inject func(r *rig.Rig, rnd *rand.Rand) (undo func())
}

// randomEntry returns a random entry of the rig.
func randomEntry(r *rig.Rig, rnd *rand.Rand) *rig.Entry { return r.Entries[rnd.IntN(len(r.Entries))] }

// platformFault returns a failure's inject function that sets a fault of the fake platform; delay is in milliseconds.
func platformFault(m cloud.FaultMode, delay int64) func(*rig.Rig, *rand.Rand) func() {
	return func(r *rig.Rig, _ *rand.Rand) func() {
		r.Cloud.Fault(cloud.Fault{Mode: m, DelayMillis: delay})
		return func() { r.Cloud.Fault(cloud.Fault{Mode: cloud.Up}) }
	}
}

// targetFault returns a failure's inject function that sets a fault for the next 20 requests of a random target.
func targetFault(m target.Mode) func(*rig.Rig, *rand.Rand) func() {
	return func(r *rig.Rig, rnd *rand.Rand) func() {
		names := slices.Sorted(maps.Keys(r.Targets))
		t := r.Targets[names[rnd.IntN(len(names))]]
		t.SetFault(target.Fault{Mode: m, LateMs: 300, Remaining: 20})
		return func() { t.SetFault(target.Fault{}) }
	}
}

func failures() []failure {
	return []failure{
		{"kill and start an entry", func(r *rig.Rig, rnd *rand.Rand) func() {
			e := randomEntry(r, rnd)
			e.Kill()
			return e.Start
		}},
		{"freeze an entry", func(r *rig.Rig, rnd *rand.Rand) func() {
			e := randomEntry(r, rnd)
			e.Freeze()
			return e.Thaw
		}},
		{"cut an entry from the platform", func(r *rig.Rig, rnd *rand.Rand) func() {
			e := randomEntry(r, rnd)
			r.Cloud.Fault(cloud.Fault{Mode: cloud.Cut, Clients: []string{e.Name}})
			return func() { r.Cloud.Fault(cloud.Fault{Mode: cloud.Join}) }
		}},
		{"platform down", platformFault(cloud.Down, 0)},
		{"platform refuses", platformFault(cloud.Refuse, 0)},
		{"platform silent", platformFault(cloud.Silent, 0)},
		{"platform slow", platformFault(cloud.Slow, 400)},
		{"platform loses answers", platformFault(cloud.Lose, 0)},
		{"crash a target", func(r *rig.Rig, rnd *rand.Rand) func() {
			names := slices.Sorted(maps.Keys(r.Targets))
			r.Targets[names[rnd.IntN(len(names))]].Reboot(false)
			return func() {}
		}},
		{"cut answers", targetFault(target.Cut)},
		{"longer answers", targetFault(target.Longer)},
		{"wrong marks", targetFault(target.WrongRequestID)},
		{"silent connections", targetFault(target.Silent)},
		{"idle connections closed", targetFault(target.CloseIdle)},
		{"late answers", targetFault(target.Late)},
	}
}

// operators are concurrent callers of the operator API that add teams through random entries and record the outcomes.
type operators struct {
	mu       sync.Mutex
	accepted map[string]conf.Number
	rejected []string
	group    errgroup.Group
	stop     chan struct{}
}

func startOperators(r *rig.Rig, seed uint64, n int) *operators {
	o := &operators{accepted: make(map[string]conf.Number), stop: make(chan struct{})}
	for k := range n {
		rnd := rand.New(rand.NewPCG(seed, uint64(k)))
		entries := slices.Clone(r.Entries)
		o.group.Go(func() error {
			for i := 0; ; i++ {
				select {
				case <-o.stop:
					return nil
				case <-time.After(100 * time.Millisecond):
					o.addTeam(entries[rnd.IntN(len(entries))], fmt.Sprintf("team-%d-%d", k, i))
				}
			}
		})
	}
	return o
}

func (o *operators) addTeam(e *rig.Entry, team string) {
	c := conf.Change{
		Op: "op-" + team, By: "operator", Kind: conf.PutTeam,
		Team: &conf.TeamSpec{Name: team, TokenDigest: fmt.Sprintf("%064x", []byte(team))},
	}
	a, err := e.Change(c)
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err != nil || a.Outcome == oper.Unknown:
	case a.Outcome == oper.Accepted:
		o.accepted[team] = a.Number
	default:
		o.rejected = append(o.rejected, team)
	}
}

// check fails the test unless every entry has each accepted team with its change number and none of the rejected teams.
// Teams with an unknown outcome may be present or absent.
func (o *operators) check(t *testing.T, r *rig.Rig) {
	t.Helper()
	for _, e := range r.Entries {
		var teams map[string]conf.Number
		r.Await("configuration at "+e.Name, func() bool {
			var err error
			teams, err = e.Teams()
			return err == nil && missing(o.accepted, teams) == nil
		})
		for _, n := range o.rejected {
			if _, ok := teams[n]; ok {
				t.Errorf("entry %s has team %s, which was rejected", e.Name, n)
			}
		}
	}
}

var errMissing = errors.New("missing")

// missing returns errMissing unless have contains every team of want with the same change number.
func missing(want, have map[string]conf.Number) error {
	for n, c := range want {
		if have[n] != c {
			return errMissing
		}
	}
	return nil
}

// TestFailuresTogether injects random failures, two at a time, during a load, concurrent operator changes and maintenance waves.
// No request may run twice, be interrupted by a planned stop or get a wrong answer, and no accepted change may be lost.
func TestFailuresTogether(t *testing.T) {
	rnd := rand.New(rand.NewPCG(*chaosSeed, 0))
	r := rig.New(t, rig.Plan{
		DataCentres: 1, Entries: 3, Targets: 4, RunTime: 10 * time.Millisecond, MaxOut: 1, RebootTime: 300 * time.Millisecond,
	})
	w, o, l := r.Watch(), startOperators(r, *chaosSeed, 2), r.StartLoad(12, allEntries(r))
	f := failures()
	for k := range *chaosSteps {
		a, b := f[rnd.IntN(len(f))], f[rnd.IntN(len(f))]
		t.Logf("step %d: %s, %s", k, a.name, b.name)
		undoA := a.inject(r, rnd)
		time.Sleep(time.Duration(rnd.IntN(300)) * time.Millisecond)
		undoB := b.inject(r, rnd)
		if k%4 == 0 {
			r.StartWave(fmt.Sprintf("w%d", k))
		}
		time.Sleep(time.Duration(200+rnd.IntN(1500)) * time.Millisecond)
		undoA()
		undoB()
		for _, e := range r.Entries {
			e.ThawOrStart()
		}
		time.Sleep(300 * time.Millisecond)
	}
	close(o.stop)
	_ = o.group.Wait()
	for _, e := range r.Entries {
		e.AwaitReady()
	}
	time.Sleep(time.Second)
	answered, notRun, unknown := r.CheckAnswers(l.Stop())
	o.check(t, r)
	w.Stop()
	_, over, leaving, cut := r.Counts()
	t.Logf("seed %d: answered %d, not run %d, unknown %d; accepted %d changes; %d requests over the slots, %d while draining",
		*chaosSeed, answered, notRun, unknown, len(o.accepted), over, leaving)
	if cut > 0 {
		t.Errorf("planned stops cut %d requests", cut)
	}
	if answered == 0 || len(o.accepted) == 0 {
		t.Error("nothing was served or accepted")
	}
}
