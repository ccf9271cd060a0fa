package entry

import "sync/atomic"

// counters are the entry's own counters.
type counters struct {
	answered, refused, ended, lost, cancelled, unknown, repeated atomic.Int64
}

// Counts tell how many requests ended in which way since the start.
type Counts struct {
	Answered  int64 `json:"answered"`  // with the target's whole answer
	Repeated  int64 `json:"repeated"`  // with the kept answer of an earlier copy
	Refused   int64 `json:"refused"`   // for the caller's own fault; not run
	Ended     int64 `json:"ended"`     // given up on; not run
	Unknown   int64 `json:"unknown"`   // may have run
	Cancelled int64 `json:"cancelled"` // the caller went away before the send
	Lost      int64 `json:"lost"`      // sends without a whole answer, of which some were repeated
}

// Counts returns the entry's counters.
func (e *Entry) Counts() Counts {
	c := &e.counters
	return Counts{
		Answered: c.answered.Load(), Repeated: c.repeated.Load(), Refused: c.refused.Load(), Ended: c.ended.Load(),
		Unknown: c.unknown.Load(), Cancelled: c.cancelled.Load(), Lost: c.lost.Load(),
	}
}
