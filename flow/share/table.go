package share

import (
	"slices"
	"strings"
)

// row is one target's slots as an entry has them.
type row struct {
	name           string
	slots          int
	listed         bool
	ownShare       int // the entry's own share
	lent           int // of the share
	draining       int // of the share, that are being emptied for a borrower
	borrowedOpen   int // borrowed, for new requests
	borrowedClosed int // borrowed, to be given back
	busy           int
	announced      int // that the runner was last told to use
}

// usable returns the slots that may be used for new requests.
func (r *row) usable() int { return max(0, r.ownShare-r.lent-r.draining) + r.borrowedOpen }

// lendable returns the slots of the own share that may be lent now.
func (r *row) lendable() int { return max(0, min(r.ownShare-r.lent, r.usable()-r.busy)) }

// unused reports whether nothing is known of the target any more.
func (r *row) unused() bool { return !r.listed && r.lent+r.borrowedOpen+r.borrowedClosed+r.busy == 0 }

// table holds the rows of all targets that are listed or in use.
type table struct {
	rows        map[string]*row
	order       []*row // by name
	anyDraining bool
}

func newTable() table { return table{rows: map[string]*row{}} }

// row returns the target's row, and makes it if need be.
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

// setTargets replaces the targets and their slots.
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

// setBusy replaces the requests at each target.
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

// stopDraining lets new requests into the slots that were being emptied.
func (t *table) stopDraining() {
	if !t.anyDraining {
		return
	}
	t.anyDraining = false
	for _, r := range t.order {
		r.draining = 0
	}
}

func (t *table) prune() {
	t.order = slices.DeleteFunc(t.order, func(r *row) bool {
		if r.unused() {
			delete(t.rows, r.name)
			return true
		}
		return false
	})
}
