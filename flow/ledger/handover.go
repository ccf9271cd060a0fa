package ledger

import (
	"slices"
	"strconv"
	"time"
)

const (
	maxPageRecords     = 1000
	maxPageAnswerBytes = 256 << 10
)

// source is a member of the roster before, from which records are pulled.
type source struct {
	member Member
	state  sourceState
	goneAt time.Time
}

type sourceState uint8

const (
	pending sourceState = iota
	unreachable
	gone
	done
)

// RosterMsg brings a roster of the holder's data centre.
type RosterMsg struct {
	Now    time.Time
	Roster Roster
}

// GoneMsg says that a life of an entry is certainly over.
type GoneMsg struct {
	Now    time.Time
	Member Member
}

// UnreachedMsg says that pulling from a source has failed for long.
type UnreachedMsg struct {
	Now    time.Time
	Roster int64
	Entry  string
}

// PulledMsg brings a page of records from a source.
type PulledMsg struct {
	Now    time.Time
	Roster int64
	Entry  string
	Page   Page
}

// PullCmd asks for the records of a source; a newcomer needs also those of keys that it held before.
type PullCmd struct {
	From     Member
	Roster   int64
	Newcomer bool
}

// HandoverMsg asks a source for a page of the records that an entry holds under a roster.
type HandoverMsg struct {
	Now      time.Time
	Entry    string
	Roster   int64
	Newcomer bool
	After    string
}

// Page is a part of a source's records; they count only if it is complete.
type Page struct {
	Records  []Record
	Lapses   []Lapse
	After    string
	More     bool
	Complete bool
}

// Adopt takes up a roster that is newer than the one in use and says from whom to pull.
func (b *Book) Adopt(m RosterMsg) []PullCmd {
	b.sinceEpoch(m.Now)
	r := m.Roster
	if r.number <= b.roster.number {
		return nil
	}
	b.priorWasActive = b.activeRoster != 0 && b.activeRoster == r.prior
	if b.priorWasActive {
		b.dropUnheldRecords(r)
	}
	b.roster, b.sources = r, nil
	if !containsMember(r.members, b.self) {
		return nil
	}
	if !b.holdsNoNewKeys() {
		b.openSources()
	}
	b.activateIfComplete(m.Now)
	return b.Pulls()
}

// holdsNoNewKeys reports whether every key held here now was held here before.
func (b *Book) holdsNoNewKeys() bool {
	if b.roster.prior == 0 {
		return true
	}
	return b.priorWasActive && !slices.ContainsFunc(b.roster.previous, func(p Member) bool {
		_, ok := findMember(b.roster.members, p.Entry)
		return !ok
	}) && containsMember(b.roster.previous, b.self)
}

func (b *Book) openSources() {
	for _, p := range b.roster.previous {
		if !p.Is(b.self) || !b.priorWasActive {
			b.sources = append(b.sources, source{member: p})
		}
	}
	// An earlier life of this very entry has nothing to give.
	for i := range b.sources {
		if p := b.sources[i].member; p.Entry == b.self.Entry && !p.Is(b.self) {
			b.sources[i].state = gone
		}
	}
}

// Pulls returns the pulls that are still to be made.
func (b *Book) Pulls() []PullCmd {
	var c []PullCmd
	for _, s := range b.sources {
		if s.state == pending || s.state == unreachable {
			c = append(c, PullCmd{From: s.member, Roster: b.roster.number, Newcomer: !b.priorWasActive})
		}
	}
	return c
}

// dropUnheldRecords drops the records that are neither held under the roster in use nor under its successor r.
func (b *Book) dropUnheldRecords(r Roster) {
	for i := range b.table.allocated {
		s := b.table.at(i)
		if s.phase != None && !isHolder(b.self.Entry, b.roster, s.id) && !isHolder(b.self.Entry, r, s.id) {
			b.table.remove(i, s)
		}
	}
}

func isHolder(entry string, r Roster, id ID) bool {
	f, s := r.HoldersOf(id)
	return f == entry || s == entry
}

// checkReady says whether the holder knows all that was granted for the key before.
func (b *Book) checkReady(id ID, now time.Time) ClaimReply {
	if !isHolder(b.self.Entry, b.roster, id) {
		return ClaimReply{Verdict: Stale, Retry: handoverRetryDelay}
	}
	r := b.checkGaps(id, now)
	if r.Verdict != Granted || b.activeRoster == b.roster.number {
		return r
	}
	f, s := b.roster.priorHoldersOf(id)
	switch {
	case b.hasRecordsOf(f) || b.hasRecordsOf(s):
		return r
	case s == "" && isSecondRoster(b.roster.number):
		r.Store = true
		return r
	default:
		return ClaimReply{Verdict: Stale, Retry: handoverRetryDelay}
	}
}

// hasRecordsOf reports whether the records of a former holder are here.
func (b *Book) hasRecordsOf(entry string) bool {
	if entry == "" {
		return false
	}
	for _, s := range b.sources {
		if s.member.Entry == entry {
			return s.state == done
		}
	}
	return entry == b.self.Entry && b.priorWasActive
}

// Gone notes that a life of an entry is over, which bounds what may still come from it.
func (b *Book) Gone(m GoneMsg) {
	for i := range b.sources {
		if s := &b.sources[i]; s.member.Is(m.Member) && s.goneAt.IsZero() {
			s.goneAt = m.Now
			if s.state != done {
				s.state = gone
			}
		}
	}
	for i := range b.gaps {
		if l := &b.gaps[i]; l.Until.IsZero() && containsMember(l.Lost, m.Member) {
			l.Until = m.Now.Add(Remember)
		}
	}
	b.activateIfComplete(m.Now)
}

// Unreached notes that a source does not answer; the holder does without it where another has the same records.
func (b *Book) Unreached(m UnreachedMsg) {
	if m.Roster != b.roster.number {
		return
	}
	for i := range b.sources {
		if s := &b.sources[i]; s.member.Entry == m.Entry && s.state == pending {
			s.state = unreachable
		}
	}
	b.activateIfComplete(m.Now)
}

// Pulled takes in a page of a source's records; the last page of a complete source ends its part of the handover.
func (b *Book) Pulled(m PulledMsg) {
	i := slices.IndexFunc(b.sources, func(s source) bool { return s.member.Entry == m.Entry })
	if m.Roster != b.roster.number || !m.Page.Complete || i < 0 {
		return
	}
	now := b.sinceEpoch(m.Now)
	for _, r := range m.Page.Records {
		b.merge(r, now)
	}
	b.inheritGaps(m.Page.Lapses)
	if m.Page.More {
		return
	}
	b.sources[i].state = done
	b.activateIfComplete(m.Now)
}

// merge takes in a source's record; handed-over records may exceed the bound, because forgetting one early could double a request.
func (b *Book) merge(r Record, now time.Duration) {
	i, s := b.table.find(r.ID)
	if s == nil {
		i, s = b.table.add(r.ID, now)
	} else if !supersedes(r, s) {
		return
	}
	b.write(i, s, r, now)
}

// activateIfComplete puts the roster in force here when no record that can still be had is missing.
func (b *Book) activateIfComplete(now time.Time) {
	if b.roster.number == 0 || !containsMember(b.roster.members, b.self) {
		return
	}
	missing, alive, open := b.missingSources()
	few := len(b.roster.previous) > 1 && len(missing) <= 1
	if !few && len(missing) > 0 && (open > 0 || alive > 1 && len(b.roster.previous) > 1) {
		return
	}
	b.gaps = slices.DeleteFunc(b.gaps, func(l Lapse) bool { return l.Roster == b.roster.number })
	if !few && len(missing) > 0 {
		b.gaps = append(b.gaps, b.newGap(missing, now))
	}
	b.activeRoster = b.roster.number
}

// missingSources returns the sources whose records are not here, how many of them may be alive, and how many may still answer.
func (b *Book) missingSources() (m []source, alive, open int) {
	for _, s := range b.sources {
		if s.state == done {
			continue
		}
		m = append(m, s)
		if s.state != gone {
			alive++
		}
		if s.state == pending {
			open++
		}
	}
	return m, alive, open
}

// Handover returns a page of the records that the asker holds under the roster both use.
func (b *Book) Handover(m HandoverMsg) Page {
	if m.Roster != b.roster.number || !b.priorWasActive {
		return Page{}
	}
	now := b.sinceEpoch(m.Now)
	p := Page{Complete: true, Lapses: b.inheritedGaps()}
	k, _ := strconv.ParseUint(m.After, 10, 32)
	n := 0
	for i := uint32(k); i < b.table.allocated; i++ {
		s := b.table.at(i)
		if s.phase == None || !b.mustHandOver(s.id, m) {
			continue
		}
		r := b.table.record(i, s, now)
		p.Records = append(p.Records, r)
		n += len(r.Answer)
		if len(p.Records) >= maxPageRecords || n >= maxPageAnswerBytes {
			p.More, p.After = true, strconv.FormatUint(uint64(i)+1, 10)
			break
		}
	}
	return p
}

func (b *Book) mustHandOver(id ID, m HandoverMsg) bool {
	if !isHolder(m.Entry, b.roster, id) {
		return false
	}
	if m.Newcomer {
		return true
	}
	f, s := b.roster.priorHoldersOf(id)
	return f != m.Entry && s != m.Entry
}
