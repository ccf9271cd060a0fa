package entry

import (
	"sync/atomic"
	"time"

	"burdockreach.dev/flow/sched"
	"burdockreach.dev/node/conns"
	"burdockreach.dev/node/view"
)

// target is one worker VM that requests can be sent to.
type target struct {
	vm, addr string
	conns    *conns.Pool
}

// table maps VMs to targets; it is replaced, never changed.
type table map[string]*target

// Share is the number of slots of one target that this entry may use.
type Share func(vm string, slots int) int

// target returns the target on the VM, or nil.
func (e *Entry) target(vm string) *target { return (*e.table.Load())[vm] }

// service returns the runner of the named service and makes it when it is new.
func (e *Entry) service(name string) *service {
	if v, ok := e.services.Load(name); ok {
		return v.(*service)
	}
	v, _ := e.services.LoadOrStore(name, newService(name))
	return v.(*service)
}

// eachService calls f with every service.
func (e *Entry) eachService(f func(v *service)) {
	e.services.Range(func(_, v any) bool {
		f(v.(*service))
		return true
	})
}

// left takes a target that refused as leaving off every list until a newer view lists it again.
func (e *Entry) left(vm string) {
	e.tableMu.Lock()
	_, known := e.leaving[vm]
	e.leaving[vm] = e.view.View().Version()
	e.tableMu.Unlock()
	if !known {
		e.log.Info().Str("step", "route").Str("peer", vm).Msg("targetLeaving")
		e.refresh(time.Now())
	}
}

// refresh builds the table and the services' lists from the view, the configuration and the shares.
func (e *Entry) refresh(now time.Time) {
	e.tableMu.Lock()
	defer e.tableMu.Unlock()
	v := e.view.View()
	old := *e.table.Load()
	next := make(table, v.Len())
	pools := make(map[string][]view.Target)
	for _, t := range v.Targets() {
		next[t.VM] = e.keep(old[t.VM], t)
		if e.open(t, v.Version()) {
			pools[t.Pool] = append(pools[t.Pool], t)
		}
	}
	e.table.Store(&next)
	e.list(now, pools)
	e.listed = v
	for vm, t := range old {
		if next[vm] != t {
			t.conns.Close()
		}
	}
}

// keep returns the old target if it still stands at its address.
func (e *Entry) keep(old *target, t view.Target) *target {
	if old != nil && old.addr == t.Addr {
		return old
	}
	return &target{vm: t.VM, addr: t.Addr, conns: conns.New(t.Addr,
		conns.WithIdle(e.set.IdleConn()), conns.WithConnect(e.set.ConnectTimeout()), conns.WithMaxAnswer(e.set.MaxAnswerBytes()))}
}

// open reports whether the target may get new work; e.tableMu is held.
func (e *Entry) open(t view.Target, v view.Version) bool {
	since, ok := e.leaving[t.VM]
	if ok && v.After(since) && t.Serving {
		delete(e.leaving, t.VM)
		ok = false
	}
	return t.Serving && !ok
}

// list gives each service its targets; e.tableMu is held.
func (e *Entry) list(now time.Time, pools map[string][]view.Target) {
	d := e.conf.Document()
	for _, s := range d.Services() {
		var ts []sched.Target
		for _, t := range pools[s.Pool] {
			if n := e.share(t.VM, s.Slots); n > 0 {
				ts = append(ts, sched.NewTarget(t.VM, t.Rack, n))
			}
		}
		e.service(s.Name).update(sched.TargetsMsg{Now: now, Targets: ts})
	}
	e.eachService(func(v *service) {
		if _, ok := d.Service(v.name); !ok {
			v.update(sched.TargetsMsg{Now: now})
		}
	})
}

// Quit is a VM that this entry sends nothing to and has nothing in flight at.
type Quit struct {
	VM     string `json:"vm"`
	Number int64  `json:"n"` // version of the membership shard that told this entry to stop sending.
}

// Quits returns the VMs that this entry has let go.
func (e *Entry) Quits() []Quit {
	e.tableMu.Lock()
	defer e.tableMu.Unlock()
	var q []Quit
	for _, t := range e.listed.Targets() {
		if !t.Serving && e.quit(t.VM) {
			q = append(q, Quit{VM: t.VM, Number: t.Number})
		}
	}
	return q
}

func (e *Entry) quit(vm string) bool {
	q := true
	e.eachService(func(v *service) { q = q && v.quitFor(vm) })
	return q
}

// counts are the entry's own counters.
type counts struct {
	answered, refused, ended, lost, cancelled, unknown, repeated atomic.Int64
}
