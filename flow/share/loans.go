package share

import (
	"maps"
	"slices"
	"time"
)

const (
	resendAfter     = 200 * time.Millisecond  // without an answer, and while loans are held
	minBackoff      = 100 * time.Millisecond  // after an answer that lent less than was asked for
	maxBackoff      = 1600 * time.Millisecond // after several of a peer that has no slot to spare
	recallAfter     = 400 * time.Millisecond  // of waiting here, lent slots are recalled
	returnAfterIdle = 200 * time.Millisecond  // a borrowed slot is returned after being idle so long
	drainFor        = 250 * time.Millisecond  // for which slots are emptied for a borrower that has not asked again
	maxWanted       = 64                      // slots of one ask
)

// Loans is the state of one entry's slots of one service; it is changed only by Update and is not safe for concurrent use.
type Loans struct {
	self         string
	now          time.Time
	table        table
	rosters      [][]string // newest last; all after the first are not yet kept to by everybody
	rosterNumber int64
	adopted      map[string]int64
	demand       int
	reclaimable  int
	reserve      int
	drainUntil   time.Time // until when slots are emptied for a borrower

	lastLoanID     int64
	loans          map[int64]loan
	lastReplies    map[string]reply
	peers          map[string]*lender
	peerNames      []string  // of the peers, sorted
	lastDemandAt   time.Time // when something last waited here
	lastNoDemandAt time.Time // when nothing last waited here
	cmds           []Cmd
}

// loan is a slot that this entry has lent.
type loan struct {
	target, borrower string
	recalled         bool
}

// reply is the last reply to a borrower.
type reply struct {
	number int64
	grants []Grant
}

// lender is a peer as this entry borrows from it.
type lender struct {
	requestNumber int64
	awaitingReply bool // for the answer to number
	request       BorrowCmd
	backoff       time.Duration
	requestedAt   time.Time // of the last ask
	wantAgainAt   time.Time // when to ask for more
	slots         map[int64]*borrowedSlot
	returnedSlots bool // some were given back since the last ask
}

// borrowedSlot is a slot that this entry has borrowed; a closed one is not used for new requests.
type borrowedSlot struct {
	target string
	closed bool
}

// New returns the state of the named entry, which may use nothing until it knows a roster and targets.
func New(self string) *Loans {
	return &Loans{
		self: self, table: newTable(), adopted: map[string]int64{},
		loans: map[int64]loan{}, lastReplies: map[string]reply{}, peers: map[string]*lender{},
	}
}

// Update takes a message and returns what to do; the returned slice is reused by the next Update.
func (l *Loans) Update(m Msg) []Cmd {
	l.cmds = l.cmds[:0]
	switch m := m.(type) {
	case RosterMsg:
		l.now = m.Now
		l.setRoster(m)
	case SettledMsg:
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

// Settled returns the number of the roster that this entry keeps to, for its peers; 0 if it does not yet keep to the newest.
func (l *Loans) Settled() int64 {
	if l.adopted[l.self] == l.rosterNumber {
		return l.rosterNumber
	}
	return 0
}

// Usable returns the slots of the target that may be used for new requests.
func (l *Loans) Usable(target string) int {
	if r := l.table.rows[target]; r != nil {
		return r.usable()
	}
	return 0
}

// Lent returns the number of slots that are lent.
func (l *Loans) Lent() int { return len(l.loans) }

// Borrowed returns the number of slots that are borrowed and not yet given back.
func (l *Loans) Borrowed() int {
	n := 0
	for _, p := range l.peers {
		n += len(p.slots)
	}
	return n
}

// Quiet reports whether nothing is lent, borrowed or asked for and the newest roster is kept to by everybody,
// so that a LoadMsg a second is enough while nothing waits here.
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

// updateOwnShares sets this entry's own share of each target: the least of all rosters that are not yet kept to by everybody.
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

func (l *Loans) setRoster(m RosterMsg) {
	if m.Number <= l.rosterNumber {
		return
	}
	if l.rosterNumber == 0 {
		l.rosters = [][]string{nil} // nothing is this entry's before its first roster is kept to by everybody
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

// adoptNewestRoster marks this entry as keeping to the newest roster; the load must be fresh.
func (l *Loans) adoptNewestRoster() {
	if len(l.rosters) > 1 && l.adopted[l.self] != l.rosterNumber && l.withinNewestRoster() {
		l.adopted[l.self] = l.rosterNumber
	}
}

// dropOldRosters forgets older rosters when everybody keeps to the newest.
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

// withinNewestRoster reports whether nothing is used or lent beyond what the newest roster allows.
func (l *Loans) withinNewestRoster() bool {
	return !slices.ContainsFunc(l.table.order, func(r *row) bool {
		return r.busy > r.usable()+r.borrowedClosed || r.lent > r.ownShare
	})
}

// announceShares asks to use other shares when they have changed.
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

func (l *Loans) setLoad(x Load) {
	l.demand, l.reclaimable, l.reserve = x.Queued, x.Yielding, x.Keep
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
