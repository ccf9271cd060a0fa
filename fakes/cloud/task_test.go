package cloud_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"burdockreach.dev/fakes/cloud"
	"burdockreach.dev/plat/hosts"
	"burdockreach.dev/plat/keyval"
	"burdockreach.dev/plat/tasks"
)

// startTasks starts a platform with one VM, and returns a client of its task calls and a lease of its store.
func startTasks(t *testing.T, ttl time.Duration, behavior cloud.JobBehavior) (*tasks.Client, keyval.LeaseID, *cloud.Server) {
	t.Helper()
	s := start(t, cloud.WithVMs(hosts.VMWire{ID: "w1"}), cloud.WithTasks(cloud.WithUsageLag(0), cloud.WithJobBehavior(behavior)))
	c := tasks.New(s.Addr(), tasks.WithName("entry"), tasks.WithTimeout(time.Second))
	t.Cleanup(c.Close)
	l, err := client(t, s, "entry").Grant(t.Context(), ttl)
	if err != nil {
		t.Fatal(err)
	}
	return c, l, s
}

func task(id string, l keyval.LeaseID) tasks.RunRequest {
	return tasks.RunRequest{ID: id, Job: "job", VM: "w1", Lease: int64(l), Cores: 2, MemoryMB: 100, RunOnce: true}
}

func wantTask(t *testing.T, c *tasks.Client, id string, want tasks.State) {
	t.Helper()
	l, err := c.List(t.Context(), id)
	if err != nil || len(l) != 1 || l[0].State != want {
		t.Fatalf("got %v, %v; want %s %s", l, err, id, want)
	}
}

func TestTaskCalls(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c, l, s := startTasks(t, time.Minute, cloud.JobBehavior{RunTime: time.Hour, Cores: 2})
	is.NoErr(c.Run(ctx, task("job/1", l)))
	is.NoErr(c.Run(ctx, task("job/1", l))) // a repeated call does not start the task again.
	wantTask(t, c, "job/1", tasks.Running)
	is.NoErr(c.Throttle(ctx, "job/1", true))
	is.NoErr(c.Checkpoint(ctx, "job/1"))
	wantTask(t, c, "job/1", tasks.Stopped)
	wantErr(t, c.Throttle(ctx, "job/1", false), tasks.ErrRefused)

	how, err := c.Stop(ctx, "job/2")
	is.NoErr(err)
	is.Equal(how, tasks.Stopped)
	wantErr(t, c.Run(ctx, task("job/2", l)), tasks.ErrRefused) // stopped before it ran.
	wantErr(t, c.Run(ctx, task("job/3", l+1)), tasks.ErrRefused)
	is.Equal(s.Tasks().Starts(), 1)
	is.NoErr(c.Run(ctx, task("job/4", l)))
	is.NoErr(c.Run(ctx, task("job/5", l)))
	is.Equal(s.Tasks().DuplicateStarts(), 1)
	s.Fault(cloud.Fault{Mode: cloud.Lose})
	wantErr(t, c.Run(ctx, task("job/6", l)), tasks.ErrUnknown)
	s.Fault(cloud.Fault{Mode: cloud.Up})
	wantTask(t, c, "job/6", tasks.Running)
}

func TestTaskEndsWithItsLease(t *testing.T) {
	is := is.New(t)
	c, l, s := startTasks(t, time.Minute, cloud.JobBehavior{RunTime: time.Hour})
	is.NoErr(c.Run(t.Context(), task("job/1", l)))
	is.NoErr(s.Store().Revoke(t.Context(), l))
	wantTask(t, c, "job/1", tasks.Stopped)
	wantErr(t, c.Run(t.Context(), task("job/2", l)), tasks.ErrRefused)
}
