package proof

import (
	"slices"
	"sync"

	"burdockreach.dev/proof/rig"
)

// entryList is the list of entries that a load sends to. It may change during the load.
type entryList struct {
	mu      sync.Mutex
	entries []*rig.Entry
}

func newEntryList(l []*rig.Entry) *entryList { return &entryList{entries: slices.Clone(l)} }

// get returns the current entries.
func (r *entryList) get() []*rig.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.entries)
}

// replace puts the new entry at the position of the old one.
func (r *entryList) replace(old, new *rig.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries[slices.Index(r.entries, old)] = new
}
