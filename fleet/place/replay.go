package place

import (
	"fmt"
	"math/rand"
	"slices"
)

const (
	replayTickMillis       = 500
	replayUsageMillis      = 5_000 // interval, and so the lag, of usage reports.
	replayFailMillis       = 1_000 // time after which a broken job, or any job on a broken worker, fails.
	replayCheckpointMillis = 800   // time that a checkpoint takes.
	hourMillis             = 3_600_000
)

// TraceJob is a job with its real size and run time and whether it can succeed.
type TraceJob struct {
	Job
	SubmitMillis  int64
	TrueSize      Size
	TrueRunMillis int64
	Broken        bool  // fails on every worker.
	Unrunnable    bool  // no worker of the pool can run it.
	savedMillis   int64 // run time that the last checkpoint saved.
}

// Trace is the load of one pool over a night.
type Trace struct {
	Workers       []Worker
	BrokenWorkers map[string]bool // workers that fail everything.
	Jobs          []TraceJob
	UntilMillis   int64
}

// Policy places jobs in a replay.
type Policy interface {
	Update(msg Msg) []Cmd
}

// Result holds the measurements of a replay.
type Result struct {
	Finished            int
	InTime              int
	Runnable            int // jobs that can succeed on some worker.
	Failures            int // attempts that failed.
	Starts              int
	WastedCoreMillis    int64 // core milliseconds in attempts that failed.
	MaxUrgentWaitMillis int64 // longest time until the first start of an urgent job, in milliseconds.
	DuplicateStarts     int   // starts of a job while another attempt at it was running.
}

// NightTrace returns a random night: kinds of jobs whose real sizes and run times are from a quarter to three times the
// declared ones, some broken jobs and workers, some jobs that no worker can run, and urgent jobs that find the pool full.
func NightTrace(seed int64, workers, jobs int) Trace {
	r := rand.New(rand.NewSource(seed))
	t := Trace{BrokenWorkers: map[string]bool{}, UntilMillis: 5 * hourMillis}
	for i := range workers {
		w := Worker{Name: fmt.Sprintf("w%04d", i), Rack: fmt.Sprintf("r%d", i/4), Size: Size{Cores: 32, MemoryMB: 65_536}}
		t.Workers = append(t.Workers, w)
		t.BrokenWorkers[w.Name] = r.Intn(25) == 0
	}
	for i := range jobs {
		t.Jobs = append(t.Jobs, nightJob(r, i, jobs))
	}
	slices.SortStableFunc(t.Jobs, func(a, b TraceJob) int { return int(a.SubmitMillis - b.SubmitMillis) })
	return t
}

func nightJob(r *rand.Rand, i, jobs int) TraceJob {
	k := r.Intn(8)
	size := []float64{0.25, 0.3, 0.5, 0.5, 1, 1, 1.5, 3}[k]
	run := []float64{3, 0.5, 1, 0.25, 2, 1, 0.5, 1.5}[k]
	d := Size{Cores: float64(2 + k), MemoryMB: float64(2048 * (1 + k%4))}
	j := TraceJob{Job: Job{
		ID: fmt.Sprintf("job%05d", i), Kind: fmt.Sprintf("kind%d", k), Team: fmt.Sprintf("team%d", r.Intn(5)),
		Declared: d, RunMillis: 120_000, FinishByMillis: hourMillis + r.Int63n(4*hourMillis), RunOnce: r.Intn(4) == 0,
	}}
	noise := 0.85 + 0.3*r.Float64()
	j.TrueSize = Size{Cores: d.Cores * size * noise, MemoryMB: d.MemoryMB * size * noise}
	j.TrueRunMillis = int64(120_000 * run * noise)
	switch {
	case r.Intn(50) == 0:
		j.Broken = true
	case r.Intn(100) == 0:
		j.Unrunnable, j.Declared.Accelerators = true, 1
	case r.Intn(50) == 0:
		j.Urgent, j.Kind = true, "urgent"
		j.TrueSize = Size{Cores: 2, MemoryMB: 1024}
		j.Declared, j.TrueRunMillis = j.TrueSize, 20_000
		j.SubmitMillis = r.Int63n(2 * hourMillis)
		j.FinishByMillis = j.SubmitMillis + 60_000
	}
	return j
}

// attempt is one running attempt of a replay.
type attempt struct {
	Task
	job                                   *TraceJob
	worker                                string
	reserved                              Size
	startMillis, leftMillis, stopAtMillis int64
	throttled                             bool
}

// replay is the state of a replay, in virtual time.
type replay struct {
	policy        Policy
	trace         Trace
	jobs          map[string]*TraceJob
	running       []*attempt
	startedUrgent map[string]bool
	nowMillis     int64
	result        Result
}

// Replay runs the trace under the policy and returns what it measured.
func Replay(t Trace, p Policy) Result {
	r := &replay{policy: p, trace: t, jobs: map[string]*TraceJob{}, startedUrgent: map[string]bool{}}
	p.Update(WorkersMsg{Workers: t.Workers})
	for i := range t.Jobs {
		j := t.Jobs[i]
		r.jobs[j.ID] = &j
		if !j.Broken && !j.Unrunnable {
			r.result.Runnable++
		}
	}
	next := 0
	for r.nowMillis = 0; r.nowMillis < t.UntilMillis; r.nowMillis += replayTickMillis {
		var l []Job
		for ; next < len(t.Jobs) && t.Jobs[next].SubmitMillis <= r.nowMillis; next++ {
			l = append(l, t.Jobs[next].Job)
		}
		if len(l) > 0 {
			r.apply(p.Update(SubmitMsg{AtMillis: r.nowMillis, Jobs: l}))
		}
		r.advance()
		r.apply(p.Update(TickMsg{AtMillis: r.nowMillis}))
	}
	return r.result
}

// advance runs the attempts for one tick. On a worker with more demand for cores than it has, all attempts run slower.
func (r *replay) advance() {
	load := map[string]float64{}
	for _, v := range r.running {
		load[v.worker] += v.cores()
	}
	var left []*attempt
	for _, v := range r.running {
		speed := min(1, 32/max(load[v.worker], 1))
		if v.throttled {
			speed *= throttledShare
		}
		v.leftMillis -= int64(replayTickMillis * speed)
		if how, ended := r.outcome(v); ended {
			r.finish(v, how)
			continue
		}
		if (r.nowMillis-v.startMillis)%replayUsageMillis == 0 && r.nowMillis > v.startMillis {
			r.policy.Update(UsageMsg{Task: v.Task, Used: v.job.TrueSize})
		}
		left = append(left, v)
	}
	r.running = left
}

func (v *attempt) cores() float64 {
	if v.throttled {
		return v.job.TrueSize.Cores * throttledShare
	}
	return v.job.TrueSize.Cores
}

// outcome returns whether and how the attempt has ended.
func (r *replay) outcome(v *attempt) (EndState, bool) {
	age := r.nowMillis - v.startMillis
	switch {
	case v.stopAtMillis > 0 && r.nowMillis >= v.stopAtMillis:
		return Stopped, true
	case (v.job.Broken || r.trace.BrokenWorkers[v.worker]) && age >= replayFailMillis:
		return Failed, true
	case v.job.TrueSize.MemoryMB > v.reserved.MemoryMB && age >= v.job.TrueRunMillis/10:
		return OutOfMemory, true
	default:
		return Done, v.leftMillis <= 0
	}
}

func (r *replay) finish(v *attempt, how EndState) {
	switch how {
	case Done:
		r.result.Finished++
		if r.nowMillis <= v.job.FinishByMillis {
			r.result.InTime++
		}
	case Stopped:
		v.job.savedMillis = max(0, v.job.TrueRunMillis-v.leftMillis)
	default:
		r.result.Failures++
		r.result.WastedCoreMillis += int64(float64(r.nowMillis-v.startMillis) * v.job.TrueSize.Cores)
	}
	r.apply(r.policy.Update(EndedMsg{AtMillis: r.nowMillis, Task: v.Task, State: how}))
}

func (r *replay) apply(l []Cmd) {
	for _, c := range l {
		switch c := c.(type) {
		case StartCmd:
			r.start(c)
		case ThrottleCmd:
			r.update(c.Task, func(v *attempt) { v.throttled = c.On })
		case CheckpointCmd:
			r.update(c.Task, func(v *attempt) { v.stopAtMillis = r.nowMillis + replayCheckpointMillis })
		case StopCmd:
			r.update(c.Task, func(v *attempt) { v.stopAtMillis = r.nowMillis })
		}
	}
}

func (r *replay) start(c StartCmd) {
	j := r.jobs[c.Task.Job]
	r.result.Starts++
	for _, v := range r.running {
		if v.Job == c.Task.Job {
			r.result.DuplicateStarts++
		}
	}
	if j.Urgent && !r.startedUrgent[j.ID] {
		r.startedUrgent[j.ID] = true
		r.result.MaxUrgentWaitMillis = max(r.result.MaxUrgentWaitMillis, r.nowMillis-j.SubmitMillis)
	}
	r.running = append(r.running, &attempt{
		Task: c.Task, job: j, worker: c.Worker, reserved: c.Size, startMillis: r.nowMillis, leftMillis: j.TrueRunMillis - j.savedMillis,
	})
}

func (r *replay) update(t Task, f func(*attempt)) {
	for _, v := range r.running {
		if v.Task == t {
			f(v)
		}
	}
}
