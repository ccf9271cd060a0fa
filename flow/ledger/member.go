package ledger

import (
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// HeartbeatTimeout is the heartbeat timeout after which a member may be removed.
	HeartbeatTimeout = 4 * time.Second
	// proposalDelay is how much longer each entry waits with its proposal than the entry ranked before it.
	proposalDelay = time.Second
	// vmListMaxAge is how long the platform's VM list is used after it was read.
	vmListMaxAge = 30 * time.Second
)

// HeartbeatMsg is a heartbeat of one entry of the data centre. Each entry also passes its own heartbeats to its Membership.
type HeartbeatMsg struct {
	Now          time.Time
	Member       Member
	ActiveRoster int64 // number of the newest roster that is active at the entry
	Leaving      bool
	Unheard      []string // members from which the entry has had no heartbeat within the timeout
	Gone         []string // entries that are gone from the platform's VM list, if this entry reads it
}

// VMListMsg lists the entries that are gone according to the platform's VM list.
type VMListMsg struct {
	Now  time.Time
	Gone []string
}

// ProposeCmd asks the runner to write a roster in place of the current one.
type ProposeCmd struct{ Roster Roster }

// Membership decides when to propose a new roster for a data centre. Every entry runs one.
type Membership struct {
	self              Member
	dataCentre        string
	roster            Roster
	adoptedAt         time.Time
	changeWantedSince time.Time               // zero while no change is wanted or allowed
	beats             map[string]HeartbeatMsg // last heartbeats, by entry
	goneEntries       []string
	vmListReadAt      time.Time // when goneEntries was read
	stopping          bool
}

// NewMembership returns the Membership that the entry self runs.
func NewMembership(self Member, dataCentre string) *Membership {
	return &Membership{self: self, dataCentre: dataCentre, beats: map[string]HeartbeatMsg{}}
}

// Heartbeat records a heartbeat. A heartbeat of a former incarnation is ignored.
func (s *Membership) Heartbeat(m HeartbeatMsg) {
	b, ok := s.beats[m.Member.Entry]
	if ok && b.Member.Incarnation > m.Member.Incarnation {
		return
	}
	s.beats[m.Member.Entry] = m
	maps.DeleteFunc(s.beats, func(_ string, b HeartbeatMsg) bool { return m.Now.Sub(b.Now) > RecordTTL })
}

// UpdateVMList records which entries are permanently gone.
func (s *Membership) UpdateVMList(m VMListMsg) { s.goneEntries, s.vmListReadAt = m.Gone, m.Now }

// Gone returns the members of the last two rosters and of more that are gone according to the VM list of this entry.
func (s *Membership) Gone(now time.Time, more []Member) []string {
	if now.Sub(s.vmListReadAt) > vmListMaxAge {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(s.goneEntries), func(e string) bool {
		_, a := findMember(s.roster.members, e)
		_, b := findMember(s.roster.previous, e)
		_, c := findMember(more, e)
		return !a && !b && !c
	})
}

// isGone reports whether an entry is gone according to the VM list of this entry or of one with a recent heartbeat.
func (s *Membership) isGone(entry string, now time.Time) bool {
	if now.Sub(s.vmListReadAt) <= vmListMaxAge && slices.Contains(s.goneEntries, entry) {
		return true
	}
	for _, b := range s.beats {
		if now.Sub(b.Now) < HeartbeatTimeout && slices.Contains(b.Gone, entry) {
			return true
		}
	}
	return false
}

// Adopt records the current roster.
func (s *Membership) Adopt(m RosterMsg) {
	if m.Roster.number > s.roster.number {
		s.roster, s.adoptedAt, s.changeWantedSince = m.Roster, m.Now, time.Time{}
	}
}

// Unheard returns the members from which no heartbeat has come within the timeout.
func (s *Membership) Unheard(now time.Time) []string {
	var u []string
	for _, m := range s.roster.members {
		if m.Entry != s.self.Entry && s.timedOut(m, now) {
			u = append(u, m.Entry)
		}
	}
	return u
}

func (s *Membership) timedOut(m Member, now time.Time) bool {
	last := s.adoptedAt
	if b, ok := s.beats[m.Entry]; ok && b.Now.After(last) {
		last = b.Now
	}
	return now.Sub(last) >= HeartbeatTimeout
}

// Ended reports whether the member's incarnation has certainly ended: a later incarnation has sent a heartbeat, or the VM list
// says that the entry is gone.
//
// The VM list lags: if this incarnation has sent a recent heartbeat, the list refers to a former one.
func (s *Membership) Ended(m Member, now time.Time) bool {
	if m.Entry == s.self.Entry {
		return s.self.Incarnation > m.Incarnation
	}
	b, ok := s.beats[m.Entry]
	switch {
	case ok && b.Member.Incarnation > m.Incarnation:
		return true
	case ok && b.Member.SameIncarnation(m) && now.Sub(b.Now) < HeartbeatTimeout/2:
		return false
	default:
		return s.isGone(m.Entry, now)
	}
}

// Tick returns a proposal if the roster should change and is allowed to.
func (s *Membership) Tick(m TickMsg) []ProposeCmd {
	next := s.desiredMembers(m.Now)
	if len(next) == 0 || slices.Equal(next, s.roster.members) || !s.mayPropose(next, m.Now) {
		s.changeWantedSince = time.Time{}
		return nil
	}
	if s.changeWantedSince.IsZero() {
		s.changeWantedSince = m.Now
	}
	if m.Now.Sub(s.changeWantedSince) < time.Duration(s.proposalRank(next))*proposalDelay {
		return nil
	}
	tag := uint64(m.Now.UnixNano()) ^ uint64(s.self.Incarnation) ^ entryHashes([]Member{s.self})[0]
	if s.roster.number == 0 {
		return []ProposeCmd{{Roster: NewRoster(s.dataCentre, next, tag)}}
	}
	return []ProposeCmd{{Roster: s.roster.Next(next, tag)}}
}

// proposalRank returns the number of entries that should propose before this one.
func (s *Membership) proposalRank(next []Member) int {
	n := 0
	for _, m := range next {
		if m.Entry == s.self.Entry {
			return n
		}
		n++
	}
	return n
}

// desiredMembers returns the members that the next roster should have.
func (s *Membership) desiredMembers(now time.Time) []Member {
	var n []Member
	for _, m := range s.roster.members {
		if !s.Ended(m, now) && !s.isStopping(m) && !s.isCutOff(m, now) {
			n = append(n, m)
		}
	}
	return sortedByEntry(append(n, s.joiners(now)...))
}

func (s *Membership) isStopping(m Member) bool {
	if m.Entry == s.self.Entry {
		return s.stopping
	}
	b, ok := s.beats[m.Entry]
	return ok && b.Member.SameIncarnation(m) && b.Leaving
}

// isCutOff reports whether m has timed out at this entry and at a majority of the members that it hears, itself included.
func (s *Membership) isCutOff(m Member, now time.Time) bool {
	if m.Entry == s.self.Entry || !s.timedOut(m, now) {
		return false
	}
	votes, voters := 1, 1
	for _, o := range s.roster.members {
		b, ok := s.beats[o.Entry]
		if o.Entry == s.self.Entry || o.Entry == m.Entry || !ok || s.timedOut(o, now) {
			continue
		}
		voters++
		if slices.Contains(b.Unheard, m.Entry) {
			votes++
		}
	}
	return 2*votes > voters
}

func (s *Membership) joiners(now time.Time) []Member {
	var j []Member
	if !s.stopping && !containsMember(s.roster.members, s.self) {
		j = append(j, s.self)
	}
	for _, b := range s.beats {
		fresh := now.Sub(b.Now) < HeartbeatTimeout/2 && !b.Leaving
		if fresh && b.Member.Entry != s.self.Entry && !containsMember(s.roster.members, b.Member) {
			j = append(j, b.Member)
		}
	}
	slices.SortFunc(j, func(a, b Member) int { return strings.Compare(a.Entry, b.Entry) })
	return j
}

// mayPropose reports whether the current roster is active at all members that stay, and whether enough of them stay: at least
// half of those that may be alive.
func (s *Membership) mayPropose(next []Member, now time.Time) bool {
	stay, alive := 0, 0
	for _, m := range s.roster.members {
		if !s.Ended(m, now) && !s.isStopping(m) {
			alive++
		}
		if !containsMember(next, m) {
			continue
		}
		stay++
		if b := s.beats[m.Entry]; !b.Member.SameIncarnation(m) || b.ActiveRoster != s.roster.number {
			return false
		}
	}
	return 2*stay >= alive
}

// Leave marks this entry as leaving, so that the next roster is without it.
func (s *Membership) Leave() { s.stopping = true }

// ActiveEverywhere reports whether the current roster is active at all of its members. An entry that has left the roster may then exit.
func (s *Membership) ActiveEverywhere() bool {
	for _, m := range s.roster.members {
		if b := s.beats[m.Entry]; !b.Member.SameIncarnation(m) || b.ActiveRoster != s.roster.number {
			return false
		}
	}
	return true
}

// Leaving reports whether this entry is leaving.
func (s *Membership) Leaving() bool { return s.stopping }
