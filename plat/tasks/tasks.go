package tasks

import "context"

// State is what the platform says of a task.
type State string

const (
	// Running means that the task runs, throttled or not.
	Running State = "running"
	// Done means that the task has ended well.
	Done State = "done"
	// Failed means that the task ended with an error.
	Failed State = "failed"
	// TooBig means that the task needed more memory than it was given.
	TooBig State = "tooBig"
	// Stopped means that the task was stopped, checkpointed, or ended with its lease or its VM.
	Stopped State = "stopped"
)

// Ended reports whether the task runs no more.
func (s State) Ended() bool { return s != Running }

// Task is one line of the platform's list; the used cores and memory lag behind.
type Task struct {
	ID           string  `json:"id"`
	VM           string  `json:"vm"`
	State        State   `json:"state"`
	Throttled    bool    `json:"throttled"`
	UsedCores    float64 `json:"usedCores"`
	UsedMemoryMB float64 `json:"usedMemoryMB"`
}

// RunRequest asks for a task on a VM; a later task of the same job goes on from the newest checkpoint of the job.
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

// Platform is what the platform does with tasks; each call may be repeated after ErrUnknown.
type Platform interface {
	// List returns the tasks whose ids begin with prefix, ended ones included while the platform remembers them.
	List(ctx context.Context, prefix string) ([]Task, error)
	// Run starts the task; an id starts once, never after its stop, and never under a lease that has lapsed.
	Run(ctx context.Context, r RunRequest) error
	// Stop ends the task and returns how it ended; an id that did not start yet never starts after it.
	Stop(ctx context.Context, id string) (State, error)
	// Checkpoint saves the task and stops it.
	Checkpoint(ctx context.Context, id string) error
	// Throttle slows the task down so that it takes next to no cores; on false lifts it.
	Throttle(ctx context.Context, id string, on bool) error
}
