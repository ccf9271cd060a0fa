package share

import (
	"maps"
	"slices"
)

// lend answers a borrower; the same number is answered with the same grants.
func (l *Loans) lend(m BorrowMsg) {
	if _, ok := l.peers[m.From]; !ok {
		return
	}
	a := l.answers[m.From]
	if m.Number < a.number {
		return
	}
	if m.Number > a.number {
		maps.DeleteFunc(l.loans, func(i int64, x loan) bool { return x.to == m.From && !slices.Contains(m.Holding, i) })
		a = answer{number: m.Number, grants: l.grant(m.From, m.Want)}
		l.answers[m.From] = a
	}
	l.cmds = append(l.cmds, LentCmd{To: m.From, Number: a.number, Grants: slices.Clone(a.grants), Recalled: l.recalled(m.From)})
}

// grant lends idle slots, those of the target with the most first.
func (l *Loans) grant(to string, want int) []Grant {
	if l.queued > 0 || len(l.rosters) != 1 {
		return nil
	}
	clear(l.cleared)
	free, all := l.spare()
	var g []Grant
	for len(g) < want && all > l.keep {
		t := most(free)
		if free[t] <= 0 {
			break
		}
		free[t]--
		all--
		l.nextID++
		l.loans[l.nextID] = loan{target: t, to: to}
		g = append(g, Grant{ID: l.nextID, Target: t})
	}
	l.empty(want - len(g))
	return g
}

// empty lets no new request into slots that background requests have, so that they can be lent at the next ask.
func (l *Loans) empty(want int) {
	n := min(want, l.yields)
	l.clearTo = l.now.Add(clearFor)
	for _, t := range slices.Sorted(maps.Keys(l.targets)) {
		k := min(n, l.busy[t], max(0, l.limit(t)-l.lentOf(t)))
		l.cleared[t] = k
		n -= k
	}
}

// spare returns the idle slots of each target's own share, and their sum.
func (l *Loans) spare() (free map[string]int, all int) {
	free = make(map[string]int, len(l.targets))
	for t := range l.targets {
		n := l.limit(t) - l.lentOf(t)
		free[t] = max(0, min(n, l.Usable(t)-l.busy[t]))
		all += free[t]
	}
	return free, all
}

func most(m map[string]int) string {
	best := ""
	for t, n := range m {
		if best == "" || n > m[best] || n == m[best] && t < best {
			best = t
		}
	}
	return best
}

// recall asks lent slots back for the requests that wait here, and what a smaller share no longer covers.
func (l *Loans) recall() {
	need := 0
	if l.now.Sub(l.pressed) >= recallAfter {
		need = l.queued
	}
	for _, i := range slices.Sorted(maps.Keys(l.loans)) {
		x := l.loans[i]
		if x.recalled {
			need--
			continue
		}
		if need > 0 || l.lentOf(x.target) > l.limit(x.target) {
			x.recalled = true
			l.loans[i] = x
			need--
		}
	}
}

func (l *Loans) recalled(to string) []int64 {
	var r []int64
	for _, i := range slices.Sorted(maps.Keys(l.loans)) {
		if x := l.loans[i]; x.to == to && x.recalled {
			r = append(r, i)
		}
	}
	return r
}
