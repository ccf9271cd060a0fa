package place

import (
	"slices"
	"strings"
)

// maxFailedWorkers is the number of healthy workers on which a job must fail to be given up.
const maxFailedWorkers = 3

// Placer decides which jobs of one pool run on which workers. It does no I/O: Update takes messages and returns commands.
type Placer struct {
	nowMillis       int64
	workers         map[string]*workerState
	workerNames     []string // sorted.
	byFreeCores     coreIndex
	largestWorker   Size
	jobs            map[string]*jobState
	kinds           map[string]*kindStats
	queues          map[queueKey]*queue
	quotaCores      map[string]float64
	teamCores       map[string]float64 // cores reserved for each team's tasks, without regard to throttling.
	tasksByKindRack map[string]int     // number of tasks by "kind/rack".
	throttledTasks  []*task            // throttled tasks, oldest first.
}

// jobState is a waiting or running job and the history of its attempts.
type jobState struct {
	Job
	attempt        int
	insufficientMB float64 // largest reservation with which an attempt ran out of memory.
	failedOn       map[string]bool
	failures       int
	task           *task // the running attempt; nil while the job waits.
	canceled       bool
}

// New returns a placer without workers or jobs.
func New() *Placer {
	return &Placer{
		workers: map[string]*workerState{}, jobs: map[string]*jobState{}, kinds: map[string]*kindStats{},
		queues: map[queueKey]*queue{}, teamCores: map[string]float64{}, tasksByKindRack: map[string]int{},
	}
}

// Waiting returns the number of jobs that are neither running nor ended.
func (p *Placer) Waiting() int {
	n := 0
	for _, e := range p.jobs {
		if e.task == nil {
			n++
		}
	}
	return n
}

// Running returns the number of jobs with a running attempt.
func (p *Placer) Running() int { return len(p.jobs) - p.Waiting() }

// IsQuarantined reports whether the worker is quarantined, or on probation after it.
func (p *Placer) IsQuarantined(worker string) bool {
	m := p.workers[worker]
	return m != nil && m.quarantineMillis > 0
}

// Update handles one message and returns the commands to carry out.
func (p *Placer) Update(msg Msg) []Cmd {
	switch m := msg.(type) {
	case WorkersMsg:
		p.updateWorkers(m.Workers)
	case QuotaMsg:
		p.quotaCores = m.Cores
	case SubmitMsg:
		p.nowMillis = max(p.nowMillis, m.AtMillis)
		return p.submit(m.Jobs)
	case CancelMsg:
		return p.cancel(m.Jobs)
	case UsageMsg:
		p.recordUsage(m)
	case EndedMsg:
		p.nowMillis = max(p.nowMillis, m.AtMillis)
		return p.taskEnded(m)
	case LeaseExpiredMsg:
		p.nowMillis = max(p.nowMillis, m.AtMillis)
		p.leaseExpired(m.Task)
	case TickMsg:
		p.nowMillis = max(p.nowMillis, m.AtMillis)
		return p.place()
	}
	return nil
}

func (p *Placer) updateWorkers(l []Worker) {
	listed := make(map[string]bool, len(l))
	p.largestWorker = Size{}
	for _, w := range l {
		listed[w.Name] = true
		m := p.workers[w.Name]
		if m == nil {
			m = &workerState{tasks: map[string]*task{}, failedJobs: map[string]bool{}, bucket: -1}
			p.workers[w.Name] = m
		}
		m.Worker = w
		p.byFreeCores.update(m)
		p.largestWorker.Cores = max(p.largestWorker.Cores, w.Size.Cores)
		p.largestWorker.MemoryMB = max(p.largestWorker.MemoryMB, w.Size.MemoryMB)
		p.largestWorker.Accelerators = max(p.largestWorker.Accelerators, w.Size.Accelerators)
	}
	p.workerNames = p.workerNames[:0]
	for n, m := range p.workers {
		if !listed[n] {
			m.Unschedulable = true
			p.byFreeCores.remove(m)
		}
		if !listed[n] && len(m.tasks) == 0 {
			delete(p.workers, n)
			continue
		}
		p.workerNames = append(p.workerNames, n)
	}
	slices.Sort(p.workerNames)
}

func (p *Placer) submit(l []Job) []Cmd {
	var c []Cmd
	for _, j := range l {
		if _, ok := p.jobs[j.ID]; ok {
			continue
		}
		e := &jobState{Job: j, failedOn: map[string]bool{}}
		p.jobs[j.ID] = e
		if len(p.workerNames) > 0 && j.Declared.Accelerators > p.largestWorker.Accelerators {
			c = p.giveUp(c, e, NoWorker)
			continue
		}
		p.enqueue(e)
	}
	return c
}

// giveUp forgets a job that will not run; its queue drops it later, since it is marked as canceled.
func (p *Placer) giveUp(c []Cmd, e *jobState, reason Reason) []Cmd {
	delete(p.jobs, e.ID)
	e.canceled = true
	return append(c, GiveUpCmd{Job: e.ID, Reason: reason})
}

// cancel cancels jobs and stops their tasks. A waiting job is only marked, and leaves its queue when it reaches the head.
func (p *Placer) cancel(l []string) []Cmd {
	var c []Cmd
	for _, id := range l {
		e := p.jobs[id]
		if e == nil || e.canceled {
			continue
		}
		e.canceled = true
		if e.task == nil {
			delete(p.jobs, id)
		} else if !e.task.stopping {
			e.task.stopping = true
			c = append(c, StopCmd{Task: e.task.Task, Worker: e.task.worker.Name})
		}
	}
	return c
}

// runningTask returns the running attempt with this job and attempt number, or nil if it is not the current one.
func (p *Placer) runningTask(t Task) *task {
	e := p.jobs[t.Job]
	if e == nil || e.task == nil || e.task.Task != t {
		return nil
	}
	return e.task
}

func (p *Placer) recordUsage(m UsageMsg) {
	if t := p.runningTask(m.Task); t != nil {
		t.peakUsage.Cores = max(t.peakUsage.Cores, m.Used.Cores)
		t.peakUsage.MemoryMB = max(t.peakUsage.MemoryMB, m.Used.MemoryMB)
	}
}

func (p *Placer) kind(name string) *kindStats {
	k := p.kinds[name]
	if k == nil {
		k = &kindStats{}
		p.kinds[name] = k
	}
	return k
}

func (p *Placer) taskEnded(m EndedMsg) []Cmd {
	t := p.runningTask(m.Task)
	if t == nil {
		return nil
	}
	e, w, k := t.job, t.worker, p.kind(t.job.Kind)
	p.release(t)
	if m.State == OutOfMemory {
		k.cores.add(max(t.peakUsage.Cores, t.size.Cores))
		k.memory.add(memoryGrowth * t.size.MemoryMB)
	} else if t.peakUsage.Cores > 0 {
		k.cores.add(t.peakUsage.Cores)
		k.memory.add(t.peakUsage.MemoryMB)
	}
	switch {
	case m.State == Done:
		k.run.add(float64(m.AtMillis - t.startedMillis))
		w.recordSuccess()
		delete(p.jobs, e.ID)
		return nil
	case e.canceled:
		delete(p.jobs, e.ID)
		return nil
	case m.State == OutOfMemory:
		e.insufficientMB = max(e.insufficientMB, t.size.MemoryMB)
		if t.size.MemoryMB >= p.largestWorker.MemoryMB {
			return p.giveUp(nil, e, TooLarge)
		}
	case m.State == Failed:
		if c, givenUp := p.attributeFailure(e, w); givenUp {
			return c
		}
	}
	p.enqueue(e)
	return nil
}

// attributeFailure records a failure against the job and the worker, and reports whether the job was given up. Failures
// on quarantined workers do not count against the job. In a pool with fewer than maxFailedWorkers workers, a job may fail
// on the same worker again, and its number of failures counts instead.
func (p *Placer) attributeFailure(e *jobState, w *workerState) ([]Cmd, bool) {
	e.failedOn[w.Name] = true
	e.failures++
	w.recordFailure(e.ID, p.nowMillis)
	healthy := 0
	for n := range e.failedOn {
		if m := p.workers[n]; m != nil && m.isHealthy() {
			healthy++
		}
	}
	few := len(p.workerNames) < maxFailedWorkers
	if healthy < maxFailedWorkers && (!few || e.failures < maxFailedWorkers) {
		if few {
			clear(e.failedOn)
		}
		return nil, false
	}
	for n := range e.failedOn { // the job was at fault: its failures do not count against the workers.
		if m := p.workers[n]; m != nil {
			delete(m.failedJobs, e.ID)
		}
	}
	return p.giveUp(nil, e, RepeatedlyFailed), true
}

// leaseExpired queues a job for another attempt after its task's lease has expired. A job that must not have two running
// copies waits instead until its task is known to have ended.
func (p *Placer) leaseExpired(id Task) {
	t := p.runningTask(id)
	if t == nil || t.job.RunOnce {
		return
	}
	p.release(t)
	if t.job.canceled {
		delete(p.jobs, t.job.ID)
		return
	}
	p.enqueue(t.job)
}

// release frees what is reserved for the task and clears it from its job.
func (p *Placer) release(t *task) {
	m := t.worker
	m.reserved.Cores -= t.cores()
	m.reserved.MemoryMB -= t.size.MemoryMB
	m.reserved.Accelerators -= t.size.Accelerators
	delete(m.tasks, t.Job)
	p.teamCores[t.job.Team] -= t.size.Cores
	p.tasksByKindRack[t.job.Kind+"/"+m.Rack]--
	p.throttledTasks = slices.DeleteFunc(p.throttledTasks, func(o *task) bool { return o == t })
	t.job.task = nil
	if m.bucket >= 0 {
		p.byFreeCores.update(m)
	}
}

func byName(a, b *task) int { return strings.Compare(a.Job, b.Job) }
