package ledger

import "time"

const (
	// ClaimWithin is how long a claim may take before it is given up.
	ClaimWithin = time.Second

	maxAskFailures    = 2
	refusedRetryDelay = 500 * time.Millisecond
)

// Reason is why a claim was refused.
type Reason uint8

const (
	// Unreachable means that a holder or the platform's service did not answer.
	Unreachable Reason = iota
	// Changing means that the roster changed and was not in force in time.
	Changing
	// Lost means that the records of the key may have been lost.
	Lost
	// NoRoom means that a holder can remember no more keys.
	NoRoom
	// OtherRequest means that the key was used for another request.
	OtherRequest
	// NoRoster means that no roster of the key's data centre is known.
	NoRoster
	// Withdrawn means that the caller or the entry ended the request.
	Withdrawn
)

// String returns the reason's name.
func (r Reason) String() string {
	return [...]string{"unreachable", "rosterChanging", "recordsLost", "full", "otherRequest", "noRoster", "withdrawn"}[r]
}

// Msg is anything that changes a Claim.
type Msg interface{ isMsg() }

// StartMsg begins the claim.
type StartMsg struct {
	Now    time.Time
	Roster Roster
}

// ReplyMsg is a holder's answer; Roster is the newest that is known by now.
type ReplyMsg struct {
	Now    time.Time
	Holder string
	Reply  ClaimReply
	Roster Roster
}

// FailMsg says that a holder did not answer, so that it may or may not have granted.
type FailMsg struct {
	Now    time.Time
	Holder string
	Roster Roster
}

// StoreMsg is the outcome of the write to the platform's service.
type StoreMsg struct {
	Now     time.Time
	Outcome StoreOutcome
	Record  Record // with StoreTaken
}

// StoreOutcome is what became of a create-only write.
type StoreOutcome uint8

const (
	// StoreMade means that the key is this copy's.
	StoreMade StoreOutcome = iota
	// StoreTaken means that the key is another copy's.
	StoreTaken
	// StoreFailed means that the write's outcome is not known or that it was not made.
	StoreFailed
)

// ConfirmMsg tells the number of the roster that the platform's service held after the claim began; zero if it could not be read.
type ConfirmMsg struct{ Number int64 }

// EndMsg ends the claim before its outcome.
type EndMsg struct{}

func (StartMsg) isMsg() {}
func (ReplyMsg) isMsg() {}
func (FailMsg) isMsg()  {}
func (StoreMsg) isMsg() {}
func (EndMsg) isMsg()   {}

func (ConfirmMsg) isMsg() {}

// Cmd is anything that a Claim asks its runner to do.
type Cmd interface{ isCmd() }

// AskCmd asks a holder to grant the claim under a roster's number.
type AskCmd struct {
	Holder Member
	Roster int64
}

// WaitCmd asks for a FailMsg, with the newest roster, after a time.
type WaitCmd struct{ For time.Duration }

// StoreCmd asks for a create-only write of the key in the platform's service.
type StoreCmd struct{}

// ConfirmCmd asks to read the roster in the platform's service: a holder may have been removed without knowing, and then
// its word that there is no record says nothing of the newer roster's holders.
type ConfirmCmd struct{}

// ReleaseCmd asks to tell the holders, until they have it, that this copy is not run; Store tells of the platform's service.
type ReleaseCmd struct {
	Holders []Member
	Store   bool
}

// GoCmd allows the copy to be sent.
type GoCmd struct {
	Holders []Member
	Store   bool
}

// RefuseCmd refuses the copy; NotRun says that no copy of the key had been sent when the claim was made.
type RefuseCmd struct {
	Reason     Reason
	NotRun     bool
	Holder     string
	RetryAfter time.Duration
}

// RepeatCmd says that another copy was claimed before.
type RepeatCmd struct{ Record Record }

func (AskCmd) isCmd()     {}
func (WaitCmd) isCmd()    {}
func (StoreCmd) isCmd()   {}
func (ConfirmCmd) isCmd() {}
func (ReleaseCmd) isCmd() {}
func (GoCmd) isCmd()      {}
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

// Claim is one copy's way to leave to be sent; it is changed only by Update.
type Claim struct {
	id          ID
	step        claimStep
	startedAt   time.Time
	roster      Roster
	askFailures int
	asked       []Member // that may have granted
	noRecord    bool     // whether a holder in force has testified that there is no record
	needStore   bool     // whether a holder demands the platform's service
	mayBeStored bool     // whether the platform's service may have the key
	refusal     RefuseCmd
}

// NewClaim returns the claim of one copy of the key with the id.
func NewClaim(id ID) *Claim { return &Claim{id: id} }

// Update takes a message and returns what is to be done; after GoCmd, RefuseCmd or RepeatCmd the claim has ended.
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
	case FailMsg:
		return c.handleFailure(m)
	case StoreMsg:
		return c.handleStoreResult(m)
	case EndMsg:
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

// withinTimeout reports whether records of copies that ran before the claim began cannot have lapsed since.
func (c *Claim) withinTimeout(now time.Time) bool { return now.Sub(c.startedAt) <= ClaimWithin }

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
		return c.refuse(RefuseCmd{Reason: Lost, NotRun: c.noRecord, Holder: m.Holder, RetryAfter: m.Reply.Retry})
	case Full:
		free := c.noRecord || !m.Reply.Store && c.withinTimeout(m.Now)
		return c.refuse(RefuseCmd{Reason: NoRoom, NotRun: free, Holder: m.Holder, RetryAfter: m.Reply.Retry})
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
	c.needStore = c.needStore || m.Reply.Store
	c.noRecord = c.noRecord || !m.Reply.Store && c.withinTimeout(m.Now)
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
	return []Cmd{GoCmd{Holders: c.asked, Store: c.mayBeStored}}
}

// handleStale begins again when the roster has changed, and waits while it is changing.
func (c *Claim) handleStale(m ReplyMsg) []Cmd {
	if c.step == probeSecond {
		return c.refuse(c.refusal)
	}
	if !c.withinTimeout(m.Now) {
		return c.giveUp(RefuseCmd{Reason: Changing, Holder: m.Holder, RetryAfter: refusedRetryDelay})
	}
	if c.adoptNewer(m.Roster) {
		return c.ask()
	}
	return []Cmd{WaitCmd{For: handoverRetryDelay}}
}

// adoptNewer takes up a newer roster, under which nothing has been granted yet.
func (c *Claim) adoptNewer(r Roster) bool {
	if r.number <= c.roster.number {
		return false
	}
	c.roster, c.step, c.askFailures, c.needStore, c.noRecord = r, askFirst, 0, false, false
	return true
}

func (c *Claim) handleFailure(m FailMsg) []Cmd {
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

// giveUp refuses, but first asks the second holder whether there is a record if no one has said so yet.
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
	case m.Outcome == StoreTaken:
		return c.finish(RepeatCmd{Record: m.Record})
	case m.Outcome == StoreMade && c.withinTimeout(m.Now):
		return c.allow()
	}
	return c.refuse(RefuseCmd{Reason: Unreachable, NotRun: c.noRecord, RetryAfter: refusedRetryDelay})
}

// refuse gives back what may have been granted, and has the roster confirmed before it says that no copy was sent.
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

// finish gives back whatever may have been granted before it tells the outcome.
func (c *Claim) finish(last Cmd) []Cmd {
	c.step = ended
	if len(c.asked) == 0 {
		return []Cmd{last}
	}
	return []Cmd{ReleaseCmd{Holders: c.asked, Store: c.mayBeStored}, last}
}
