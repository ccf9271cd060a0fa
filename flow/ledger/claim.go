package ledger

import "time"

const (
	// ClaimTimeout is the timeout of a claim.
	ClaimTimeout = time.Second

	maxAskFailures    = 2
	refusedRetryDelay = 500 * time.Millisecond
)

// Reason is the reason why a claim was refused.
type Reason uint8

const (
	// Unreachable means that a holder or the platform's service did not answer.
	Unreachable Reason = iota
	// RosterChanging means that the roster changed and did not become active in time.
	RosterChanging
	// RecordsLost means that the records of the key may have been lost.
	RecordsLost
	// HolderFull means that a holder has no room for another record.
	HolderFull
	// OtherRequest means that the key was used for a different request.
	OtherRequest
	// NoRoster means that no roster of the key's data centre is known.
	NoRoster
	// Withdrawn means that the caller or the entry canceled the request.
	Withdrawn
)

// String returns the reason's name.
func (r Reason) String() string {
	return [...]string{"unreachable", "rosterChanging", "recordsLost", "full", "otherRequest", "noRoster", "withdrawn"}[r]
}

// Msg is a message that changes a Claim.
type Msg interface{ isMsg() }

// StartMsg starts the claim.
type StartMsg struct {
	Now    time.Time
	Roster Roster
}

// ReplyMsg is a holder's reply to AskCmd. Roster is the newest roster known when it arrives.
type ReplyMsg struct {
	Now    time.Time
	Holder string
	Reply  ClaimReply
	Roster Roster
}

// NoReplyMsg reports that a holder did not reply, or with an empty Holder that a WaitCmd is over. A holder that did not reply
// may have granted the claim.
type NoReplyMsg struct {
	Now    time.Time
	Holder string
	Roster Roster
}

// StoreMsg is the result of StoreCmd.
type StoreMsg struct {
	Now     time.Time
	Outcome StoreOutcome
	Record  Record // the record of the other copy, with StoreExists
}

// StoreOutcome is the outcome of a create-only write to the platform's service.
type StoreOutcome uint8

const (
	// StoreCreated means that the key was created for this copy.
	StoreCreated StoreOutcome = iota
	// StoreExists means that the key exists and belongs to another copy.
	StoreExists
	// StoreFailed means that the write was not made or that its outcome is unknown.
	StoreFailed
)

// ConfirmMsg is the result of ConfirmCmd: the number of the roster in the platform's service, read after the claim began, or
// zero if it could not be read.
type ConfirmMsg struct{ Number int64 }

// CancelMsg cancels the claim.
type CancelMsg struct{}

func (StartMsg) isMsg()   {}
func (ReplyMsg) isMsg()   {}
func (NoReplyMsg) isMsg() {}
func (StoreMsg) isMsg()   {}
func (CancelMsg) isMsg()  {}

func (ConfirmMsg) isMsg() {}

// Cmd is a command from a Claim to its runner.
type Cmd interface{ isCmd() }

// AskCmd sends the claim to a holder, under the roster with the given number.
type AskCmd struct {
	Holder Member
	Roster int64
}

// WaitCmd requests a NoReplyMsg with the newest roster after a delay.
type WaitCmd struct{ For time.Duration }

// StoreCmd requests a create-only write of the key in the platform's service.
type StoreCmd struct{}

// ConfirmCmd requests a read of the roster in the platform's service. A holder may have been removed without knowing it, and
// the holders of a newer roster may then have a record that this holder does not have.
type ConfirmCmd struct{}

// ReleaseCmd reports to the holders that this copy does not run, with retries until they have received it. Store is set if the
// key may also have to be released in the platform's service.
type ReleaseCmd struct {
	Holders []Member
	InStore bool
}

// SendCmd allows the copy to be sent. Holders are to be told the outcome; Store is set if the key may have been created in the
// platform's service.
type SendCmd struct {
	Holders []Member
	InStore bool
}

// RefuseCmd refuses the copy. NotRun is set if certainly no copy of the key had been sent when the claim began.
type RefuseCmd struct {
	Reason     Reason
	NotRun     bool
	Holder     string
	RetryAfter time.Duration
}

// RepeatCmd reports that another copy was claimed before; Record is the record of that copy.
type RepeatCmd struct{ Record Record }

func (AskCmd) isCmd()     {}
func (WaitCmd) isCmd()    {}
func (StoreCmd) isCmd()   {}
func (ConfirmCmd) isCmd() {}
func (ReleaseCmd) isCmd() {}
func (SendCmd) isCmd()    {}
func (RefuseCmd) isCmd()  {}
func (RepeatCmd) isCmd()  {}

type claimStep uint8

const (
	askFirst claimStep = iota
	askSecond
	writeStore
	probeSecond
	confirming
	ended
)

// Claim decides whether one copy of a keyed request may be sent. It changes only by Update.
type Claim struct {
	id          ID
	step        claimStep
	startedAt   time.Time
	roster      Roster
	askFailures int
	asked       []Member  // holders that may have granted the claim
	noRecord    bool      // whether a holder with an active roster has reported in time that it has no record
	needStore   bool      // whether a holder requires the key in the platform's service
	mayBeStored bool      // whether the platform's service may have the key
	refusal     RefuseCmd // the refusal to give after probeSecond or confirming
}

// NewClaim returns the claim of one copy of the request whose key has the given id.
func NewClaim(id ID) *Claim { return &Claim{id: id} }

// Update handles a message and returns the commands to run. After SendCmd, RefuseCmd or RepeatCmd the claim has ended.
func (c *Claim) Update(m Msg) []Cmd {
	if c.step == ended {
		return nil
	}
	if c.step == confirming {
		return c.handleConfirmation(m)
	}
	switch m := m.(type) {
	case StartMsg:
		c.startedAt, c.roster = m.Now, m.Roster
		if m.Roster.number == 0 {
			return c.refuse(RefuseCmd{Reason: NoRoster, RetryAfter: refusedRetryDelay})
		}
		return c.ask()
	case ReplyMsg:
		return c.handleReply(m)
	case NoReplyMsg:
		return c.handleFailure(m)
	case StoreMsg:
		return c.handleStoreResult(m)
	case CancelMsg:
		return c.refuse(RefuseCmd{Reason: Withdrawn})
	}
	return nil
}

func (c *Claim) currentHolder() Member {
	f, s := c.roster.HoldersOf(c.id)
	if c.step == askSecond || c.step == probeSecond {
		f = s
	}
	m, _ := c.roster.Member(f)
	return m
}

func (c *Claim) ask() []Cmd {
	h := c.currentHolder()
	if !containsMember(c.asked, h) {
		c.asked = append(c.asked, h)
	}
	return []Cmd{AskCmd{Holder: h, Roster: c.roster.number}}
}

// withinTimeout reports whether the claim has not timed out. Records of copies that ran before the claim began cannot have
// expired in that time.
func (c *Claim) withinTimeout(now time.Time) bool { return now.Sub(c.startedAt) <= ClaimTimeout }

func (c *Claim) handleReply(m ReplyMsg) []Cmd {
	if m.Holder != c.currentHolder().Entry {
		return nil
	}
	switch m.Reply.Verdict {
	case Granted:
		return c.handleGrant(m)
	case Repeat, Mismatch:
		return c.handleExisting(m)
	case Gap:
		return c.refuse(RefuseCmd{Reason: RecordsLost, NotRun: c.noRecord, Holder: m.Holder, RetryAfter: m.Reply.RetryAfter})
	case Full:
		notRun := c.noRecord || !m.Reply.NeedsStoreKey && c.withinTimeout(m.Now)
		return c.refuse(RefuseCmd{Reason: HolderFull, NotRun: notRun, Holder: m.Holder, RetryAfter: m.Reply.RetryAfter})
	default:
		return c.handleStale(m)
	}
}

func (c *Claim) handleExisting(m ReplyMsg) []Cmd {
	if m.Reply.Verdict == Mismatch {
		return c.refuse(RefuseCmd{Reason: OtherRequest, NotRun: c.withinTimeout(m.Now), Holder: m.Holder})
	}
	return c.finish(RepeatCmd{Record: m.Reply.Record})
}

func (c *Claim) handleGrant(m ReplyMsg) []Cmd {
	c.needStore = c.needStore || m.Reply.NeedsStoreKey
	c.noRecord = c.noRecord || !m.Reply.NeedsStoreKey && c.withinTimeout(m.Now)
	c.askFailures = 0
	_, second := c.roster.HoldersOf(c.id)
	switch {
	case c.step == probeSecond:
		c.refusal.NotRun = c.noRecord
		return c.refuse(c.refusal)
	case !c.withinTimeout(m.Now):
		return c.refuse(RefuseCmd{Reason: Unreachable, NotRun: c.noRecord, Holder: m.Holder, RetryAfter: refusedRetryDelay})
	case c.step == askFirst && second != "":
		c.step = askSecond
		return c.ask()
	case c.needStore || second == "":
		c.step, c.mayBeStored = writeStore, true
		return []Cmd{StoreCmd{}}
	default:
		return c.allow()
	}
}

func (c *Claim) allow() []Cmd {
	c.step = ended
	return []Cmd{SendCmd{Holders: c.asked, InStore: c.mayBeStored}}
}

// handleStale starts over with a newer roster if there is one, and otherwise waits for the change to complete.
func (c *Claim) handleStale(m ReplyMsg) []Cmd {
	if c.step == probeSecond {
		return c.refuse(c.refusal)
	}
	if !c.withinTimeout(m.Now) {
		return c.giveUp(RefuseCmd{Reason: RosterChanging, Holder: m.Holder, RetryAfter: refusedRetryDelay})
	}
	if c.adoptNewer(m.Roster) {
		return c.ask()
	}
	return []Cmd{WaitCmd{For: handoverRetryDelay}}
}

// adoptNewer switches to r if it is newer. Grants under the old roster do not count under the new one.
func (c *Claim) adoptNewer(r Roster) bool {
	if r.number <= c.roster.number {
		return false
	}
	c.roster, c.step, c.askFailures, c.needStore, c.noRecord = r, askFirst, 0, false, false
	return true
}

func (c *Claim) handleFailure(m NoReplyMsg) []Cmd {
	if c.step == probeSecond {
		return c.refuse(c.refusal)
	}
	c.askFailures++
	switch {
	case c.withinTimeout(m.Now) && c.adoptNewer(m.Roster):
		return c.ask()
	case c.withinTimeout(m.Now) && (m.Holder == "" || c.askFailures < maxAskFailures):
		return c.ask()
	default:
		return c.giveUp(RefuseCmd{Reason: Unreachable, Holder: m.Holder, RetryAfter: refusedRetryDelay})
	}
}

// giveUp refuses the claim. If no holder has reported yet whether it has a record, giveUp first asks the second holder.
func (c *Claim) giveUp(r RefuseCmd) []Cmd {
	_, second := c.roster.HoldersOf(c.id)
	if c.noRecord || c.step != askFirst || second == "" {
		r.NotRun = c.noRecord
		return c.refuse(r)
	}
	c.step, c.refusal = probeSecond, r
	return c.ask()
}

func (c *Claim) handleStoreResult(m StoreMsg) []Cmd {
	switch {
	case m.Outcome == StoreExists:
		return c.finish(RepeatCmd{Record: m.Record})
	case m.Outcome == StoreCreated && c.withinTimeout(m.Now):
		return c.allow()
	}
	return c.refuse(RefuseCmd{Reason: Unreachable, NotRun: c.noRecord, RetryAfter: refusedRetryDelay})
}

// refuse releases the grants and ends the claim. A refusal with NotRun is given only after the roster has been confirmed.
func (c *Claim) refuse(r RefuseCmd) []Cmd {
	if !r.NotRun {
		return c.finish(r)
	}
	l := c.finish(ConfirmCmd{})
	c.step, c.refusal = confirming, r
	return l
}

func (c *Claim) handleConfirmation(m Msg) []Cmd {
	n, ok := m.(ConfirmMsg)
	c.refusal.NotRun = ok && n.Number == c.roster.number
	c.step = ended
	return []Cmd{c.refusal}
}

// finish ends the claim. It releases every grant that may have been given, and then returns the last command.
func (c *Claim) finish(last Cmd) []Cmd {
	c.step = ended
	if len(c.asked) == 0 {
		return []Cmd{last}
	}
	return []Cmd{ReleaseCmd{Holders: c.asked, InStore: c.mayBeStored}, last}
}
