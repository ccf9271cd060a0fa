package entry

import (
	"time"

	"burdockreach.dev/node/view"
)

// trialAfter is the time after which a VM that refused as leaving is tried again, while a leader says that it serves.
const trialAfter = 30 * time.Second

// mark is word that a VM is leaving, older than what any later view says.
type mark struct {
	version view.Version
	at      time.Time
}

// Leaving is a VM that refused as leaving, and the newest view of the entry that it refused.
type Leaving struct {
	VM      string       `json:"vm"`
	Version view.Version `json:"v"`
}

// left takes a target that refused as leaving off every list until a newer view says that it serves.
func (e *Entry) left(vm string) { e.Learn([]Leaving{{VM: vm, Version: e.view.View().Version()}}) }

// Learn takes in word, of this entry or of another one, that VMs are leaving; word older than the view is passed over.
func (e *Entry) Learn(word []Leaving) {
	now := time.Now()
	if e.note(now, word) {
		e.refresh(now)
		if e.onLeaving != nil {
			e.onLeaving()
		}
	}
}

func (e *Entry) note(now time.Time, word []Leaving) (changed bool) {
	e.tableMu.Lock()
	defer e.tableMu.Unlock()
	v := e.view.View()
	for _, l := range word {
		t, ok := v.Target(l.VM)
		_, known := e.leaving[l.VM]
		if !ok || known || t.Serving && v.Version().After(l.Version) {
			continue
		}
		e.leaving[l.VM] = mark{version: l.Version, at: now}
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

// Leavings returns the VMs that refused as leaving, for the other entries.
func (e *Entry) Leavings() []Leaving {
	e.tableMu.Lock()
	defer e.tableMu.Unlock()
	var l []Leaving
	for vm, m := range e.leaving {
		l = append(l, Leaving{VM: vm, Version: m.version})
	}
	return l
}

// open reports whether the target may get new work; e.tableMu is held.
func (e *Entry) open(now time.Time, t view.Target, v view.Version) bool {
	m, ok := e.leaving[t.VM]
	if ok && t.Serving && (v.After(m.version) || e.led() && now.Sub(m.at) > trialAfter) {
		delete(e.leaving, t.VM)
		ok = false
	}
	return t.Serving && !ok
}

// led reports whether a leader is at work, so that the view is lately known to be true.
func (e *Entry) led() bool { return e.hasLeader != nil && e.hasLeader() }

// Quit is a VM that this entry sends nothing to and has nothing in flight at.
type Quit struct {
	VM     string `json:"vm"`
	Number int64  `json:"n"` // version of the membership shard that told this entry to stop sending.
}

// Quits returns the VMs that this entry has let go.
func (e *Entry) Quits() []Quit {
	e.tableMu.Lock()
	defer e.tableMu.Unlock()
	now := time.Now()
	var q []Quit
	for _, t := range e.listed.Targets() {
		if !t.Serving && e.quit(t.VM, now) {
			q = append(q, Quit{VM: t.VM, Number: t.ShardVersion})
		}
	}
	return q
}

func (e *Entry) quit(vm string, now time.Time) bool {
	q := true
	e.eachService(func(v *service) { q = q && v.quitFor(vm, now) })
	return q
}
