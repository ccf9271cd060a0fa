package proof

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"burdockreach.dev/fakes/cloud"
	"burdockreach.dev/plat/conf"
	"burdockreach.dev/proof/rig"
)

// TestNewcomerDuringOutage starts an entry again, empty, while the platform's service is down: its peers bring it up to date.
func TestNewcomerDuringOutage(t *testing.T) {
	i := is.New(t)
	p := smallPlan()
	p.Entries = 3
	r := rig.New(t, p)
	n := r.Commit(conf.Change{Kind: conf.PutPool, Pool: &conf.PoolSpec{Name: "last"}})
	for _, e := range r.Entries {
		r.Await("change at "+e.Name, func() bool { m, err := e.Applied(); return err == nil && m >= n })
	}
	w := r.Watch()
	l := r.StartLoad(loadCallers, allEntries(r))
	r.Cloud.Fault(cloud.Fault{Mode: cloud.Refuse})
	e := r.Entries[0]
	e.Kill()
	e.Start()
	e.AwaitReady()
	m, err := e.Applied()
	i.NoErr(err)
	i.Equal(m, n) // never an older configuration
	a := e.Ask(rig.Request{Method: "GET", Path: "/menu"})
	i.Equal(a.Outcome, "answered")
	r.Cloud.Fault(cloud.Fault{Mode: cloud.Up})
	time.Sleep(2 * time.Second)
	answered, notRun, unknown := r.Judge(l.Stop())
	w.Stop()
	t.Logf("answered %d, not run %d, unknown %d", answered, notRun, unknown)
	i.True(answered > 0)
}

// TestServiceComesBackOlder restores an older state of the platform's service, from which the newest changes are missing.
func TestServiceComesBackOlder(t *testing.T) {
	i := is.New(t)
	r := rig.New(t, smallPlan())
	r.Cloud.Save()
	var last conf.Number
	for k := range 5 {
		a, err := r.Entries[k%2].Change(conf.Change{
			Op: fmt.Sprint("op-", k), By: "operator", Kind: conf.PutPool, Pool: &conf.PoolSpec{Name: fmt.Sprint("pool-", k)},
		})
		i.NoErr(err)
		i.True(a.Number > last)
		last = a.Number
	}
	w := r.Watch()
	for _, e := range r.Entries {
		r.Await("change at "+e.Name, func() bool { m, err := e.Applied(); return err == nil && m >= last })
	}
	i.True(r.Cloud.Restore())
	a, err := r.Entries[1].Change(conf.Change{Op: "op-after", By: "operator", Kind: conf.PutPool, Pool: &conf.PoolSpec{Name: "after"}})
	i.NoErr(err)
	i.Equal(a.Number, last+1) // what was accepted stays, and numbers go on
	for _, e := range r.Entries {
		r.Await("change at "+e.Name, func() bool { m, err := e.Applied(); return err == nil && m == last+1 })
	}
	w.Stop()
}

// TestEveryEntryReplacedDuringWave replaces each entry's VM by a new one, one after the other within a minute, under load and a wave.
func TestEveryEntryReplacedDuringWave(t *testing.T) {
	i := is.New(t)
	p := smallPlan()
	p.Entries, p.Targets, p.RunTime = 3, 4, 20*time.Millisecond
	r := rig.New(t, p)
	w := r.Watch()
	live := newEntryList(r.Entries)
	l := r.StartLoad(8, live.get)
	r.Wave("w1")
	for _, e := range r.Entries[:3] {
		n := r.Replace(e)
		n.AwaitReady()
		live.replace(e, n)
	}
	r.Await("every VM rebooted once", func() bool {
		for _, x := range r.Targets {
			if x.Brief().Boot < 2 {
				return false
			}
		}
		return true
	})
	answered, notRun, unknown := r.Judge(l.Stop())
	w.Stop()
	_, over, leaving, cut := r.Counts()
	t.Logf("answered %d, not run %d, unknown %d; oversent %d, while leaving %d", answered, notRun, unknown, over, leaving)
	i.Equal(cut, int64(0))
	i.True(answered > 0)
}

// TestOtherDataCentresEntryKnowsTheKey sends copies of one request to entries of two data centres.
func TestOtherDataCentresEntryKnowsTheKey(t *testing.T) {
	i := is.New(t)
	p := smallPlan()
	p.DataCentres = 2
	r := rig.New(t, p)
	for k := range 20 {
		q := rig.Request{Method: "POST", Path: "/grant", Key: fmt.Sprint("grant-", k), Body: "50"}
		r.Await("first copy "+q.Key, func() bool { return r.Entries[k%4].Ask(q).Outcome == "answered" })
		r.Await("second copy "+q.Key, func() bool {
			a := r.Entries[(k+2)%4].Ask(q)
			i.True(a.Outcome != "answered") // the other data centre never runs it again
			return a.Outcome == "repeat"
		})
	}
	for k, n := range r.Runs() {
		i.True(n == 1) // runs
		_ = k
	}
}

// TestLeavingTargetWithServiceDown makes a target leave while the platform's service is down.
func TestLeavingTargetWithServiceDown(t *testing.T) {
	i := is.New(t)
	r := rig.New(t, smallPlan())
	l := r.StartLoad(8, allEntries(r))
	time.Sleep(300 * time.Millisecond)
	r.Cloud.Fault(cloud.Fault{Mode: cloud.Down})
	x := r.Targets["dc1-w1"]
	x.Drain()
	time.Sleep(4 * time.Second)
	n := x.Brief()
	i.True(n.WhileLeaving > 0)
	i.True(n.LeavingLastMs <= leavingLimit.Milliseconds()) // the last request that came to it after it left
	answered, notRun, unknown := r.Judge(l.Stop())
	t.Logf("answered %d, not run %d, unknown %d; %d came while leaving, the last after %d ms", answered, notRun, unknown, n.WhileLeaving, n.LeavingLastMs)
	i.Equal(unknown, 0)
}

// leavingLimit is the time after which a leaving target gets nothing new.
const leavingLimit = 2 * time.Second

// TestFrozenLeaderStopsNothingTwice freezes the leader past its lease in the middle of a wave and lets it go on later.
func TestFrozenLeaderStopsNothingTwice(t *testing.T) {
	i := is.New(t)
	p := smallPlan()
	p.Entries, p.Targets = 3, 4
	r := rig.New(t, p)
	w := r.Watch()
	l := r.StartLoad(8, allEntries(r))
	r.Wave("w1")
	r.Await("the wave's first stop", func() bool { return targetsOut(r) > 0 })
	e := r.Leader("dc1")
	e.Freeze()
	time.Sleep(5 * time.Second)
	e.Thaw()
	r.Await("every VM rebooted once", func() bool {
		for _, x := range r.Targets {
			if x.Brief().Boot < 2 {
				return false
			}
		}
		return true
	})
	answered, notRun, unknown := r.Judge(l.Stop())
	w.Stop()
	_, _, _, cut := r.Counts()
	t.Logf("answered %d, not run %d, unknown %d", answered, notRun, unknown)
	i.Equal(cut, int64(0))
	for n, x := range r.Targets {
		i.Equal(x.Brief().Boot, int64(2)) // rebooted exactly once
		_ = n
	}
}

// targetsOut counts the targets that take no work.
func targetsOut(r *rig.Rig) int {
	n := 0
	for _, x := range r.Targets {
		if s := x.Brief(); s.Draining || s.Away {
			n++
		}
	}
	return n
}

// TestDataCentreLost freezes every entry of a data centre and takes its targets away; the other one goes on.
func TestDataCentreLost(t *testing.T) {
	i := is.New(t)
	p := smallPlan()
	p.DataCentres = 2
	r := rig.New(t, p)
	near := r.Entries[:2]
	l := r.StartLoad(8, func() []*rig.Entry { return near })
	time.Sleep(500 * time.Millisecond)
	for _, e := range r.Entries[2:] {
		e.Freeze()
	}
	for n, x := range r.Targets {
		if n[:3] == "dc2" {
			x.Reboot(false)
		}
	}
	time.Sleep(2 * time.Second)
	a := near[0].Ask(rig.Request{Method: "POST", Path: "/grant", Key: "dc1/at-home", Body: "50"})
	i.Equal(a.Outcome, "answered") // a key that names this data centre as its home
	b := near[1].Ask(rig.Request{Method: "POST", Path: "/grant", Key: "dc2/away", Body: "50"})
	i.Equal(b.Outcome, "unknown") // its home cannot be asked whether an earlier copy ran; this one is not sent
	i.Equal(b.Status, 503)
	i.Equal(r.Runs()["dc2/away"], 0)
	c := near[1].Ask(rig.Request{Method: "GET", Path: "/menu"})
	i.Equal(c.Outcome, "answered")
	for _, e := range r.Entries[2:] {
		e.Thaw()
	}
	r.Await("the lost data centre's keys", func() bool {
		return near[1].Ask(rig.Request{Method: "POST", Path: "/grant", Key: "dc2/away", Body: "50"}).Outcome == "answered"
	})
	answered, notRun, unknown := r.Judge(l.Stop())
	t.Logf("answered %d, not run %d, unknown %d", answered, notRun, unknown)
}
