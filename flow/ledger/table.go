package ledger

import (
	"slices"
	"time"
)

const (
	chunkBits = 12
	chunkSize = 1 << chunkBits // records
	noSlot    = ^uint32(0)
)

// slot is one record in memory. The slots form a linked list in the order in which they expire.
type slot struct {
	id         ID
	attempt    Attempt
	digest     Digest
	changedAt  uint32 // time of the last change since the first message, in timeUnits, rounded up
	prev, next uint32
	status     int16
	phase      Phase
	renewals   uint8 // number of renewals of an unsettled claim; hasAnswerBit is set while the answer is kept
}

const (
	hasAnswerBit = 0x80
	timeUnit     = 100 * time.Millisecond
)

func (s *slot) hasAnswer() bool { return s.renewals&hasAnswerBit != 0 }

func (s *slot) renewalCount() uint8 { return s.renewals &^ hasAnswerBit }

// age returns the time since the last change. Because changedAt is rounded up, the result is up to one timeUnit too short.
func (s *slot) age(now time.Duration) time.Duration {
	return max(now-time.Duration(s.changedAt)*timeUnit, 0)
}

// answer is the kept answer of a record.
type answer struct {
	contentType string
	body        []byte
	sequence    uint64 // tells it apart from earlier answers of the same slot
}

func (a answer) size() int { return len(a.body) + len(a.contentType) }

// evictionEntry is the position of an answer in the order of eviction. It is outdated once the answer is dropped or replaced.
type evictionEntry struct {
	slot     uint32
	sequence uint64
}

// table stores records compactly: slots in chunks that never move, an index by id, and the few kept answers in a map.
type table struct {
	index         index
	chunks        []*[chunkSize]slot
	allocated     uint32
	freeSlots     []uint32
	head, tail    uint32 // slots that expire first and last
	answers       map[uint32]answer
	evictionQueue []evictionEntry // oldest first, some outdated
	lastSequence  uint64          // sequence of the newest answer
	answerBytes   int             // size of the kept answers in bytes
}

func newTable() *table {
	return &table{answers: map[uint32]answer{}, head: noSlot, tail: noSlot}
}

func (t *table) at(i uint32) *slot { return &t.chunks[i>>chunkBits][i&(chunkSize-1)] }

func (t *table) find(id ID) (uint32, *slot) {
	i := t.index.find(t, id)
	if i == noSlot {
		return noSlot, nil
	}
	return i, t.at(i)
}

func (t *table) add(id ID, now time.Duration) (uint32, *slot) {
	i := t.allocate()
	s := t.at(i)
	*s = slot{id: id}
	t.index.add(t, id, i)
	t.append(i, s, now)
	return i, s
}

func (t *table) allocate() uint32 {
	if n := len(t.freeSlots); n > 0 {
		i := t.freeSlots[n-1]
		t.freeSlots = t.freeSlots[:n-1]
		return i
	}
	if t.allocated&(chunkSize-1) == 0 {
		t.chunks = append(t.chunks, new([chunkSize]slot))
	}
	t.allocated++
	return t.allocated - 1
}

func (t *table) append(i uint32, s *slot, now time.Duration) {
	s.changedAt, s.prev, s.next = uint32((now+timeUnit-1)/timeUnit), t.tail, noSlot
	if t.tail == noSlot {
		t.head = i
	} else {
		t.at(t.tail).next = i
	}
	t.tail = i
}

func (t *table) unlink(s *slot) {
	if s.prev == noSlot {
		t.head = s.next
	} else {
		t.at(s.prev).next = s.next
	}
	if s.next == noSlot {
		t.tail = s.prev
	} else {
		t.at(s.next).prev = s.prev
	}
}

// touch sets the time of the last change to now, so that the record is the last to expire.
func (t *table) touch(i uint32, s *slot, now time.Duration) {
	t.unlink(s)
	t.append(i, s, now)
}

func (t *table) remove(i uint32, s *slot) {
	t.dropAnswer(i, s)
	t.unlink(s)
	t.index.remove(t, s.id)
	s.phase = None
	t.freeSlots = append(t.freeSlots, i)
}

// storeAnswer keeps an answer, and evicts the oldest answers while the kept ones have more than maxBytes bytes together.
func (t *table) storeAnswer(i uint32, s *slot, a answer, maxBytes int) {
	t.dropAnswer(i, s)
	t.lastSequence++
	a.sequence = t.lastSequence
	t.answers[i] = a
	t.evictionQueue = append(t.evictionQueue, evictionEntry{slot: i, sequence: a.sequence})
	t.answerBytes += a.size()
	s.renewals |= hasAnswerBit
	for t.answerBytes > maxBytes {
		o := t.evictionQueue[0]
		t.evictionQueue = t.evictionQueue[1:]
		if t.isCurrent(o) {
			t.dropAnswer(o.slot, t.at(o.slot))
		}
	}
	if len(t.evictionQueue) > 2*len(t.answers)+chunkSize {
		t.evictionQueue = slices.DeleteFunc(t.evictionQueue, func(o evictionEntry) bool { return !t.isCurrent(o) })
	}
}

func (t *table) isCurrent(o evictionEntry) bool { return t.answers[o.slot].sequence == o.sequence }

func (t *table) dropAnswer(i uint32, s *slot) {
	if !s.hasAnswer() {
		return
	}
	s.renewals &^= hasAnswerBit
	t.answerBytes -= t.answers[i].size()
	delete(t.answers, i)
}

func (t *table) record(i uint32, s *slot, now time.Duration) Record {
	a := t.answers[i]
	return Record{
		ID: s.id, Attempt: s.attempt, Digest: s.digest, Phase: s.phase, Status: int(s.status),
		HasAnswer: s.hasAnswer(), ContentType: a.contentType, Answer: a.body, Age: s.age(now),
	}
}
