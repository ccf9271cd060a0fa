package proof

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"burdockreach.dev/fakes/cloud"
	"burdockreach.dev/plat/conf"
	"burdockreach.dev/proof/rig"
)

const loadCallers = 16

// TestKilledEntryDoublesNothing kills two of three entries, one after the other, during a load and restarts each without its state.
// Requests whose entry died between send and answer must not run a second time.
func TestKilledEntryDoublesNothing(t *testing.T) {
	i := is.New(t)
	p := smallPlan()
	p.Entries = 3
	r := rig.New(t, p)
	l := r.StartLoad(loadCallers, allEntries(r))
	time.Sleep(500 * time.Millisecond)
	for _, e := range r.Entries[:2] {
		e.Kill()
		time.Sleep(300 * time.Millisecond)
		e.Start()
		e.AwaitReady()
	}
	time.Sleep(500 * time.Millisecond)
	answered, notRun, unknown := r.CheckAnswers(l.Stop())
	t.Logf("answered %d, not run %d, unknown %d", answered, notRun, unknown)
	i.True(answered > 0)
}

// TestFrozenEntryDoublesNothing freezes an entry during its sends, for longer than its lease and its membership in the roster last.
// Requests that were in flight at the freeze must not run a second time.
func TestFrozenEntryDoublesNothing(t *testing.T) {
	i := is.New(t)
	p := smallPlan()
	p.Entries = 3
	r := rig.New(t, p)
	l := r.StartLoad(loadCallers, allEntries(r))
	time.Sleep(500 * time.Millisecond)
	r.Entries[0].Freeze()
	time.Sleep(7 * time.Second)
	r.Entries[0].Thaw()
	time.Sleep(time.Second)
	answered, notRun, unknown := r.CheckAnswers(l.Stop())
	t.Logf("answered %d, not run %d, unknown %d", answered, notRun, unknown)
	i.True(answered > 0)
}

// TestServiceDownGoesOnServing makes the platform unavailable during a load. The entries must keep serving the configured services,
// without any refused request or unknown outcome.
func TestServiceDownGoesOnServing(t *testing.T) {
	i := is.New(t)
	r := rig.New(t, smallPlan())
	l := r.StartLoad(loadCallers, allEntries(r))
	r.Cloud.Fault(cloud.Fault{Mode: cloud.Down})
	time.Sleep(4 * time.Second)
	before := r.RunsByKey()
	time.Sleep(500 * time.Millisecond)
	i.True(len(r.RunsByKey()) > len(before)) // requests still run
	r.Cloud.Fault(cloud.Fault{Mode: cloud.Up})
	time.Sleep(500 * time.Millisecond)
	answered, notRun, unknown := r.CheckAnswers(l.Stop())
	t.Logf("answered %d, not run %d, unknown %d", answered, notRun, unknown)
	i.Equal(notRun+unknown, 0)
}

// TestWaveCutsNothing reboots every VM of the pool in a maintenance wave under load. The drains must leave no request for a reboot
// to interrupt.
func TestWaveCutsNothing(t *testing.T) {
	i := is.New(t)
	p := smallPlan()
	p.Targets = 3
	p.RunTime = 50 * time.Millisecond
	r := rig.New(t, p)
	l := r.StartLoad(8, allEntries(r))
	r.Commit(conf.Change{Kind: conf.PutWave, Wave: &conf.WaveSpec{ID: "w1", Pools: []string{rig.Pool}}})
	r.Await("every VM rebooted once", func() bool {
		for _, x := range r.Targets {
			if x.Counts().Boot < 2 {
				return false
			}
		}
		return true
	})
	time.Sleep(500 * time.Millisecond)
	answered, notRun, unknown := r.CheckAnswers(l.Stop())
	doubled, over, leaving, cut := r.Counts()
	t.Logf("answered %d, not run %d, unknown %d; %d requests over the slots, %d while draining", answered, notRun, unknown, over, leaving)
	i.Equal(cut, int64(0))     // requests interrupted by a planned reboot
	i.Equal(doubled, int64(0)) // keys that ran more than once
	i.Equal(unknown, 0)
	i.True(answered > 0)
}

// TestStopCutsNothing stops an entry by SIGTERM under load. The entry must drain and exit with status 0, and every request must end
// with an answer.
func TestStopCutsNothing(t *testing.T) {
	i := is.New(t)
	p := smallPlan()
	p.RunTime = 100 * time.Millisecond
	r := rig.New(t, p)
	rest := r.Entries[1:]
	l := r.StartLoad(8, func() []*rig.Entry {
		if r.Entries[0].Healthy() {
			return r.Entries
		}
		return rest
	})
	time.Sleep(300 * time.Millisecond)
	i.Equal(r.Entries[0].Stop(), 0) // exit status
	time.Sleep(300 * time.Millisecond)
	answers := l.Stop()
	r.CheckAnswers(answers)
	for k, as := range answers {
		if last := as[len(as)-1]; last.Outcome != "answered" && last.Outcome != "repeat" {
			t.Errorf("key %s ended with %+v", k, last)
		}
	}
}
