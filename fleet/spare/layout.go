package spare

import (
	"cmp"
	"slices"
)

// layout counts VMs by pool and rack; a moving VM counts for the pool that it moves to.
type layout struct {
	byPool      map[string][]VM
	perPoolRack map[string]map[string]int // VMs that have not failed, by pool, then rack.
	perRackPool map[string]map[string]int // the same by rack, then pool.
	perPool     map[string]int            // the same by pool.
	failed      map[string]int            // by pool.
	unavailable map[string]int
	racks       []string
}

func newLayout(vms []VM) *layout {
	l := &layout{
		byPool: map[string][]VM{}, perPoolRack: map[string]map[string]int{},
		perRackPool: map[string]map[string]int{}, perPool: map[string]int{},
		failed: map[string]int{}, unavailable: map[string]int{},
	}
	seen := map[string]bool{}
	for _, v := range vms {
		l.byPool[v.Pool] = append(l.byPool[v.Pool], v)
		if !seen[v.Rack] {
			seen[v.Rack] = true
			l.racks = append(l.racks, v.Rack)
		}
		switch {
		case v.Failed:
			l.failed[v.Pool]++
			continue
		case v.Unavailable:
			l.unavailable[v.Pool]++
		}
		l.add(v.Pool, v.Rack, 1)
	}
	slices.Sort(l.racks)
	return l
}

func (l *layout) add(pool, rack string, n int) {
	if l.perPoolRack[pool] == nil {
		l.perPoolRack[pool] = map[string]int{}
	}
	if l.perRackPool[rack] == nil {
		l.perRackPool[rack] = map[string]int{}
	}
	l.perPoolRack[pool][rack] += n
	l.perRackPool[rack][pool] += n
	l.perPool[pool] += n
}

// count returns the number of the pool's VMs that serve, or will serve again after maintenance.
func (l *layout) count(pool string) int { return l.perPool[pool] }

// serving returns the number of the pool's VMs that serve now.
func (l *layout) serving(pool string) int { return l.count(pool) - l.unavailable[pool] }

// reassign counts the VM for the pool that it will move to.
func (l *layout) reassign(v VM, to string) {
	l.add(v.Pool, v.Rack, -1)
	l.add(to, v.Rack, 1)
	l.byPool[v.Pool] = slices.DeleteFunc(slices.Clone(l.byPool[v.Pool]), func(o VM) bool { return o.Name == v.Name })
}

// pickForPool returns the VM of pool "from" to move to pool "to": the one whose rack holds the fewest VMs of "to" and,
// among equal ones, the most of "from".
func (l *layout) pickForPool(from, to string, free func(VM) bool) (VM, bool) {
	return bestVM(l.byPool[from], free, func(a, b VM) int {
		return cmp.Or(
			cmp.Compare(l.perPoolRack[to][a.Rack], l.perPoolRack[to][b.Rack]),
			cmp.Compare(l.perPoolRack[from][b.Rack], l.perPoolRack[from][a.Rack]),
			cmp.Compare(a.Name, b.Name),
		)
	})
}

// pickFromFullestRack returns a VM of the pool from the rack that holds the most of its VMs.
func (l *layout) pickFromFullestRack(pool string, free func(VM) bool) (VM, bool) {
	return bestVM(l.byPool[pool], free, func(a, b VM) int {
		return cmp.Or(cmp.Compare(l.perPoolRack[pool][b.Rack], l.perPoolRack[pool][a.Rack]), cmp.Compare(a.Name, b.Name))
	})
}

// bestVM returns the first of the free VMs in the order of before.
func bestVM(l []VM, free func(VM) bool, before func(a, b VM) int) (VM, bool) {
	var b VM
	ok := false
	for _, v := range l {
		if free(v) && (!ok || before(v, b) < 0) {
			b, ok = v, true
		}
	}
	return b, ok
}
