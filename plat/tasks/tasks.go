package tasks

import "context"

// State is the state of a task in the platform's list.
type State string

const (
	// Running means that the task runs, throttled or not.
	Running State = "running"
	// Done means that the task ended successfully.
	Done State = "done"
	// Failed means that the task ended with an error.
	Failed State = "failed"
	// TooBig means that the task needed more memory than it had been given.
	TooBig State = "tooBig"
	// Stopped means that the task was stopped or checkpointed, or ended because its lease or its VM did.
	Stopped State = "stopped"
)

// Ended reports whether the task has ended.
func (s State) Ended() bool { return s != Running }

// Task is an item of the platform's list of tasks. The used cores and memory lag behind the actual use.
type Task struct {
	ID           string  `json:"id"`
	VM           string  `json:"vm"`
	State        State   `json:"state"`
	Throttled    bool    `json:"throttled"`
	UsedCores    float64 `json:"usedCores"`
	UsedMemoryMB float64 `json:"usedMemoryMB"`
}

// RunRequest asks for a task to be run on a VM. The task continues from the newest checkpoint of its job, if there is one.
type RunRequest struct {
	ID           string  `json:"id"`
	Job          string  `json:"job"`
	VM           string  `json:"vm"`
	Lease        int64   `json:"lease"`
	Cores        float64 `json:"cores"`
	MemoryMB     float64 `json:"memoryMB"`
	Accelerators int     `json:"accelerators"`
	RunOnce      bool    `json:"runOnce"`
}

// Platform is the set of the platform's calls about tasks. Each call may be repeated after ErrUnknown.
type Platform interface {
	// List returns the tasks whose ids begin with prefix, including ended ones for as long as the platform remembers them.
	List(ctx context.Context, prefix string) ([]Task, error)
	// Run starts the task. An id starts at most once, never after it has been stopped, and never with an expired lease.
	Run(ctx context.Context, r RunRequest) error
	// Stop ends the task and returns how it ended. An id that has not started yet never starts afterwards.
	Stop(ctx context.Context, id string) (State, error)
	// Checkpoint saves the task and stops it.
	Checkpoint(ctx context.Context, id string) error
	// Throttle slows the task down so that it uses almost no processor time if on is set, and ends that otherwise.
	Throttle(ctx context.Context, id string, on bool) error
}
