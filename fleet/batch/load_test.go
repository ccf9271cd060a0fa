package batch_test

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"burdockreach.dev/fakes/worker"
	"burdockreach.dev/fleet/batch"
)

// callerLoad is a load of jobs whose callers' estimates are far off and whose run times differ.
type callerLoad struct {
	seed      uint64
	pools     []string             // pool of each machine; the pool "parked" is on standby.
	queues    map[string]queueLoad // by pool.
	lasting   int                  // lasting jobs in each pool.
	noStandby bool                 // there is no pool on standby.
	lookAhead bool                 // the owner's setting.
	storeMs   int64                // time of a write to the store; 0: the default.
	late      int                  // orders to workers, in thousandths, that are held up and not answered.
	from, to  int64                // jobs submitted in this time count.
	until     int64
	copies    bool              // half of the jobs allow copies.
	each      func(*simulation) // called in every step, if not nil.
	speeds    bool              // owners learn the speeds of workers.
}

// queueLoad is the load of one queue.
type queueLoad struct {
	kind  jobKind
	cores func(now int64) float64 // submitted work per time.

	large      jobKind
	largeShare float64 // share of the work that jobs of the large kind have.
}

// jobKind gives the means of a kind of job.
type jobKind struct {
	steps       float64
	runMs       float64 // of one task.
	cpu, maxCPU float64 // of one task, in thousandths of a core.
	memMB       float64 // of one task.
	taskSpread  float64 // of the run times within a job.
	tasks       float64 // mean number of tasks of a step; 0 for meanTasks.
}

// Kinds of jobs: short checks, and larger builds.
var (
	checks = jobKind{steps: 1.6, runMs: 1_000, cpu: 4_500, maxCPU: 13_000, memMB: 6_400, taskSpread: 0.15}
	builds = jobKind{steps: 2, runMs: 1_300, cpu: 9_700, maxCPU: 29_000, memMB: 18_000, taskSpread: 0.3}
)

// callerResult is what the callers got, in shares of the jobs' value, and what it took.
type callerResult struct {
	inTime, late, lost float64
	moves              int
	lastingJobs        int
	twice              float64 // work that is done again or for nothing, as a share of all work.
	modelSeconds       float64 // processor time of the owner.
	large, small       kindResult
	poolSeconds        float64 // of machines outside the parked pool.
}

// Parameters of the jobs. Spreads are standard deviations of the logarithm.
const (
	machineCPU       = 32_000 // thousandths of a core
	machineMemMB     = 64_000
	runSpread        = 0.5
	estimateSpread   = 0.9
	meanTasks        = 8.0
	maxTasks         = 32
	sizeSpread       = 0.6 // of the number of tasks and of their memory.
	cpuSpread        = 0.45
	objectiveFactor  = 1.6
	objectiveExtraMs = 600
	lateLimit        = 3 // multiple of the objective after which a job is of no use.
	ordersPerSec     = 500
)

// lognormal draws from a lognormal distribution with the given mean.
func lognormal(r *rand.Rand, mean, spread float64) float64 {
	return mean * math.Exp(spread*r.NormFloat64()-spread*spread/2)
}

// callerJob is one job with the run times of its tasks.
type callerJob struct {
	batch.Job
	runMs     [][]int64 // by step and task.
	work      float64   // thousandths of a core times milliseconds.
	objective int64     // ms
	sentAt    int64
	endedAt   int64 // 0 before.
	large     bool
}

func newCallerJob(r *rand.Rand, k jobKind, n int, pool string) *callerJob {
	j := &callerJob{Job: batch.Job{
		ID: jobID(n), Queue: "q-" + pool, Service: pool, Attempts: 3, ObjectiveFactor: objectiveFactor, ObjectiveExtraMs: objectiveExtraMs,
	}}
	scale := lognormal(r, k.runMs, runSpread)
	chain := int64(0)
	steps := int(k.steps)
	if r.Float64() < k.steps-float64(steps) {
		steps++
	}
	for i := range steps {
		s := batch.Step{
			Count:      min(max(int(lognormal(r, cmp.Or(k.tasks, meanTasks), sizeSpread)), 1), maxTasks),
			Size:       batch.Size{CPU: int64(min(lognormal(r, k.cpu, cpuSpread), k.maxCPU)), MemMB: int64(min(lognormal(r, k.memMB, sizeSpread), 3*k.memMB))},
			EstimateMs: int64(max(scale*math.Exp(estimateSpread*r.NormFloat64()), 1)),
		}
		if i > 0 {
			s.After = []int{i - 1}
		}
		l, longest := []int64{}, int64(0)
		for range s.Count {
			ms := int64(lognormal(r, scale, k.taskSpread))
			l, longest = append(l, ms), max(longest, ms)
			j.work += float64(ms * s.Size.CPU)
		}
		chain += longest
		j.Steps, j.runMs = append(j.Steps, s), append(j.runMs, l)
	}
	j.objective = int64(objectiveFactor*float64(chain)) + objectiveExtraMs
	return j
}

// lastingJob returns a job of four lasting tasks on different workers.
func lastingJob(r *rand.Rand, n int, pool string) batch.Job {
	return batch.Job{ID: jobID(n), Queue: "l-" + pool, Service: pool, ObjectiveFactor: 2.2, ObjectiveExtraMs: 2_500, Steps: []batch.Step{{
		Count: 4, Size: batch.Size{CPU: 4_800, MemMB: int64(min(lognormal(r, 22_000, sizeSpread), 60_000))}, EstimateMs: 500,
		Lasting: true, PerWorker: 1, MayMiss: 1,
	}}}
}

// play runs the load and returns what the callers got.
func (o callerLoad) play(t testing.TB) callerResult {
	t.Helper()
	w := newSimulation(t, o.seed, 0, faults{late: o.late, lookAhead: o.lookAhead, speeds: o.speeds})
	w.ordersPerSec = ordersPerSec
	if o.storeMs > 0 {
		w.storeMs = o.storeMs
	}
	w.fleet.services = nil
	if !o.noStandby {
		w.fleet.services = append(w.fleet.services, batch.Service{Name: "parked", Standby: true})
	}
	for _, p := range slices.Sorted(maps.Keys(o.queues)) {
		w.fleet.services = append(w.fleet.services, batch.Service{Name: p, Guards: true})
	}
	for _, p := range o.pools {
		w.fleet.add(p, batch.Size{CPU: machineCPU, MemMB: machineMemMB})
	}
	w.owners = nil
	w.startOwner()
	r := rand.New(rand.NewPCG(o.seed, 99))
	jobs := map[string]*callerJob{}
	w.runMs = func(n batch.TaskName) int64 {
		if jobs[n.Job] == nil {
			return worker.Never
		}
		return jobs[n.Job].runMs[n.Step][n.Index]
	}
	x := callerResult{}
	owed := map[string]float64{}
	w.run(o.until, func() {
		for _, p := range slices.Sorted(maps.Keys(o.queues)) {
			q := o.queues[p]
			if w.now == 2_000 {
				for range o.lasting {
					x.lastingJobs++
					w.submit(lastingJob(r, 1_000_000+x.lastingJobs, p))
				}
			}
			for owed[p] += q.cores(w.now) * 1000 * stepMs; owed[p] > 0 && q.cores(w.now) > 0; {
				j := o.newJob(r, q, len(jobs)+1, p)
				j.sentAt = w.now
				jobs[j.ID] = j
				for i := range j.Steps {
					j.Steps[i].Copies = o.copies && len(jobs)%2 == 0
				}
				owed[p] -= j.work
				w.submit(j.Job)
			}
		}
		if o.each != nil {
			o.each(w)
		}
		for id, j := range jobs {
			if j.endedAt == 0 && w.owners[0].m.State(id) == batch.StateCompleted {
				j.endedAt = w.now
			}
		}
		for _, m := range w.fleet.machines {
			if m.pool != "parked" {
				x.poolSeconds += float64(stepMs) / 1000
			}
		}
	})
	w.report()
	x.moves, x.modelSeconds = w.fleet.moves, w.modelTime.Seconds()
	x.count(jobs, o.from, o.to)
	x.countKinds(jobs, w.judge, o)
	x.twice = workDoneTwice(w.judge, jobs)
	return x
}

// newJob draws a job of the queue.
func (o callerLoad) newJob(r *rand.Rand, q queueLoad, n int, pool string) *callerJob {
	if q.largeShare == 0 {
		return newCallerJob(r, q.kind, n, pool)
	}
	work := func(k jobKind) float64 { return k.steps * k.runMs * k.cpu * cmp.Or(k.tasks, meanTasks) }
	a, b := q.largeShare/work(q.large), (1-q.largeShare)/work(q.kind)
	if r.Float64()*(a+b) >= a {
		return newCallerJob(r, q.kind, n, pool)
	}
	j := newCallerJob(r, q.large, n, pool)
	j.Queue, j.large = "large-"+pool, true
	return j
}

// workDoneTwice returns the share of the workers' time that went into runs which did not end their task, weighted by cores.
func workDoneTwice(k *worker.Checker, jobs map[string]*callerJob) float64 {
	all, waste := 0.0, 0.0
	for _, j := range jobs {
		for s, l := range j.runMs {
			for i := range l {
				for _, r := range k.Runs(batch.TaskName{Job: j.ID, Step: s, Index: i}.String()) {
					c := float64(max(r.EndMs-r.StartMs, 0) * j.Steps[s].Size.CPU)
					all += c
					if r.EndMs > 0 && r.Reason != batch.EndDone {
						waste += c
					}
				}
			}
		}
	}
	return waste / all
}

// count adds up the shares of the jobs that were submitted in the given time.
func (x *callerResult) count(jobs map[string]*callerJob, from, to int64) {
	mean, total := 0.0, 0.0
	for _, j := range jobs {
		mean += j.work / float64(len(jobs))
	}
	for _, j := range jobs {
		if j.sentAt < from || j.sentAt >= to {
			continue
		}
		v := 0.3 + 0.7*min(j.work/mean, 4)
		total += v
		switch took := j.endedAt - j.sentAt; {
		case j.endedAt == 0 || took > lateLimit*j.objective:
			x.lost += v
		case took > j.objective:
			x.late += v
		default:
			x.inTime += v
		}
	}
	x.inTime, x.late, x.lost = x.inTime/total, x.late/total, x.lost/total
}

// mean returns the mean of the results with several seeds.
func (o callerLoad) mean(t *testing.T, seeds uint64) callerResult {
	t.Helper()
	var sum callerResult
	for i := range seeds {
		o.seed = i + 1
		x := o.play(t)
		n := float64(seeds)
		sum.inTime, sum.late, sum.lost = sum.inTime+x.inTime/n, sum.late+x.late/n, sum.lost+x.lost/n
		sum.twice += x.twice / n
		sum.moves, sum.poolSeconds = sum.moves+x.moves/int(seeds), sum.poolSeconds+x.poolSeconds/n
	}
	return sum
}

// String returns the result as text.
func (x callerResult) String() string {
	return fmt.Sprintf("in time %.3f, late %.3f, lost %.3f, %.4f done twice, %d moves, %.0f pool seconds", x.inTime, x.late, x.lost, x.twice, x.moves, x.poolSeconds)
}

// peak returns a load that rises linearly from base to top in the given time, and lasts until the end.
func peak(base, top float64, from, rise, to int64) func(int64) float64 {
	return func(now int64) float64 {
		switch {
		case now < from || now >= to && now < to+2_000:
			return base
		case now >= to:
			return 0
		}
		return base + (top-base)*min(float64(now-from)/float64(rise), 1)
	}
}

// bump returns a load that rises from base to top and falls again within ms milliseconds.
func bump(base, top float64, from, ms int64) func(int64) float64 {
	return func(now int64) float64 {
		if now < from || now > from+ms {
			return base
		}
		s := math.Sin(math.Pi * float64(now-from) / float64(ms))
		return base + (top-base)*s*s
	}
}

func pools(n map[string]int) []string {
	var l []string
	for _, p := range slices.Sorted(maps.Keys(n)) {
		for range n[p] {
			l = append(l, p)
		}
	}
	return l
}

// peakOfOnePool returns a load on one pool of 60 machines: it rises within two seconds to a multiple of what the pool can
// serve, and lasts for four more.
func peakOfOnePool(factor float64) callerLoad {
	const cores = 60 * machineCPU / 1000
	return callerLoad{
		pools:  pools(map[string]int{"s": 60}),
		queues: map[string]queueLoad{"s": {kind: checks, cores: peak(0.2*cores, factor*cores, 6_000, 2_000, 12_000)}}, from: 6_000, to: 14_000, until: 32_000,
	}
}

// Parking idle machines saves their cost, but must not take them from a pool whose load rises.
func TestParkingSparesPeak(t *testing.T) {
	o := peakOfOnePool(1.3)
	with := o.mean(t, 4)
	o.noStandby = true
	without := o.mean(t, 4)
	t.Logf("with a pool on standby: %v; without: %v", with, without)
	is.New(t).True(with.inTime >= without.inTime-0.05)
}

// In overload, a pool serves at least two thirds of what its room allows in time. The room lasts from the rise of the
// load until the callers' patience after it ends, at 1.5 s for a mean job.
func TestOverload(t *testing.T) {
	for _, f := range []float64{1.3, 1.7, 2.5} {
		t.Run(fmt.Sprintf("%.1f times the room", f), func(t *testing.T) {
			o := peakOfOnePool(f)
			o.noStandby = true
			x := o.mean(t, 4)
			room := float64(o.to-o.from)/1000 + 1.5
			submitted := (0.2 + f) + 4*f + 2*0.2 // the rise, the peak and the load after it, in seconds of the pool.
			t.Log(x)
			is.New(t).True(x.inTime >= 2.0/3*min(room/submitted, 1))
		})
	}
}

// While the store is slow, jobs wait for their own writes, not for those of others: 300 jobs a second, each with a run time
// of about 0.3 s and room for all, end in time though each write takes 0.2 s.
func TestSlowStore(t *testing.T) {
	short := jobKind{steps: 1, runMs: 300, cpu: 2_000, maxCPU: 4_000, memMB: 1_000, taskSpread: 0.15}
	o := callerLoad{
		pools: pools(map[string]int{"s": 80}), noStandby: true, storeMs: 200, from: 4_000, to: 8_000, until: 12_000,
		queues: map[string]queueLoad{"s": {kind: short, cores: peak(0, 300*meanTasks*0.3*2, 3_000, 500, 8_000)}},
	}
	x := o.mean(t, 2)
	t.Log(x)
	is.New(t).True(x.inTime >= 0.9)
}

// When one in twenty calls to workers goes unanswered and there is room for all, nine in ten jobs end in time: a lost answer to a poll
// must not hide the ends at its worker for long, as steps wait for their last task.
func TestLostAnswers(t *testing.T) {
	const cores = 60 * machineCPU / 1000
	o := callerLoad{
		pools: pools(map[string]int{"s": 60}), noStandby: true, late: 50, from: 4_000, to: 10_000, until: 20_000,
		queues: map[string]queueLoad{"s": {kind: checks, cores: peak(0.1*cores, 0.5*cores, 3_000, 500, 10_000)}},
	}
	x := o.mean(t, 40) // single seeds differ by 0.16.
	t.Log(x)
	is.New(t).True(x.inTime >= 0.9)
}

// The pools together have room for peaks that come one after the other, although each peak exceeds its own pool.
func TestTurns(t *testing.T) {
	q := map[string]queueLoad{}
	for i, p := range []string{"a", "b", "c", "d"} {
		k := checks
		if i%2 == 1 {
			k = builds
		}
		q[p] = queueLoad{kind: k, cores: bump(2*machineCPU/1000, 62*machineCPU/1000, 4_000+int64(i)*10_000, 10_000)}
	}
	for _, n := range []int{0, 5} {
		t.Run(fmt.Sprintf("%d lasting jobs in each pool", n), func(t *testing.T) {
			x := callerLoad{pools: pools(map[string]int{"a": 22, "b": 24, "c": 27, "d": 30, "parked": 20}), queues: q, lasting: n, from: 3_000, to: 44_000, until: 54_000}.mean(t, 2)
			t.Log(x)
			is.New(t).True(x.inTime >= 0.95)
		})
	}
}
