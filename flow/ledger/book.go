package ledger

import "time"

const (
	// RecordTTL is how long a record is kept after its last change.
	RecordTTL = 10 * time.Minute
	// UnsettledClaimTTL is how long the record of an unsettled claim is kept.
	UnsettledClaimTTL = time.Hour
	// MaxAnswerBytes is the maximum size, in bytes, of an answer that is kept.
	MaxAnswerBytes = 16 << 10

	maxRenewals           = uint8(UnsettledClaimTTL/RecordTTL) - 1
	defaultMaxRecords     = 250_000
	defaultMaxAnswerBytes = 8 << 20
	handoverRetryDelay    = 50 * time.Millisecond
)

// Book has the key records of one holder. It changes only by messages and is not safe for concurrent use.
type Book struct {
	self           Member
	table          *table
	epoch          time.Time // time of the first message, from which the table counts time
	maxRecords     int
	maxAnswerBytes int
	roster         Roster
	activeRoster   int64 // number of the newest roster that is active here
	priorWasActive bool  // whether the predecessor of roster was active here when roster was adopted
	sources        []source
	gaps           []RecordGap
}

// BookOption configures a new Book.
type BookOption func(*Book)

// WithRecords limits the number of records. A full Book refuses new keys.
func WithRecords(n int) BookOption { return func(b *Book) { b.maxRecords = n } }

// WithAnswerBytes limits the total size of the kept answers in bytes. Over the limit, the oldest answers are evicted; their
// records stay.
func WithAnswerBytes(n int) BookOption { return func(b *Book) { b.maxAnswerBytes = n } }

// NewBook returns an empty Book for one incarnation of an entry.
func NewBook(self Member, o ...BookOption) *Book {
	b := &Book{self: self, table: newTable(), maxRecords: defaultMaxRecords, maxAnswerBytes: defaultMaxAnswerBytes}
	for _, f := range o {
		f(b)
	}
	return b
}

// ClaimMsg asks a holder to grant the sending of one copy of a keyed request.
type ClaimMsg struct {
	Now     time.Time
	ID      ID
	Roster  int64
	Attempt Attempt
	Digest  Digest
}

// ClaimReply is a holder's answer to a ClaimMsg.
type ClaimReply struct {
	Verdict       Verdict
	Record        Record        // the existing record, with Repeat and Mismatch
	NeedsStoreKey bool          // whether the key must also be created in the platform's service
	RetryAfter    time.Duration // how long to wait before the next claim, with Stale, Gap and Full
}

// SettleMsg reports the outcome of a claimed copy.
type SettleMsg struct {
	Now    time.Time
	Record Record
}

// Roster returns the newest roster that the book has adopted.
func (b *Book) Roster() Roster { return b.roster }

// ActiveRoster returns the number of the newest roster that is active at this holder.
func (b *Book) ActiveRoster() int64 { return b.activeRoster }

// Len returns the number of records.
func (b *Book) Len() int { return b.table.index.count }

// AnswerBytes returns the total size of the kept answers in bytes.
func (b *Book) AnswerBytes() int { return b.table.answerBytes }

func (b *Book) sinceEpoch(t time.Time) time.Duration {
	if b.epoch.IsZero() {
		b.epoch = t
	}
	return t.Sub(b.epoch)
}

// Claim grants the claim and records it, or returns the reason for not granting it.
func (b *Book) Claim(m ClaimMsg) ClaimReply {
	now := b.sinceEpoch(m.Now)
	b.expire(now, 2)
	if m.Roster != b.roster.number || !containsMember(b.roster.members, b.self) {
		return ClaimReply{Verdict: Stale, RetryAfter: handoverRetryDelay}
	}
	r := b.checkReady(m.ID, m.Now)
	if r.Verdict != Granted {
		return r
	}
	i, s := b.table.find(m.ID)
	if s == nil {
		if b.Len() >= b.maxRecords {
			return ClaimReply{Verdict: Full, NeedsStoreKey: r.NeedsStoreKey, RetryAfter: time.Second}
		}
		i, s = b.table.add(m.ID, now)
	} else if v := compareClaim(s, m); v != Granted {
		return ClaimReply{Verdict: v, Record: b.table.record(i, s, now)}
	}
	b.grant(i, s, m, now)
	return r
}

// compareClaim returns the verdict on a claim whose key already has a record.
func compareClaim(s *slot, m ClaimMsg) Verdict {
	switch {
	case s.phase == NotRun && s.attempt != m.Attempt:
		return Granted
	case s.digest != m.Digest && s.digest != 0:
		return Mismatch
	case s.phase == Claimed && s.attempt == m.Attempt:
		return Granted
	default:
		return Repeat
	}
}

func (b *Book) grant(i uint32, s *slot, m ClaimMsg, now time.Duration) {
	b.table.dropAnswer(i, s)
	s.attempt, s.digest, s.phase, s.status, s.renewals = m.Attempt, m.Digest, Claimed, 0, 0
	b.table.touch(i, s, now)
}

// Settle records the outcome of a copy. Late and duplicate messages are harmless.
func (b *Book) Settle(m SettleMsg) {
	now, r := b.sinceEpoch(m.Now), m.Record
	if !r.Phase.Settled() {
		return
	}
	i, s := b.table.find(r.ID)
	if s == nil {
		if b.Len() >= b.maxRecords {
			return
		}
		i, s = b.table.add(r.ID, now)
	} else if !supersedes(r, s) {
		return
	}
	b.write(i, s, r, now)
}

// supersedes reports whether r replaces the record in s, because it has a later phase of the same copy or a higher rank.
func supersedes(r Record, s *slot) bool {
	if r.Attempt == s.attempt {
		return s.phase == Claimed || s.phase == Unknown && r.Phase == Answered
	}
	return r.Phase.rank() > s.phase.rank()
}

func (b *Book) write(i uint32, s *slot, r Record, now time.Duration) {
	b.table.dropAnswer(i, s)
	s.attempt, s.phase, s.status, s.renewals = r.Attempt, r.Phase, int16(r.Status), 0
	if r.Digest != 0 {
		s.digest = r.Digest
	}
	if r.HasAnswer && len(r.Answer) <= MaxAnswerBytes {
		b.table.storeAnswer(i, s, answer{contentType: r.ContentType, body: r.Answer}, b.maxAnswerBytes)
	}
	b.table.touch(i, s, now)
}

// TickMsg carries the current time.
type TickMsg struct{ Now time.Time }

// Tick removes the expired records and the gaps that have ended.
func (b *Book) Tick(m TickMsg) {
	b.expire(b.sinceEpoch(m.Now), b.Len())
	b.expireGaps(m.Now)
}

// expire handles at most n records that are due: it renews unsettled claims, up to maxRenewals times, and removes the others.
func (b *Book) expire(now time.Duration, n int) {
	for ; n > 0 && b.table.head != noSlot; n-- {
		i := b.table.head
		s := b.table.at(i)
		if s.age(now) < RecordTTL {
			return
		}
		if s.phase == Claimed && s.renewalCount() < maxRenewals {
			s.renewals++
			b.table.touch(i, s, now)
			continue
		}
		b.table.remove(i, s)
	}
}
