package batch

// Msg is a message to the model; times are milliseconds of the process's steady clock.
type Msg interface{ msg() }

// ServicesMsg replaces the services of the configuration.
type ServicesMsg struct{ Services []Service }

// Service is a pool of workers.
type Service struct {
	Name    string
	Guards  bool // its workers refuse what does not fit.
	Standby bool // its machines are off and cost nothing.
}

// WorkersMsg tells entries of the list of workers that are new, changed or gone; All means that those not named are gone.
type WorkersMsg struct {
	All  bool
	Set  []Entry
	Gone []string
}

// Entry is what a worker says of itself in the list.
type Entry struct {
	ID, Service, Addr, Zone string
	Draining                bool
	DrainLeftMs             int64
	Room                    Size
	Labels                  []string
	ClockMs                 int64 // the worker's clock when it wrote.
	Born                    int64 // Unix milliseconds of its start; 0 when it does not say.
}

// LoadedMsg brings the records of a former owner; it comes once, before any other job.
type LoadedMsg struct {
	Jobs    []StoredJob
	Runs    []StoredRun
	Waves   []StoredWave
	BlindMs int64 // how long orders of a former owner may still be carried out at workers that are out of reach.
}

// BlindMsg shortens the time for which a former owner's orders may still be carried out.
type BlindMsg struct{ ForMs int64 }

// SubmitMsg asks for a job; AgeMs is the time since its caller first sent it, as far as known.
type SubmitMsg struct {
	Ref   uint64
	Job   Job
	AgeMs int64
}

// CancelMsg asks to cancel a job.
type CancelMsg struct {
	Ref uint64
	ID  string
}

// ForgetMsg says that nobody waits for the answer to Ref any more.
type ForgetMsg struct{ Ref uint64 }

// HeldMsg is the answer to a HoldCmd; Sent and the time of the message bound the worker's clock.
type HeldMsg struct {
	Worker   string
	Sent     int64
	Result   Result
	Born     int64
	ClockMs  int64
	Running  []Running
	Ended    []Ended
	ListFull bool // more ends are listed than the answer holds.
}

// Running is a task that runs at a worker.
type Running struct {
	Task    TaskName
	Run     int
	Saved   string
	Percent int
	Gauge   int64 // tail in ms of a lasting task, thousandths of a core in use of any other.
}

// Ended is a run that has ended at a worker.
type Ended struct {
	Number int64
	Task   TaskName
	Run    int
	How    How
	Saved  string
}

// How is how a run ended.
type How string

// The ways in which a run ends.
const (
	Done    How = "done"
	Failed  How = "failed"
	Stopped How = "stopped"
	Lapsed  How = "lapsed"
	Broken  How = "broken" // another task of its gang ended.
	Alone   How = "alone"  // the rest of its gang did not come.
)

// Result is what became of an order to a worker.
type Result int

// The results of an order.
const (
	OK       Result = iota
	NoAnswer        // it may have been carried out, or may be yet.
	NotSent         // the worker was not reached.
	Unwell          // the worker did nothing because it is unhealthy or overloaded.
	Foreign         // another lifetime or another worker answers at the address.
	Fenced          // a newer owner gives orders.
	OldRun          // a higher run of the task was there.
	TooLate         // the order's time has passed.
	NoRoom          // the task does not fit.
	NoTicket        // the ticket is missing or not valid any more.
	Rejected        // the worker cannot read the order.
)

// StartedMsg is the answer to a StartCmd.
type StartedMsg struct {
	Worker  string
	Task    TaskName
	Run     int
	Result  Result
	ClockMs int64
	Sent    int64
}

// StoppedMsg is the answer to a StopCmd.
type StoppedMsg struct {
	Worker  string
	Task    TaskName
	Run     int
	Result  Result
	ClockMs int64
	Sent    int64
}

// CommittedMsg is the answer to a CommitCmd.
type CommittedMsg struct {
	ID      uint64
	Outcome Outcome
	Rev     int64
	Now     []Row // the guarded keys as they are, after a conflict.
}

// Outcome is what became of a write.
type Outcome int

// The outcomes of a write.
const (
	Written Outcome = iota
	Conflict
	Unwritten // certainly not applied.
	Unknown   // applied, or applied later, or never.
)

// PacedMsg is the answer to a PaceCmd.
type PacedMsg struct {
	Worker  string
	Task    TaskName
	Run     int
	Percent int
	Result  Result
}

// LostMsg says that the claim is not this owner's any more.
type LostMsg struct{ Reason string }

// WallMsg tells the time of day.
type WallMsg struct{ UnixMs int64 }

// LeaseMsg tells whether the owner's claim is fresh, and until when it certainly was the only owner.
type LeaseMsg struct {
	Fresh   bool
	Checked int64 // steady time at which the last renewal that succeeded was sent.
}

// TickMsg lets time pass.
type TickMsg struct{}

func (ServicesMsg) msg()  {}
func (WorkersMsg) msg()   {}
func (LoadedMsg) msg()    {}
func (BlindMsg) msg()     {}
func (SubmitMsg) msg()    {}
func (CancelMsg) msg()    {}
func (ForgetMsg) msg()    {}
func (HeldMsg) msg()      {}
func (StartedMsg) msg()   {}
func (StoppedMsg) msg()   {}
func (CommittedMsg) msg() {}
func (LeaseMsg) msg()     {}
func (WallMsg) msg()      {}
func (PacedMsg) msg()     {}
func (LostMsg) msg()      {}
func (TickMsg) msg()      {}

// Cmd is what the model wants done.
type Cmd interface{ cmd() }

// HoldCmd extends a worker's lease and asks for its lists; the answer waits up to WaitMs for an end.
type HoldCmd struct {
	Worker, Addr string
	UntilMs      int64 // on the worker's clock; 0 leaves the lease as it is.
	LastSeen     int64 // ends up to this one may be forgotten.
	WaitMs       int64
	Fence        int64
}

// StartCmd starts a run.
type StartCmd struct {
	Worker, Addr string
	Task         TaskName
	Run          int
	Spec         string
	UntilMs      int64
	Fence        int64
	Saved        string
	Ticket       string
}

// StopCmd stops a run.
type StopCmd struct {
	Worker, Addr string
	Task         TaskName
	Run          int
	Fence        int64
}

// PaceCmd lets a run work at a share of its speed.
type PaceCmd struct {
	Worker, Addr string
	Task         TaskName
	Run          int
	Percent      int
	Fence        int64
}

// CommitCmd writes to the store under the owner's claim.
type CommitCmd struct {
	ID   uint64
	Rows []Row
}

// Row is one key of the store.
type Row struct {
	Key     string
	Value   []byte
	Rev     int64 // 0 when the key does not exist.
	Guarded bool  // the write demands that the key is at Rev.
	Delete  bool
}

// ReplyCmd answers a SubmitMsg or a CancelMsg.
type ReplyCmd struct {
	Ref          uint64
	Verdict      Verdict
	RetryAfterMs int64
	Reason       string
}

// Verdict is the answer to a submission or a cancel.
type Verdict int

// The verdicts.
const (
	Accepted  Verdict = iota
	Refused           // not accepted, and never runs by this attempt.
	Malformed         // a field is not allowed.
	NotKnown          // no such job.
	Unsettled         // it may have been accepted.
)

// DeposedCmd says that another owner holds the claim: this model must not be used any more.
type DeposedCmd struct{ Reason string }

// LogCmd reports a decision.
type LogCmd struct {
	Event  string
	Job    string
	Fields []any // pairs of name and value
}

func (HoldCmd) cmd()    {}
func (StartCmd) cmd()   {}
func (StopCmd) cmd()    {}
func (PaceCmd) cmd()    {}
func (CommitCmd) cmd()  {}
func (ReplyCmd) cmd()   {}
func (DeposedCmd) cmd() {}
func (LogCmd) cmd()     {}
