package pool

import (
	"iter"
	"slices"
)

// Table is the whole membership of one data centre as last read, with the store's revision of each shard.
type Table struct {
	shards    []Shard
	revisions []int64
}

// NewTable returns an empty table of count shards, all of revision 0.
func NewTable(count int) Table {
	t := Table{shards: make([]Shard, count), revisions: make([]int64, count)}
	for i := range t.shards {
		t.shards[i] = NewShard(i, count)
	}
	return t
}

// Count returns the number of shards.
func (t Table) Count() int { return len(t.shards) }

// Shard returns shard i.
func (t Table) Shard(i int) Shard { return t.shards[i] }

// Revision returns the store's revision of shard i, 0 if it was never written.
func (t Table) Revision(i int) int64 { return t.revisions[i] }

// Replace returns the table with shard i and its revision replaced.
func (t Table) Replace(i int, s Shard, revision int64) Table {
	t.shards, t.revisions = slices.Clone(t.shards), slices.Clone(t.revisions)
	t.shards[i], t.revisions[i] = s, revision
	return t
}

// Index returns the index of the shard that the VM's name belongs to.
func (t Table) Index(vm string) int { return Index(vm, len(t.shards)) }

// Find returns the VM's entry.
func (t Table) Find(vm string) (Member, bool) {
	if len(t.shards) == 0 {
		return Member{}, false
	}
	return t.shards[t.Index(vm)].Find(vm)
}

// Len returns the number of VMs.
func (t Table) Len() int {
	n := 0
	for _, s := range t.shards {
		n += len(s.members)
	}
	return n
}

// All yields every member, sorted by shard and name.
func (t Table) All() iter.Seq[Member] {
	return func(yield func(Member) bool) {
		for _, s := range t.shards {
			for _, m := range s.members {
				if !yield(m) {
					return
				}
			}
		}
	}
}

// Busy yields the members that are not serving, have a planned stop running or may still be drained on the platform.
func (t Table) Busy() iter.Seq[Member] {
	return func(yield func(Member) bool) {
		for _, s := range t.shards {
			for m := range s.Busy() {
				if !yield(m) {
					return
				}
			}
		}
	}
}

// InPool returns the pool's members, sorted by shard and name.
func (t Table) InPool(pool string) []Member {
	var l []Member
	for m := range t.All() {
		if m.Pool == pool {
			l = append(l, m)
		}
	}
	return l
}

// Versions returns the version of each shard.
func (t Table) Versions() []int64 {
	l := make([]int64, len(t.shards))
	for i, s := range t.shards {
		l[i] = s.version
	}
	return l
}
