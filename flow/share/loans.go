package share

import (
	"maps"
	"slices"
	"time"
)

const (
	askAgain    = 200 * time.Millisecond  // without an answer, and while loans are held
	firstPause  = 100 * time.Millisecond  // after an answer that lent less than was asked for
	lastPause   = 1600 * time.Millisecond // after several of a peer that has no slot to spare
	recallAfter = 400 * time.Millisecond  // of waiting here, lent slots are recalled
	idleBefore  = 200 * time.Millisecond  // a borrowed slot is returned after being idle so long
	clearFor    = 250 * time.Millisecond  // for which slots are emptied for a borrower that has not asked again
	maxBorrowed = 64                      // slots of one ask
)

// Loans is the state of one entry's slots of one service; it is changed only by Update and is not safe for concurrent use.
type Loans struct {
	self    string
	now     time.Time
	table   table
	rosters [][]string // newest last; all after the first are not yet kept to by everybody
	number  int64
	settled map[string]int64
	queued  int
	yields  int
	keep    int
	clearTo time.Time // until when slots are emptied for a borrower

	nextID  int64
	loans   map[int64]loan
	answers map[string]answer
	peers   map[string]*lender
	names   []string  // of the peers, sorted
	idle    time.Time // when something last waited here
	pressed time.Time // when nothing last waited here
	cmds    []Cmd
}

// loan is a slot that this entry has lent.
type loan struct {
	target, to string
	recalled   bool
}

// answer is the last answer to a borrower.
type answer struct {
	number int64
	grants []Grant
}

// lender is a peer as this entry borrows from it.
type lender struct {
	number  int64
	waiting bool // for the answer to number
	ask     BorrowCmd
	pause   time.Duration
	sent    time.Time // of the last ask
	after   time.Time // when to ask for more
	held    map[int64]*held
	changed bool // some were given back since the last ask
}

// held is a slot that this entry has borrowed; a closed one is not used for new requests.
type held struct {
	target string
	closed bool
}

// New returns the state of the named entry, which may use nothing until it knows a roster and targets.
func New(self string) *Loans {
	return &Loans{
		self: self, table: newTable(), settled: map[string]int64{},
		loans: map[int64]loan{}, answers: map[string]answer{}, peers: map[string]*lender{},
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
		l.settled[m.From] = m.Number
	case TargetsMsg:
		l.now = m.Now
		l.table.list(m.Slots)
		l.limit()
	case LoadMsg:
		l.now = m.Now
		l.read(m.Load)
		l.keepWithin()
		l.recall()
		l.release()
		l.borrow()
	case BorrowMsg:
		l.now = m.Now
		l.read(m.Load)
		l.lend(m)
	case LentMsg:
		l.now = m.Now
		l.take(m)
	}
	l.settle()
	l.tell()
	return l.cmds
}

// Settled returns the number of the roster that this entry keeps to, for its peers; 0 if it does not yet keep to the newest.
func (l *Loans) Settled() int64 {
	if l.settled[l.self] == l.number {
		return l.number
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
		n += len(p.held)
	}
	return n
}

// Quiet reports whether nothing is lent, borrowed or asked for and the newest roster is kept to by everybody,
// so that a LoadMsg a second is enough while nothing waits here.
func (l *Loans) Quiet() bool {
	if l.queued > 0 || len(l.loans) > 0 || len(l.rosters) != 1 || l.table.cleared {
		return false
	}
	for _, p := range l.peers {
		if p.waiting || p.changed || len(p.held) > 0 {
			return false
		}
	}
	return true
}

// limit sets this entry's own share of each target: the least of all rosters that are not yet kept to by everybody.
func (l *Loans) limit() {
	for _, r := range l.table.order {
		r.limit = 0
		if len(l.rosters) == 0 || !r.listed {
			continue
		}
		r.limit = r.slots
		for _, x := range l.rosters {
			r.limit = min(r.limit, Static(r.name, r.slots, x, l.self))
		}
	}
}

func (l *Loans) setRoster(m RosterMsg) {
	if m.Number <= l.number {
		return
	}
	if l.number == 0 {
		l.rosters = [][]string{nil} // nothing is this entry's before its first roster is kept to by everybody
	}
	l.number = m.Number
	l.rosters = append(l.rosters, slices.Clone(m.Entries))
	member := func(e string) bool { return slices.Contains(m.Entries, e) }
	for i, x := range l.loans {
		if !member(x.to) {
			l.end(i)
		}
	}
	for e, p := range l.peers {
		if !member(e) {
			l.lose(p)
			delete(l.peers, e)
		}
	}
	maps.DeleteFunc(l.answers, func(e string, _ answer) bool { return !member(e) })
	maps.DeleteFunc(l.settled, func(e string, _ int64) bool { return !member(e) })
	for _, e := range m.Entries {
		if e != l.self && l.peers[e] == nil {
			l.peers[e] = &lender{number: l.now.UnixMilli(), held: map[int64]*held{}}
		}
	}
	l.names = slices.Sorted(maps.Keys(l.peers))
	l.limit()
}

// keepWithin marks this entry as keeping to the newest roster; the load must be fresh.
func (l *Loans) keepWithin() {
	if len(l.rosters) > 1 && l.settled[l.self] != l.number && l.within() {
		l.settled[l.self] = l.number
	}
}

// settle forgets older rosters when everybody keeps to the newest.
func (l *Loans) settle() {
	if len(l.rosters) < 2 {
		return
	}
	newest := l.rosters[len(l.rosters)-1]
	for _, e := range newest {
		if l.settled[e] != l.number {
			return
		}
	}
	l.rosters = [][]string{newest}
	l.limit()
}

// within reports whether nothing is used or lent beyond what the newest roster allows.
func (l *Loans) within() bool {
	return !slices.ContainsFunc(l.table.order, func(r *row) bool {
		return r.busy > r.usable()+r.closed || r.lent > r.limit
	})
}

// tell asks to use other shares when they have changed.
func (l *Loans) tell() {
	if !slices.ContainsFunc(l.table.order, func(r *row) bool { return r.listed && r.told != r.usable() }) {
		return
	}
	s := make(map[string]int, len(l.table.order))
	for _, r := range l.table.order {
		if r.listed {
			r.told = r.usable()
			s[r.name] = r.told
		}
	}
	l.cmds = append(l.cmds, SharesCmd{Shares: s})
}

func (l *Loans) read(x Load) {
	l.queued, l.yields, l.keep = x.Queued, x.Yielding, x.Keep
	l.table.read(x.Busy)
	if l.queued > 0 || !l.now.Before(l.clearTo) {
		l.table.fill()
	}
	if l.queued > 0 || l.idle.IsZero() {
		l.idle = l.now
	}
	if l.queued == 0 || l.pressed.IsZero() {
		l.pressed = l.now
	}
}
