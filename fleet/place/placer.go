package place

import (
	"slices"
	"strings"
)

// badJobWorkers is how many good workers a job may fail on before it is given up.
const badJobWorkers = 3

// Placer decides for one pool.
type Placer struct {
	now     int64
	workers map[string]*machine
	names   []string // of workers, sorted.
	index   index
	largest Size
	jobs    map[string]*entry
	kinds   map[string]*kind
	lines   map[line]*queue
	quotas  map[string]float64
	teams   map[string]float64 // cores that each team's tasks hold.
	spread  map[string]int     // tasks by kind and rack.
	calmed  []*task            // throttled tasks, oldest first.
}

// entry is one job and its attempts.
type entry struct {
	Job
	attempt  int
	tooSmall float64 // memory that was not enough.
	failedOn map[string]bool
	failures int
	task     *task // the running attempt; nil while the job waits.
	canceled bool
}

// New returns a placer without workers or jobs.
func New() *Placer {
	return &Placer{
		workers: map[string]*machine{}, jobs: map[string]*entry{}, kinds: map[string]*kind{},
		lines: map[line]*queue{}, teams: map[string]float64{}, spread: map[string]int{},
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

// IsAside tells whether the worker is set aside.
func (p *Placer) IsAside(worker string) bool {
	m := p.workers[worker]
	return m != nil && m.wait > 0
}

// Update takes one message in and returns what is to be done.
func (p *Placer) Update(msg Msg) []Cmd {
	switch m := msg.(type) {
	case WorkersMsg:
		p.takeWorkers(m.Workers)
	case QuotaMsg:
		p.quotas = m.Cores
	case SubmitMsg:
		p.now = max(p.now, m.At)
		return p.submit(m.Jobs)
	case CancelMsg:
		return p.cancel(m.Jobs)
	case UsageMsg:
		p.use(m)
	case EndedMsg:
		p.now = max(p.now, m.At)
		return p.ended(m)
	case LapsedMsg:
		p.now = max(p.now, m.At)
		p.lapsed(m.Task)
	case TickMsg:
		p.now = max(p.now, m.At)
		return p.place()
	}
	return nil
}

func (p *Placer) takeWorkers(l []Worker) {
	seen := make(map[string]bool, len(l))
	p.largest = Size{}
	for _, w := range l {
		seen[w.Name] = true
		m := p.workers[w.Name]
		if m == nil {
			m = &machine{tasks: map[string]*task{}, strikes: map[string]bool{}, bucket: -1}
			p.workers[w.Name] = m
		}
		m.Worker = w
		p.index.put(m)
		p.largest.Cores = max(p.largest.Cores, w.Size.Cores)
		p.largest.MemoryMB = max(p.largest.MemoryMB, w.Size.MemoryMB)
		p.largest.Accelerators = max(p.largest.Accelerators, w.Size.Accelerators)
	}
	p.names = p.names[:0]
	for n, m := range p.workers {
		if !seen[n] {
			m.Out = true
			p.index.drop(m)
		}
		if !seen[n] && len(m.tasks) == 0 {
			delete(p.workers, n)
			continue
		}
		p.names = append(p.names, n)
	}
	slices.Sort(p.names)
}

func (p *Placer) submit(l []Job) []Cmd {
	var c []Cmd
	for _, j := range l {
		if _, ok := p.jobs[j.ID]; ok {
			continue
		}
		e := &entry{Job: j, failedOn: map[string]bool{}}
		p.jobs[j.ID] = e
		if len(p.names) > 0 && j.Declared.Accelerators > p.largest.Accelerators {
			c = p.giveUp(c, e, NoWorker)
			continue
		}
		p.queue(e)
	}
	return c
}

func (p *Placer) giveUp(c []Cmd, e *entry, why Reason) []Cmd {
	delete(p.jobs, e.ID)
	e.canceled = true
	return append(c, GiveUpCmd{Job: e.ID, Reason: why})
}

// cancel takes jobs out; those that wait are only marked, and leave their queue when they come to its head.
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
		} else if !e.task.ending {
			e.task.ending = true
			c = append(c, StopCmd{Task: e.task.Task, Worker: e.task.machine.Name})
		}
	}
	return c
}

// find returns the running attempt that the task names; an earlier attempt is not it.
func (p *Placer) find(t Task) *task {
	e := p.jobs[t.Job]
	if e == nil || e.task == nil || e.task.Task != t {
		return nil
	}
	return e.task
}

func (p *Placer) use(m UsageMsg) {
	if t := p.find(m.Task); t != nil {
		t.peak.Cores = max(t.peak.Cores, m.Used.Cores)
		t.peak.MemoryMB = max(t.peak.MemoryMB, m.Used.MemoryMB)
	}
}

func (p *Placer) kind(name string) *kind {
	k := p.kinds[name]
	if k == nil {
		k = &kind{}
		p.kinds[name] = k
	}
	return k
}

func (p *Placer) ended(m EndedMsg) []Cmd {
	t := p.find(m.Task)
	if t == nil {
		return nil
	}
	e, w, k := t.job, t.machine, p.kind(t.job.Kind)
	p.release(t)
	if m.How == TooBig {
		k.cores.add(max(t.peak.Cores, t.size.Cores))
		k.memory.add(growShare * t.size.MemoryMB)
	} else if t.peak.Cores > 0 {
		k.cores.add(t.peak.Cores)
		k.memory.add(t.peak.MemoryMB)
	}
	switch {
	case m.How == Done:
		k.run.add(float64(m.At - t.started))
		w.succeeded()
		delete(p.jobs, e.ID)
		return nil
	case e.canceled:
		delete(p.jobs, e.ID)
		return nil
	case m.How == TooBig:
		e.tooSmall = max(e.tooSmall, t.size.MemoryMB)
		if t.size.MemoryMB >= p.largest.MemoryMB {
			return p.giveUp(nil, e, Larger)
		}
	case m.How == Failed:
		if c, gone := p.blame(e, w); gone {
			return c
		}
	}
	p.queue(e)
	return nil
}

// blame lays a failure to the job if the worker is good, else to the worker, and tells whether the job was given up.
func (p *Placer) blame(e *entry, w *machine) ([]Cmd, bool) {
	e.failedOn[w.Name] = true
	e.failures++
	w.failed(e.ID, p.now)
	good := 0
	for n := range e.failedOn {
		if m := p.workers[n]; m != nil && m.isGood() {
			good++
		}
	}
	few := len(p.names) < badJobWorkers
	if good < badJobWorkers && (!few || e.failures < badJobWorkers) {
		if few {
			clear(e.failedOn)
		}
		return nil, false
	}
	for n := range e.failedOn { // the job was at fault, not the workers.
		if m := p.workers[n]; m != nil {
			delete(m.strikes, e.ID)
		}
	}
	return p.giveUp(nil, e, Broken), true
}

// lapsed frees a job whose task's lease has lapsed for another attempt, unless it must not have two running copies: that
// one waits until its task is known to have ended.
func (p *Placer) lapsed(id Task) {
	t := p.find(id)
	if t == nil || t.job.RunOnce {
		return
	}
	p.release(t)
	if t.job.canceled {
		delete(p.jobs, t.job.ID)
		return
	}
	p.queue(t.job)
}

// release gives back what the task holds.
func (p *Placer) release(t *task) {
	m := t.machine
	m.used.Cores -= t.cores()
	m.used.MemoryMB -= t.size.MemoryMB
	m.used.Accelerators -= t.size.Accelerators
	delete(m.tasks, t.Job)
	p.teams[t.job.Team] -= t.size.Cores
	p.spread[t.job.Kind+"/"+m.Rack]--
	p.calmed = slices.DeleteFunc(p.calmed, func(o *task) bool { return o == t })
	t.job.task = nil
	if m.bucket >= 0 {
		p.index.put(m)
	}
}

func byName(a, b *task) int { return strings.Compare(a.Job, b.Job) }
