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
	At          int64
	True        Size
	TrueRun     int64
	Broken      bool  // fails on every worker.
	Undoable    bool  // no worker of the pool can run it.
	savedMillis int64 // run time that the last checkpoint saved.
}

// Trace is the load of one pool over a night.
type Trace struct {
	Workers []Worker
	Broken  map[string]bool // workers that fail everything.
	Jobs    []TraceJob
	Until   int64
}

// Policy places jobs in a replay.
type Policy interface {
	Update(msg Msg) []Cmd
}

// Result holds the measurements of a replay.
type Result struct {
	Finished   int
	InTime     int
	Runnable   int // jobs that can succeed on some worker.
	Failures   int // attempts that failed.
	Starts     int
	WastedRun  int64 // core milliseconds in attempts that failed.
	UrgentWait int64 // longest time until the first start of an urgent job, in milliseconds.
	Doubled    int   // starts of a job while another attempt at it was running.
}

// NightTrace returns a random night: kinds of jobs whose real sizes and run times are from a quarter to three times the
// declared ones, some broken jobs and workers, some jobs that no worker can run, and urgent jobs that find the pool full.
func NightTrace(seed int64, workers, jobs int) Trace {
	r := rand.New(rand.NewSource(seed))
	t := Trace{Broken: map[string]bool{}, Until: 5 * hourMillis}
	for i := range workers {
		w := Worker{Name: fmt.Sprintf("w%04d", i), Rack: fmt.Sprintf("r%d", i/4), Size: Size{Cores: 32, MemoryMB: 65_536}}
		t.Workers = append(t.Workers, w)
		t.Broken[w.Name] = r.Intn(25) == 0
	}
	for i := range jobs {
		t.Jobs = append(t.Jobs, nightJob(r, i, jobs))
	}
	slices.SortStableFunc(t.Jobs, func(a, b TraceJob) int { return int(a.At - b.At) })
	return t
}

func nightJob(r *rand.Rand, i, jobs int) TraceJob {
	k := r.Intn(8)
	size := []float64{0.25, 0.3, 0.5, 0.5, 1, 1, 1.5, 3}[k]
	run := []float64{3, 0.5, 1, 0.25, 2, 1, 0.5, 1.5}[k]
	d := Size{Cores: float64(2 + k), MemoryMB: float64(2048 * (1 + k%4))}
	j := TraceJob{Job: Job{
		ID: fmt.Sprintf("job%05d", i), Kind: fmt.Sprintf("kind%d", k), Team: fmt.Sprintf("team%d", r.Intn(5)),
		Declared: d, RunMillis: 120_000, FinishBy: hourMillis + r.Int63n(4*hourMillis), RunOnce: r.Intn(4) == 0,
	}}
	noise := 0.85 + 0.3*r.Float64()
	j.True = Size{Cores: d.Cores * size * noise, MemoryMB: d.MemoryMB * size * noise}
	j.TrueRun = int64(120_000 * run * noise)
	switch {
	case r.Intn(50) == 0:
		j.Broken = true
	case r.Intn(100) == 0:
		j.Undoable, j.Declared.Accelerators = true, 1
	case r.Intn(50) == 0:
		j.Urgent, j.Kind = true, "urgent"
		j.True = Size{Cores: 2, MemoryMB: 1024}
		j.Declared, j.TrueRun = j.True, 20_000
		j.At = r.Int63n(2 * hourMillis)
		j.FinishBy = j.At + 60_000
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
		if !j.Broken && !j.Undoable {
			r.result.Runnable++
		}
	}
	next := 0
	for r.nowMillis = 0; r.nowMillis < t.Until; r.nowMillis += replayTickMillis {
		var l []Job
		for ; next < len(t.Jobs) && t.Jobs[next].At <= r.nowMillis; next++ {
			l = append(l, t.Jobs[next].Job)
		}
		if len(l) > 0 {
			r.apply(p.Update(SubmitMsg{At: r.nowMillis, Jobs: l}))
		}
		r.advance()
		r.apply(p.Update(TickMsg{At: r.nowMillis}))
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
			r.policy.Update(UsageMsg{Task: v.Task, Used: v.job.True})
		}
		left = append(left, v)
	}
	r.running = left
}

func (v *attempt) cores() float64 {
	if v.throttled {
		return v.job.True.Cores * throttledShare
	}
	return v.job.True.Cores
}

// outcome returns whether and how the attempt has ended.
func (r *replay) outcome(v *attempt) (End, bool) {
	age := r.nowMillis - v.startMillis
	switch {
	case v.stopAtMillis > 0 && r.nowMillis >= v.stopAtMillis:
		return Stopped, true
	case (v.job.Broken || r.trace.Broken[v.worker]) && age >= replayFailMillis:
		return Failed, true
	case v.job.True.MemoryMB > v.reserved.MemoryMB && age >= v.job.TrueRun/10:
		return TooBig, true
	default:
		return Done, v.leftMillis <= 0
	}
}

func (r *replay) finish(v *attempt, how End) {
	switch how {
	case Done:
		r.result.Finished++
		if r.nowMillis <= v.job.FinishBy {
			r.result.InTime++
		}
	case Stopped:
		v.job.savedMillis = max(0, v.job.TrueRun-v.leftMillis)
	default:
		r.result.Failures++
		r.result.WastedRun += int64(float64(r.nowMillis-v.startMillis) * v.job.True.Cores)
	}
	r.apply(r.policy.Update(EndedMsg{At: r.nowMillis, Task: v.Task, How: how}))
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
			r.result.Doubled++
		}
	}
	if j.Urgent && !r.startedUrgent[j.ID] {
		r.startedUrgent[j.ID] = true
		r.result.UrgentWait = max(r.result.UrgentWait, r.nowMillis-j.At)
	}
	r.running = append(r.running, &attempt{
		Task: c.Task, job: j, worker: c.Worker, reserved: c.Size, startMillis: r.nowMillis, leftMillis: j.TrueRun - j.savedMillis,
	})
}

func (r *replay) update(t Task, f func(*attempt)) {
	for _, v := range r.running {
		if v.Task == t {
			f(v)
		}
	}
}
