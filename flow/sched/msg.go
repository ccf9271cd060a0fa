package sched

import "time"

// ID identifies a request at this entry.
type ID uint64

// Class is the urgency of a request. Requests with a lower value are sent first.
type Class uint8

const (
	// Urgent requests are sent before all others.
	Urgent Class = iota
	// Normal requests are sent after urgent ones.
	Normal
	// Background requests are sent last, except when their deadlines require a slot earlier.
	Background
)

// Result is the outcome of one send.
type Result uint8

const (
	// Answered means that the complete answer of the target was received.
	Answered Result = iota
	// NotRun means that the target refused the request and certainly did not run it.
	NotRun
	// Failed means that the target ran the request and answered with an error.
	Failed
	// Unknown means that the answer was lost. The request may have run.
	Unknown
	// NotSent means that the runner ended the request before it sent any byte. The slot is free and nothing follows.
	NotSent
)

// Msg is an input to a Scheduler.
type Msg interface{ isMsg() }

// ArriveMsg reports a new request that was checked and approved.
type ArriveMsg struct {
	Now        time.Time
	ID         ID
	Team       string
	Class      Class
	Deadline   time.Time
	Idempotent bool
}

// DoneMsg reports the end of a send. Leaving means that the target announced that it is leaving.
//
// After Answered or NotSent the request is complete and no command follows. After Answered, the runner passes the answer to
// the caller, unless an EndCmd came before. After any other result, a request that has not had its EndCmd waits for it or for
// its next SendCmd, which a later Update may return.
type DoneMsg struct {
	Now     time.Time
	ID      ID
	Target  string
	Result  Result
	Leaving bool
}

// CancelMsg reports that the caller has gone, before or after the request was sent.
type CancelMsg struct {
	Now time.Time
	ID  ID
}

// TickMsg advances the time. It must come at least every 10 ms while requests are queued.
type TickMsg struct{ Now time.Time }

// TargetsMsg replaces the list of targets that may get new requests.
type TargetsMsg struct {
	Now     time.Time
	Targets []Target
}

// SharesMsg replaces the number of slots that this entry may use at each target: its own share plus the borrowed slots.
type SharesMsg struct {
	Now    time.Time
	Shares map[string]int
}

// QuotasMsg replaces the teams' quotas at this entry, in requests per second.
type QuotasMsg struct {
	Now   time.Time
	Rates map[string]float64
}

// ProfileMsg replaces the settings from the service's profile. RetryShare is the number of retries that each first
// send allows, and UrgentStart the time within which urgent requests should be sent.
type ProfileMsg struct {
	Now         time.Time
	RetryShare  float64
	UrgentStart time.Duration
}

// Target is a target that requests can be sent to.
type Target struct {
	name  string
	rack  string
	slots int
}

// NewTarget returns a target at which this entry may use the given number of slots.
func NewTarget(name, rack string, slots int) Target {
	return Target{name: name, rack: rack, slots: slots}
}

// Name returns the name of the target's VM.
func (t Target) Name() string { return t.name }

// Rack returns the target's rack, which is its failure domain.
func (t Target) Rack() string { return t.rack }

// Slots returns the number of requests that this entry may have in flight at the target.
func (t Target) Slots() int { return t.slots }

func (ArriveMsg) isMsg()  {}
func (DoneMsg) isMsg()    {}
func (CancelMsg) isMsg()  {}
func (TickMsg) isMsg()    {}
func (TargetsMsg) isMsg() {}
func (SharesMsg) isMsg()  {}
func (QuotasMsg) isMsg()  {}
func (ProfileMsg) isMsg() {}

// Reason is the reason why a request ended without an answer from a target.
type Reason string

const (
	// ReasonDeadline means that the request could not be answered by its deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonOverload means that the service is overloaded: the queue is full or too long for the deadline, or the team is over its
	// part of the capacity.
	ReasonOverload Reason = "overload"
	// ReasonQuota means that the team is over its quota and there is no unused capacity to lend it.
	ReasonQuota Reason = "quota"
	// ReasonNoTarget means that there is no target that may get new requests.
	ReasonNoTarget Reason = "noTarget"
	// ReasonRetryBudget means that the request's attempts or the retry budget are spent.
	ReasonRetryBudget Reason = "retryBudget"
	// ReasonUnknown means that the request was sent and its outcome is not known.
	ReasonUnknown Reason = "unknown"
	// ReasonCancelled means that the caller went away.
	ReasonCancelled Reason = "cancelled"
	// ReasonFailed means that the target answered with an error. If the runner still holds that answer, it passes it to the caller.
	ReasonFailed Reason = "failed"
)

// Cmd is an action that the runner carries out for the Scheduler.
type Cmd interface{ isCmd() }

// SendCmd sends the request to the target. Attempt counts the sends of the request, from 1.
type SendCmd struct {
	ID      ID
	Target  string
	Attempt int
}

// EndCmd gives the caller its final answer at once. NotRun is true only if the request certainly did not run. RetryAfter tells
// the caller how long to wait before a retry.
type EndCmd struct {
	ID         ID
	Reason     Reason
	NotRun     bool
	RetryAfter time.Duration
}

func (SendCmd) isCmd() {}
func (EndCmd) isCmd()  {}
