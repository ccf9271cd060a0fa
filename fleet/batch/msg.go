package batch

// Msg is a message to the model. Times are milliseconds of the process's steady clock unless noted.
type Msg interface{ msg() }

// ServicesMsg replaces the configured services.
type ServicesMsg struct{ Services []Service }

// Service is the configuration of one pool of workers.
type Service struct {
	Name    string
	Guards  bool // its workers refuse tasks that do not fit.
	Standby bool // its machines are off and cost nothing.
}

// WorkersMsg reports changes to the list of workers: entries that are new or changed, and the IDs of those removed. If
// All is set, every worker that is not in Set is gone.
type WorkersMsg struct {
	All  bool
	Set  []WorkerEntry
	Gone []string
}

// WorkerEntry is a worker's entry in the list, as the worker wrote it.
type WorkerEntry struct {
	ID, Service, Addr, Zone string
	Draining                bool
	DrainLeftMs             int64
	Room                    Size
	Labels                  []string
	ClockMs                 int64 // the worker's clock when it wrote the entry.
	Born                    int64 // Unix time in ms at which the worker started; 0 if unknown.
}

// LoadedMsg carries the records of a former owner. It comes once; submissions and cancels wait for it.
type LoadedMsg struct {
	Jobs    []StoredJob
	Runs    []StoredRun
	Waves   []StoredWave
	BlindMs int64 // how long a former owner's commands may still be carried out at unreachable workers.

	Orders      StoredOrders // the last that were stored.
	LateStarts  StoredLateStarts
	FormerFence int64 // fence of the former term; 0 if it is not known.
	Rev         int64 // revision of this owner's last write; 0 if it has made none.
}

// BlindMsg shortens the time in which a former owner's commands may still be carried out.
type BlindMsg struct{ ForMs int64 }

// SubmitMsg submits a job. AgeMs is the time since its caller first sent it, as far as known. Attempt identifies the caller's request, of
// which several copies may arrive; it may be empty.
type SubmitMsg struct {
	Ref     uint64
	Job     Job
	AgeMs   int64
	Attempt string
}

// CancelMsg cancels a job.
type CancelMsg struct {
	Ref uint64
	ID  string
}

// PolledMsg is the answer to a [PollCmd]. The worker read its clock between Sent and the arrival of the message.
type PolledMsg struct {
	Worker   string
	Sent     int64
	Result   Result
	Born     int64
	ClockMs  int64
	Running  []ActiveRun
	Ended    []EndedRun
	ListFull bool // the worker lists more ended runs than the answer holds.

	AckWithheld bool // the worker was not told which ended runs it may forget, because it may have restarted.

	Fence int64 // of the command; 0 stands for the worker's present one.
}

// ActiveRun is a run that is in progress at a worker.
type ActiveRun struct {
	Task       TaskName
	Run        int
	Checkpoint string
	Percent    int
	Gauge      int64 // tail latency in ms for a lasting task, CPU use in thousandths of a core for any other.
}

// EndedRun is a run that has ended at a worker.
type EndedRun struct {
	Number     int64
	Task       TaskName
	Run        int
	Reason     EndReason
	Checkpoint string
}

// EndReason is the way in which a run ended.
type EndReason string

// The ways in which a run ends.
const (
	EndDone           EndReason = "done"
	EndFailed         EndReason = "failed"
	EndStopped        EndReason = "stopped"
	EndLapsed         EndReason = "lapsed"
	EndGangBroken     EndReason = "broken" // another task of its gang ended.
	EndGangIncomplete EndReason = "alone"  // the rest of its gang did not start.
)

// Result is the result of a command to a worker.
type Result int

// The results of a command to a worker.
const (
	OK          Result = iota
	NoAnswer           // it may have been carried out, or may still be.
	NotSent            // the worker was not reached.
	Unhealthy          // the worker did nothing because it is unhealthy or overloaded.
	WrongWorker        // another worker answered at the address.
	Fenced             // the worker has seen a newer owner.
	StaleRun           // the worker had a run of the task with a higher number.
	Expired            // the command arrived after its expiry time.
	NoRoom             // the task does not fit.
	NoTicket           // the ticket is missing or has expired.
	Rejected           // the worker cannot parse the command.
)

// StartedMsg is the answer to a StartCmd.
type StartedMsg struct {
	Worker  string
	Task    TaskName
	Run     int
	Result  Result
	ClockMs int64
	Sent    int64
	Fence   int64 // of the command; 0 stands for the worker's present one.
}

// StoppedMsg is the answer to a StopCmd.
type StoppedMsg struct {
	Worker  string
	Task    TaskName
	Run     int
	Result  Result
	ClockMs int64
	Sent    int64
	Fence   int64 // of the command; 0 stands for the worker's present one.
}

// CommittedMsg is the answer to a CommitCmd.
type CommittedMsg struct {
	ID      uint64
	Outcome Outcome
	Rev     int64
	Current []Row // after a conflict, the current rows of the guarded keys.
	Busy    bool  // the store has answered that it does not take the write now.
	Detail  string
}

// Outcome is the outcome of a write.
type Outcome int

// The outcomes of a write.
const (
	Written Outcome = iota
	Conflict
	Unwritten     // certainly not applied.
	Unknown       // it may be applied already, or later, or never.
	WriteRejected // certainly not applied, and it would be rejected again.
)

// PacedMsg is the answer to a PaceCmd.
type PacedMsg struct {
	Worker  string
	Task    TaskName
	Run     int
	Percent int
	Result  Result
}

// ClaimLostMsg says that this owner has lost the claim.
type ClaimLostMsg struct{ Reason string }

// WallClockMsg sets the time of day.
type WallClockMsg struct{ UnixMs int64 }

// ClaimMsg says whether this owner certainly holds its claim, and until when it certainly was the only owner.
type ClaimMsg struct {
	Fresh     bool
	RenewedAt int64 // when the last successful renewal was sent.
}

func (ServicesMsg) msg()  {}
func (WorkersMsg) msg()   {}
func (LoadedMsg) msg()    {}
func (BlindMsg) msg()     {}
func (SubmitMsg) msg()    {}
func (CancelMsg) msg()    {}
func (PolledMsg) msg()    {}
func (StartedMsg) msg()   {}
func (StoppedMsg) msg()   {}
func (CommittedMsg) msg() {}
func (ClaimMsg) msg()     {}
func (WallClockMsg) msg() {}
func (PacedMsg) msg()     {}
func (ClaimLostMsg) msg() {}

// Cmd is a command that the model wants carried out.
type Cmd interface{ cmd() }

// PollCmd polls a worker: it extends the worker's lease and asks for its running and ended runs. The worker may delay
// its answer by up to WaitMs until a run ends.
type PollCmd struct {
	Worker, Addr string
	UntilMs      int64 // new end of the lease on the worker's clock; 0 leaves the lease unchanged.
	ForgetUpTo   int64 // the worker may forget ended runs up to this number.
	Born         int64 // start of the lifetime whose ended runs ForgetUpTo counts, Unix ms.
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
	Checkpoint   string
	Ticket       string
	Born         int64 // start of the only lifetime that may get the start, Unix ms; 0 if any may.
}

// StopCmd stops a run.
type StopCmd struct {
	Worker, Addr string
	Task         TaskName
	Run          int
	Fence        int64
}

// PaceCmd limits a run to a percentage of its full speed.
type PaceCmd struct {
	Worker, Addr string
	Task         TaskName
	Run          int
	Percent      int
	Fence        int64
}

// CommitCmd writes rows to the store in one transaction, on condition that the owner still holds its claim.
type CommitCmd struct {
	ID   uint64
	Rows []Row
}

// Row is one key of the store.
type Row struct {
	Key     string
	Value   []byte
	Rev     int64 // 0 if the key does not exist.
	Guarded bool  // the transaction fails unless the key is at Rev.
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
	Accepted      Verdict = iota
	Refused               // not accepted, and this attempt will never make the job run.
	Malformed             // a field has a value that is not allowed.
	UnknownJob            // no such job.
	MaybeAccepted         // the job may have been accepted.
)

// DeposedCmd says that another owner holds the claim. The model must not be used any more.
type DeposedCmd struct{ Reason string }

// LogCmd logs a decision.
type LogCmd struct {
	Event  string
	Error  bool // something that an operator has to look at.
	Job    string
	Fields []any // alternating names and values
}

func (PollCmd) cmd()    {}
func (StartCmd) cmd()   {}
func (StopCmd) cmd()    {}
func (PaceCmd) cmd()    {}
func (CommitCmd) cmd()  {}
func (ReplyCmd) cmd()   {}
func (DeposedCmd) cmd() {}
func (LogCmd) cmd()     {}
