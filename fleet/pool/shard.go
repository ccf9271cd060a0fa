package pool

import (
	"iter"
	"slices"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// ShardCount is the usual number of shards of one data centre's membership.
const ShardCount = 16

// Index returns the index, 0 to count-1, of the shard that the VM's name belongs to.
func Index(vm string, count int) int {
	return int(xxhash.Sum64String(vm) % uint64(count))
}

// Shard is an immutable part of one data centre's membership, with one entry for each VM.
type Shard struct {
	index, count int
	version      int64
	members      []Member // sorted by VM.
	busy         []int    // positions of the members that Busy yields.
}

// NewShard returns the empty shard with the given index of count shards.
func NewShard(index, count int) Shard {
	return Shard{index: index, count: count}
}

// Index returns the index of the shard in the membership.
func (s Shard) Index() int { return s.index }

// Version returns the version, which grows with each change.
func (s Shard) Version() int64 { return s.version }

// Len returns the number of VMs.
func (s Shard) Len() int { return len(s.members) }

// Find returns the VM's entry.
func (s Shard) Find(vm string) (Member, bool) {
	i, ok := s.find(vm)
	if !ok {
		return Member{}, false
	}
	return s.members[i], true
}

// Put returns the shard with m added or replaced, or ErrWrongShard if the VM belongs to another shard.
func (s Shard) Put(m Member) (Shard, error) {
	return s.Change([]Member{m}, nil)
}

// Move returns the shard with the VM in pool to, or ErrNoVM.
func (s Shard) Move(vm, to string) (Shard, error) {
	m, ok := s.Find(vm)
	if !ok {
		return s, eris.Wrapf(ErrNoVM, "move %s", vm)
	}
	m.Pool = to
	return s.Put(m)
}

// SetState returns the shard with the VM in state t since time at (Unix milliseconds), or ErrNoVM.
func (s Shard) SetState(vm string, t State, at int64) (Shard, error) {
	m, ok := s.Find(vm)
	if !ok {
		return s, eris.Wrapf(ErrNoVM, "set state of %s", vm)
	}
	m.State, m.StateSince = t, at
	return s.Put(m)
}

// Drop returns the shard without the VM, or ErrNoVM.
func (s Shard) Drop(vm string) (Shard, error) {
	if _, ok := s.find(vm); !ok {
		return s, eris.Wrapf(ErrNoVM, "drop %s", vm)
	}
	return s.Change(nil, []string{vm})
}

// Change returns the next version of the shard with all puts and drops, or ErrWrongShard if a put belongs to another shard. A VM
// that is both put and dropped is dropped.
func (s Shard) Change(puts []Member, drops []string) (Shard, error) {
	next := make(map[string]Member, len(puts))
	for _, m := range puts {
		if Index(m.VM, s.count) != s.index {
			return s, eris.Wrapf(ErrWrongShard, "put %s into shard %d", m.VM, s.index)
		}
		next[m.VM] = m
	}
	l := make([]Member, 0, len(s.members)+len(puts))
	for _, m := range s.members {
		n, ok := next[m.VM]
		if ok {
			delete(next, m.VM)
			m = n
		}
		if !slices.Contains(drops, m.VM) {
			l = append(l, m)
		}
	}
	for _, m := range next {
		if !slices.Contains(drops, m.VM) {
			l = append(l, m)
		}
	}
	return buildShard(s.index, s.count, s.version+1, l), nil
}

// All yields every member, sorted by name.
func (s Shard) All() iter.Seq[Member] { return slices.Values(s.members) }

// Busy yields the members that are not serving, have a planned stop running or may still be drained on the platform.
func (s Shard) Busy() iter.Seq[Member] {
	return func(yield func(Member) bool) {
		for _, i := range s.busy {
			if !yield(s.members[i]) {
				return
			}
		}
	}
}

// RaiseVersion returns the shard with its version raised to at least minVersion, to write it over an older one in the store.
func (s Shard) RaiseVersion(minVersion int64) Shard {
	s.version = max(s.version, minVersion)
	return s
}

func (s Shard) find(vm string) (int, bool) {
	return sort.Find(len(s.members), func(i int) int { return strings.Compare(vm, s.members[i].VM) })
}

// buildShard returns a shard of the members l, which it sorts.
func buildShard(index, count int, version int64, l []Member) Shard {
	if !slices.IsSortedFunc(l, compareVMs) {
		slices.SortFunc(l, compareVMs)
	}
	s := Shard{index: index, count: count, version: version, members: l}
	for i, m := range l {
		if m.State != Serving || m.Op != "" || m.MaybeDrained {
			s.busy = append(s.busy, i)
		}
	}
	return s
}

func compareVMs(a, b Member) int { return strings.Compare(a.VM, b.VM) }
