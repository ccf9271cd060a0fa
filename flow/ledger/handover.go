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

// source is a member of the roster's predecessor, from which records are pulled.
type source struct {
	member Member
	state  sourceState
	goneAt time.Time // when the end of this incarnation was reported
}

type sourceState uint8

const (
	pending     sourceState = iota // records are still to be pulled
	unreachable                    // pulls have failed for too long
	gone                           // the incarnation has ended
	done                           // all its records are here
)

// RosterMsg carries a roster of the holder's data centre.
type RosterMsg struct {
	Now    time.Time
	Roster Roster
}

// GoneMsg reports that an incarnation of an entry has certainly ended.
type GoneMsg struct {
	Now    time.Time
	Member Member
}

// PullFailedMsg reports that pulls from a source have failed for too long.
type PullFailedMsg struct {
	Now    time.Time
	Roster int64
	Entry  string
}

// PageMsg carries a page of records from a source.
type PageMsg struct {
	Now    time.Time
	Roster int64
	Entry  string
	Page   Page
}

// PullCmd asks the runner to pull the records of a source. Newcomer is set if the predecessor of the roster was not active
// here: then the holder also needs the records of keys that it held under the predecessor.
type PullCmd struct {
	From     Member
	Roster   int64
	Newcomer bool
}

// HandoverMsg asks a source for a page of the records that an entry holds under a roster. After is the cursor of the previous
// page, or empty for the first one.
type HandoverMsg struct {
	Now      time.Time
	Entry    string
	Roster   int64
	Newcomer bool
	After    string
}

// Page is a part of a source's records. It is valid only if Complete is set, that is, if the source had all records under
// the predecessor of the roster.
type Page struct {
	Records  []Record
	Gaps     []RecordGap
	After    string // cursor for the next page
	More     bool   // whether there is another page
	Complete bool
}

// Adopt switches to a roster that is newer than the current one, and returns the pulls that it needs.
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

// holdsNoNewKeys reports whether this holder already held all of its keys under the predecessor of the roster.
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
		if !p.SameIncarnation(b.self) || !b.priorWasActive {
			b.sources = append(b.sources, source{member: p})
		}
	}
	// A former incarnation of this entry has no records left to hand over.
	for i := range b.sources {
		if p := b.sources[i].member; p.Entry == b.self.Entry && !p.SameIncarnation(b.self) {
			b.sources[i].state = gone
		}
	}
}

// Pulls returns the pulls that have not succeeded yet.
func (b *Book) Pulls() []PullCmd {
	var c []PullCmd
	for _, s := range b.sources {
		if s.state == pending || s.state == unreachable {
			c = append(c, PullCmd{From: s.member, Roster: b.roster.number, Newcomer: !b.priorWasActive})
		}
	}
	return c
}

// dropUnheldRecords removes the records of keys that this entry holds neither under the current roster nor under its successor r.
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

// checkReady returns Granted if the holder knows every grant that was given for the key before. Store is set if it knows them only
// together with the platform's service.
func (b *Book) checkReady(id ID, now time.Time) ClaimReply {
	if !isHolder(b.self.Entry, b.roster, id) {
		return ClaimReply{Verdict: Stale, RetryAfter: handoverRetryDelay}
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
		r.NeedsStoreKey = true
		return r
	default:
		return ClaimReply{Verdict: Stale, RetryAfter: handoverRetryDelay}
	}
}

// hasRecordsOf reports whether all records of a former holder are here.
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

// Gone records that an incarnation of an entry has ended. It grants no claims from now on, so a gap that waited for it ends
// after the retention time of records.
func (b *Book) Gone(m GoneMsg) {
	for i := range b.sources {
		if s := &b.sources[i]; s.member.SameIncarnation(m.Member) && s.goneAt.IsZero() {
			s.goneAt = m.Now
			if s.state != done {
				s.state = gone
			}
		}
	}
	for i := range b.gaps {
		if l := &b.gaps[i]; l.Until.IsZero() && containsMember(l.Lost, m.Member) {
			l.Until = m.Now.Add(RecordTTL)
		}
	}
	b.activateIfComplete(m.Now)
}

// PullFailed records that a source does not answer. The holder goes on without it if another source has the same records.
func (b *Book) PullFailed(m PullFailedMsg) {
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

// AddPage merges a page of a source's records. The last page completes the handover from this source.
func (b *Book) AddPage(m PageMsg) {
	i := slices.IndexFunc(b.sources, func(s source) bool { return s.member.Entry == m.Entry })
	if m.Roster != b.roster.number || !m.Page.Complete || i < 0 {
		return
	}
	now := b.sinceEpoch(m.Now)
	for _, r := range m.Page.Records {
		b.merge(r, now)
	}
	b.inheritGaps(m.Page.Gaps)
	if m.Page.More {
		return
	}
	b.sources[i].state = done
	b.activateIfComplete(m.Now)
}

// merge adds a record of a source. Records that are handed over may exceed maxRecords, because dropping a record early could
// let a request run twice.
func (b *Book) merge(r Record, now time.Duration) {
	i, s := b.table.find(r.ID)
	if s == nil {
		i, s = b.table.add(r.ID, now)
	} else if !supersedes(r, s) {
		return
	}
	b.write(i, s, r, now)
}

// activateIfComplete makes the roster active here once no record that can still be obtained is missing.
func (b *Book) activateIfComplete(now time.Time) {
	if b.roster.number == 0 || !containsMember(b.roster.members, b.self) {
		return
	}
	missing, alive, mayAnswer := b.missingSources()
	covered := len(b.roster.previous) > 1 && len(missing) <= 1 // every key has a former holder that has handed over
	if !covered && len(missing) > 0 && (mayAnswer > 0 || alive > 1 && len(b.roster.previous) > 1) {
		return
	}
	b.gaps = slices.DeleteFunc(b.gaps, func(l RecordGap) bool { return l.Roster == b.roster.number })
	if !covered && len(missing) > 0 {
		b.gaps = append(b.gaps, b.newGap(missing, now))
	}
	b.activeRoster = b.roster.number
}

// missingSources returns the sources whose records are not here, how many of those may be alive, and how many may still answer.
func (b *Book) missingSources() (m []source, alive, mayAnswer int) {
	for _, s := range b.sources {
		if s.state == done {
			continue
		}
		m = append(m, s)
		if s.state != gone {
			alive++
		}
		if s.state == pending {
			mayAnswer++
		}
	}
	return m, alive, mayAnswer
}

// Handover returns a page of the records that the asking entry holds under the roster that both use.
func (b *Book) Handover(m HandoverMsg) Page {
	if m.Roster != b.roster.number || !b.priorWasActive {
		return Page{}
	}
	now := b.sinceEpoch(m.Now)
	p := Page{Complete: true, Gaps: b.inheritedGaps()}
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

// mustHandOver reports whether the asking entry needs the record of a key: it holds the key now, and did not hold it under the
// predecessor of the roster or is a newcomer.
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
