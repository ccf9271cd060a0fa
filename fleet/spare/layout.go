package spare

import (
	"cmp"
	"slices"
)

// layout counts VMs by pool and rack; a VM on its way counts for where it goes.
type layout struct {
	byPool map[string][]VM
	counts map[string]map[string]int // by pool, then rack: VMs that are not failed.
	byRack map[string]map[string]int // the same counts by rack, then pool.
	total  map[string]int            // by pool.
	failed map[string]int
	out    map[string]int
	racks  []string
}

func newLayout(vms []VM) *layout {
	l := &layout{
		byPool: map[string][]VM{}, counts: map[string]map[string]int{},
		byRack: map[string]map[string]int{}, total: map[string]int{},
		failed: map[string]int{}, out: map[string]int{},
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
		case v.Out:
			l.out[v.Pool]++
		}
		l.add(v.Pool, v.Rack, 1)
	}
	slices.Sort(l.racks)
	return l
}

func (l *layout) add(pool, rack string, n int) {
	if l.counts[pool] == nil {
		l.counts[pool] = map[string]int{}
	}
	if l.byRack[rack] == nil {
		l.byRack[rack] = map[string]int{}
	}
	l.counts[pool][rack] += n
	l.byRack[rack][pool] += n
	l.total[pool] += n
}

// have returns the pool's VMs that serve or will serve again.
func (l *layout) have(pool string) int { return l.total[pool] }

// alive returns the pool's VMs that serve now.
func (l *layout) alive(pool string) int { return l.have(pool) - l.out[pool] }

// shift counts the VM for the pool that it is to move to.
func (l *layout) shift(v VM, to string) {
	l.add(v.Pool, v.Rack, -1)
	l.add(to, v.Rack, 1)
	l.byPool[v.Pool] = slices.DeleteFunc(slices.Clone(l.byPool[v.Pool]), func(o VM) bool { return o.Name == v.Name })
}

// pick returns the VM of from whose rack holds the fewest of the pool to, then the most of from.
func (l *layout) pick(from, to string, free func(VM) bool) (VM, bool) {
	return best(l.byPool[from], free, func(a, b VM) int {
		return cmp.Or(
			cmp.Compare(l.counts[to][a.Rack], l.counts[to][b.Rack]),
			cmp.Compare(l.counts[from][b.Rack], l.counts[from][a.Rack]),
			cmp.Compare(a.Name, b.Name),
		)
	})
}

// crowded returns the VM of the pool whose rack holds the most of it.
func (l *layout) crowded(pool string, free func(VM) bool) (VM, bool) {
	return best(l.byPool[pool], free, func(a, b VM) int {
		return cmp.Or(cmp.Compare(l.counts[pool][b.Rack], l.counts[pool][a.Rack]), cmp.Compare(a.Name, b.Name))
	})
}

func best(l []VM, free func(VM) bool, before func(a, b VM) int) (VM, bool) {
	var b VM
	ok := false
	for _, v := range l {
		if free(v) && (!ok || before(v, b) < 0) {
			b, ok = v, true
		}
	}
	return b, ok
}
