package view

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

var (
	// ErrGap reports a delta whose base is not the current version. A delta with the whole view is needed.
	ErrGap = eris.New("view: base of the delta is not the current version")
	// ErrOld reports a view or delta whose version is not newer than the current one.
	ErrOld = eris.New("view: version is not newer than the current one")
)

// Version orders views, first by the fencing token of the leader's term, then by the leader's count of versions.
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

// Target is one worker VM that requests can be sent to.
type Target struct {
	VM           string `json:"vm"`
	Addr         string `json:"a"`
	Rack         string `json:"r"`
	Pool         string `json:"p"`
	Serving      bool   `json:"s"`
	ShardVersion int64  `json:"n"` // version of the membership shard that brought the target to this state.
}

// View is one version of the targets of a data centre. It is immutable.
type View struct {
	version Version
	targets map[string]Target
}

// New returns a view of the given version that holds the targets.
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

// Target returns the target for the VM.
func (v *View) Target(vm string) (Target, bool) {
	t, ok := v.targets[vm]
	return t, ok
}

// Targets returns the targets sorted by VM.
func (v *View) Targets() []Target {
	return slices.SortedFunc(maps.Values(v.targets), func(a, b Target) int { return strings.Compare(a.VM, b.VM) })
}

// SameTargets reports whether both views hold the same targets. It ignores their versions.
func (v *View) SameTargets(o *View) bool { return maps.Equal(v.targets, o.targets) }

// Delta changes a view from one version to a newer one. A whole delta carries all targets and needs no base.
type Delta struct {
	Full    bool     `json:"w,omitempty"`
	Base    Version  `json:"b"`
	To      Version  `json:"t"`
	Updated []Target `json:"put,omitempty"`
	Removed []string `json:"drop,omitempty"`
}

// FullDelta returns a delta that carries all targets of the view.
func FullDelta(v *View) Delta {
	return Delta{Full: true, To: v.version, Updated: v.Targets()}
}

// Diff returns the delta from old to new.
func Diff(old, new *View) Delta {
	d := Delta{Base: old.version, To: new.version}
	for _, t := range new.Targets() {
		if o, ok := old.targets[t.VM]; !ok || o != t {
			d.Updated = append(d.Updated, t)
		}
	}
	for _, t := range old.Targets() {
		if _, ok := new.targets[t.VM]; !ok {
			d.Removed = append(d.Removed, t.VM)
		}
	}
	return d
}

// Apply returns the view that results from applying d to v. With ErrOld and ErrGap it returns v.
func (v *View) Apply(d Delta) (*View, error) {
	if !d.To.After(v.version) {
		return v, ErrOld
	}
	if d.Full {
		return New(d.To, d.Updated), nil
	}
	if d.Base != v.version {
		return v, ErrGap
	}
	m := maps.Clone(v.targets)
	for _, t := range d.Updated {
		m[t.VM] = t
	}
	for _, n := range d.Removed {
		delete(m, n)
	}
	return &View{version: d.To, targets: m}, nil
}

// Encode returns the delta as JSON.
func (d Delta) Encode() ([]byte, error) {
	b, err := json.Marshal(d)
	return b, eris.Wrap(err, "step=encode")
}

// Decode parses a delta encoded as JSON.
func Decode(b []byte) (Delta, error) {
	var d Delta
	err := json.Unmarshal(b, &d)
	return d, eris.Wrap(err, "step=decode")
}
