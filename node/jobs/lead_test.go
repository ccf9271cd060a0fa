package jobs_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"burdockreach.dev/fakes/cloud"
	"burdockreach.dev/node/jobs"
	"burdockreach.dev/plat/keyval"
	"burdockreach.dev/plat/tasks"
)

// pausedPlatform is a platform and a store whose runs or writes block until resume is closed.
type pausedPlatform struct {
	tasks.Platform
	keyval.Store
	pauseRun, pauseWrite bool
	resume               chan struct{}
	reached              atomic.Bool
}

func (p *pausedPlatform) wait() {
	p.reached.Store(true)
	<-p.resume
}

func (p *pausedPlatform) Run(ctx context.Context, r tasks.RunRequest) error {
	if p.pauseRun {
		p.wait()
	}
	return p.Platform.Run(context.WithoutCancel(ctx), r)
}

func (p *pausedPlatform) Put(ctx context.Context, key string, v []byte, cond keyval.Revision, l keyval.LeaseID) (keyval.Revision, error) {
	if p.pauseWrite {
		p.wait()
	}
	return p.Store.Put(context.WithoutCancel(ctx), key, v, cond, l)
}

// List lists the platform's tasks. pausedStore lists the store's items instead.
func (p *pausedPlatform) List(ctx context.Context, prefix string) ([]tasks.Task, error) {
	return p.Platform.List(ctx, prefix)
}

type pausedStore struct{ *pausedPlatform }

func (p pausedStore) List(ctx context.Context, prefix, after string, n int) ([]keyval.Item, keyval.Revision, error) {
	return p.Store.List(ctx, prefix, after, n)
}

// TestPausedLeader pauses a leader before it writes a record, or between the record and the run, and starts another leader meanwhile.
// The former leader never learns that its lease is lost. The job must start once and have no second copy.
func TestPausedLeader(t *testing.T) {
	for _, c := range []struct {
		name          string
		run, die      bool
		withoutWorker bool // the next leader has no worker until after the former one has resumed.
		withoutWrite  bool // the next leader's writes do not reach the service until then, either.
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
	s := newFixture(t, 2, cloud.WithJobBehavior(cloud.JobBehavior{RunTime: 20 * time.Second}))
	s.submit("disburse", runOnce)
	p := &pausedPlatform{Platform: s.tasks, Store: s.store, pauseRun: run, pauseWrite: !run, resume: make(chan struct{})}
	crash := s.lead(&leader{fence: 1}, pausedStore{p}, p, s.vms)
	wait(2 * time.Second)
	s.is.True(p.reached.Load())
	if die {
		crash()
	}
	next := &vmList{l: s.vms.l}
	next.hidden.Store(withoutWorker)
	store := &unreachableStore{Memory: s.store}
	store.down.Store(withoutWrite)
	s.lead(&leader{fence: 2}, store, s.tasks, next)
	wait(3250 * time.Millisecond)
	close(p.resume)
	wait(3 * time.Second)
	next.hidden.Store(false)
	store.down.Store(false)
	wait(50 * time.Second)
	s.is.Equal(s.tasks.DuplicateStarts(), 0)
	s.is.Equal(s.tasks.Starts(), 1)
	s.wantState("disburse", jobs.Done)
}

// unreachableStore is a store whose Put fails with ErrDown while down is set.
type unreachableStore struct {
	*keyval.Memory
	down atomic.Bool
}

func (d *unreachableStore) Put(ctx context.Context, key string, v []byte, cond keyval.Revision, l keyval.LeaseID) (keyval.Revision, error) {
	if d.down.Load() {
		return 0, keyval.ErrDown
	}
	return d.Memory.Put(ctx, key, v, cond, l)
}

// TestLateRecord lets a paused leader write its record after the next leader has completed the job. The write must not start the job again.
func TestLateRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(t, 2, cloud.WithJobBehavior(cloud.JobBehavior{RunTime: 5 * time.Second}))
		s.submit("disburse", runOnce)
		p := &pausedPlatform{Platform: s.tasks, Store: s.store, pauseWrite: true, resume: make(chan struct{})}
		s.lead(&leader{fence: 1}, pausedStore{p}, p, s.vms)
		wait(2 * time.Second)
		s.is.True(p.reached.Load())
		s.lead(&leader{fence: 2}, s.store, s.tasks, s.vms)
		wait(10 * time.Second)
		s.wantState("disburse", jobs.Done)
		close(p.resume)
		synctest.Wait()
		s.wantState("disburse", jobs.Done)
		s.is.Equal(s.tasks.Starts(), 1)
	})
}

// TestNextLeaderTakesTasksOver checks that tasks keep running under the next leader and that it can make room among them for an urgent job.
func TestNextLeaderTakesTasksOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(t, 2, cloud.WithJobBehavior(cloud.JobBehavior{Prefix: "east/now", RunTime: time.Second}, cloud.JobBehavior{RunTime: 90 * time.Second}))
		for i := range 4 {
			s.submit(fmt.Sprint("night-", i), runOnce)
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

// TestThrottleIsLifted crashes a leader that has throttled a task. The next leader must lift the throttle, so that the task completes.
func TestThrottleIsLifted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(t, 1, cloud.WithJobBehavior(cloud.JobBehavior{Prefix: "east/now", RunTime: time.Second}, cloud.JobBehavior{RunTime: 30 * time.Second}))
		s.submit("night", func(j *jobs.Spec) { j.Cores = workerCores })
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

// TestStoreRestoredToOlderState restores the key-value service to its state before the job's attempt was recorded, while the task runs
// or after it is done. The job must complete without two running copies, also if other writes have hidden the loss from watches.
func TestStoreRestoredToOlderState(t *testing.T) {
	for name, c := range map[string]struct {
		at             time.Duration
		starts, writes int
	}{
		"while it runs":                  {at: 3 * time.Second, starts: 2}, // its lease has lapsed, so the job starts again.
		"while it runs, others write on": {at: 3 * time.Second, starts: 2, writes: 500},
		"after its end":                  {at: 30 * time.Second, starts: 1},
		"after its end, others write on": {at: 30 * time.Second, starts: 1, writes: 500},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFixture(t, 2, cloud.WithJobBehavior(cloud.JobBehavior{RunTime: 20 * time.Second}))
				s.submit("disburse", runOnce)
				before := s.store.Save()
				s.lead(&leader{fence: 1}, s.store, s.tasks, s.vms)
				wait(c.at)
				s.store.Restore(before)
				for range c.writes {
					_, err := s.store.Put(s.ctx, "other", nil, keyval.Any, 0)
					s.is.NoErr(err)
				}
				s.submit("next", nil) // makes the leader read the records again.
				wait(time.Minute)
				s.wantState("disburse", jobs.Done)
				s.wantState("next", jobs.Done)
				s.is.Equal(s.tasks.DuplicateStarts(), 0)
				s.is.Equal(s.tasks.Starts(), c.starts+1)
			})
		})
	}
}
