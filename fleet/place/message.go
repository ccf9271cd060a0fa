package place

// Size is what a task takes of a worker.
type Size struct {
	Cores        float64
	MemoryMB     float64
	Accelerators int
}

// Worker is one worker of the pool.
type Worker struct {
	Name, Rack string
	Size       Size
	Out        bool // takes no new task.
}

// Job is one piece of work; a Kind has jobs of like size and run time.
type Job struct {
	ID, Team, Kind string
	Declared       Size
	RunMillis      int64 // declared run time.
	FinishBy       int64 // Unix milliseconds.
	Urgent         bool
	RunOnce        bool // never has two running copies.
}

// Task is one attempt at a job; the attempt's number fences earlier ones off.
type Task struct {
	Job     string
	Attempt int
}

// End is how a task ended.
type End int

const (
	// Done means that the job has finished.
	Done End = iota
	// Failed means that the task ended with an error.
	Failed
	// TooBig means that the task needed more memory than it was given.
	TooBig
	// Stopped means that the task was stopped, by command or with its worker, and runs no more.
	Stopped
)

// Msg is a message to the placer; times are in Unix milliseconds.
type Msg interface{ isMsg() }

// WorkersMsg replaces the list of workers; tasks on a worker that is not listed go on until their end or lapse is told.
type WorkersMsg struct{ Workers []Worker }

// QuotaMsg replaces the teams' quotas in cores; a team that is not named has no bound.
type QuotaMsg struct{ Cores map[string]float64 }

// SubmitMsg adds jobs; one whose id is known is passed over.
type SubmitMsg struct {
	At   int64
	Jobs []Job
}

// CancelMsg takes jobs back.
type CancelMsg struct{ Jobs []string }

// UsageMsg is the most that a running task has used so far; it lags behind.
type UsageMsg struct {
	Task Task
	Used Size
}

// EndedMsg says how a task ended.
type EndedMsg struct {
	At   int64
	Task Task
	How  End
}

// LapsedMsg says that a task's lease has lapsed; it may still be running.
type LapsedMsg struct {
	At   int64
	Task Task
}

// TickMsg lets time pass and places jobs.
type TickMsg struct{ At int64 }

func (WorkersMsg) isMsg() {}
func (QuotaMsg) isMsg()   {}
func (SubmitMsg) isMsg()  {}
func (CancelMsg) isMsg()  {}
func (UsageMsg) isMsg()   {}
func (EndedMsg) isMsg()   {}
func (LapsedMsg) isMsg()  {}
func (TickMsg) isMsg()    {}

// Cmd is what the placer wants done.
type Cmd interface{ isCmd() }

// StartCmd starts the task on the worker with the size reserved for it.
type StartCmd struct {
	Task   Task
	Worker string
	Size   Size
}

// ThrottleCmd slows the task down so that it takes next to no cores; On false lifts it.
type ThrottleCmd struct {
	Task   Task
	Worker string
	On     bool
}

// CheckpointCmd has the task saved and stopped; an EndedMsg must follow.
type CheckpointCmd struct {
	Task   Task
	Worker string
}

// StopCmd stops the task; an EndedMsg must follow.
type StopCmd struct {
	Task   Task
	Worker string
}

// GiveUpCmd ends a job that will not run.
type GiveUpCmd struct {
	Job    string
	Reason Reason
}

// Reason is why a job was given up.
type Reason string

const (
	// NoWorker means that no worker of the pool has the accelerators that the job asks for.
	NoWorker Reason = "no worker has what the job asks for"
	// Larger means that the job needs more memory than the largest worker has.
	Larger Reason = "larger than any worker"
	// Broken means that the job failed on several good workers.
	Broken Reason = "failed on several good workers"
)

func (StartCmd) isCmd()      {}
func (ThrottleCmd) isCmd()   {}
func (CheckpointCmd) isCmd() {}
func (StopCmd) isCmd()       {}
func (GiveUpCmd) isCmd()     {}
