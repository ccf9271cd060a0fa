package cloud

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"burdockreach.dev/plat/keyval"
	"burdockreach.dev/plat/tasks"
)

// DefaultUsageLag is the default time after its start for which a task reports no usage.
const DefaultUsageLag = time.Second

// throttledSpeed is the speed of a throttled task relative to its full speed.
const throttledSpeed = 0.05

// JobBehavior sets how the jobs whose names begin with Prefix behave, whatever their requests declare.
type JobBehavior struct {
	Prefix   string        `json:"prefix"`
	RunTime  time.Duration `json:"runNanos"`
	Cores    float64       `json:"cores"`
	MemoryMB float64       `json:"memoryMB"`
	Broken   bool          `json:"broken"` // fails on every worker.
}

// Tasks simulates the platform's tasks and implements the calls on them. It is safe for concurrent use.
type Tasks struct {
	store     keyval.Store
	usageLag  time.Duration
	behaviors []JobBehavior
	brokenVMs map[string]bool
	vmAlive   func(vm string) bool

	mu              sync.Mutex
	tasks           map[string]*taskRun
	checkpoints     map[string]time.Duration // work done at a job's newest checkpoint, by job.
	runningCopies   map[string]int           // number of running copies, by job.
	duplicateStarts int
	starts          int
}

// taskRun is one task. A task that was stopped before it was started has no job.
type taskRun struct {
	tasks.RunRequest
	state      tasks.State
	behavior   JobBehavior
	startedAt  time.Time
	advancedAt time.Time
	workDone   time.Duration
	throttled  bool
}

// TaskOption configures Tasks.
type TaskOption func(*Tasks)

// WithJobBehavior sets how jobs behave; the first element whose prefix matches applies. A job without one runs for a second and uses no
// cores and no memory.
func WithJobBehavior(l ...JobBehavior) TaskOption { return func(t *Tasks) { t.behaviors = l } }

// SetBehavior replaces the behavior of jobs that start from now on, and the set of VMs whose tasks all fail.
func (t *Tasks) SetBehavior(behaviors []JobBehavior, broken []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.behaviors = behaviors
	clear(t.brokenVMs)
	for _, v := range broken {
		t.brokenVMs[v] = true
	}
}

// WithBrokenVMs names VMs whose tasks all fail.
func WithBrokenVMs(vms ...string) TaskOption {
	return func(t *Tasks) {
		for _, v := range vms {
			t.brokenVMs[v] = true
		}
	}
}

// WithUsageLag sets the time after its start for which a task reports no usage.
func WithUsageLag(d time.Duration) TaskOption { return func(t *Tasks) { t.usageLag = d } }

// NewTasks returns a platform's tasks, which run under leases of the store s.
func NewTasks(s keyval.Store, opts ...TaskOption) *Tasks {
	t := &Tasks{
		store: s, usageLag: DefaultUsageLag, brokenVMs: map[string]bool{}, vmAlive: func(string) bool { return true },
		tasks: map[string]*taskRun{}, checkpoints: map[string]time.Duration{}, runningCopies: map[string]int{},
	}
	for _, o := range opts {
		o(t)
	}
	return t
}

// DuplicateStarts returns the number of starts of a run-once job while a copy of it was running.
func (t *Tasks) DuplicateStarts() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.duplicateStarts
}

// Starts returns the number of tasks that were started.
func (t *Tasks) Starts() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.starts
}

// Run implements tasks.Platform.
func (t *Tasks) Run(ctx context.Context, r tasks.RunRequest) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(ctx)
	if o, ok := t.tasks[r.ID]; ok {
		if o.Job == "" || o.state == tasks.Stopped {
			return eris.Wrapf(tasks.ErrRefused, "task %s was stopped", r.ID)
		}
		return nil
	}
	if !t.checkLease(ctx, r.Lease) || !t.vmAlive(r.VM) {
		return eris.Wrapf(tasks.ErrRefused, "lease or VM of task %s has ended", r.ID)
	}
	if r.RunOnce && t.runningCopies[r.Job] > 0 {
		t.duplicateStarts++
	}
	now := time.Now()
	t.tasks[r.ID] = &taskRun{RunRequest: r, state: tasks.Running, behavior: t.behaviorFor(r.Job), startedAt: now, advancedAt: now, workDone: t.checkpoints[r.Job]}
	t.runningCopies[r.Job]++
	t.starts++
	return nil
}

func (t *Tasks) behaviorFor(job string) JobBehavior {
	for _, h := range t.behaviors {
		if strings.HasPrefix(job, h.Prefix) {
			return h
		}
	}
	return JobBehavior{RunTime: time.Second}
}

func leaseKey(id int64) string { return fmt.Sprintf("platform/leases/%d", id) }

// checkLease reports whether the lease is still valid. It does so by a key in the store under that lease, which the store deletes
// when the lease ends.
func (t *Tasks) checkLease(ctx context.Context, id int64) bool {
	if i, err := t.store.Get(ctx, leaseKey(id)); err == nil && i.Found() {
		return true
	}
	_, err := t.store.Put(ctx, leaseKey(id), nil, keyval.Any, keyval.LeaseID(id))
	return id != 0 && err == nil
}

// advance updates the work done by the running tasks and ends those that end by now. The caller holds t.mu.
func (t *Tasks) advance(ctx context.Context) {
	now := time.Now()
	leaseValid := map[int64]bool{}
	for _, r := range t.tasks {
		if r.state.Ended() {
			continue
		}
		if _, ok := leaseValid[r.Lease]; !ok {
			leaseValid[r.Lease] = t.checkLease(ctx, r.Lease)
		}
		r.advance(now)
		switch {
		case !leaseValid[r.Lease] || !t.vmAlive(r.VM):
			t.end(r, tasks.Stopped)
		case r.behavior.Broken || t.brokenVMs[r.VM]:
			t.end(r, tasks.Failed)
		case r.behavior.MemoryMB > r.MemoryMB:
			t.end(r, tasks.TooBig)
		case r.workDone >= r.behavior.RunTime:
			t.end(r, tasks.Done)
		}
	}
}

func (r *taskRun) advance(now time.Time) {
	d := now.Sub(r.advancedAt)
	if r.throttled {
		d = time.Duration(float64(d) * throttledSpeed)
	}
	r.advancedAt, r.workDone = now, r.workDone+d
}

func (t *Tasks) end(r *taskRun, s tasks.State) {
	r.state = s
	t.runningCopies[r.Job]--
}

// List implements tasks.Platform.
func (t *Tasks) List(ctx context.Context, prefix string) ([]tasks.Task, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(ctx)
	l := []tasks.Task{}
	for id, r := range t.tasks {
		if !strings.HasPrefix(id, prefix) || r.Job == "" {
			continue
		}
		k := tasks.Task{ID: id, VM: r.VM, State: r.state, Throttled: r.throttled}
		if r.advancedAt.Sub(r.startedAt) >= t.usageLag {
			k.UsedCores, k.UsedMemoryMB = min(r.behavior.Cores, r.Cores), r.behavior.MemoryMB
			if r.throttled {
				k.UsedCores *= throttledSpeed
			}
		}
		l = append(l, k)
	}
	slices.SortFunc(l, func(a, b tasks.Task) int { return strings.Compare(a.ID, b.ID) })
	return l, nil
}

// Stop implements tasks.Platform.
func (t *Tasks) Stop(ctx context.Context, id string) (tasks.State, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(ctx)
	r, ok := t.tasks[id]
	if !ok {
		r = &taskRun{state: tasks.Stopped}
		t.tasks[id] = r
	}
	if !r.state.Ended() {
		t.end(r, tasks.Stopped)
	}
	return r.state, nil
}

// Checkpoint implements tasks.Platform.
func (t *Tasks) Checkpoint(ctx context.Context, id string) error {
	return t.edit(ctx, id, func(r *taskRun) {
		t.checkpoints[r.Job] = r.workDone
		t.end(r, tasks.Stopped)
	})
}

// Throttle implements tasks.Platform.
func (t *Tasks) Throttle(ctx context.Context, id string, on bool) error {
	return t.edit(ctx, id, func(r *taskRun) { r.throttled = on })
}

func (t *Tasks) edit(ctx context.Context, id string, f func(*taskRun)) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(ctx)
	r, ok := t.tasks[id]
	if !ok || r.state.Ended() {
		return eris.Wrapf(tasks.ErrRefused, "task %s does not run", id)
	}
	f(r)
	return nil
}
