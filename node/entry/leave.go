package entry

import (
	"time"

	"burdockreach.dev/node/view"
)

// leavingRetryDelay is the time after which a VM that refused a request as leaving gets requests again, if the view has it as
// serving and the data centre has an active leader.
const leavingRetryDelay = 30 * time.Second

// leavingMark records that a VM refused a request as leaving. A view newer than version overrides it.
type leavingMark struct {
	version view.Version
	notedAt time.Time
}

// LeavingVM is a VM that refused a request as leaving, with the newest view version that the refused entry had.
type LeavingVM struct {
	VM      string       `json:"vm"`
	Version view.Version `json:"v"`
}

// markLeaving stops sending to a VM that refused a request as leaving, until a newer view has it as serving.
func (e *Entry) markLeaving(vm string) {
	e.MergeLeaving([]LeavingVM{{VM: vm, Version: e.view.View().Version()}})
}

// MergeLeaving records VMs that this entry or another one found to be leaving. A report older than the view is ignored if the view
// has the VM as serving.
func (e *Entry) MergeLeaving(vms []LeavingVM) {
	now := time.Now()
	if e.recordLeaving(now, vms) {
		e.refresh(now)
		if e.onLeaving != nil {
			e.onLeaving()
		}
	}
}

func (e *Entry) recordLeaving(now time.Time, vms []LeavingVM) (changed bool) {
	e.tableMu.Lock()
	defer e.tableMu.Unlock()
	v := e.view.View()
	for _, l := range vms {
		t, ok := v.Target(l.VM)
		_, known := e.leaving[l.VM]
		if !ok || known || t.Serving && v.Version().After(l.Version) {
			continue
		}
		e.leaving[l.VM] = leavingMark{version: l.Version, notedAt: now}
		e.log.Info().Str("step", "route").Str("peer", l.VM).Msg("targetLeaving")
		changed = true
	}
	return changed
}

// anyLeaving reports whether a VM is marked as leaving.
func (e *Entry) anyLeaving() bool {
	e.tableMu.Lock()
	defer e.tableMu.Unlock()
	return len(e.leaving) > 0
}

// LeavingVMs returns the VMs that are marked as leaving, to be sent to the other entries.
func (e *Entry) LeavingVMs() []LeavingVM {
	e.tableMu.Lock()
	defer e.tableMu.Unlock()
	var l []LeavingVM
	for vm, m := range e.leaving {
		l = append(l, LeavingVM{VM: vm, Version: m.version})
	}
	return l
}

// acceptsWork reports whether the target may get new work, and removes an outdated leaving mark; e.tableMu is held.
func (e *Entry) acceptsWork(now time.Time, t view.Target, v view.Version) bool {
	m, ok := e.leaving[t.VM]
	if ok && t.Serving && (v.After(m.version) || e.leaderActive() && now.Sub(m.notedAt) > leavingRetryDelay) {
		delete(e.leaving, t.VM)
		ok = false
	}
	return t.Serving && !ok
}

// leaderActive reports whether the data centre has an active leader, so that the view has been confirmed lately.
func (e *Entry) leaderActive() bool { return e.hasLeader != nil && e.hasLeader() }

// DrainedVM is a VM to which this entry no longer sends and at which it has no request in flight.
type DrainedVM struct {
	VM           string `json:"vm"`
	ShardVersion int64  `json:"n"` // version of the membership shard in which the VM stopped serving
}

// DrainedVMs returns the VMs that this entry has drained.
func (e *Entry) DrainedVMs() []DrainedVM {
	e.tableMu.Lock()
	defer e.tableMu.Unlock()
	now := time.Now()
	var q []DrainedVM
	for _, t := range e.targetsView.Targets() {
		if !t.Serving && e.drained(t.VM, now) {
			q = append(q, DrainedVM{VM: t.VM, ShardVersion: t.ShardVersion})
		}
	}
	return q
}

func (e *Entry) drained(vm string, now time.Time) bool {
	q := true
	e.eachService(func(v *service) { q = q && v.drained(vm, now) })
	return q
}
