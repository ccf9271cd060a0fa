package proof

import (
	"slices"
	"sync"

	"burdockreach.dev/proof/rig"
)

// rota is the list of entries that the balancer sends callers to.
type rota struct {
	mu sync.Mutex
	l  []*rig.Entry
}

func newRota(l []*rig.Entry) *rota { return &rota{l: slices.Clone(l)} }

// get returns the entries that are in use.
func (r *rota) get() []*rig.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.l)
}

// swap puts the new entry into the old one's place.
func (r *rota) swap(old, new *rig.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.l[slices.Index(r.l, old)] = new
}
