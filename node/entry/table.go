package entry

import (
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

// table maps VMs to targets; a change replaces the whole table.
type table map[string]*target

// target returns the target on the VM, or nil.
func (e *Entry) target(vm string) *target { return (*e.table.Load())[vm] }

// service returns the named service and creates it if needed.
func (e *Entry) service(name string) *service {
	if v, ok := e.services.Load(name); ok {
		return v.(*service)
	}
	e.tableMu.Lock()
	defer e.tableMu.Unlock()
	return e.ensureService(name)
}

// ensureService returns the named service and creates it if needed. e.tableMu is held, so that a new service does not miss a roster.
func (e *Entry) ensureService(name string) *service {
	if v, ok := e.services.Load(name); ok {
		return v.(*service)
	}
	v := newService(name, e.shareName, e.borrowRequests, sched.WithMaxQueued(e.settings.MaxQueueRequests()))
	v.updateLoans(e.roster)
	if !e.quotas.Now.IsZero() {
		v.update(e.quotas)
	}
	e.services.Store(name, v)
	return v
}

// SetQuotas sets the rates, in requests a second, that teams may use at this entry.
func (e *Entry) SetQuotas(now time.Time, rates map[string]float64) {
	m := sched.QuotasMsg{Now: now, Rates: rates}
	e.tableMu.Lock()
	e.quotas = m
	e.tableMu.Unlock()
	e.eachService(func(v *service) { v.update(m) })
}

// eachService calls f for every service.
func (e *Entry) eachService(f func(v *service)) {
	e.services.Range(func(_, v any) bool {
		f(v.(*service))
		return true
	})
}

// refresh rebuilds the table and the services' targets from the view, the configuration and the slot shares.
func (e *Entry) refresh(now time.Time) {
	e.tableMu.Lock()
	defer e.tableMu.Unlock()
	v := e.view.View()
	old := *e.table.Load()
	next := make(table, v.Len())
	pools := make(map[string][]view.Target)
	for _, t := range v.Targets() {
		next[t.VM] = e.reuseTarget(old[t.VM], t)
		if e.acceptsWork(now, t, v.Version()) {
			pools[t.Pool] = append(pools[t.Pool], t)
		}
	}
	e.table.Store(&next)
	e.assignTargets(now, pools)
	e.targetsView = v
	for vm, t := range old {
		if next[vm] != t {
			t.conns.Close()
		}
	}
}

// reuseTarget returns the old target if its address is unchanged, or else a new one.
func (e *Entry) reuseTarget(old *target, t view.Target) *target {
	if old != nil && old.addr == t.Addr {
		return old
	}
	return &target{vm: t.VM, addr: t.Addr, conns: conns.New(t.Addr,
		conns.WithIdleTimeout(e.settings.IdleConnTimeout()), conns.WithConnectTimeout(e.settings.ConnectTimeout()), conns.WithMaxAnswer(e.settings.MaxAnswerBytes()))}
}

// assignTargets sets the targets of each service, and none for services that are no longer configured; e.tableMu is held.
func (e *Entry) assignTargets(now time.Time, pools map[string][]view.Target) {
	d := e.documents.Document()
	for _, s := range d.Services() {
		var ts []sched.Target
		for _, t := range pools[s.Pool] {
			ts = append(ts, sched.NewTarget(t.VM, t.Rack, s.Slots))
		}
		v := e.ensureService(s.Name)
		if p, ok := d.Profile(s.Profile); ok {
			v.applyProfile(now, p)
		}
		v.setTargets(now, ts)
	}
	e.eachService(func(v *service) {
		if _, ok := d.Service(v.name); !ok {
			v.setTargets(now, nil)
		}
	})
}
