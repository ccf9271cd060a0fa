package place

// Size is an amount of resources: that of a worker, or the share that a task uses of it.
type Size struct {
	Cores        float64
	MemoryMB     float64
	Accelerators int
}

// Worker describes one worker of the pool.
type Worker struct {
	Name, Rack    string
	Size          Size
	Unschedulable bool // takes no new task.
}

// Job is one piece of work. Jobs of the same Kind have similar sizes and run times.
type Job struct {
	ID, Team, Kind string
	Declared       Size
	RunMillis      int64 // declared run time.
	FinishByMillis int64 // Unix milliseconds.
	Urgent         bool
	RunOnce        bool // must never have two running copies.
}

// Task identifies one attempt at a job. Messages about an earlier attempt are ignored by its number.
type Task struct {
	Job     string
	Attempt int
}

// EndState is how a task ended.
type EndState int

const (
	// Done means that the job has finished.
	Done EndState = iota
	// Failed means that the task ended with an error.
	Failed
	// OutOfMemory means that the task needed more memory than it was given.
	OutOfMemory
	// Stopped means that the task was stopped, by command or with its worker, and runs no more.
	Stopped
)

// Msg is a message to the placer; times are in Unix milliseconds.
type Msg interface{ isMsg() }

// WorkersMsg replaces the list of workers. Tasks on a worker that is no longer listed count as running until a message
// reports their end or an expired lease.
type WorkersMsg struct{ Workers []Worker }

// QuotaMsg replaces the teams' quotas in cores; a team that is not named has no quota.
type QuotaMsg struct{ Cores map[string]float64 }

// SubmitMsg adds jobs; one whose ID is already known is ignored.
type SubmitMsg struct {
	AtMillis int64
	Jobs     []Job
}

// CancelMsg cancels jobs.
type CancelMsg struct{ Jobs []string }

// UsageMsg reports the peak usage of a running task so far; it arrives with a delay.
type UsageMsg struct {
	Task Task
	Used Size
}

// EndedMsg reports how a task ended.
type EndedMsg struct {
	AtMillis int64
	Task     Task
	State    EndState
}

// LeaseExpiredMsg reports that a task's lease has expired; the task may still be running.
type LeaseExpiredMsg struct {
	AtMillis int64
	Task     Task
}

// TickMsg advances the time and places jobs.
type TickMsg struct{ AtMillis int64 }

func (WorkersMsg) isMsg()      {}
func (QuotaMsg) isMsg()        {}
func (SubmitMsg) isMsg()       {}
func (CancelMsg) isMsg()       {}
func (UsageMsg) isMsg()        {}
func (EndedMsg) isMsg()        {}
func (LeaseExpiredMsg) isMsg() {}
func (TickMsg) isMsg()         {}

// Cmd is a command for the caller to carry out.
type Cmd interface{ isCmd() }

// StartCmd starts the task on the worker; Size is reserved for it.
type StartCmd struct {
	Task   Task
	Worker string
	Size   Size
}

// ThrottleCmd throttles the task to a small share of its cores, or ends the throttling if On is false.
type ThrottleCmd struct {
	Task   Task
	Worker string
	On     bool
}

// CheckpointCmd saves a checkpoint of the task and stops it; an EndedMsg must follow.
type CheckpointCmd struct {
	Task   Task
	Worker string
}

// StopCmd stops the task; an EndedMsg must follow.
type StopCmd struct {
	Task   Task
	Worker string
}

// GiveUpCmd ends a job that is not tried again.
type GiveUpCmd struct {
	Job    string
	Reason Reason
}

// Reason is why a job was given up.
type Reason string

const (
	// NoWorker means that no worker of the pool has the accelerators that the job asks for.
	NoWorker Reason = "no worker has what the job asks for"
	// TooLarge means that the job needs more memory than the largest worker has.
	TooLarge Reason = "larger than any worker"
	// RepeatedlyFailed means that the job failed on several healthy workers.
	RepeatedlyFailed Reason = "failed on several good workers"
)

func (StartCmd) isCmd()      {}
func (ThrottleCmd) isCmd()   {}
func (CheckpointCmd) isCmd() {}
func (StopCmd) isCmd()       {}
func (GiveUpCmd) isCmd()     {}
