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

// slot is one record in memory; slots are linked in the order in which they expire.
type slot struct {
	id         ID
	attempt    Attempt
	digest     Digest
	changedAt  uint32 // last change in units of stamp since the first message, rounded up
	prev, next uint32
	status     int16
	phase      Phase
	renewals   uint8 // with keptBit when the answer is kept
}

const (
	hasAnswerBit = 0x80
	timeUnit     = 100 * time.Millisecond
)

func (s *slot) hasAnswer() bool { return s.renewals&hasAnswerBit != 0 }

func (s *slot) renewalCount() uint8 { return s.renewals &^ hasAnswerBit }

// age returns how long ago the slot changed, at most a stamp too little.
func (s *slot) age(now time.Duration) time.Duration {
	return max(now-time.Duration(s.changedAt)*timeUnit, 0)
}

type answer struct {
	contentType string
	body        []byte
	sequence    uint64
}

func (a answer) size() int { return len(a.body) + len(a.contentType) }

// evictionEntry is one answer's place in the order in which answers are given up.
type evictionEntry struct {
	slot     uint32
	sequence uint64
}

// table keeps records compactly: chunks that never move, an index by id, and the few answers apart.
type table struct {
	index         index
	chunks        []*[chunkSize]slot
	allocated     uint32
	freeSlots     []uint32
	head, tail    uint32
	answers       map[uint32]answer
	evictionQueue []evictionEntry
	lastSequence  uint64 // of the last answer
	answerBytes   int    // of kept answers
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
	t.linkLast(i, s, now)
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

func (t *table) linkLast(i uint32, s *slot, now time.Duration) {
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

// touch makes the record the last to expire.
func (t *table) touch(i uint32, s *slot, now time.Duration) {
	t.unlink(s)
	t.linkLast(i, s, now)
}

func (t *table) remove(i uint32, s *slot) {
	t.dropAnswer(i, s)
	t.unlink(s)
	t.index.remove(t, s.id)
	s.phase = None
	t.freeSlots = append(t.freeSlots, i)
}

// storeAnswer stores an answer and gives up the oldest ones while all together are longer than most bytes.
func (t *table) storeAnswer(i uint32, s *slot, a answer, most int) {
	t.dropAnswer(i, s)
	t.lastSequence++
	a.sequence = t.lastSequence
	t.answers[i] = a
	t.evictionQueue = append(t.evictionQueue, evictionEntry{slot: i, sequence: a.sequence})
	t.answerBytes += a.size()
	s.renewals |= hasAnswerBit
	for t.answerBytes > most {
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
		Kept: s.hasAnswer(), ContentType: a.contentType, Answer: a.body, Age: s.age(now),
	}
}
