package share

import "time"

// Msg is anything that changes Loans.
type Msg interface{ isMsg() }

// RosterMsg says which entries share the targets from now on; a lower number than the newest is ignored.
type RosterMsg struct {
	Now     time.Time
	Number  int64
	Entries []string
}

// SettledMsg says that a peer keeps to the roster with the number.
type SettledMsg struct {
	Now    time.Time
	From   string
	Number int64
}

// TargetsMsg replaces the targets and their slots.
type TargetsMsg struct {
	Now   time.Time
	Slots map[string]int
}

// Load tells the requests that need a slot here now, those at each target, how many of these make room for a peer's,
// and how many idle slots are not to be lent. Between the reading of a Load and the SharesCmd that comes of it the runner
// sends nothing: it holds the scheduler's lock. Busy is best what the scheduler's Taken tells.
type Load struct {
	Queued   int
	Yielding int
	Keep     int
	Busy     map[string]int
}

// LoadMsg tells the load here; it comes every 10 ms while anything waits or Quiet is false.
type LoadMsg struct {
	Now  time.Time
	Load Load
}

// BorrowMsg is a peer's request for slots, with the load here.
// Holding names all grants of this entry that the peer still has, the others are returned.
type BorrowMsg struct {
	Now     time.Time
	From    string
	Number  int64
	Want    int
	Holding []int64
	Load    Load
}

// LentMsg is a peer's answer to a BorrowCmd; Busy says that the peer has no slot to spare for some time.
type LentMsg struct {
	Now      time.Time
	From     string
	Number   int64
	Grants   []Grant
	Recalled []int64
	Busy     bool
}

// Grant lends one slot of a target; ID is unique among the lender's grants.
type Grant struct {
	ID     int64  `json:"id"`
	Target string `json:"target"`
}

func (RosterMsg) isMsg()  {}
func (SettledMsg) isMsg() {}
func (TargetsMsg) isMsg() {}
func (LoadMsg) isMsg()    {}
func (BorrowMsg) isMsg()  {}
func (LentMsg) isMsg()    {}

// Cmd is something that the runner does for Loans.
type Cmd interface{ isCmd() }

// SharesCmd asks to use no more than these slots of each target from now on.
type SharesCmd struct{ Shares map[string]int }

// BorrowCmd asks to send a BorrowMsg to a peer and to bring its answer back as LentMsg; it may be lost or doubled.
type BorrowCmd struct {
	To      string
	Number  int64
	Want    int
	Holding []int64
}

// LentCmd is the answer to a BorrowMsg.
type LentCmd struct {
	To       string
	Number   int64
	Grants   []Grant
	Recalled []int64
	Busy     bool
}

func (SharesCmd) isCmd() {}
func (BorrowCmd) isCmd() {}
func (LentCmd) isCmd()   {}
