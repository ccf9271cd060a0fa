package wave

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

var (
	// ErrBudget means that a planned stop would take more VMs out than the profile allows.
	ErrBudget = eris.New("wave: availability budget used up")
	// ErrMalformed means that a document cannot be parsed.
	ErrMalformed = eris.New("wave: malformed document")
)

// Absence records that one VM of a service is out, or reserved for a planned stop.
type Absence struct {
	VM         string `json:"v"`
	DataCentre string `json:"d"`
	Rack       string `json:"r,omitempty"`
	Since      int64  `json:"t"`           // when the stop was reserved, the failure was found or the VM left the state serving; Unix milliseconds.
	Wave       string `json:"w,omitempty"` // wave of a planned stop; empty for moves and failures.
	Op         string `json:"o,omitempty"` // id of a planned stop; empty for a failure without one.
	StopNumber int64  `json:"q,omitempty"` // number of the planned stop among those of the VM.
	Failed     bool   `json:"f,omitempty"` // found dead, about to be stopped by the platform, or not back from its reboot.
}

// Planned reports whether the VM was reserved for a planned stop.
func (a Absence) Planned() bool { return a.Op != "" }

// Budget is the availability budget of one service: every VM that is out or reserved in any data centre, each counted once. It
// is immutable.
type Budget struct {
	version  int64
	absences []Absence // sorted by VM.
}

// budgetWire is the stored form of a Budget.
type budgetWire struct {
	Version int64     `json:"n"`
	Out     []Absence `json:"out"`
}

// Version returns the version, which grows with each change.
func (b Budget) Version() int64 { return b.version }

// Out returns the number of VMs that are out, planned and unplanned together.
func (b Budget) Out() int { return len(b.absences) }

// Absences returns every VM that is out, sorted by name.
func (b Budget) Absences() []Absence { return slices.Clone(b.absences) }

// Find returns the VM's absence.
func (b Budget) Find(vm string) (Absence, bool) {
	i, ok := b.find(vm)
	if !ok {
		return Absence{}, false
	}
	return b.absences[i], true
}

// Reserve returns the budget with a planned stop added, or ErrBudget if more than maxOut VMs would then be out.
// A VM that is out already is counted once, so reserving it is never refused.
func (b Budget) Reserve(a Absence, maxOut int) (Budget, error) {
	if old, ok := b.Find(a.VM); ok {
		a.Failed = a.Failed || old.Failed
		return b.withAbsence(a), nil
	}
	if b.Out()+1 > maxOut {
		return b, eris.Wrapf(ErrBudget, "reserve %s: %d of %d out", a.VM, b.Out(), maxOut)
	}
	return b.withAbsence(a), nil
}

// Fail returns the budget with the VM marked as failed, even beyond the limit. A reservation of the VM is kept.
func (b Budget) Fail(a Absence) Budget {
	if old, ok := b.Find(a.VM); ok {
		if old.Failed {
			return b
		}
		a = old
	}
	a.Failed = true
	return b.withAbsence(a)
}

// Release returns the budget without the VM.
func (b Budget) Release(vm string) Budget {
	i, ok := b.find(vm)
	if !ok {
		return b
	}
	b.absences = slices.Delete(slices.Clone(b.absences), i, i+1)
	b.version++
	return b
}

// Marshal returns the budget as compact JSON.
func (b Budget) Marshal() ([]byte, error) {
	d, err := json.Marshal(budgetWire{Version: b.version, Out: b.absences})
	if err != nil {
		return nil, eris.Wrap(err, "marshal budget")
	}
	return d, nil
}

// ParseBudget parses a stored budget. It returns ErrMalformed if the JSON is not valid or a VM is named twice or not at all.
func ParseBudget(d []byte) (Budget, error) {
	var w budgetWire
	if err := json.Unmarshal(d, &w); err != nil {
		return Budget{}, eris.Wrapf(ErrMalformed, "parse budget: %v", err)
	}
	slices.SortFunc(w.Out, func(a, b Absence) int { return strings.Compare(a.VM, b.VM) })
	for i, a := range w.Out {
		if a.VM == "" || i > 0 && w.Out[i-1].VM == a.VM {
			return Budget{}, eris.Wrapf(ErrMalformed, "parse budget: VM name %q is empty or repeated", a.VM)
		}
	}
	return Budget{version: w.Version, absences: w.Out}, nil
}

// withAbsence returns the budget with a added or replaced.
func (b Budget) withAbsence(a Absence) Budget {
	i, ok := b.find(a.VM)
	if ok && b.absences[i] == a {
		return b
	}
	l := slices.Clone(b.absences)
	if ok {
		l[i] = a
	} else {
		l = slices.Insert(l, i, a)
	}
	return Budget{version: b.version + 1, absences: l}
}

func (b Budget) find(vm string) (int, bool) {
	return slices.BinarySearchFunc(b.absences, vm, func(a Absence, v string) int { return strings.Compare(a.VM, v) })
}
