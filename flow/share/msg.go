package share

import "time"

// Msg is an input to Loans.
type Msg interface{ isMsg() }

// RosterMsg sets the entries that share the targets. It is ignored unless its number is higher than that of the newest roster.
type RosterMsg struct {
	Now     time.Time
	Number  int64
	Entries []string
}

// RosterAdoptedMsg reports that a peer has adopted the roster with this number: it uses no more than its shares under that roster.
type RosterAdoptedMsg struct {
	Now    time.Time
	From   string
	Number int64
}

// TargetsMsg replaces the targets and the number of slots of each.
type TargetsMsg struct {
	Now   time.Time
	Slots map[string]int
}

// Load is the current load of this entry.
//
// The runner must not send requests between reading a Load and applying the SharesCmd that results from it. It holds the
// scheduler's lock in the meantime.
type Load struct {
	Demand      int            // waiting requests that need a slot here now
	Reclaimable int            // background requests at targets whose slots can be lent when they end
	Reserve     int            // idle slots that must not be lent
	Busy        map[string]int // occupied slots by target, preferably as the scheduler's Taken counts them
}

// LoadMsg reports the load of this entry. It must come every 10 ms while requests wait or Quiet is false.
type LoadMsg struct {
	Now  time.Time
	Load Load
}

// BorrowMsg is a peer's request for slots. Holding lists the grants of this entry that the peer still holds; the peer has
// returned all others. Load is the load of this entry, not of the peer.
type BorrowMsg struct {
	Now     time.Time
	From    string
	Number  int64
	Want    int
	Holding []int64
	Load    Load
}

// LentMsg is a peer's reply to a BorrowCmd.
type LentMsg struct {
	Now       time.Time
	From      string
	Number    int64
	Grants    []Grant
	Recalled  []int64
	Exhausted bool // the peer has had no slot to spare for some time
}

// Grant lends one slot of a target. ID is unique among the lender's grants.
type Grant struct {
	ID     int64  `json:"id"`
	Target string `json:"target"`
}

func (RosterMsg) isMsg()        {}
func (RosterAdoptedMsg) isMsg() {}
func (TargetsMsg) isMsg()       {}
func (LoadMsg) isMsg()          {}
func (BorrowMsg) isMsg()        {}
func (LentMsg) isMsg()          {}

// Cmd is an action that the runner carries out for Loans.
type Cmd interface{ isCmd() }

// SharesCmd limits this entry to the given number of slots of each target from now on.
type SharesCmd struct{ Shares map[string]int }

// BorrowCmd sends a BorrowMsg to a peer and brings the reply back as a LentMsg. Both may be lost or duplicated.
type BorrowCmd struct {
	To      string
	Number  int64
	Want    int
	Holding []int64
}

// LentCmd sends the reply to a BorrowMsg.
type LentCmd struct {
	To        string
	Number    int64
	Grants    []Grant
	Recalled  []int64
	Exhausted bool // this entry has had no slot to spare for some time
}

func (SharesCmd) isCmd() {}
func (BorrowCmd) isCmd() {}
func (LentCmd) isCmd()   {}
