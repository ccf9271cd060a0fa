package sched

import "time"

// ID names one request at this entry.
type ID uint64

// Class orders requests; a lower value goes first.
type Class uint8

const (
	// Urgent requests go first.
	Urgent Class = iota
	// Normal requests go after urgent ones.
	Normal
	// Background requests go last, but before their deadline.
	Background
)

// Result is what became of one send.
type Result uint8

const (
	// Answered means that the whole answer came.
	Answered Result = iota
	// NotRun means that the target refused the request and certainly did not run it.
	NotRun
	// Failed means that the target answered with its own failure; the request ran.
	Failed
	// Unknown means that the answer was lost; the request may have run.
	Unknown
	// Withdrawn means that the runner itself ended the request before any byte of it left, so that its slot is free and nothing follows.
	Withdrawn
)

// Msg is anything that changes a Scheduler.
type Msg interface{ isMsg() }

// ArriveMsg says that a checked and approved request has come in.
type ArriveMsg struct {
	Now        time.Time
	ID         ID
	Team       string
	Class      Class
	Deadline   time.Time
	Idempotent bool
}

// DoneMsg says that a send has ended; Leaving says that the target announced that it is leaving.
//
// After Answered the request is over without a command: the runner gives the answer, unless an EndCmd came before.
// After any other result the request waits for its next SendCmd or its EndCmd, which may come in a later Update.
type DoneMsg struct {
	Now     time.Time
	ID      ID
	Target  string
	Result  Result
	Leaving bool
}

// CancelMsg says that the caller has gone before the request was sent, or after.
type CancelMsg struct {
	Now time.Time
	ID  ID
}

// TickMsg lets time pass; it comes at least every 10 ms while anything is queued.
type TickMsg struct{ Now time.Time }

// TargetsMsg replaces the list of targets that may get new work.
type TargetsMsg struct {
	Now     time.Time
	Targets []Target
}

// SharesMsg replaces this entry's share of the slots of each target, and its borrowed slots.
type SharesMsg struct {
	Now    time.Time
	Shares map[string]int
}

// QuotasMsg replaces the rates, in requests a second, that teams may use at this entry.
type QuotasMsg struct {
	Now   time.Time
	Rates map[string]float64
}

// PolicyMsg replaces what the service's profile says: the retries as a share of first sends, and the time within which urgent
// requests are to be sent.
type PolicyMsg struct {
	Now         time.Time
	RetryShare  float64
	UrgentStart time.Duration
}

// Target is one target as the scheduler knows it.
type Target struct {
	name  string
	rack  string
	slots int
}

// NewTarget returns a target with the number of slots that this entry may use at once.
func NewTarget(name, rack string, slots int) Target {
	return Target{name: name, rack: rack, slots: slots}
}

// Name returns the target's VM.
func (t Target) Name() string { return t.name }

// Rack returns the target's failure domain.
func (t Target) Rack() string { return t.rack }

// Slots returns the number of requests that this entry may have at the target at once.
func (t Target) Slots() int { return t.slots }

func (ArriveMsg) isMsg()  {}
func (DoneMsg) isMsg()    {}
func (CancelMsg) isMsg()  {}
func (TickMsg) isMsg()    {}
func (TargetsMsg) isMsg() {}
func (SharesMsg) isMsg()  {}
func (QuotasMsg) isMsg()  {}
func (PolicyMsg) isMsg()  {}

// Reason tells why a request ended without an answer of a target.
type Reason string

const (
	// ReasonDeadline means that the request could not be answered by its deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonOverload means that the queue was too long for the deadline.
	ReasonOverload Reason = "overload"
	// ReasonQuota means that the team is over its quota and nothing is to be lent.
	ReasonQuota Reason = "quota"
	// ReasonNoTarget means that no target may get new work.
	ReasonNoTarget Reason = "noTarget"
	// ReasonRetries means that the retry budget is spent.
	ReasonRetries Reason = "retryBudget"
	// ReasonUnknown means that the request was sent and its outcome is not known.
	ReasonUnknown Reason = "unknown"
	// ReasonCancelled means that the caller went away.
	ReasonCancelled Reason = "cancelled"
	// ReasonFailed means that the target answered with its own failure, which is the caller's answer if the runner still holds it.
	ReasonFailed Reason = "failed"
)

// Cmd is something that the runner does for the Scheduler.
type Cmd interface{ isCmd() }

// SendCmd asks to send the request to the target, for the given time of trying.
type SendCmd struct {
	ID      ID
	Target  string
	Attempt int
}

// EndCmd asks to give the caller its final answer at once; NotRun is true only if the request was certainly not run.
type EndCmd struct {
	ID         ID
	Reason     Reason
	NotRun     bool
	RetryAfter time.Duration
}

func (SendCmd) isCmd() {}
func (EndCmd) isCmd()  {}
