package keyval

import (
	"context"
	"slices"
)

// Txn applies all writes atomically and returns their common revision, or a ConflictError if a guard does not hold or a lease has
// expired.
func (m *Memory) Txn(ctx context.Context, t Txn) (Revision, error) {
	m.writes.Add(1)
	if err := checkContext(ctx, "txn", ""); err != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	if l, ok := m.checkGuards(t.Guards); !ok {
		return 0, NewConflictError(l)
	}
	for _, w := range t.Writes {
		if w.Lease != 0 && m.leases[w.Lease] == nil {
			return 0, NewConflictError(nil)
		}
	}
	r := m.state.rev + 1
	for _, w := range t.Writes {
		m.apply(w, r)
	}
	return r, nil
}

// checkGuards returns the items of the guarded keys and whether every guard holds.
func (m *Memory) checkGuards(l []Guard) ([]Item, bool) {
	items, ok := make([]Item, len(l)), true
	for i, g := range l {
		items[i] = m.state.items[g.Key].item
		items[i].key = g.Key
		ok = ok && m.conditionHolds(g.Key, g.Rev)
	}
	return items, ok
}

func (m *Memory) apply(w Write, r Revision) {
	i := Item{key: w.Key, value: slices.Clone(w.Value), rev: r}
	if w.Delete {
		m.removeAt(w.Key, r)
		return
	}
	if pos, ok := slices.BinarySearch(m.state.keys, w.Key); !ok {
		m.state.keys = slices.Insert(m.state.keys, pos, w.Key)
	}
	m.state.items[w.Key] = storedItem{item: i, lease: w.Lease}
	m.appendEvent(NewEvent(i, false))
}
