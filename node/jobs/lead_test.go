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

// TestOlderService has the service come back as it was before the job's record, while its task runs or after it was done.
func TestOlderService(t *testing.T) {
	for name, c := range map[string]struct {
		at             time.Duration
		starts, writes int
	}{
		"while it runs":                  {at: 3 * time.Second, starts: 2}, // its lease has lapsed.
		"while it runs, others write on": {at: 3 * time.Second, starts: 2, writes: 500},
		"after its end":                  {at: 30 * time.Second, starts: 1},
		"after its end, others write on": {at: 30 * time.Second, starts: 1, writes: 500},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, 2, cloud.WithTruth(cloud.Truth{Run: 20 * time.Second}))
				s.submit("disburse", once)
				before := s.store.Save()
				s.lead(&leader{fence: 1}, s.store, s.tasks, s.vms)
				wait(c.at)
				s.store.Restore(before)
				for range c.writes {
					_, err := s.store.Put(s.ctx, "other", nil, keyval.Any, 0)
					s.is.NoErr(err)
				}
				s.submit("next", nil) // makes the leader look at the records again.
				wait(time.Minute)
				s.wantState("disburse", jobs.Done)
				s.wantState("next", jobs.Done)
				s.is.Equal(s.tasks.Doubled(), 0)
				s.is.Equal(s.tasks.Starts(), c.starts+1)
			})
		})
	}
}
