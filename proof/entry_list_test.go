package proof

import (
	"slices"
	"sync"

	"burdockreach.dev/proof/rig"
)

// entryList is the list of entries that the balancer sends callers to.
type entryList struct {
	mu      sync.Mutex
	entries []*rig.Entry
}

func newEntryList(l []*rig.Entry) *entryList { return &entryList{entries: slices.Clone(l)} }

// get returns the entries that are in use.
func (r *entryList) get() []*rig.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.entries)
}

// replace puts the new entry into the old one's place.
func (r *entryList) replace(old, new *rig.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries[slices.Index(r.entries, old)] = new
}
