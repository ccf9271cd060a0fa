package cloud

import (
	"slices"
	"sync"
	"time"

	"burdockreach.dev/plat/hosts"
)

// version is the list of VMs as it was from a moment on.
type version struct {
	at  time.Time
	vms []hosts.VMWire
}

// rebootRun is a reboot under way.
type rebootRun struct {
	id  string
	end time.Time
}

// fleet holds the true VMs and what the lagging list still shows.
type fleet struct {
	start  []hosts.VMWire
	lag    time.Duration
	reboot time.Duration

	mu       sync.Mutex
	versions []version // the last one is the truth.
	running  []rebootRun
	ops      map[string]bool // reboot operations that were taken.
}

func newFleet() *fleet {
	return &fleet{lag: DefaultLag, reboot: DefaultReboot, ops: map[string]bool{}}
}

func (f *fleet) init(now time.Time) {
	for i := range f.start {
		fillVM(&f.start[i])
	}
	f.versions = []version{{at: now, vms: f.start}}
}

func fillVM(w *hosts.VMWire) {
	if w.State == "" {
		w.State = hosts.Live
	}
	if w.Kind == "" {
		w.Kind = hosts.Worker
	}
	if w.Boot == 0 {
		w.Boot = 1
	}
}

// list returns what the list showed a lag ago.
func (f *fleet) list(now time.Time) []hosts.VMWire {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(now)
	i := len(f.versions) - 1
	for i > 0 && f.versions[i].at.After(now.Add(-f.lag)) {
		i--
	}
	f.versions = f.versions[i:]
	return f.versions[0].vms
}

// entries returns the names of the entry VMs of a data centre.
func (f *fleet) entries(dataCentre string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var l []string
	for _, w := range f.truth() {
		if w.Kind == hosts.Entry && w.DataCentre == dataCentre {
			l = append(l, w.ID)
		}
	}
	return l
}

func (f *fleet) truth() []hosts.VMWire { return f.versions[len(f.versions)-1].vms }

// change replaces the true list from at on by a copy that edit has changed.
func (f *fleet) change(at time.Time, edit func([]hosts.VMWire) []hosts.VMWire) {
	f.versions = append(f.versions, version{at: at, vms: edit(slices.Clone(f.truth()))})
}

// advance ends the reboots whose time has come.
func (f *fleet) advance(now time.Time) {
	for len(f.running) > 0 && !now.Before(f.running[0].end) {
		r := f.running[0]
		f.running = f.running[1:]
		f.edit(r.end, r.id, func(w *hosts.VMWire) {
			w.State = hosts.Live
			w.Boot++
		})
	}
}

// edit changes one VM from at on and returns it as it is then; a VM that is gone or unknown stays as it is.
func (f *fleet) edit(at time.Time, id string, with func(*hosts.VMWire)) (hosts.VMWire, bool) {
	i := slices.IndexFunc(f.truth(), func(w hosts.VMWire) bool { return w.ID == id })
	if i < 0 || f.truth()[i].State == hosts.Gone {
		return hosts.VMWire{}, false
	}
	f.change(at, func(l []hosts.VMWire) []hosts.VMWire {
		with(&l[i])
		return l
	})
	return f.truth()[i], true
}

func (f *fleet) setState(now time.Time, id string, s hosts.State) (hosts.VMWire, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(now)
	return f.edit(now, id, func(w *hosts.VMWire) { w.State = s })
}

func (f *fleet) assign(now time.Time, id, pool string) (hosts.VMWire, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(now)
	return f.edit(now, id, func(w *hosts.VMWire) { w.Pool = pool })
}

// startReboot begins the reboot of op, once; first is false for a repeat.
func (f *fleet) startReboot(now time.Time, id, op string) (w hosts.VMWire, first, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(now)
	if f.ops[id+"\x00"+op] {
		return hosts.VMWire{}, false, true
	}
	w, ok = f.edit(now, id, func(w *hosts.VMWire) { w.State = hosts.Leaving })
	if ok {
		f.ops[id+"\x00"+op] = true
		f.running = append(f.running, rebootRun{id: id, end: now.Add(f.reboot)})
	}
	return w, true, ok
}

// add puts a VM into the list, in place of one of the same name.
func (f *fleet) add(now time.Time, w hosts.VMWire) {
	fillVM(&w)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(now)
	f.change(now, func(l []hosts.VMWire) []hosts.VMWire {
		return append(slices.DeleteFunc(l, func(o hosts.VMWire) bool { return o.ID == w.ID }), w)
	})
}

func (f *fleet) remove(now time.Time, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(now)
	f.change(now, func(l []hosts.VMWire) []hosts.VMWire {
		return slices.DeleteFunc(l, func(o hosts.VMWire) bool { return o.ID == id })
	})
}
