package infra

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/fakes/worker"
	"burdockreach.dev/fleet/batch"
)

// A poll that waits while its worker restarts must not pass the number of an end of the former lifetime to the new one,
// which would forget its own ends up to that number.
func TestHoldAcrossRestart(t *testing.T) {
	is := is.New(t)
	size := batch.Size{CPU: 1000, MemMB: 1000}
	p, err := New(1, map[string]int{"alpha": 1}, size)
	is.NoErr(err)
	defer func() { is.NoErr(p.Close()) }()
	u := p.workers[0]
	var first batch.PolledMsg
	g := errgroup.Group{}
	g.Go(func() error {
		first = u.Hold(context.Background(), batch.PollCmd{Fence: 1, ForgetUpTo: 5, WaitMs: 600})
		return nil
	})
	time.Sleep(100 * time.Millisecond)
	p.CrashWorker(100 * time.Millisecond)
	is.NoErr(g.Wait())
	is.Equal(first.Result, batch.NoAnswer)
	time.Sleep(200 * time.Millisecond)
	c := batch.StartCmd{Task: batch.TaskName{Job: "5c0e7a21d94b36f8"}, Run: 1, Fence: 1, UntilMs: 60_000}
	p.InspectRuns(func(k *worker.Checker) {
		k.Job(batch.Job{ID: c.Task.Job, Steps: []batch.Step{{Count: 1, Size: size}}})
		is.Equal(u.worker.Start(c, worker.Plan{RunMs: 20, Reason: batch.EndDone, Size: size}), batch.OK)
	})
	second := u.Hold(context.Background(), batch.PollCmd{Fence: 1, WaitMs: 600})
	is.Equal(len(second.Ended), 1)
}
