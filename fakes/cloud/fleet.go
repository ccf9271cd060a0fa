package cloud

import (
	"slices"
	"sync"
	"time"

	"burdockreach.dev/plat/hosts"
)

// listVersion is the list of VMs as it was from validFrom on.
type listVersion struct {
	validFrom time.Time
	vms       []hosts.VMWire
}

// pendingReboot is a reboot in progress.
type pendingReboot struct {
	id  string
	end time.Time
}

// fleet holds the actual VMs, and older versions of the list that the lagging VM list still shows.
type fleet struct {
	initialVMs []hosts.VMWire
	listLag    time.Duration
	rebootTime time.Duration

	mu        sync.Mutex
	versions  []listVersion // the last one holds the actual VMs.
	reboots   []pendingReboot
	rebootOps map[string]bool // accepted reboots, by VM and operation id.
}

func newFleet() *fleet {
	return &fleet{listLag: DefaultListLag, rebootTime: DefaultRebootTime, rebootOps: map[string]bool{}}
}

func (f *fleet) init(now time.Time) {
	for i := range f.initialVMs {
		fillVM(&f.initialVMs[i])
	}
	f.versions = []listVersion{{validFrom: now, vms: f.initialVMs}}
}

// fillVM sets the default of each field that is empty.
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

// list returns the VM list as it was listLag ago, and drops older versions.
func (f *fleet) list(now time.Time) []hosts.VMWire {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(now)
	i := len(f.versions) - 1
	for i > 0 && f.versions[i].validFrom.After(now.Add(-f.listLag)) {
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
	for _, w := range f.currentVMs() {
		if w.Kind == hosts.Entry && w.DataCentre == dataCentre {
			l = append(l, w.ID)
		}
	}
	return l
}

func (f *fleet) currentVMs() []hosts.VMWire { return f.versions[len(f.versions)-1].vms }

// addVersion adds a version that is valid from at on: a copy of the newest one, changed by edit.
func (f *fleet) addVersion(at time.Time, edit func([]hosts.VMWire) []hosts.VMWire) {
	f.versions = append(f.versions, listVersion{validFrom: at, vms: edit(slices.Clone(f.currentVMs()))})
}

// advance completes the reboots that have ended by now.
func (f *fleet) advance(now time.Time) {
	for len(f.reboots) > 0 && !now.Before(f.reboots[0].end) {
		r := f.reboots[0]
		f.reboots = f.reboots[1:]
		f.editVM(r.end, r.id, func(w *hosts.VMWire) {
			w.State = hosts.Live
			w.Boot++
		})
	}
}

// editVM changes one VM from at on and returns the changed VM. It returns false for a VM that is gone or unknown.
func (f *fleet) editVM(at time.Time, id string, edit func(*hosts.VMWire)) (hosts.VMWire, bool) {
	i := slices.IndexFunc(f.currentVMs(), func(w hosts.VMWire) bool { return w.ID == id })
	if i < 0 || f.currentVMs()[i].State == hosts.Gone {
		return hosts.VMWire{}, false
	}
	f.addVersion(at, func(l []hosts.VMWire) []hosts.VMWire {
		edit(&l[i])
		return l
	})
	return f.currentVMs()[i], true
}

func (f *fleet) setState(now time.Time, id string, s hosts.State) (hosts.VMWire, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(now)
	return f.editVM(now, id, func(w *hosts.VMWire) { w.State = s })
}

func (f *fleet) assign(now time.Time, id, pool string) (hosts.VMWire, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(now)
	return f.editVM(now, id, func(w *hosts.VMWire) { w.Pool = pool })
}

// startReboot starts a reboot unless one with the same operation id was accepted before; then first is false.
func (f *fleet) startReboot(now time.Time, id, op string) (w hosts.VMWire, first, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(now)
	if f.rebootOps[id+"\x00"+op] {
		return hosts.VMWire{}, false, true
	}
	w, ok = f.editVM(now, id, func(w *hosts.VMWire) { w.State = hosts.Leaving })
	if ok {
		f.rebootOps[id+"\x00"+op] = true
		f.reboots = append(f.reboots, pendingReboot{id: id, end: now.Add(f.rebootTime)})
	}
	return w, true, ok
}

// add adds a VM to the list and replaces one with the same id.
func (f *fleet) add(now time.Time, w hosts.VMWire) {
	fillVM(&w)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(now)
	f.addVersion(now, func(l []hosts.VMWire) []hosts.VMWire {
		return append(slices.DeleteFunc(l, func(o hosts.VMWire) bool { return o.ID == w.ID }), w)
	})
}

func (f *fleet) remove(now time.Time, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(now)
	f.addVersion(now, func(l []hosts.VMWire) []hosts.VMWire {
		return slices.DeleteFunc(l, func(o hosts.VMWire) bool { return o.ID == id })
	})
}
