package share

import (
	"slices"
	"strings"
)

// row holds the slots of one target as seen by this entry.
type row struct {
	name           string
	slots          int
	listed         bool // in the latest list of targets
	ownShare       int  // slots that this entry may use without borrowing
	lent           int  // slots of the own share that peers hold
	draining       int  // slots of the own share that take no new requests, so that they can be lent
	borrowedOpen   int  // borrowed slots that may take new requests
	borrowedClosed int  // borrowed slots that are to be returned
	busy           int  // slots occupied by requests of this entry
	announced      int  // usable slots in the latest SharesCmd, -1 if none
}

// usable returns the number of slots that new requests may use.
func (r *row) usable() int { return max(0, r.ownShare-r.lent-r.draining) + r.borrowedOpen }

// lendable returns the number of slots of the own share that can be lent now.
func (r *row) lendable() int { return max(0, min(r.ownShare-r.lent, r.usable()-r.busy)) }

// unused reports whether the target is not listed and none of its slots is occupied, lent or borrowed.
func (r *row) unused() bool { return !r.listed && r.lent+r.borrowedOpen+r.borrowedClosed+r.busy == 0 }

// table holds a row for each target that is listed or in use.
type table struct {
	rows        map[string]*row
	order       []*row // sorted by name
	anyDraining bool
}

func newTable() table { return table{rows: map[string]*row{}} }

// row returns the target's row and creates it if necessary.
func (t *table) row(name string) *row {
	r := t.rows[name]
	if r == nil {
		r = &row{name: name, announced: -1}
		t.rows[name] = r
		i, _ := slices.BinarySearchFunc(t.order, name, func(r *row, n string) int { return strings.Compare(r.name, n) })
		t.order = slices.Insert(t.order, i, r)
	}
	return r
}

// setTargets replaces the targets and the number of slots of each.
func (t *table) setTargets(slots map[string]int) {
	for _, r := range t.order {
		if _, ok := slots[r.name]; !ok {
			r.listed, r.announced = false, -1
		}
	}
	for n, k := range slots {
		r := t.row(n)
		r.slots, r.listed = k, true
	}
	t.prune()
}

// setBusy replaces the number of occupied slots at each target.
func (t *table) setBusy(busy map[string]int) {
	for _, r := range t.order {
		r.busy = 0
	}
	for n, k := range busy {
		if k > 0 {
			t.row(n).busy = k
		}
	}
	t.prune()
}

// stopDraining opens draining slots to new requests again.
func (t *table) stopDraining() {
	if !t.anyDraining {
		return
	}
	t.anyDraining = false
	for _, r := range t.order {
		r.draining = 0
	}
}

// prune removes the rows of unused targets.
func (t *table) prune() {
	t.order = slices.DeleteFunc(t.order, func(r *row) bool {
		if r.unused() {
			delete(t.rows, r.name)
			return true
		}
		return false
	})
}
