package share

import (
	"maps"
	"slices"
	"time"
)

const (
	resendAfter     = 200 * time.Millisecond  // an unanswered borrow request is repeated, and held slots are reported, at this interval
	minBackoff      = 100 * time.Millisecond  // wait before requesting more after a reply with fewer slots than wanted
	maxBackoff      = 1600 * time.Millisecond // the same, after several replies of a peer that has no slot to spare
	recallAfter     = 400 * time.Millisecond  // lent slots are recalled when requests have waited here for this long
	returnAfterIdle = 200 * time.Millisecond  // an idle borrowed slot is returned when nothing has waited here for this long
	drainFor        = 250 * time.Millisecond  // slots drain for a borrower for this long without another request of a borrower
	maxWanted       = 64                      // slots wanted from all peers together at a time
)

// Loans tracks which slots of one service's targets this entry may use, lends and borrows. It changes only through Update and
// is not safe for concurrent use.
type Loans struct {
	self         string
	now          time.Time
	table        table
	rosters      [][]string       // oldest first; those before the newest count until every member has adopted the newest
	rosterNumber int64            // of the newest roster
	adopted      map[string]int64 // number of the roster that each entry has adopted
	demand       int              // waiting requests that need a slot here now
	reclaimable  int              // background requests whose slots can be lent when they end
	reserve      int              // idle slots that must not be lent
	drainUntil   time.Time        // when slots stop draining for a borrower

	lastLoanID     int64
	loans          map[int64]loan
	lastReplies    map[string]reply // by borrower
	peers          map[string]*lender
	peerNames      []string  // sorted
	lastDemandAt   time.Time // when demand was last above 0
	lastNoDemandAt time.Time // when demand was last 0
	cmds           []Cmd
}

// loan is a slot that this entry has lent.
type loan struct {
	target, borrower string
	recalled         bool
}

// reply is the latest reply to a borrower. A repeated request gets the same grants again.
type reply struct {
	number int64
	grants []Grant
}

// lender is a peer that this entry can borrow from.
type lender struct {
	requestNumber int64     // of the latest borrow request
	awaitingReply bool      // to the latest borrow request
	request       BorrowCmd // the latest borrow request
	backoff       time.Duration
	requestedAt   time.Time               // when the latest borrow request was last sent
	wantAgainAt   time.Time               // when to request more slots
	slots         map[int64]*borrowedSlot // by grant id
	returnedSlots bool                    // slots were returned since the latest borrow request
}

// borrowedSlot is a slot that this entry has borrowed. A closed slot takes no new requests and is to be returned.
type borrowedSlot struct {
	target string
	closed bool
}

// New returns the state of the entry named self, which may use no slots until it has a roster and targets.
func New(self string) *Loans {
	return &Loans{
		self: self, table: newTable(), adopted: map[string]int64{},
		loans: map[int64]loan{}, lastReplies: map[string]reply{}, peers: map[string]*lender{},
	}
}

// Update processes a message and returns the commands to carry out. The next call reuses the returned slice.
func (l *Loans) Update(m Msg) []Cmd {
	l.cmds = l.cmds[:0]
	switch m := m.(type) {
	case RosterMsg:
		l.now = m.Now
		l.setRoster(m)
	case RosterAdoptedMsg:
		l.now = m.Now
		l.adopted[m.From] = m.Number
	case TargetsMsg:
		l.now = m.Now
		l.table.setTargets(m.Slots)
		l.updateOwnShares()
	case LoadMsg:
		l.now = m.Now
		l.setLoad(m.Load)
		l.adoptNewestRoster()
		l.recall()
		l.returnSlots()
		l.borrow()
	case BorrowMsg:
		l.now = m.Now
		l.setLoad(m.Load)
		l.lend(m)
	case LentMsg:
		l.now = m.Now
		l.acceptReply(m)
	}
	l.dropOldRosters()
	l.announceShares()
	return l.cmds
}

// AdoptedRoster returns the number of the newest roster if this entry has adopted it, else 0. The peers need this number.
func (l *Loans) AdoptedRoster() int64 {
	if l.adopted[l.self] == l.rosterNumber {
		return l.rosterNumber
	}
	return 0
}

// Usable returns the number of the target's slots that new requests may use.
func (l *Loans) Usable(target string) int {
	if r := l.table.rows[target]; r != nil {
		return r.usable()
	}
	return 0
}

// Lent returns the number of slots that are lent to peers.
func (l *Loans) Lent() int { return len(l.loans) }

// Borrowed returns the number of borrowed slots that are not yet returned.
func (l *Loans) Borrowed() int {
	n := 0
	for _, p := range l.peers {
		n += len(p.slots)
	}
	return n
}

// Quiet reports whether nothing waits, is lent, borrowed or requested here, and every member has adopted the newest roster.
// One LoadMsg per second is enough while this holds.
func (l *Loans) Quiet() bool {
	if l.demand > 0 || len(l.loans) > 0 || len(l.rosters) != 1 || l.table.anyDraining {
		return false
	}
	for _, p := range l.peers {
		if p.awaitingReply || p.returnedSlots || len(p.slots) > 0 {
			return false
		}
	}
	return true
}

// updateOwnShares sets this entry's own share of each target: the smallest under any roster that some member may still use.
func (l *Loans) updateOwnShares() {
	for _, r := range l.table.order {
		r.ownShare = 0
		if len(l.rosters) == 0 || !r.listed {
			continue
		}
		r.ownShare = r.slots
		for _, x := range l.rosters {
			r.ownShare = min(r.ownShare, Static(r.name, r.slots, x, l.self))
		}
	}
}

// setRoster adds a newer roster and ends the loans to and from entries that it does not name.
func (l *Loans) setRoster(m RosterMsg) {
	if m.Number <= l.rosterNumber {
		return
	}
	if l.rosterNumber == 0 {
		l.rosters = [][]string{nil} // no slot is this entry's own until every member has adopted its first roster
	}
	l.rosterNumber = m.Number
	l.rosters = append(l.rosters, slices.Clone(m.Entries))
	member := func(e string) bool { return slices.Contains(m.Entries, e) }
	for i, x := range l.loans {
		if !member(x.borrower) {
			l.endLoan(i)
		}
	}
	for e, p := range l.peers {
		if !member(e) {
			l.forgetBorrowed(p)
			delete(l.peers, e)
		}
	}
	maps.DeleteFunc(l.lastReplies, func(e string, _ reply) bool { return !member(e) })
	maps.DeleteFunc(l.adopted, func(e string, _ int64) bool { return !member(e) })
	for _, e := range m.Entries {
		if e != l.self && l.peers[e] == nil {
			l.peers[e] = &lender{requestNumber: l.now.UnixMilli(), slots: map[int64]*borrowedSlot{}}
		}
	}
	l.peerNames = slices.Sorted(maps.Keys(l.peers))
	l.updateOwnShares()
}

// adoptNewestRoster marks the newest roster as adopted once the use of slots fits its shares. The load must be current.
func (l *Loans) adoptNewestRoster() {
	if len(l.rosters) > 1 && l.adopted[l.self] != l.rosterNumber && l.withinNewestRoster() {
		l.adopted[l.self] = l.rosterNumber
	}
}

// dropOldRosters drops the older rosters once every member has adopted the newest.
func (l *Loans) dropOldRosters() {
	if len(l.rosters) < 2 {
		return
	}
	newest := l.rosters[len(l.rosters)-1]
	for _, e := range newest {
		if l.adopted[e] != l.rosterNumber {
			return
		}
	}
	l.rosters = [][]string{newest}
	l.updateOwnShares()
}

// withinNewestRoster reports whether this entry neither uses nor lends more slots than the newest roster allows.
func (l *Loans) withinNewestRoster() bool {
	return !slices.ContainsFunc(l.table.order, func(r *row) bool {
		return r.busy > r.usable()+r.borrowedClosed || r.lent > r.ownShare
	})
}

// announceShares adds a SharesCmd if the usable slots of a listed target have changed.
func (l *Loans) announceShares() {
	if !slices.ContainsFunc(l.table.order, func(r *row) bool { return r.listed && r.announced != r.usable() }) {
		return
	}
	s := make(map[string]int, len(l.table.order))
	for _, r := range l.table.order {
		if r.listed {
			r.announced = r.usable()
			s[r.name] = r.announced
		}
	}
	l.cmds = append(l.cmds, SharesCmd{Shares: s})
}

// setLoad replaces the load and the times that follow from it, and stops draining when requests wait here or the time is up.
func (l *Loans) setLoad(x Load) {
	l.demand, l.reclaimable, l.reserve = x.Demand, x.Reclaimable, x.Reserve
	l.table.setBusy(x.Busy)
	if l.demand > 0 || !l.now.Before(l.drainUntil) {
		l.table.stopDraining()
	}
	if l.demand > 0 || l.lastDemandAt.IsZero() {
		l.lastDemandAt = l.now
	}
	if l.demand == 0 || l.lastNoDemandAt.IsZero() {
		l.lastNoDemandAt = l.now
	}
}
