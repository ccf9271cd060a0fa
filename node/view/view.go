package view

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

var (
	// ErrGap reports a delta whose base is not the view at hand; a whole view is needed.
	ErrGap = eris.New("view: delta does not follow")
	// ErrOld reports a delta that leads to a version that is not newer.
	ErrOld = eris.New("view: not newer")
)

// Version orders views: first by the leader's fence, then by the leader's count.
type Version struct {
	Fence int64 `json:"f"`
	Count int64 `json:"c"`
}

// After reports whether v is newer than o.
func (v Version) After(o Version) bool {
	if v.Fence != o.Fence {
		return v.Fence > o.Fence
	}
	return v.Count > o.Count
}

// Target is one worker VM as an entry sees it.
type Target struct {
	VM      string `json:"vm"`
	Addr    string `json:"a"`
	Rack    string `json:"r"`
	Pool    string `json:"p"`
	Serving bool   `json:"s"`
	Number  int64  `json:"n"` // version of the membership shard in which the target came to this state.
}

// View is one version of the targets of a data centre; it never changes.
type View struct {
	version Version
	targets map[string]Target
}

// New returns a view of the targets.
func New(v Version, targets []Target) *View {
	m := make(map[string]Target, len(targets))
	for _, t := range targets {
		m[t.VM] = t
	}
	return &View{version: v, targets: m}
}

// Version returns the view's version.
func (v *View) Version() Version { return v.version }

// Len returns the number of targets.
func (v *View) Len() int { return len(v.targets) }

// Target returns the target on the VM.
func (v *View) Target(vm string) (Target, bool) {
	t, ok := v.targets[vm]
	return t, ok
}

// Targets returns the targets in the order of their VMs' names.
func (v *View) Targets() []Target {
	return slices.SortedFunc(maps.Values(v.targets), func(a, b Target) int { return strings.Compare(a.VM, b.VM) })
}

// Same reports whether both views hold the same targets.
func (v *View) Same(o *View) bool { return maps.Equal(v.targets, o.targets) }

// Delta leads from one version to a newer one; a whole one needs no base.
type Delta struct {
	Whole bool     `json:"w,omitempty"`
	Base  Version  `json:"b"`
	To    Version  `json:"t"`
	Put   []Target `json:"put,omitempty"`
	Drop  []string `json:"drop,omitempty"`
}

// Whole returns the delta that carries the whole view.
func Whole(v *View) Delta {
	return Delta{Whole: true, To: v.version, Put: v.Targets()}
}

// Diff returns the delta from old to new.
func Diff(old, new *View) Delta {
	d := Delta{Base: old.version, To: new.version}
	for _, t := range new.Targets() {
		if o, ok := old.targets[t.VM]; !ok || o != t {
			d.Put = append(d.Put, t)
		}
	}
	for _, t := range old.Targets() {
		if _, ok := new.targets[t.VM]; !ok {
			d.Drop = append(d.Drop, t.VM)
		}
	}
	return d
}

// Apply returns the view that d leads to; ErrOld and ErrGap leave v in force.
func (v *View) Apply(d Delta) (*View, error) {
	if !d.To.After(v.version) {
		return v, ErrOld
	}
	if d.Whole {
		return New(d.To, d.Put), nil
	}
	if d.Base != v.version {
		return v, ErrGap
	}
	m := maps.Clone(v.targets)
	for _, t := range d.Put {
		m[t.VM] = t
	}
	for _, n := range d.Drop {
		delete(m, n)
	}
	return &View{version: d.To, targets: m}, nil
}

// Encode returns the delta as JSON.
func (d Delta) Encode() ([]byte, error) {
	b, err := json.Marshal(d)
	return b, eris.Wrap(err, "step=encode")
}

// Decode reads a delta.
func Decode(b []byte) (Delta, error) {
	var d Delta
	err := json.Unmarshal(b, &d)
	return d, eris.Wrap(err, "step=decode")
}
