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

// TestKilledEntryDoublesNothing kills the entry that leads in the middle of a load, and starts it again empty.
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
	answered, notRun, unknown := r.Judge(l.Stop())
	t.Logf("answered %d, not run %d, unknown %d", answered, notRun, unknown)
	i.True(answered > 0)
}

// TestFrozenEntryDoublesNothing freezes an entry past its lease and its place in the roster, in the middle of its sends.
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
	answered, notRun, unknown := r.Judge(l.Stop())
	t.Logf("answered %d, not run %d, unknown %d", answered, notRun, unknown)
	i.True(answered > 0)
}

// TestServiceDownGoesOnServing takes the platform's service away; what is configured goes on, and nothing goes back.
func TestServiceDownGoesOnServing(t *testing.T) {
	i := is.New(t)
	r := rig.New(t, smallPlan())
	l := r.StartLoad(loadCallers, allEntries(r))
	r.Cloud.Fault(cloud.Fault{Mode: cloud.Down})
	time.Sleep(4 * time.Second)
	before := r.Runs()
	time.Sleep(500 * time.Millisecond)
	i.True(len(r.Runs()) > len(before)) // requests are still run
	r.Cloud.Fault(cloud.Fault{Mode: cloud.Up})
	time.Sleep(500 * time.Millisecond)
	answered, notRun, unknown := r.Judge(l.Stop())
	t.Logf("answered %d, not run %d, unknown %d", answered, notRun, unknown)
	i.Equal(notRun+unknown, 0)
}

// TestWaveCutsNothing maintains every VM of the pool under load.
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
			if x.Runs().Boot < 2 {
				return false
			}
		}
		return true
	})
	time.Sleep(500 * time.Millisecond)
	answered, notRun, unknown := r.Judge(l.Stop())
	doubled, over, leaving, cut := r.Counts()
	t.Logf("answered %d, not run %d, unknown %d; oversent %d, while leaving %d", answered, notRun, unknown, over, leaving)
	i.Equal(cut, int64(0))     // requests in flight cut by a reboot
	i.Equal(doubled, int64(0)) // keys run twice
	i.Equal(unknown, 0)
	i.True(answered > 0)
}

// TestStopCutsNothing stops an entry by SIGTERM under load.
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
	r.Judge(answers)
	for k, as := range answers {
		if last := as[len(as)-1]; last.Outcome != "answered" && last.Outcome != "repeat" {
			t.Errorf("key %s ended with %+v", k, last)
		}
	}
}
