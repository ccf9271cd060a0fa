package share

import (
	"maps"
	"slices"
)

// take accepts the answer that a peer was asked for; any other is a copy or too old.
func (l *Loans) take(m LentMsg) {
	p := l.peers[m.From]
	if p == nil || !p.waiting || m.Number != p.number {
		return
	}
	p.waiting = false
	for _, g := range m.Grants {
		p.held[g.ID] = &held{target: g.Target}
		l.table.row(g.Target).open++
	}
	for _, i := range m.Recalled {
		if h := p.held[i]; h != nil {
			l.close(h)
		}
	}
	switch {
	case len(m.Grants) > 0 || !m.Busy:
		p.pause = firstPause
	case p.ask.Want > 0:
		p.pause = min(lastPause, max(firstPause, 2*p.pause))
	}
	if len(m.Grants) < p.ask.Want {
		p.after = l.now.Add(p.pause)
	}
}

// close keeps new requests out of a borrowed slot.
func (l *Loans) close(h *held) {
	if !h.closed {
		h.closed = true
		r := l.table.row(h.target)
		r.open--
		r.closed++
	}
}

// lose forgets all that was borrowed from a peer that is no more.
func (l *Loans) lose(p *lender) {
	for _, h := range p.held {
		l.close(h)
		l.table.row(h.target).closed--
	}
}

// release closes borrowed slots that are idle for long or of no use, and gives back those that no request holds.
func (l *Loans) release() {
	long := l.queued == 0 && l.now.Sub(l.idle) >= idleBefore
	for _, e := range l.names {
		p := l.peers[e]
		if len(p.held) == 0 {
			continue
		}
		for _, i := range slices.Sorted(maps.Keys(p.held)) {
			l.releaseOne(p, i, long)
		}
	}
}

func (l *Loans) releaseOne(p *lender, id int64, long bool) {
	h := p.held[id]
	r := l.table.row(h.target)
	if !r.listed || long && r.busy < r.usable() {
		l.close(h)
	}
	// The requests at the target must fit into what remains here without this slot.
	if h.closed && r.busy <= r.usable()+r.closed-1 {
		r.closed--
		delete(p.held, id)
		p.changed = true
	}
}

// borrow asks peers for slots, and tells them what is still held.
func (l *Loans) borrow() {
	want := l.wanted()
	for _, e := range l.names {
		p := l.peers[e]
		again := l.now.Sub(p.sent) >= askAgain
		if p.waiting {
			if again {
				l.ask(p)
			}
			continue
		}
		more := want > 0 && !l.now.Before(p.after)
		if !more && !p.changed && (len(p.held) == 0 || !again) {
			continue
		}
		p.number++
		p.waiting, p.changed = true, false
		p.ask = BorrowCmd{To: e, Number: p.number, Holding: slices.Sorted(maps.Keys(p.held))}
		if more {
			p.ask.Want = want
		}
		l.ask(p)
	}
}

func (l *Loans) ask(p *lender) {
	p.sent = l.now
	c := p.ask
	c.Holding = slices.Clone(c.Holding)
	l.cmds = append(l.cmds, c)
}

// wanted returns how many slots to ask of each peer.
func (l *Loans) wanted() int {
	if l.queued == 0 || len(l.peers) == 0 {
		return 0
	}
	n := min(l.queued, maxBorrowed)
	return (n + len(l.peers) - 1) / len(l.peers)
}
