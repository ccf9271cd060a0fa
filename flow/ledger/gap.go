package ledger

import (
	"slices"
	"time"
)

// RecordGap is a gap in the records: the keys of which every holder among Members is in Lost, so that their records may have been
// lost.
//
// The keys of a first roster with a single member are also in the platform's service. They may be claimed during the gap if
// the service has no other copy; the keys of other rosters may not be claimed.
type RecordGap struct {
	Roster  int64     // number of the roster under which the gap began
	Members []Member  // members of its predecessor
	Lost    []Member  // members whose records are missing
	Until   time.Time // end of the gap; zero while a lost member may still be alive

	hashes []uint64
}

// InStore reports whether the gap is that of a first roster with a single member. The platform's service then has a key
// for every request that the member sent.
//
// A later single member also holds records of earlier sends, which the service does not have.
func (l RecordGap) InStore() bool { return len(l.Members) == 1 && isSecondRoster(l.Roster) }

func isSecondRoster(number int64) bool { return number>>tagBits == 2 }

func (l RecordGap) covers(id ID) bool {
	if len(l.Members) == 1 {
		return true
	}
	f, s := topTwo(l.Members, l.hashes, id)
	_, x := findMember(l.Lost, f)
	_, y := findMember(l.Lost, s)
	return x && y
}

func (b *Book) checkGaps(id ID, now time.Time) ClaimReply {
	r := ClaimReply{}
	for _, l := range b.gaps {
		if !l.Until.IsZero() && !now.Before(l.Until) || !l.covers(id) {
			continue
		}
		if !l.InStore() {
			return ClaimReply{Verdict: Gap, RetryAfter: max(l.Until.Sub(now), 0)}
		}
		r.NeedsStoreKey = true
	}
	return r
}

// inheritGaps adds the gaps of a source. Sources that lost different members under the same roster have different gaps.
func (b *Book) inheritGaps(ls []RecordGap) {
	for _, l := range ls {
		k := slices.IndexFunc(b.gaps, func(g RecordGap) bool { return g.Roster == l.Roster && slices.Equal(g.Lost, l.Lost) })
		if k < 0 {
			l.hashes = entryHashes(l.Members)
			b.gaps = append(b.gaps, l)
		} else if l.Until.After(b.gaps[k].Until) {
			b.gaps[k].Until = l.Until
		}
	}
}

func (b *Book) newGap(missing []source, now time.Time) RecordGap {
	l := RecordGap{Roster: b.roster.number, Members: b.roster.previous, hashes: b.roster.priorHashes}
	for _, s := range missing {
		l.Lost = append(l.Lost, s.member)
		if s.state != gone {
			continue
		}
		goneAt := s.goneAt
		if goneAt.IsZero() {
			goneAt = now
		}
		if u := goneAt.Add(RecordTTL); u.After(l.Until) {
			l.Until = u
		}
	}
	return l
}

func (b *Book) expireGaps(now time.Time) {
	b.gaps = slices.DeleteFunc(b.gaps, func(l RecordGap) bool { return !l.Until.IsZero() && !now.Before(l.Until) })
}

// inheritedGaps returns the gaps that began before the current roster.
func (b *Book) inheritedGaps() []RecordGap {
	var o []RecordGap
	for _, l := range b.gaps {
		if l.Roster < b.roster.number {
			o = append(o, l)
		}
	}
	return o
}

// MissingMembers returns the members whose records are missing here and that may still be alive.
func (b *Book) MissingMembers() []Member {
	var l []Member
	for _, g := range b.gaps {
		if g.Until.IsZero() {
			l = append(l, g.Lost...)
		}
	}
	return l
}
