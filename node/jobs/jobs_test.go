package jobs_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/fakes/cloud"
	"burdockreach.dev/node/jobs"
	"burdockreach.dev/plat/hosts"
	"burdockreach.dev/plat/keyval"
	"burdockreach.dev/plat/tasks"
)

const (
	workerCores    = 8
	workerMemoryMB = 8192
)

// leader holds the leader's lease with its fencing token until lost is set.
type leader struct {
	fence keyval.Revision
	lost  atomic.Bool
}

func (l *leader) Held() (keyval.Revision, bool) { return l.fence, !l.lost.Load() }

// vmList is the platform's list of VMs.
type vmList struct {
	l       []hosts.VM
	hidden  atomic.Bool              // the list is empty.
	leaving atomic.Pointer[hosts.VM] // if set, replaces the first VM.
}

func (v *vmList) List(context.Context) ([]hosts.VM, error) {
	if v.hidden.Load() {
		return nil, nil
	}
	if o := v.leaving.Load(); o != nil {
		return append([]hosts.VM{*o}, v.l[1:]...), nil
	}
	return v.l, nil
}

// fixture is a data centre with a pool of workers.
type fixture struct {
	t     *testing.T
	is    *is.I
	ctx   context.Context
	store *keyval.Memory
	tasks *cloud.Tasks
	vms   *vmList
	queue *jobs.Queue
	g     errgroup.Group
}

func newFixture(t *testing.T, workers int, opts ...cloud.TaskOption) *fixture {
	ctx, cancel := context.WithCancel(context.Background())
	s := &fixture{t: t, is: is.New(t), ctx: ctx, store: keyval.NewMemory(), vms: &vmList{}}
	s.tasks, s.queue = cloud.NewTasks(s.store, opts...), jobs.NewQueue(s.store)
	for i := range workers {
		s.vms.l = append(s.vms.l, hosts.FromWire(hosts.VMWire{
			ID: fmt.Sprintf("w%02d", i), DataCentre: "east", Rack: fmt.Sprint("r", i/4), Pool: "nightly",
			State: hosts.Live, Kind: hosts.Worker, Cores: workerCores, MemoryMB: workerMemoryMB,
		}))
	}
	t.Cleanup(func() {
		cancel()
		s.is.NoErr(s.g.Wait())
	})
	return s
}

// lead starts a runner. The returned function ends it as a crash would, without cleanup.
func (s *fixture) lead(l *leader, st keyval.Store, p tasks.Platform, h jobs.Hosts) (crash context.CancelFunc) {
	ctx, cancel := context.WithCancel(s.ctx)
	r := jobs.New("east", st, p, h, l)
	s.g.Go(func() error { return r.Run(ctx) })
	return cancel
}

func (s *fixture) submit(id string, edit func(*jobs.Spec)) {
	s.t.Helper()
	j := jobs.Spec{
		ID: id, DataCentre: "east", Pool: "nightly", Team: "kijani", Kind: "ledger", Cores: 4, MemoryMB: 1024,
		RunMillis: 10_000, FinishBy: time.Now().Add(time.Hour).UnixMilli(),
	}
	if edit != nil {
		edit(&j)
	}
	s.is.Helper()
	s.is.NoErr(s.queue.Submit(s.ctx, j))
}

func (s *fixture) wantState(id string, want jobs.State) jobs.Record {
	s.t.Helper()
	s.is.Helper()
	r, err := s.queue.Get(s.ctx, "east", id)
	s.is.NoErr(err)
	s.is.Equal(r.State, want)
	return r
}

// wantNoOvercommit requires that no worker's tasks use more cores than it has. It allows less than one core more, for throttled tasks.
func (s *fixture) wantNoOvercommit() {
	s.t.Helper()
	s.is.Helper()
	l, err := s.tasks.List(s.ctx, "")
	s.is.NoErr(err)
	used := map[string]float64{}
	for _, k := range l {
		if !k.State.Ended() {
			used[k.VM] += k.UsedCores
		}
	}
	for _, u := range used {
		s.is.True(u < workerCores+1)
	}
}

// wait advances the fake clock of the synctest bubble.
func wait(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func runOnce(j *jobs.Spec) { j.RunOnce = true }

// TestUrgentStart submits an urgent job while all workers are full of background jobs. It must start within 1.5 s: by a throttle where
// memory is free, and otherwise by a checkpoint.
func TestUrgentStart(t *testing.T) {
	for name, mb := range map[string]float64{"throttle": 1024, "checkpoint": workerMemoryMB / 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFixture(t, 3, cloud.WithJobBehavior(cloud.JobBehavior{RunTime: time.Minute, Cores: 4, MemoryMB: mb}))
				for i := range 8 {
					s.submit(fmt.Sprint("night-", i), func(j *jobs.Spec) { j.MemoryMB = mb })
				}
				s.lead(&leader{fence: 1}, s.store, s.tasks, s.vms)
				wait(5 * time.Second)
				s.is.Equal(s.tasks.Starts(), 6)
				s.submit("now", func(j *jobs.Spec) { j.Urgent, j.Kind, j.MemoryMB = true, "hardship", mb })
				wait(1500 * time.Millisecond)
				r := s.wantState("now", jobs.Running)
				s.is.True(r.StartedMillis-r.SubmittedMillis <= 1500)
				wait(2 * time.Second)
				s.wantNoOvercommit()
			})
		})
	}
}

// TestJobsThatCannotRun checks that jobs that cannot run are given up with the reason, while other jobs complete. A job is not given up
// before the platform has listed workers.
func TestJobsThatCannotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(t, 4, cloud.WithJobBehavior(
			cloud.JobBehavior{Prefix: "east/broken", Broken: true, RunTime: time.Minute},
			cloud.JobBehavior{Prefix: "east/huge", RunTime: time.Second, MemoryMB: 2 * workerMemoryMB}, cloud.JobBehavior{RunTime: 2 * time.Second}))
		s.vms.hidden.Store(true)
		s.submit("early", func(j *jobs.Spec) { j.Accelerators = 1 })
		s.lead(&leader{fence: 1}, s.store, s.tasks, s.vms)
		wait(time.Second)
		s.wantState("early", jobs.Waiting)
		s.vms.hidden.Store(false)
		s.submit("accelerated", func(j *jobs.Spec) { j.Accelerators = 1 })
		s.submit("broken", nil)
		s.submit("huge", func(j *jobs.Spec) { j.MemoryMB = 4 * workerMemoryMB })
		for i := range 20 {
			s.submit(fmt.Sprint("good-", i), nil)
		}
		wait(time.Second)
		s.wantState("early", jobs.GivenUp)
		s.is.Equal(s.wantState("accelerated", jobs.GivenUp).Reason, "no worker has what the job asks for")
		wait(time.Minute)
		s.is.Equal(s.wantState("broken", jobs.GivenUp).Reason, "failed on several good workers")
		s.is.Equal(s.wantState("huge", jobs.GivenUp).Reason, "larger than any worker")
		for i := range 20 {
			s.wantState(fmt.Sprint("good-", i), jobs.Done)
		}
	})
}

// TestBrokenWorker checks that all jobs complete although one worker fails every task.
func TestBrokenWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(t, 5, cloud.WithBrokenVMs("w00"), cloud.WithJobBehavior(cloud.JobBehavior{RunTime: 2 * time.Second}))
		for i := range 30 {
			s.submit(fmt.Sprint("good-", i), nil)
		}
		s.lead(&leader{fence: 1}, s.store, s.tasks, s.vms)
		wait(2 * time.Minute)
		for i := range 30 {
			s.wantState(fmt.Sprint("good-", i), jobs.Done)
		}
	})
}

// TestLostLease revokes the task lease while the leader runs tasks under it. No job may be given up for the failures that follow.
func TestLostLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(t, 5, cloud.WithJobBehavior(cloud.JobBehavior{RunTime: 3 * time.Second}))
		for i := range 30 {
			s.submit(fmt.Sprint("good-", i), nil)
		}
		s.lead(&leader{fence: 1}, s.store, s.tasks, s.vms)
		wait(2 * time.Second)
		s.is.NoErr(s.store.Revoke(s.ctx, 1)) // the first lease granted.
		wait(time.Minute)
		for i := range 30 {
			s.wantState(fmt.Sprint("good-", i), jobs.Done)
		}
	})
}

// TestLeavingWorker checks that a task on a leaving worker is checkpointed and continues from there on another worker.
func TestLeavingWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(t, 2, cloud.WithJobBehavior(cloud.JobBehavior{RunTime: 40 * time.Second}))
		s.submit("night", runOnce)
		s.lead(&leader{fence: 1}, s.store, s.tasks, s.vms)
		wait(30 * time.Second)
		s.is.Equal(s.wantState("night", jobs.Running).Worker, "w00")
		v := hosts.FromWire(hosts.VMWire{ID: "w00", DataCentre: "east", Pool: "nightly", State: hosts.Leaving, Kind: hosts.Worker, Cores: workerCores, MemoryMB: workerMemoryMB})
		s.vms.leaving.Store(&v)
		wait(2 * time.Second)
		s.is.Equal(s.wantState("night", jobs.Running).Worker, "w01")
		wait(12 * time.Second)
		s.wantState("night", jobs.Done)
	})
}

// TestCancelMany cancels running and waiting jobs. Running ones must be stopped, and waiting ones must never start.
func TestCancelMany(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(t, 4, cloud.WithJobBehavior(cloud.JobBehavior{RunTime: time.Minute}))
		s.lead(&leader{fence: 1}, s.store, s.tasks, s.vms)
		for i := range 200 {
			s.submit(fmt.Sprint("night-", i), runOnce)
		}
		wait(2 * time.Second)
		s.is.Equal(s.tasks.Starts(), 8)
		for i := range 200 {
			_, err := s.queue.Cancel(s.ctx, "east", fmt.Sprint("night-", i))
			s.is.NoErr(err)
		}
		wait(2 * time.Second)
		for i := range 200 {
			s.wantState(fmt.Sprint("night-", i), jobs.Canceled)
		}
		l, err := s.tasks.List(s.ctx, "")
		s.is.NoErr(err)
		for _, k := range l {
			s.is.Equal(k.State, tasks.Stopped)
		}
		s.is.Equal(s.tasks.Starts(), 8)
	})
}

// TestManyStarts checks that one step starts at most 50 tasks and that later steps start the rest.
func TestManyStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(t, 4, cloud.WithJobBehavior(cloud.JobBehavior{RunTime: time.Minute}))
		for i := range 120 {
			s.submit(fmt.Sprint("small-", i), func(j *jobs.Spec) { j.Cores, j.MemoryMB = 0.1, 10 })
		}
		s.lead(&leader{fence: 1}, s.store, s.tasks, s.vms)
		wait(100 * time.Millisecond)
		s.is.Equal(s.tasks.Starts(), 50)
		wait(time.Second)
		s.is.Equal(s.tasks.Starts(), 120)
	})
}
