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
		for i, x := range l.loans {
			if x.to == m.From && !slices.Contains(m.Holding, i) {
				l.end(i)
			}
		}
		a = answer{number: m.Number, grants: l.grant(m.From, m.Want)}
		l.answers[m.From] = a
	}
	l.cmds = append(l.cmds, LentCmd{
		To: m.From, Number: a.number, Grants: slices.Clone(a.grants), Recalled: l.recalled(m.From),
		Busy: len(l.loans) == 0 && l.now.Sub(l.pressed) >= recallAfter,
	})
}

// end takes a loan back that its borrower has no more.
func (l *Loans) end(id int64) {
	l.table.row(l.loans[id].target).lent--
	delete(l.loans, id)
}

// grant lends idle slots, those of the target with the most first.
func (l *Loans) grant(to string, want int) []Grant {
	if l.queued > 0 || want <= 0 {
		return nil
	}
	l.table.fill()
	all := 0
	for _, r := range l.table.order {
		all += r.idle()
	}
	var g []Grant
	for len(g) < want && all > l.keep {
		r := slices.MaxFunc(l.table.order, func(a, b *row) int { return a.idle() - b.idle() })
		all--
		l.nextID++
		l.loans[l.nextID] = loan{target: r.name, to: to}
		r.lent++
		g = append(g, Grant{ID: l.nextID, Target: r.name})
	}
	l.empty(want - len(g))
	return g
}

// empty lets no new request into slots that background requests have, so that they can be lent at the next ask.
func (l *Loans) empty(want int) {
	n := min(want, l.yields)
	l.clearTo = l.now.Add(clearFor)
	for _, r := range l.table.order {
		r.cleared = min(n, r.busy, max(0, r.limit-r.lent))
		n -= r.cleared
		l.table.cleared = l.table.cleared || r.cleared > 0
	}
}

// recall asks lent slots back for the requests that wait here, and what a smaller share no longer covers.
func (l *Loans) recall() {
	need := 0
	if l.now.Sub(l.pressed) >= recallAfter {
		need = l.queued
	}
	over := slices.ContainsFunc(l.table.order, func(r *row) bool { return r.lent > r.limit })
	if len(l.loans) == 0 || need == 0 && !over {
		return
	}
	for _, i := range slices.Sorted(maps.Keys(l.loans)) {
		x := l.loans[i]
		r := l.table.row(x.target)
		if x.recalled {
			need--
			continue
		}
		if need > 0 || r.lent > r.limit {
			x.recalled = true
			l.loans[i] = x
			need--
		}
	}
}

func (l *Loans) recalled(to string) []int64 {
	var r []int64
	for i, x := range l.loans {
		if x.to == to && x.recalled {
			r = append(r, i)
		}
	}
	slices.Sort(r)
	return r
}
