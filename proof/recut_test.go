package proof

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockreach.dev/fakes/infra"
	"burdockreach.dev/fakes/proxy"
	"burdockreach.dev/fakes/worker"
	"burdockreach.dev/fleet/batch"
)

var (
	recutSeed  = flag.Uint64("recut.seed", 1, "first seed of TestCallsOfFormerLifetimeRunNothingTwice")
	recutSeeds = flag.Uint64("recut.seeds", 1, "number of seeds that TestCallsOfFormerLifetimeRunNothingTwice runs")
)

const (
	recutService = "beta"
	recutWorkers = 3 // workers that restart and are cut off; the others of the service go on.
	cutTime      = 12 * time.Second
	// longTaskTime is longer than the longest lease, so that a task may still run when an owner starts it elsewhere.
	longTaskTime = infra.MaxLease + 3*time.Second
	lastingTasks = 8
	// rejoinTime covers the first polls after a cut, which show what runs.
	rejoinTime = 5 * time.Second
)

// recutSize is the size of each task: a worker has room for eight.
var recutSize = batch.Size{CPU: 1000, MemMB: 500}

func (s *soak) lastingJob() batch.Job {
	return s.recutJob(infra.TaskSpec{}, batch.Step{Count: lastingTasks, Size: recutSize, EstimateMs: 500, Lasting: true})
}

func (s *soak) longJob() batch.Job {
	ms := longTaskTime.Milliseconds()
	return s.recutJob(infra.TaskSpec{RunMs: ms}, batch.Step{Count: 7, Size: recutSize, EstimateMs: ms})
}

func (s *soak) shortJob() batch.Job {
	ms := int64(300 + s.rnd.IntN(1500))
	return s.recutJob(infra.TaskSpec{RunMs: ms}, batch.Step{Count: 2, Size: recutSize, EstimateMs: ms})
}

func (s *soak) recutJob(x infra.TaskSpec, p batch.Step) batch.Job {
	s.jobCount++
	return batch.Job{ID: fmt.Sprintf("%016x", s.jobCount), Service: recutService, Attempts: 4, Spec: x.Encode(), Steps: []batch.Step{p}}
}

// submitLater submits a job at a random entry, without waiting for the answer.
func (s *soak) submitLater(j batch.Job, callers *errgroup.Group) {
	first := s.rnd.IntN(len(s.entries))
	callers.TryGo(func() error { return s.submit(j, soakKey, first) })
}

// submitShortJobs submits short jobs for d.
func (s *soak) submitShortJobs(d time.Duration, callers *errgroup.Group) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(150 * time.Millisecond) {
		s.submitLater(s.shortJob(), callers)
	}
}

// delayCalls holds back a share of the calls through the proxies, each for up to 9 s.
func (s *soak) delayCalls(proxies []*proxy.Proxy) {
	for _, x := range proxies {
		var mu sync.Mutex
		rnd := rand.New(rand.NewPCG(s.rnd.Uint64(), 5))
		x.Delay(func() time.Duration {
			mu.Lock()
			defer mu.Unlock()
			if rnd.IntN(2) == 0 {
				return 0
			}
			return time.Duration(300+rnd.IntN(8700)) * time.Millisecond
		})
	}
}

func (s *soak) upTo(d time.Duration) time.Duration { return time.Duration(s.rnd.Int64N(int64(d))) }

// owner returns the entry that owns the jobs.
func (s *soak) owner() *entryProcess {
	s.t.Helper()
	f := s.waitStatus()
	addr, _, _ := strings.Cut(f.Owner, "/")
	for _, e := range s.entries {
		if f.Entries[e.name].Addr == addr {
			return e
		}
	}
	s.t.Fatal("no entry owns the jobs")
	return nil
}

// recut restarts some workers while calls to them are held back, and cuts these workers off soon after. If killOwner is set, the owner is
// killed just before the cut and starts again during it.
func (s *soak) recut(killOwner bool) {
	owner, proxies := s.owner(), s.platform.WorkerProxies(recutService)[:recutWorkers]
	callers := &errgroup.Group{}
	callers.SetLimit(40)
	lasting := s.lastingJob()
	for _, j := range []batch.Job{lasting, s.longJob(), s.longJob()} {
		s.submitLater(j, callers)
	}
	s.submitShortJobs(time.Second, callers)
	s.delayCalls(proxies)
	s.submitLater(s.longJob(), callers)
	s.submitLater(s.longJob(), callers)
	s.submitShortJobs(time.Second, callers)
	s.platform.CrashWorkers(recutService, recutWorkers, 300*time.Millisecond)
	s.submitShortJobs(300*time.Millisecond+s.upTo(time.Second), callers)
	for _, x := range proxies {
		x.Delay(nil)
	}
	s.submitShortJobs(500*time.Millisecond+s.upTo(1500*time.Millisecond), callers)
	if killOwner {
		owner.kill(syscall.SIGKILL)
	}
	for _, x := range proxies {
		x.Isolate()
	}
	s.submitShortJobs(time.Second, callers)
	if killOwner {
		owner.start()
	}
	time.Sleep(cutTime - time.Second)
	delayed := 0
	for _, x := range proxies {
		delayed += x.Stats().Delayed
		x.Rejoin()
	}
	if err := callers.Wait(); err != nil {
		s.t.Error(err)
	}
	s.checkRecut(lasting, delayed)
}

// checkRecut waits until all lasting tasks run, and reports the violations.
func (s *soak) checkRecut(lasting batch.Job, delayed int) {
	if delayed == 0 {
		s.t.Error("no call was held back")
	}
	away := lastingTasks
	for end := time.Now().Add(rejoinTime); away > 0 && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		s.platform.InspectRuns(func(g *worker.Checker) { away = tasksAway(g, lasting) })
	}
	if away > 0 {
		s.t.Errorf("LOST: %d lasting tasks do not run", away)
	}
	time.Sleep(time.Second)
	s.platform.InspectRuns(func(g *worker.Checker) {
		for _, v := range g.Violations() {
			s.t.Error(v)
		}
		s.t.Logf("%d jobs, %d tasks run, %d calls held back", s.jobCount, g.TaskCount(), delayed)
	})
}

// tasksAway returns how many tasks of the job's first step do not run.
func tasksAway(g *worker.Checker, j batch.Job) int {
	n := 0
	for i := range j.Steps[0].Count {
		l := g.Runs(batch.TaskName{Job: j.ID, Index: i}.String())
		if !slices.ContainsFunc(l, func(r worker.RunRecord) bool { return r.EndMs == 0 }) {
			n++
		}
	}
	return n
}

// Calls that a worker's next lifetime carries out although they were meant for the former one must not make a task run twice.
func TestCallsOfFormerLifetimeRunNothingTwice(t *testing.T) {
	for _, killOwner := range []bool{false, true} {
		for i := range *recutSeeds {
			seed := *recutSeed + i
			t.Run(fmt.Sprintf("owner killed %t, seed %d", killOwner, seed), func(t *testing.T) {
				s := newSoak(t, seed, infra.WithWorkerProxies())
				s.recut(killOwner)
				s.keepLogs(seed)
			})
		}
	}
}
