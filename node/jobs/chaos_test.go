package jobs_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"burdockreach.dev/fakes/cloud"
	"burdockreach.dev/node/jobs"
	"burdockreach.dev/plat/keyval"
	"burdockreach.dev/plat/tasks"
)

// faultInjector injects faults into calls at random. It delays calls, fails them, loses their answers, or lets them take effect after
// the caller got an error that says that the outcome is unknown.
type faultInjector struct {
	s        *fixture
	mu       sync.Mutex
	rand     *rand.Rand
	disabled bool
}

const maxDelay = 4 * time.Second

// call runs f with an injected fault or without one. down and unknown are the errors of the called service.
func (y *faultInjector) call(down, unknown error, f func() error) error {
	y.mu.Lock()
	n, d := y.rand.IntN(100), time.Duration(y.rand.Int64N(int64(maxDelay)))
	if y.disabled {
		n = 100
	}
	y.mu.Unlock()
	switch {
	case n < 5:
		return down
	case n < 10:
		_ = f()
		return unknown
	case n < 15:
		y.s.g.Go(func() error {
			time.Sleep(d)
			_ = f()
			return nil
		})
		return unknown
	case n < 20:
		time.Sleep(d)
	}
	return f()
}

type faultyStore struct {
	*keyval.Memory
	y *faultInjector
}

func (f faultyStore) Put(_ context.Context, key string, v []byte, cond keyval.Revision, l keyval.LeaseID) (keyval.Revision, error) {
	var r atomic.Int64
	err := f.y.call(keyval.ErrDown, keyval.ErrUnknown, func() error {
		rev, err := f.Memory.Put(context.Background(), key, v, cond, l)
		r.Store(int64(rev))
		return err
	})
	return keyval.Revision(r.Load()), err
}

type faultyTasks struct {
	*cloud.Tasks
	y *faultInjector
}

func (f faultyTasks) Run(_ context.Context, r tasks.RunRequest) error {
	return f.y.call(tasks.ErrDown, tasks.ErrUnknown, func() error { return f.Tasks.Run(context.Background(), r) })
}

func (f faultyTasks) Throttle(_ context.Context, id string, on bool) error {
	return f.y.call(tasks.ErrDown, tasks.ErrUnknown, func() error { return f.Tasks.Throttle(context.Background(), id, on) })
}

func (f faultyTasks) Checkpoint(_ context.Context, id string) error {
	return f.y.call(tasks.ErrDown, tasks.ErrUnknown, func() error { return f.Tasks.Checkpoint(context.Background(), id) })
}

// TestLeadersUnderFaults runs a series of leaders while calls are delayed or lost. Each former leader crashes, loses its lease, or
// continues because it does not know that it was replaced. No run-once job may have two running copies, and all must complete.
// The seed does not determine the order of concurrent calls.
func TestLeadersUnderFaults(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { leadersUnderFaults(t, seed) })
		})
	}
}

func leadersUnderFaults(t *testing.T, seed uint64) {
	s := newFixture(t, 6, cloud.WithBrokenVMs("w03"), cloud.WithJobBehavior(cloud.JobBehavior{RunTime: 7 * time.Second, Cores: 3, MemoryMB: 900}))
	r := rand.New(rand.NewPCG(seed, 0))
	y := &faultInjector{s: s, rand: rand.New(rand.NewPCG(seed, 1))}
	for i := range 40 {
		s.submit(fmt.Sprint("job-", i), func(j *jobs.Spec) { j.RunOnce, j.Urgent = true, i%8 == 0 })
	}
	var former []*leader
	for f := keyval.Revision(1); f <= 20; f++ {
		l := &leader{fence: f}
		crash := s.lead(l, faultyStore{s.store, y}, faultyTasks{s.tasks, y}, s.vms)
		wait(time.Duration(r.Int64N(int64(maxDelay))))
		switch r.IntN(3) {
		case 0:
			crash()
		case 1:
			l.lost.Store(true)
		default:
			former = append(former, l) // continues, as it does not know that it was replaced.
		}
	}
	for _, l := range former {
		l.lost.Store(true)
	}
	y.mu.Lock()
	y.disabled = true
	y.mu.Unlock()
	s.lead(&leader{fence: 21}, s.store, s.tasks, s.vms)
	wait(10 * time.Minute)
	s.is.Equal(s.tasks.DuplicateStarts(), 0)
	for i := range 40 {
		s.wantState(fmt.Sprint("job-", i), jobs.Done)
	}
}
