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

// DefaultUsageLag is the age of the tasks' reported usage.
const DefaultUsageLag = time.Second

// throttledPart is the part of its speed that a throttled task keeps.
const throttledPart = 0.05

// Truth is how the jobs whose names begin with Prefix behave, whatever was declared of them.
type Truth struct {
	Prefix   string        `json:"prefix"`
	Run      time.Duration `json:"runNanos"`
	Cores    float64       `json:"cores"`
	MemoryMB float64       `json:"memoryMB"`
	Broken   bool          `json:"broken"` // fails on every worker.
}

// Tasks is the stand-in of the platform's calls on tasks; it is safe for concurrent use.
type Tasks struct {
	store  keyval.Store
	lag    time.Duration
	truths []Truth
	broken map[string]bool
	alive  func(vm string) bool

	mu      sync.Mutex
	tasks   map[string]*taskRun
	saved   map[string]time.Duration // work done by job, at its newest checkpoint.
	running map[string]int           // copies by job.
	doubled int
	starts  int
}

// taskRun is one task; one that was stopped before it started has no job.
type taskRun struct {
	tasks.RunRequest
	state     tasks.State
	truth     Truth
	began     time.Time
	seen      time.Time
	worked    time.Duration
	throttled bool
}

// TaskOption adjusts the tasks.
type TaskOption func(*Tasks)

// WithTruth sets how jobs behave; the first whose prefix fits counts, and without one a job runs a second and takes nothing.
func WithTruth(l ...Truth) TaskOption { return func(t *Tasks) { t.truths = l } }

// Behave replaces how jobs started from now on behave, and which workers fail everything.
func (t *Tasks) Behave(truths []Truth, broken []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.truths = truths
	clear(t.broken)
	for _, v := range broken {
		t.broken[v] = true
	}
}

// WithBroken names workers that fail everything they start.
func WithBroken(vms ...string) TaskOption {
	return func(t *Tasks) {
		for _, v := range vms {
			t.broken[v] = true
		}
	}
}

// WithUsageLag sets the age of the reported usage.
func WithUsageLag(d time.Duration) TaskOption { return func(t *Tasks) { t.lag = d } }

// NewTasks returns the tasks of a platform whose leases are those of the store.
func NewTasks(s keyval.Store, opts ...TaskOption) *Tasks {
	t := &Tasks{
		store: s, lag: DefaultUsageLag, broken: map[string]bool{}, alive: func(string) bool { return true },
		tasks: map[string]*taskRun{}, saved: map[string]time.Duration{}, running: map[string]int{},
	}
	for _, o := range opts {
		o(t)
	}
	return t
}

// Doubled returns the number of starts of a run-once job beside a running copy of it.
func (t *Tasks) Doubled() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.doubled
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
	if !t.hold(ctx, r.Lease) || !t.alive(r.VM) {
		return eris.Wrapf(tasks.ErrRefused, "lease or VM of task %s has ended", r.ID)
	}
	if r.RunOnce && t.running[r.Job] > 0 {
		t.doubled++
	}
	now := time.Now()
	t.tasks[r.ID] = &taskRun{RunRequest: r, state: tasks.Running, truth: t.truth(r.Job), began: now, seen: now, worked: t.saved[r.Job]}
	t.running[r.Job]++
	t.starts++
	return nil
}

func (t *Tasks) truth(job string) Truth {
	for _, h := range t.truths {
		if strings.HasPrefix(job, h.Prefix) {
			return h
		}
	}
	return Truth{Run: time.Second}
}

func leaseKey(id int64) string { return fmt.Sprintf("platform/leases/%d", id) }

// hold reports whether the lease has not lapsed, and marks it in the store by a key that goes with it.
func (t *Tasks) hold(ctx context.Context, id int64) bool {
	if i, err := t.store.Get(ctx, leaseKey(id)); err == nil && i.Found() {
		return true
	}
	_, err := t.store.Put(ctx, leaseKey(id), nil, keyval.Any, keyval.LeaseID(id))
	return id != 0 && err == nil
}

// advance ends what has ended by now; t.mu is held.
func (t *Tasks) advance(ctx context.Context) {
	now := time.Now()
	held := map[int64]bool{}
	for _, r := range t.tasks {
		if r.state.Ended() {
			continue
		}
		if _, ok := held[r.Lease]; !ok {
			held[r.Lease] = t.hold(ctx, r.Lease)
		}
		r.work(now)
		switch {
		case !held[r.Lease] || !t.alive(r.VM):
			t.end(r, tasks.Stopped)
		case r.truth.Broken || t.broken[r.VM]:
			t.end(r, tasks.Failed)
		case r.truth.MemoryMB > r.MemoryMB:
			t.end(r, tasks.TooBig)
		case r.worked >= r.truth.Run:
			t.end(r, tasks.Done)
		}
	}
}

func (r *taskRun) work(now time.Time) {
	d := now.Sub(r.seen)
	if r.throttled {
		d = time.Duration(float64(d) * throttledPart)
	}
	r.seen, r.worked = now, r.worked+d
}

func (t *Tasks) end(r *taskRun, s tasks.State) {
	r.state = s
	t.running[r.Job]--
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
		if r.seen.Sub(r.began) >= t.lag {
			k.UsedCores, k.UsedMemoryMB = min(r.truth.Cores, r.Cores), r.truth.MemoryMB
			if r.throttled {
				k.UsedCores *= throttledPart
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
		t.saved[r.Job] = r.worked
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
