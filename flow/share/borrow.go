package share

import (
	"maps"
	"slices"
)

// acceptReply processes the reply to a pending borrow request. Any other reply is a duplicate or outdated, and is ignored.
func (l *Loans) acceptReply(m LentMsg) {
	p := l.peers[m.From]
	if p == nil || !p.awaitingReply || m.Number != p.requestNumber {
		return
	}
	p.awaitingReply = false
	for _, g := range m.Grants {
		p.slots[g.ID] = &borrowedSlot{target: g.Target}
		l.table.row(g.Target).borrowedOpen++
	}
	for _, i := range m.Recalled {
		if h := p.slots[i]; h != nil {
			l.closeSlot(h)
		}
	}
	switch {
	case len(m.Grants) > 0 || !m.Exhausted:
		p.backoff = minBackoff
	case p.request.Want > 0:
		p.backoff = min(maxBackoff, max(minBackoff, 2*p.backoff))
	}
	if len(m.Grants) < p.request.Want {
		p.wantAgainAt = l.now.Add(p.backoff)
	}
}

// closeSlot keeps new requests out of a borrowed slot.
func (l *Loans) closeSlot(h *borrowedSlot) {
	if !h.closed {
		h.closed = true
		r := l.table.row(h.target)
		r.borrowedOpen--
		r.borrowedClosed++
	}
}

// forgetBorrowed removes all slots borrowed from a peer that has left the roster.
func (l *Loans) forgetBorrowed(p *lender) {
	for _, h := range p.slots {
		l.closeSlot(h)
		l.table.row(h.target).borrowedClosed--
	}
}

// returnSlots closes borrowed slots that are idle for long or whose target is no longer listed, and returns closed slots that
// no request occupies.
func (l *Loans) returnSlots() {
	idleLong := l.demand == 0 && l.now.Sub(l.lastDemandAt) >= returnAfterIdle
	for _, e := range l.peerNames {
		p := l.peers[e]
		if len(p.slots) == 0 {
			continue
		}
		for _, i := range slices.Sorted(maps.Keys(p.slots)) {
			l.returnSlot(p, i, idleLong)
		}
	}
}

func (l *Loans) returnSlot(p *lender, id int64, idleLong bool) {
	h := p.slots[id]
	r := l.table.row(h.target)
	if !r.listed || idleLong && r.busy < r.usable() {
		l.closeSlot(h)
	}
	// The requests at the target must fit into the slots that remain here without this one.
	if h.closed && r.busy <= r.usable()+r.borrowedClosed-1 {
		r.borrowedClosed--
		delete(p.slots, id)
		p.returnedSlots = true
	}
}

// borrow sends borrow requests to peers: for more slots, and to report the slots that are still held.
func (l *Loans) borrow() {
	want := l.wantedPerPeer()
	for _, e := range l.peerNames {
		p := l.peers[e]
		resendDue := l.now.Sub(p.requestedAt) >= resendAfter
		if p.awaitingReply {
			if resendDue {
				l.sendRequest(p)
			}
			continue
		}
		wantMore := want > 0 && !l.now.Before(p.wantAgainAt)
		if !wantMore && !p.returnedSlots && (len(p.slots) == 0 || !resendDue) {
			continue
		}
		p.requestNumber++
		p.awaitingReply, p.returnedSlots = true, false
		p.request = BorrowCmd{To: e, Number: p.requestNumber, Holding: slices.Sorted(maps.Keys(p.slots))}
		if wantMore {
			p.request.Want = want
		}
		l.sendRequest(p)
	}
}

func (l *Loans) sendRequest(p *lender) {
	p.requestedAt = l.now
	c := p.request
	c.Holding = slices.Clone(c.Holding)
	l.cmds = append(l.cmds, c)
}

// wantedPerPeer returns the number of slots to request from each peer.
func (l *Loans) wantedPerPeer() int {
	if l.demand == 0 || len(l.peers) == 0 {
		return 0
	}
	n := min(l.demand, maxWanted)
	return (n + len(l.peers) - 1) / len(l.peers)
}
