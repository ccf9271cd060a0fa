package spare

import "fmt"

// Buffer compares three ways to hold spare VMs, so that each pool keeps what it needs after the loss of any racks. It has
// the total number of spare VMs for each.
type Buffer struct {
	Shared     int // held once for all pools and lent to those that lose VMs.
	PerPool    int // held by each pool for itself, each the least number that is enough.
	EqualShare int // held by each pool for itself, the same share of the need in all pools.
}

// Buffers returns the spare VMs that pools with the given needs require to survive the loss of lost racks. A rack holds
// perRack VMs, and each pool is spread evenly over the racks.
func Buffers(needs []int, perRack, lost int) Buffer {
	total := 0
	for _, n := range needs {
		total += n
	}
	b, share := Buffer{}, 0.0
	racks := (total + perRack - 1) / perRack
	extra := make([]int, len(needs))
	for i, n := range needs {
		extra[i] = ownSpares(n, racks, lost)
		b.PerPool += extra[i]
		share = max(share, float64(extra[i])/float64(max(n, 1)))
	}
	for _, n := range needs {
		b.EqualShare += vmsFor(share*float64(n), 1)
	}
	for b.Shared < total && !survivesWith(needs, b.Shared, perRack, lost) {
		b.Shared++
	}
	return b
}

// ownSpares returns how many VMs beyond its need a pool must hold to survive the loss of racks without shared spare VMs.
func ownSpares(need, racks, lost int) int {
	for e := 0; ; e++ {
		n := need + e
		inLostRacks := min(lost*((n+racks-1)/max(racks, 1)), n)
		if n-inLostRacks >= need || e > need+lost*racks {
			return e
		}
	}
}

// survivesWith reports whether the given number of shared spare VMs makes up for the worst loss of racks.
func survivesWith(needs []int, spares, perRack, lost int) bool {
	s, l, rules := New(), []VM{}, []Rule{}
	for i, n := range needs {
		r := Rule{Pool: fmt.Sprintf("p%d", i), SurviveRacks: lost}
		rules, s.pools[r.Pool] = append(rules, r), &poolState{need: n}
		for range n {
			l = append(l, VM{Pool: r.Pool})
		}
	}
	s.Update(RulesMsg{Rules: append(rules, Rule{Pool: "spare", Spare: true})})
	racks := (len(l) + spares + perRack - 1) / perRack
	for i := range spares { // spread the spare VMs over the racks.
		l = append(l, VM{Pool: "spare", Rack: fmt.Sprintf("r%d", racks-1-i%racks)})
	}
	fill := make(map[string]int, racks)
	for _, v := range l[len(l)-spares:] {
		fill[v.Rack]++
	}
	next := 0
	for i := range len(l) - spares {
		for fill[fmt.Sprintf("r%d", next%racks)] >= perRack {
			next++
		}
		l[i].Rack = fmt.Sprintf("r%d", next%racks)
		fill[l[i].Rack]++
		next++
	}
	s.Update(FleetMsg{VMs: l})
	_, uncovered := s.worstRackLoss()
	return uncovered <= 0
}

// Needs returns the need of each pool that is not a spare pool, in the given hour of the day.
func (t Trace) Needs(hour int) []int {
	var l []int
	for _, p := range t.Pools {
		if !p.Rule.Spare {
			l = append(l, p.needAt(int64(hour)*hourMillis))
		}
	}
	return l
}
