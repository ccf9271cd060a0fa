package ledger

import (
	"slices"
	"time"
)

const (
	chunkBits = 12
	chunkSize = 1 << chunkBits // records
	none      = ^uint32(0)
)

// slot is one record in memory; slots are linked in the order in which they expire.
type slot struct {
	id         ID
	attempt    Attempt
	digest     Digest
	changed    uint32 // last change in units of stamp since the first message, rounded up
	prev, next uint32
	status     int16
	phase      Phase
	renewals   uint8 // with keptBit when the answer is kept
}

const (
	keptBit = 0x80
	stamp   = 100 * time.Millisecond
)

func (s *slot) kept() bool { return s.renewals&keptBit != 0 }

func (s *slot) renewed() uint8 { return s.renewals &^ keptBit }

// age returns how long ago the slot changed, at most a stamp too little.
func (s *slot) age(now time.Duration) time.Duration {
	return max(now-time.Duration(s.changed)*stamp, 0)
}

type answer struct {
	contentType string
	body        []byte
	number      uint64
}

func (a answer) size() int { return len(a.body) + len(a.contentType) }

// turn is one answer's place in the order in which answers are given up.
type turn struct {
	slot   uint32
	number uint64
}

// table keeps records compactly: chunks that never move, an index by id, and the few answers apart.
type table struct {
	index      index
	chunks     []*[chunkSize]slot
	used       uint32
	free       []uint32
	head, tail uint32
	answers    map[uint32]answer
	turns      []turn
	number     uint64 // of the last answer
	bytes      int    // of kept answers
}

func newTable() *table {
	return &table{answers: map[uint32]answer{}, head: none, tail: none}
}

func (t *table) at(i uint32) *slot { return &t.chunks[i>>chunkBits][i&(chunkSize-1)] }

func (t *table) find(id ID) (uint32, *slot) {
	i := t.index.find(t, id)
	if i == none {
		return none, nil
	}
	return i, t.at(i)
}

func (t *table) add(id ID, now time.Duration) (uint32, *slot) {
	i := t.take()
	s := t.at(i)
	*s = slot{id: id}
	t.index.add(t, id, i)
	t.append(i, s, now)
	return i, s
}

func (t *table) take() uint32 {
	if n := len(t.free); n > 0 {
		i := t.free[n-1]
		t.free = t.free[:n-1]
		return i
	}
	if t.used&(chunkSize-1) == 0 {
		t.chunks = append(t.chunks, new([chunkSize]slot))
	}
	t.used++
	return t.used - 1
}

func (t *table) append(i uint32, s *slot, now time.Duration) {
	s.changed, s.prev, s.next = uint32((now+stamp-1)/stamp), t.tail, none
	if t.tail == none {
		t.head = i
	} else {
		t.at(t.tail).next = i
	}
	t.tail = i
}

func (t *table) unlink(s *slot) {
	if s.prev == none {
		t.head = s.next
	} else {
		t.at(s.prev).next = s.next
	}
	if s.next == none {
		t.tail = s.prev
	} else {
		t.at(s.next).prev = s.prev
	}
}

// touch makes the record the last to expire.
func (t *table) touch(i uint32, s *slot, now time.Duration) {
	t.unlink(s)
	t.append(i, s, now)
}

func (t *table) remove(i uint32, s *slot) {
	t.drop(i, s)
	t.unlink(s)
	t.index.remove(t, s.id)
	s.phase = None
	t.free = append(t.free, i)
}

// keep stores an answer and gives up the oldest ones while all together are longer than most bytes.
func (t *table) keep(i uint32, s *slot, a answer, most int) {
	t.drop(i, s)
	t.number++
	a.number = t.number
	t.answers[i] = a
	t.turns = append(t.turns, turn{slot: i, number: a.number})
	t.bytes += a.size()
	s.renewals |= keptBit
	for t.bytes > most {
		o := t.turns[0]
		t.turns = t.turns[1:]
		if t.current(o) {
			t.drop(o.slot, t.at(o.slot))
		}
	}
	if len(t.turns) > 2*len(t.answers)+chunkSize {
		t.turns = slices.DeleteFunc(t.turns, func(o turn) bool { return !t.current(o) })
	}
}

func (t *table) current(o turn) bool { return t.answers[o.slot].number == o.number }

func (t *table) drop(i uint32, s *slot) {
	if !s.kept() {
		return
	}
	s.renewals &^= keptBit
	t.bytes -= t.answers[i].size()
	delete(t.answers, i)
}

func (t *table) record(i uint32, s *slot, now time.Duration) Record {
	a := t.answers[i]
	return Record{
		ID: s.id, Attempt: s.attempt, Digest: s.digest, Phase: s.phase, Status: int(s.status),
		Kept: s.kept(), ContentType: a.contentType, Answer: a.body, Age: s.age(now),
	}
}
