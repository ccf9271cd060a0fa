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

// TestNewcomerDuringOutage restarts an entry, which keeps nothing on disk, while the platform refuses connections.
// The entry must get the newest configuration from its peers before it is ready, never an older one.
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
	i.Equal(m, n) // the newest configuration
	a := e.Send(rig.Request{Method: "GET", Path: "/menu"})
	i.Equal(a.Outcome, "answered")
	r.Cloud.Fault(cloud.Fault{Mode: cloud.Up})
	time.Sleep(2 * time.Second)
	answered, notRun, unknown := r.CheckAnswers(l.Stop())
	w.Stop()
	t.Logf("answered %d, not run %d, unknown %d", answered, notRun, unknown)
	i.True(answered > 0)
}

// TestServiceComesBackOlder restores the platform's key-value service from an older snapshot that lacks the newest changes.
// The changes that were accepted must stay, and new changes must continue their numbers.
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
	i.Equal(a.Number, last+1) // accepted changes stay, and the numbers continue
	for _, e := range r.Entries {
		r.Await("change at "+e.Name, func() bool { m, err := e.Applied(); return err == nil && m == last+1 })
	}
	w.Stop()
}

// TestEveryEntryReplacedDuringWave replaces the VM of each entry, one after the other within a minute, under load and during a maintenance
// wave. The wave must still reboot every target, and no request may be interrupted or run twice.
func TestEveryEntryReplacedDuringWave(t *testing.T) {
	i := is.New(t)
	p := smallPlan()
	p.Entries, p.Targets, p.RunTime = 3, 4, 20*time.Millisecond
	r := rig.New(t, p)
	w := r.Watch()
	live := newEntryList(r.Entries)
	l := r.StartLoad(8, live.get)
	r.StartWave("w1")
	for _, e := range r.Entries[:3] {
		n := r.Replace(e)
		n.AwaitReady()
		live.replace(e, n)
	}
	r.Await("every VM rebooted once", func() bool {
		for _, x := range r.Targets {
			if x.Summary().Boot < 2 {
				return false
			}
		}
		return true
	})
	answered, notRun, unknown := r.CheckAnswers(l.Stop())
	w.Stop()
	_, over, leaving, cut := r.Counts()
	t.Logf("answered %d, not run %d, unknown %d; %d requests over the slots, %d while draining", answered, notRun, unknown, over, leaving)
	i.Equal(cut, int64(0))
	i.True(answered > 0)
}

// TestOtherDataCentresEntryKnowsTheKey sends two copies of each request, one to each data centre. Only the first may run;
// the other data centre must answer the second copy from the record of the key.
func TestOtherDataCentresEntryKnowsTheKey(t *testing.T) {
	i := is.New(t)
	p := smallPlan()
	p.DataCentres = 2
	r := rig.New(t, p)
	for k := range 20 {
		q := rig.Request{Method: "POST", Path: "/grant", Key: fmt.Sprint("grant-", k), Body: "50"}
		r.Await("first copy "+q.Key, func() bool { return r.Entries[k%4].Send(q).Outcome == "answered" })
		r.Await("second copy "+q.Key, func() bool {
			a := r.Entries[(k+2)%4].Send(q)
			i.True(a.Outcome != "answered") // the other data centre never runs it again
			return a.Outcome == "repeat"
		})
	}
	for k, n := range r.RunsByKey() {
		i.True(n == 1) // runs of the key
		_ = k
	}
}

// TestLeavingTargetWithServiceDown drains a target while the platform is down and cannot report the drain. The target's refusals must
// make the entries stop sending to it within leavingLimit, and no request may end with an unknown outcome.
func TestLeavingTargetWithServiceDown(t *testing.T) {
	i := is.New(t)
	r := rig.New(t, smallPlan())
	l := r.StartLoad(8, allEntries(r))
	time.Sleep(300 * time.Millisecond)
	r.Cloud.Fault(cloud.Fault{Mode: cloud.Down})
	x := r.Targets["dc1-w1"]
	x.Drain()
	time.Sleep(4 * time.Second)
	n := x.Summary()
	i.True(n.RefusedWhileDraining > 0)
	i.True(n.LastRefusalAfterDrainMs <= leavingLimit.Milliseconds()) // time from the drain to the last request that the target received
	answered, notRun, unknown := r.CheckAnswers(l.Stop())
	t.Logf("answered %d, not run %d, unknown %d; %d came while draining, the last after %d ms", answered, notRun, unknown, n.RefusedWhileDraining, n.LastRefusalAfterDrainMs)
	i.Equal(unknown, 0)
}

// leavingLimit is the longest time for which a draining target may still receive new requests.
const leavingLimit = 2 * time.Second

// TestFrozenLeaderStopsNothingTwice freezes the leader during a wave for longer than its lease and thaws it. The former leader must not
// repeat orders of its successor: every VM reboots exactly once and no request is interrupted.
func TestFrozenLeaderStopsNothingTwice(t *testing.T) {
	i := is.New(t)
	p := smallPlan()
	p.Entries, p.Targets = 3, 4
	r := rig.New(t, p)
	w := r.Watch()
	l := r.StartLoad(8, allEntries(r))
	r.StartWave("w1")
	r.Await("the wave's first stop", func() bool { return targetsOut(r) > 0 })
	e := r.Leader("dc1")
	e.Freeze()
	time.Sleep(5 * time.Second)
	e.Thaw()
	r.Await("every VM rebooted once", func() bool {
		for _, x := range r.Targets {
			if x.Summary().Boot < 2 {
				return false
			}
		}
		return true
	})
	answered, notRun, unknown := r.CheckAnswers(l.Stop())
	w.Stop()
	_, _, _, cut := r.Counts()
	t.Logf("answered %d, not run %d, unknown %d", answered, notRun, unknown)
	i.Equal(cut, int64(0))
	for n, x := range r.Targets {
		i.Equal(x.Summary().Boot, int64(2)) // rebooted exactly once
		_ = n
	}
}

// targetsOut returns the number of targets that are draining or rebooting.
func targetsOut(r *rig.Rig) int {
	n := 0
	for _, x := range r.Targets {
		if s := x.Summary(); s.Draining || s.Rebooting {
			n++
		}
	}
	return n
}

// TestDataCentreLost freezes all entries of a data centre and crashes its targets. The other data centre must keep serving, except
// for keys whose home is the lost data centre: it must not run them, because an earlier copy may have run there.
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
	a := near[0].Send(rig.Request{Method: "POST", Path: "/grant", Key: "dc1/at-home", Body: "50"})
	i.Equal(a.Outcome, "answered") // the key's home is this data centre
	b := near[1].Send(rig.Request{Method: "POST", Path: "/grant", Key: "dc2/away", Body: "50"})
	i.Equal(b.Outcome, "unknown") // the key's home cannot be asked whether an earlier copy ran, so this copy is not sent
	i.Equal(b.Status, 503)
	i.Equal(r.RunsByKey()["dc2/away"], 0)
	c := near[1].Send(rig.Request{Method: "GET", Path: "/menu"})
	i.Equal(c.Outcome, "answered")
	for _, e := range r.Entries[2:] {
		e.Thaw()
	}
	r.Await("the lost data centre's keys", func() bool {
		return near[1].Send(rig.Request{Method: "POST", Path: "/grant", Key: "dc2/away", Body: "50"}).Outcome == "answered"
	})
	answered, notRun, unknown := r.CheckAnswers(l.Stop())
	t.Logf("answered %d, not run %d, unknown %d", answered, notRun, unknown)
}
