package share

import (
	"maps"
	"slices"
	"time"
)

const (
	askAgain    = 200 * time.Millisecond // without an answer, and while loans are held
	pause       = 100 * time.Millisecond // after an answer that lent less than was asked for
	recallAfter = 400 * time.Millisecond // of waiting here, lent slots are recalled
	idleBefore  = 200 * time.Millisecond // a borrowed slot is returned after being idle so long
	clearFor    = 250 * time.Millisecond // for which slots are emptied for a borrower that has not asked again
	maxBorrowed = 64                     // slots of one ask
)

// Loans is the state of one entry's slots of one service; it is changed only by Update and is not safe for concurrent use.
type Loans struct {
	self    string
	now     time.Time
	targets map[string]int
	rosters [][]string // newest last; all after the first are not yet kept to by everybody
	number  int64
	settled map[string]int64
	queued  int
	yields  int
	keep    int
	cleared map[string]int // slots of each target that are being emptied for a borrower
	clearTo time.Time
	busy    map[string]int
	told    map[string]int

	nextID  int64
	loans   map[int64]loan
	answers map[string]answer
	peers   map[string]*lender
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
		self: self, targets: map[string]int{}, settled: map[string]int64{}, busy: map[string]int{}, cleared: map[string]int{},
		told: map[string]int{}, loans: map[int64]loan{}, answers: map[string]answer{}, peers: map[string]*lender{},
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
		l.targets = maps.Clone(m.Slots)
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
	return max(0, l.limit(target)-l.lentOf(target)-l.cleared[target]) + l.heldOf(target, false)
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

// limit returns this entry's own share of a target: the least of all rosters that are not yet kept to by everybody.
func (l *Loans) limit(target string) int {
	slots, ok := l.targets[target]
	if !ok || len(l.rosters) == 0 {
		return 0
	}
	n := slots
	for _, r := range l.rosters {
		n = min(n, Static(target, slots, r, l.self))
	}
	return n
}

func (l *Loans) lentOf(target string) int {
	n := 0
	for _, x := range l.loans {
		if x.target == target {
			n++
		}
	}
	return n
}

func (l *Loans) heldOf(target string, closed bool) int {
	n := 0
	for _, p := range l.peers {
		for _, h := range p.held {
			if h.target == target && h.closed == closed {
				n++
			}
		}
	}
	return n
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
	maps.DeleteFunc(l.loans, func(_ int64, x loan) bool { return !member(x.to) })
	maps.DeleteFunc(l.answers, func(e string, _ answer) bool { return !member(e) })
	maps.DeleteFunc(l.peers, func(e string, _ *lender) bool { return !member(e) })
	maps.DeleteFunc(l.settled, func(e string, _ int64) bool { return !member(e) })
	for _, e := range m.Entries {
		if e != l.self && l.peers[e] == nil {
			l.peers[e] = &lender{number: l.now.UnixMilli(), held: map[int64]*held{}}
		}
	}
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
}

// within reports whether nothing is used or lent beyond what the newest roster allows.
func (l *Loans) within() bool {
	for t, n := range l.busy {
		if n > l.Usable(t)+l.heldOf(t, true) {
			return false
		}
	}
	for _, x := range l.loans {
		if l.lentOf(x.target) > l.limit(x.target) {
			return false
		}
	}
	return true
}

// tell asks to use other shares when they have changed.
func (l *Loans) tell() {
	s := make(map[string]int, len(l.targets))
	for t := range l.targets {
		s[t] = l.Usable(t)
	}
	if !maps.Equal(s, l.told) {
		l.told = s
		l.cmds = append(l.cmds, SharesCmd{Shares: maps.Clone(s)})
	}
}

func (l *Loans) read(x Load) {
	l.queued, l.yields, l.keep = x.Queued, x.Yielding, x.Keep
	clear(l.busy)
	maps.Copy(l.busy, x.Busy)
	if l.queued > 0 || !l.now.Before(l.clearTo) {
		clear(l.cleared)
	}
	if l.queued > 0 || l.idle.IsZero() {
		l.idle = l.now
	}
	if l.queued == 0 || l.pressed.IsZero() {
		l.pressed = l.now
	}
}
