package entry

import "sync/atomic"

// counters count requests by how they ended.
type counters struct {
	answered, refused, ended, lost, cancelled, unknown, repeated atomic.Int64
}

// Counts holds the numbers of requests since the start, by how they ended.
type Counts struct {
	Answered  int64 `json:"answered"`  // got the target's complete answer
	Repeated  int64 `json:"repeated"`  // got the stored answer of an earlier copy
	Refused   int64 `json:"refused"`   // failed the checks; not run
	Ended     int64 `json:"ended"`     // ended without an answer of a target; not run
	Unknown   int64 `json:"unknown"`   // may have run
	Cancelled int64 `json:"cancelled"` // the caller closed its connection before the first attempt
	Lost      int64 `json:"lost"`      // attempts without a complete answer, some of which were retried
}

// Counts returns the entry's counters.
func (e *Entry) Counts() Counts {
	c := &e.counters
	return Counts{
		Answered: c.answered.Load(), Repeated: c.repeated.Load(), Refused: c.refused.Load(), Ended: c.ended.Load(),
		Unknown: c.unknown.Load(), Cancelled: c.cancelled.Load(), Lost: c.lost.Load(),
	}
}
