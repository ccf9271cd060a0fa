package cloud

import (
	"context"
	"errors"
	"slices"

	"burdockreach.dev/plat/hosts"
	"burdockreach.dev/plat/tasks"
)

// WithTasks sets the options of the platform's tasks.
func WithTasks(opts ...TaskOption) Option { return func(s *Server) { s.taskOpts = opts } }

// Tasks gives direct access to the platform's tasks, which faults do not affect.
func (s *Server) Tasks() *Tasks { return s.tasks }

// canRunTasks reports whether the VM exists and is not gone.
func (f *fleet) canRunTasks(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.currentVMs(), func(w hosts.VMWire) bool { return w.ID == id && w.State != hosts.Gone })
}

func taskList(ctx context.Context, s *Server, b []byte) (any, error) {
	q, err := parse[tasks.ListRequest](b)
	if err != nil {
		return nil, err
	}
	l, err := s.tasks.List(context.WithoutCancel(ctx), q.Prefix)
	return tasks.ListResponse{Tasks: l}, err
}

func taskStart(ctx context.Context, s *Server, b []byte) (any, error) {
	q, err := parse[tasks.RunRequest](b)
	if err != nil {
		return nil, err
	}
	return taskAnswer("", s.tasks.Run(context.WithoutCancel(ctx), q))
}

func taskStop(ctx context.Context, s *Server, b []byte) (any, error) {
	q, err := parse[tasks.Request](b)
	if err != nil {
		return nil, err
	}
	return taskAnswer(s.tasks.Stop(context.WithoutCancel(ctx), q.ID))
}

func taskCheckpoint(ctx context.Context, s *Server, b []byte) (any, error) {
	q, err := parse[tasks.Request](b)
	if err != nil {
		return nil, err
	}
	return taskAnswer("", s.tasks.Checkpoint(context.WithoutCancel(ctx), q.ID))
}

func taskThrottle(ctx context.Context, s *Server, b []byte) (any, error) {
	q, err := parse[tasks.Request](b)
	if err != nil {
		return nil, err
	}
	return taskAnswer("", s.tasks.Throttle(context.WithoutCancel(ctx), q.ID, q.On))
}

// taskAnswer turns ErrRefused into an answer with the reason, and passes other errors on.
func taskAnswer(t tasks.State, err error) (any, error) {
	if errors.Is(err, tasks.ErrRefused) {
		return tasks.Response{Reason: err.Error()}, nil
	}
	return tasks.Response{OK: err == nil, State: t}, err
}

// BehaviorRequest is the body of the control call /task/behave, which sets how tasks behave.
type BehaviorRequest struct {
	Jobs      []JobBehavior `json:"truths"`
	BrokenVMs []string      `json:"broken"` // VMs whose tasks all fail.
}

func taskBehave(_ context.Context, s *Server, b []byte) (any, error) {
	q, err := parse[BehaviorRequest](b)
	if err != nil {
		return nil, err
	}
	s.tasks.SetBehavior(q.Jobs, q.BrokenVMs)
	return tasks.Response{OK: true}, nil
}
