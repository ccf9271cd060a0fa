package ledger

import "time"

// Phase is the state of a keyed request in a record.
type Phase uint8

const (
	// None means that there is no record.
	None Phase = iota
	// Claimed means that a copy may be sent or has been sent.
	Claimed
	// Answered means that a copy ran and its answer arrived.
	Answered
	// Unknown means that a copy was sent and its outcome is not known.
	Unknown
	// NotRun means that the copy certainly did not run and never will.
	NotRun
)

// Settled reports whether the outcome of the copy has been recorded.
func (p Phase) Settled() bool { return p >= Answered }

// rank orders phases by how far they restrict a further copy. Of the records of two copies, the one with the
// higher rank stays.
func (p Phase) rank() int {
	return [...]int{None: 0, NotRun: 1, Claimed: 2, Unknown: 3, Answered: 4}[p]
}

// Record is what a holder stores about a key.
type Record struct {
	ID          ID
	Attempt     Attempt
	Digest      Digest
	Phase       Phase
	Status      int
	ContentType string
	Answer      []byte
	HasAnswer   bool          // whether Answer is the whole answer
	Age         time.Duration // time since the last change
}

// Verdict is a holder's answer to a claim.
type Verdict uint8

const (
	// Granted means that the holder has recorded the claim.
	Granted Verdict = iota
	// Repeat means that a copy was claimed before; the reply has its record.
	Repeat
	// Mismatch means that the key was used for another request.
	Mismatch
	// Stale means that the holder uses another roster or does not hold the key yet.
	Stale
	// Gap means that records of this key may have been lost.
	Gap
	// Full means that the holder has no record of the key and no room for another record.
	Full
)

// String returns the verdict's name.
func (v Verdict) String() string {
	return [...]string{"granted", "repeat", "mismatch", "roster", "gap", "full"}[v]
}
