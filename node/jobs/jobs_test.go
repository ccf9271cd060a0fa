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
	cores  = 8
	memory = 8192
)

// leader holds the lease of its fence until it is told otherwise.
type leader struct {
	fence keyval.Revision
	lost  atomic.Bool
}

func (l *leader) Held() (keyval.Revision, bool) { return l.fence, !l.lost.Load() }

// vms is the platform's list.
type vms struct {
	l       []hosts.VM
	hidden  atomic.Bool
	leaving atomic.Pointer[hosts.VM] // takes the place of the first.
}

func (v *vms) List(context.Context) ([]hosts.VM, error) {
	if v.hidden.Load() {
		return nil, nil
	}
	if o := v.leaving.Load(); o != nil {
		return append([]hosts.VM{*o}, v.l[1:]...), nil
	}
	return v.l, nil
}

// paused is a platform and a store whose next run or write waits until the gate opens.
type paused struct {
	tasks.Platform
	keyval.Store
	atRun, atWrite bool
	gate           chan struct{}
	reached        atomic.Bool
}

func (p *paused) wait() {
	p.reached.Store(true)
	<-p.gate
}

func (p *paused) Run(ctx context.Context, r tasks.RunRequest) error {
	if p.atRun {
		p.wait()
	}
	return p.Platform.Run(context.WithoutCancel(ctx), r)
}

func (p *paused) Put(ctx context.Context, key string, v []byte, cond keyval.Revision, l keyval.LeaseID) (keyval.Revision, error) {
	if p.atWrite {
		p.wait()
	}
	return p.Store.Put(context.WithoutCancel(ctx), key, v, cond, l)
}

// List is the platform's; pausedStore has the store's.
func (p *paused) List(ctx context.Context, prefix string) ([]tasks.Task, error) {
	return p.Platform.List(ctx, prefix)
}

type pausedStore struct{ *paused }

func (p pausedStore) List(ctx context.Context, prefix, after string, n int) ([]keyval.Item, keyval.Revision, error) {
	return p.Store.List(ctx, prefix, after, n)
}

// site is a data centre with a pool of workers.
type site struct {
	t     *testing.T
	is    *is.I
	ctx   context.Context
	store *keyval.Memory
	tasks *cloud.Tasks
	vms   *vms
	queue *jobs.Queue
	g     errgroup.Group
}

func newSite(t *testing.T, workers int, opts ...cloud.TaskOption) *site {
	ctx, cancel := context.WithCancel(context.Background())
	s := &site{t: t, is: is.New(t), ctx: ctx, store: keyval.NewMemory(), vms: &vms{}}
	s.tasks, s.queue = cloud.NewTasks(s.store, opts...), jobs.NewQueue(s.store)
	for i := range workers {
		s.vms.l = append(s.vms.l, hosts.FromWire(hosts.Wire{
			ID: fmt.Sprintf("w%02d", i), DataCentre: "east", Rack: fmt.Sprint("r", i/4), Pool: "nightly",
			State: hosts.Live, Kind: hosts.Worker, Cores: cores, MemoryMB: memory,
		}))
	}
	t.Cleanup(func() {
		cancel()
		s.is.NoErr(s.g.Wait())
	})
	return s
}

// lead starts a runner; the returned function ends it as a crash would.
func (s *site) lead(l *leader, st keyval.Store, p tasks.Platform, h jobs.Hosts) (crash context.CancelFunc) {
	ctx, cancel := context.WithCancel(s.ctx)
	r := jobs.New("east", st, p, h, l)
	s.g.Go(func() error { return r.Run(ctx) })
	return cancel
}

func (s *site) submit(id string, edit func(*jobs.Spec)) {
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

func (s *site) wantState(id string, want jobs.State) jobs.Record {
	s.t.Helper()
	s.is.Helper()
	r, err := s.queue.Get(s.ctx, "east", id)
	s.is.NoErr(err)
	s.is.Equal(r.State, want)
	return r
}

// wantRoom wants no worker to run more than it has cores for, throttled tasks' small part aside.
func (s *site) wantRoom() {
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
		s.is.True(u < cores+1)
	}
}

// wait lets time pass in the bubble.
func wait(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func once(j *jobs.Spec) { j.RunOnce = true }

// TestPausedLeader pauses a leader that never learns that its lease is lost, before a write or between record and run, and
// lets another lead meanwhile.
func TestPausedLeader(t *testing.T) {
	for _, c := range []struct {
		name          string
		run, die      bool
		withoutWorker bool // the next leader has no worker until the former one goes on.
		withoutWrite  bool // the next leader's writes do not reach the service until then.
	}{
		{name: "between record and run", run: true},
		{name: "dies between record and run", run: true, die: true},
		{name: "between record and run, next leader cannot start", run: true, withoutWorker: true},
		{name: "before the record"},
		{name: "before the record, next leader cannot start", withoutWorker: true},
		{name: "before the record, next leader cannot write", withoutWrite: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { pausedLeader(t, c.run, c.die, c.withoutWorker, c.withoutWrite) })
		})
	}
}

func pausedLeader(t *testing.T, run, die, withoutWorker, withoutWrite bool) {
	s := newSite(t, 2, cloud.WithTruth(cloud.Truth{Run: 20 * time.Second}))
	s.submit("disburse", once)
	p := &paused{Platform: s.tasks, Store: s.store, atRun: run, atWrite: !run, gate: make(chan struct{})}
	crash := s.lead(&leader{fence: 1}, pausedStore{p}, p, s.vms)
	wait(2 * time.Second)
	s.is.True(p.reached.Load())
	if die {
		crash()
	}
	next := &vms{l: s.vms.l}
	next.hidden.Store(withoutWorker)
	deaf := &deafStore{Memory: s.store}
	deaf.down.Store(withoutWrite)
	s.lead(&leader{fence: 2}, deaf, s.tasks, next)
	wait(3250 * time.Millisecond)
	close(p.gate)
	wait(3 * time.Second)
	next.hidden.Store(false)
	deaf.down.Store(false)
	wait(50 * time.Second)
	s.is.Equal(s.tasks.Doubled(), 0)
	s.is.Equal(s.tasks.Starts(), 1)
	s.wantState("disburse", jobs.Done)
}

// deafStore is a store whose writes of values do not arrive while it is down.
type deafStore struct {
	*keyval.Memory
	down atomic.Bool
}

func (d *deafStore) Put(ctx context.Context, key string, v []byte, cond keyval.Revision, l keyval.LeaseID) (keyval.Revision, error) {
	if d.down.Load() {
		return 0, keyval.ErrDown
	}
	return d.Memory.Put(ctx, key, v, cond, l)
}

// TestLateRecord lets a paused leader write its record when the next one has long finished the job.
func TestLateRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 2, cloud.WithTruth(cloud.Truth{Run: 5 * time.Second}))
		s.submit("disburse", once)
		p := &paused{Platform: s.tasks, Store: s.store, atWrite: true, gate: make(chan struct{})}
		s.lead(&leader{fence: 1}, pausedStore{p}, p, s.vms)
		wait(2 * time.Second)
		s.is.True(p.reached.Load())
		s.lead(&leader{fence: 2}, s.store, s.tasks, s.vms)
		wait(10 * time.Second)
		s.wantState("disburse", jobs.Done)
		close(p.gate)
		synctest.Wait()
		s.wantState("disburse", jobs.Done)
		s.is.Equal(s.tasks.Starts(), 1)
	})
}

// TestNextLeaderTakesTasksOver wants running tasks to run on under the next leader, which can make them yield.
func TestNextLeaderTakesTasksOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 2, cloud.WithTruth(cloud.Truth{Prefix: "east/now", Run: time.Second}, cloud.Truth{Run: 90 * time.Second}))
		for i := range 4 {
			s.submit(fmt.Sprint("night-", i), once)
		}
		crash := s.lead(&leader{fence: 1}, s.store, s.tasks, s.vms)
		wait(2 * time.Second)
		s.is.Equal(s.tasks.Starts(), 4)
		crash()
		wait(30 * time.Second)
		s.lead(&leader{fence: 2}, s.store, s.tasks, s.vms)
		wait(time.Second)
		s.submit("now", func(j *jobs.Spec) { j.Urgent = true })
		wait(1500 * time.Millisecond)
		s.is.Equal(s.tasks.Starts(), 5)
		wait(3 * time.Minute)
		s.is.Equal(s.tasks.Starts(), 5)
		for i := range 4 {
			s.wantState(fmt.Sprint("night-", i), jobs.Done)
		}
	})
}

// TestThrottleIsLifted ends a leader that has throttled a task; the next one lifts the throttle.
func TestThrottleIsLifted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1, cloud.WithTruth(cloud.Truth{Prefix: "east/now", Run: time.Second}, cloud.Truth{Run: 30 * time.Second}))
		s.submit("night", func(j *jobs.Spec) { j.Cores = cores })
		crash := s.lead(&leader{fence: 1}, s.store, s.tasks, s.vms)
		wait(2 * time.Second)
		s.submit("now", func(j *jobs.Spec) { j.Urgent = true })
		wait(time.Second)
		s.is.Equal(s.tasks.Starts(), 2)
		crash()
		wait(5 * time.Second)
		s.lead(&leader{fence: 2}, s.store, s.tasks, s.vms)
		wait(32 * time.Second)
		s.wantState("night", jobs.Done)
	})
}

// TestUrgentStart submits an urgent job to workers full of background jobs, with memory free and without.
func TestUrgentStart(t *testing.T) {
	for name, mb := range map[string]float64{"throttle": 1024, "checkpoint": memory / 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, 3, cloud.WithTruth(cloud.Truth{Run: time.Minute, Cores: 4, MemoryMB: mb}))
				for i := range 8 {
					s.submit(fmt.Sprint("night-", i), func(j *jobs.Spec) { j.MemoryMB = mb })
				}
				s.lead(&leader{fence: 1}, s.store, s.tasks, s.vms)
				wait(5 * time.Second)
				s.is.Equal(s.tasks.Starts(), 6)
				s.submit("now", func(j *jobs.Spec) { j.Urgent, j.Kind, j.MemoryMB = true, "hardship", mb })
				wait(1500 * time.Millisecond)
				r := s.wantState("now", jobs.Running)
				s.is.True(r.Started-r.Submitted <= 1500)
				wait(2 * time.Second)
				s.wantRoom()
			})
		})
	}
}

// TestJobsThatCannotRun wants them given up with the reason while others go on.
func TestJobsThatCannotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 4, cloud.WithTruth(
			cloud.Truth{Prefix: "east/broken", Broken: true, Run: time.Minute},
			cloud.Truth{Prefix: "east/huge", Run: time.Second, MemoryMB: 2 * memory}, cloud.Truth{Run: 2 * time.Second}))
		s.vms.hidden.Store(true)
		s.submit("early", func(j *jobs.Spec) { j.Accelerators = 1 })
		s.lead(&leader{fence: 1}, s.store, s.tasks, s.vms)
		wait(time.Second)
		s.wantState("early", jobs.Waiting)
		s.vms.hidden.Store(false)
		s.submit("accelerated", func(j *jobs.Spec) { j.Accelerators = 1 })
		s.submit("broken", nil)
		s.submit("huge", func(j *jobs.Spec) { j.MemoryMB = 4 * memory })
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

// TestBrokenWorker wants all jobs done beside a worker that fails everything.
func TestBrokenWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 5, cloud.WithBroken("w00"), cloud.WithTruth(cloud.Truth{Run: 2 * time.Second}))
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

// TestLostLease ends the tasks' lease under the leader: no job is to blame for that.
func TestLostLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 5, cloud.WithTruth(cloud.Truth{Run: 3 * time.Second}))
		for i := range 30 {
			s.submit(fmt.Sprint("good-", i), nil)
		}
		s.lead(&leader{fence: 1}, s.store, s.tasks, s.vms)
		wait(2 * time.Second)
		s.is.NoErr(s.store.Revoke(s.ctx, 1)) // the first that was granted.
		wait(time.Minute)
		for i := range 30 {
			s.wantState(fmt.Sprint("good-", i), jobs.Done)
		}
	})
}

// TestLeavingWorker has a task saved on a worker that leaves; it goes on elsewhere from there.
func TestLeavingWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 2, cloud.WithTruth(cloud.Truth{Run: 40 * time.Second}))
		s.submit("night", once)
		s.lead(&leader{fence: 1}, s.store, s.tasks, s.vms)
		wait(30 * time.Second)
		s.is.Equal(s.wantState("night", jobs.Running).Worker, "w00")
		v := hosts.FromWire(hosts.Wire{ID: "w00", DataCentre: "east", Pool: "nightly", State: hosts.Leaving, Kind: hosts.Worker, Cores: cores, MemoryMB: memory})
		s.vms.leaving.Store(&v)
		wait(2 * time.Second)
		s.is.Equal(s.wantState("night", jobs.Running).Worker, "w01")
		wait(12 * time.Second)
		s.wantState("night", jobs.Done)
	})
}

// TestCancelMany takes running and waiting jobs back.
func TestCancelMany(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 4, cloud.WithTruth(cloud.Truth{Run: time.Minute}))
		s.lead(&leader{fence: 1}, s.store, s.tasks, s.vms)
		for i := range 200 {
			s.submit(fmt.Sprint("night-", i), once)
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
