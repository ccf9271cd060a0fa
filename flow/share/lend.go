package share

import (
	"maps"
	"slices"
)

// lend replies to a borrow request. A request with the same number as the one before gets the same grants again.
func (l *Loans) lend(m BorrowMsg) {
	if _, ok := l.peers[m.From]; !ok {
		return
	}
	a := l.lastReplies[m.From]
	if m.Number < a.number {
		return
	}
	if m.Number > a.number {
		for i, x := range l.loans {
			if x.borrower == m.From && !slices.Contains(m.Holding, i) {
				l.endLoan(i)
			}
		}
		a = reply{number: m.Number, grants: l.grant(m.From, m.Want)}
		l.lastReplies[m.From] = a
	}
	l.cmds = append(l.cmds, LentCmd{
		To: m.From, Number: a.number, Grants: slices.Clone(a.grants), Recalled: l.recalledFrom(m.From),
		Exhausted: len(l.loans) == 0 && l.now.Sub(l.lastNoDemandAt) >= recallAfter,
	})
}

// endLoan takes back a slot that its borrower no longer holds.
func (l *Loans) endLoan(id int64) {
	l.table.row(l.loans[id].target).lent--
	delete(l.loans, id)
}

// grant lends up to want idle slots, each from the target that has most of them, and drains slots for the rest. It lends nothing
// while requests wait here, and leaves the reserve.
func (l *Loans) grant(borrower string, want int) []Grant {
	if l.demand > 0 || want <= 0 {
		return nil
	}
	l.table.stopDraining()
	total := 0
	for _, r := range l.table.order {
		total += r.lendable()
	}
	var g []Grant
	for len(g) < want && total > l.reserve {
		r := slices.MaxFunc(l.table.order, func(a, b *row) int { return a.lendable() - b.lendable() })
		total--
		l.lastLoanID++
		l.loans[l.lastLoanID] = loan{target: r.name, borrower: borrower}
		r.lent++
		g = append(g, Grant{ID: l.lastLoanID, Target: r.name})
	}
	l.drain(want - len(g))
	return g
}

// drain keeps new requests out of slots that background requests occupy, so that they can be lent at the next borrow request.
func (l *Loans) drain(want int) {
	n := min(want, l.reclaimable)
	l.drainUntil = l.now.Add(drainFor)
	for _, r := range l.table.order {
		r.draining = min(n, r.busy, max(0, r.ownShare-r.lent))
		n -= r.draining
		l.table.anyDraining = l.table.anyDraining || r.draining > 0
	}
}

// recall marks lent slots to be recalled: as many as requests wait here once they have waited for recallAfter, and those that
// a reduced own share no longer covers.
func (l *Loans) recall() {
	need := 0
	if l.now.Sub(l.lastNoDemandAt) >= recallAfter {
		need = l.demand
	}
	overLent := slices.ContainsFunc(l.table.order, func(r *row) bool { return r.lent > r.ownShare })
	if len(l.loans) == 0 || need == 0 && !overLent {
		return
	}
	for _, i := range slices.Sorted(maps.Keys(l.loans)) {
		x := l.loans[i]
		r := l.table.row(x.target)
		if x.recalled {
			need--
			continue
		}
		if need > 0 || r.lent > r.ownShare {
			x.recalled = true
			l.loans[i] = x
			need--
		}
	}
}

// recalledFrom returns the ids of the recalled loans to the borrower, sorted.
func (l *Loans) recalledFrom(borrower string) []int64 {
	var r []int64
	for i, x := range l.loans {
		if x.borrower == borrower && x.recalled {
			r = append(r, i)
		}
	}
	slices.Sort(r)
	return r
}
