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
	l      []hosts.VM
	hidden atomic.Bool
}

func (v *vms) List(context.Context) ([]hosts.VM, error) {
	if v.hidden.Load() {
		return nil, nil
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
	}{
		{name: "between record and run", run: true},
		{name: "dies between record and run", run: true, die: true},
		{name: "between record and run, next leader cannot start", run: true, withoutWorker: true},
		{name: "before the record"},
		{name: "before the record, next leader cannot start", withoutWorker: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { pausedLeader(t, c.run, c.die, c.withoutWorker) })
		})
	}
}

func pausedLeader(t *testing.T, run, die, withoutWorker bool) {
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
	s.lead(&leader{fence: 2}, s.store, s.tasks, next)
	wait(3 * time.Second)
	close(p.gate)
	wait(3 * time.Second)
	next.hidden.Store(false)
	wait(50 * time.Second)
	s.is.Equal(s.tasks.Doubled(), 0)
	s.is.Equal(s.tasks.Starts(), 1)
	s.wantState("disburse", jobs.Done)
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
		s.lead(&leader{fence: 1}, s.store, s.tasks, s.vms)
		s.submit("accelerated", func(j *jobs.Spec) { j.Accelerators = 1 })
		s.submit("broken", nil)
		s.submit("huge", func(j *jobs.Spec) { j.MemoryMB = 4 * memory })
		for i := range 20 {
			s.submit(fmt.Sprint("good-", i), nil)
		}
		wait(time.Second)
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
