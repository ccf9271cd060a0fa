package pool

import (
	"slices"

	"github.com/rotisserie/eris"
)

// Target holds the part of a Member that entries need to place requests.
type Target struct {
	VM    string `json:"v"`
	Pool  string `json:"p"`
	State State  `json:"s,omitempty"`
}

// ShardDelta is the change of one shard from version From to version To. From 0 means that it holds the full shard.
type ShardDelta struct {
	Index int      `json:"i"`
	From  int64    `json:"f,omitempty"`
	To    int64    `json:"t"`
	Put   []Target `json:"put,omitempty"`
	Drop  []string `json:"drop,omitempty"`
}

// Delta is the change of a table that is sent to entries, which apply it to their views.
type Delta struct {
	Count  int          `json:"c"`
	Shards []ShardDelta `json:"shards,omitempty"`
}

// Diff returns the delta from old to new, which must have the same number of shards. Shards that are not newer are left out.
func Diff(old, new Table) Delta {
	d := Delta{Count: new.Count()}
	for i, n := range new.shards {
		if o := old.shards[i]; n.version > o.version {
			d.Shards = append(d.Shards, diffShard(o, n))
		}
	}
	return d
}

// FullDelta returns the full table as a delta, which any view of as many shards can apply.
func FullDelta(t Table) Delta {
	return Diff(NewTable(t.Count()), t)
}

// diffShard returns the delta from o to n, by a merge of their sorted members.
func diffShard(o, n Shard) ShardDelta {
	d := ShardDelta{Index: n.index, From: o.version, To: n.version}
	a, b := o.members, n.members
	for len(a) > 0 || len(b) > 0 {
		switch {
		case len(b) == 0 || len(a) > 0 && a[0].VM < b[0].VM:
			d.Drop = append(d.Drop, a[0].VM)
			a = a[1:]
		case len(a) == 0 || b[0].VM < a[0].VM:
			d.Put = append(d.Put, newTarget(b[0]))
			b = b[1:]
		default:
			if newTarget(a[0]) != newTarget(b[0]) {
				d.Put = append(d.Put, newTarget(b[0]))
			}
			a, b = a[1:], b[1:]
		}
	}
	return d
}

// newTarget returns the part of m that entries need.
func newTarget(m Member) Target { return Target{VM: m.VM, Pool: m.Pool, State: m.State} }

// History keeps the last versions of each shard, so that a view that is a few versions behind gets only the changes.
type History struct {
	depth  int
	latest Table
	older  [][]Shard // by shard: kept versions before the latest, newest last.
}

// NewHistory returns an empty history of count shards that keeps depth versions of each before the latest.
func NewHistory(count, depth int) History {
	return History{depth: depth, latest: NewTable(count), older: make([][]Shard, count)}
}

// Add returns the history with t as its latest table. Shards of t that are not newer are ignored.
func (h History) Add(t Table) History {
	h.older = slices.Clone(h.older)
	for i, s := range t.shards {
		o := h.latest.shards[i]
		if s.version <= o.version {
			continue
		}
		l := h.older[i]
		l = append(slices.Clone(l[max(0, len(l)-h.depth+1):]), o)
		h.older[i], h.latest = l, h.latest.Replace(i, s, t.revisions[i])
	}
	return h
}

// Table returns the latest table.
func (h History) Table() Table { return h.latest }

// DeltaSince returns the delta for a view with the given shard versions. A shard whose version is not kept any more is sent in full.
func (h History) DeltaSince(have []int64) Delta {
	d := Delta{Count: h.latest.Count()}
	for i, n := range h.latest.shards {
		var v int64
		if len(have) == h.latest.Count() {
			v = have[i]
		}
		if n.version <= v {
			continue
		}
		o := NewShard(i, h.latest.Count())
		for _, s := range h.older[i] {
			if s.version == v {
				o = s
			}
		}
		d.Shards = append(d.Shards, diffShard(o, n))
	}
	return d
}

// View is an entry's immutable copy of the VMs with their pools and states. Its shard versions only grow.
type View struct {
	versions []int64
	shards   []map[string]Target
}

// NewView returns an empty view of count shards.
func NewView(count int) View {
	return View{versions: make([]int64, count), shards: make([]map[string]Target, count)}
}

// Apply returns the view with d applied. It ignores shards that are not newer. With ErrGap, it returns the view with the other
// shards applied; the missing one is needed in full.
func (v View) Apply(d Delta) (View, error) {
	if d.Count != len(v.versions) {
		return v, eris.Wrapf(ErrMalformed, "apply delta of %d shards to view of %d", d.Count, len(v.versions))
	}
	n := View{versions: slices.Clone(v.versions), shards: slices.Clone(v.shards)}
	var gap error
	for _, s := range d.Shards {
		if s.Index < 0 || s.Index >= d.Count {
			return v, eris.Wrapf(ErrMalformed, "apply delta of shard %d", s.Index)
		}
		switch have := n.versions[s.Index]; {
		case s.To <= have:
		case s.From != 0 && s.From != have:
			gap = eris.Wrapf(ErrGap, "apply shard %d from %d to version %d", s.Index, s.From, have)
		default:
			n.shards[s.Index], n.versions[s.Index] = s.apply(v.shards[s.Index]), s.To
		}
	}
	return n, gap
}

// apply returns a new map with the changes made; a full shard replaces old.
func (s ShardDelta) apply(old map[string]Target) map[string]Target {
	m := make(map[string]Target, len(old)+len(s.Put))
	if s.From != 0 {
		for k, t := range old {
			m[k] = t
		}
	}
	for _, k := range s.Drop {
		delete(m, k)
	}
	for _, t := range s.Put {
		m[t.VM] = t
	}
	return m
}

// Versions returns the version of each shard, to request the missing changes.
func (v View) Versions() []int64 { return slices.Clone(v.versions) }

// Version returns the version of the shard that holds the VM.
func (v View) Version(vm string) int64 { return v.versions[Index(vm, len(v.versions))] }

// Find returns the VM's pool and state.
func (v View) Find(vm string) (Target, bool) {
	t, ok := v.shards[Index(vm, len(v.versions))][vm]
	return t, ok
}

// InPool returns the pool's VMs in any state, sorted by name.
func (v View) InPool(pool string) []Target {
	var l []Target
	for _, s := range v.shards {
		for _, t := range s {
			if t.Pool == pool {
				l = append(l, t)
			}
		}
	}
	slices.SortFunc(l, func(a, b Target) int {
		if a.VM < b.VM {
			return -1
		}
		return 1
	})
	return l
}
