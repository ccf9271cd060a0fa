package place

import (
	"cmp"
	"slices"
)

const (
	maxCandidates = 8 // workers of one level of free cores that are compared.
	maxYieldTasks = 8 // tasks of one worker that are asked to yield at most for one urgent job.
)

// place starts what fits, queue by queue, each queue until its head does not fit.
func (p *Placer) place() []Cmd {
	l := p.liftThrottles(nil)
	for turns := p.readyQueues(); len(turns) > 0; {
		t := turns[0]
		e := t.head()
		var ok bool
		if e != nil {
			l, ok = p.tryStart(l, e)
		}
		turns = turns[1:]
		if e = t.head(); !ok || e == nil {
			continue
		}
		t.startBy = p.startBy(e)
		i, _ := slices.BinarySearchFunc(turns, t, compareQueues)
		turns = slices.Insert(turns, i, t)
	}
	return l
}

// tryStart starts the job if some worker has room, or has others yield if it is urgent.
func (p *Placer) tryStart(l []Cmd, e *jobState) ([]Cmd, bool) {
	s := p.reservation(e)
	if q, ok := p.quotaCores[e.Team]; ok && p.teamCores[e.Team]+s.Cores > q {
		return l, false
	}
	if m := p.chooseWorker(e, s); m != nil {
		return p.start(l, e, m, s), true
	}
	if !e.Urgent {
		return l, false
	}
	return p.makeRoom(l, e, s)
}

// reservation returns what to reserve for the job: what its kind is known to take, and no more than the largest worker has.
func (p *Placer) reservation(e *jobState) Size {
	s := p.kind(e.Kind).size(e.Declared)
	if e.insufficientMB > 0 {
		s.MemoryMB = max(s.MemoryMB, memoryGrowth*e.insufficientMB)
	}
	s.Cores = min(s.Cores, p.largestWorker.Cores)
	s.MemoryMB = min(s.MemoryMB, p.largestWorker.MemoryMB)
	return s
}

// chooseWorker returns the worker with the least free cores that are enough, and among some of those the one whose rack runs the
// fewest tasks of the kind.
func (p *Placer) chooseWorker(e *jobState, s Size) *workerState {
	for b := int(s.Cores); b < len(p.byFreeCores.buckets); b++ {
		var best *workerState
		n := 0
		for _, m := range p.byFreeCores.buckets[b] {
			if !m.acceptsTask(p.nowMillis) || e.failedOn[m.Name] || !s.fits(m.free()) {
				continue
			}
			if best == nil || p.prefers(e, m, best) {
				best = m
			}
			if n++; n == maxCandidates {
				break
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

func (p *Placer) prefers(e *jobState, a, b *workerState) bool {
	return cmp.Or(
		cmp.Compare(p.tasksByKindRack[e.Kind+"/"+a.Rack], p.tasksByKindRack[e.Kind+"/"+b.Rack]),
		cmp.Compare(a.Size.Accelerators, b.Size.Accelerators),
		cmp.Compare(a.Name, b.Name),
	) < 0
}

func (p *Placer) start(l []Cmd, e *jobState, m *workerState, s Size) []Cmd {
	e.attempt++
	t := &task{Task: Task{Job: e.ID, Attempt: e.attempt}, job: e, worker: m, size: s, startedMillis: p.nowMillis}
	e.task, m.tasks[e.ID] = t, t
	m.reserved.Cores += s.Cores
	m.reserved.MemoryMB += s.MemoryMB
	m.reserved.Accelerators += s.Accelerators
	p.teamCores[e.Team] += s.Cores
	p.tasksByKindRack[e.Kind+"/"+m.Rack]++
	p.byFreeCores.update(m)
	return append(l, StartCmd{Task: t.Task, Worker: m.Name, Size: s})
}

// makeRoom makes room for an urgent job: at once by throttling tasks on a worker that has the memory free, else by having
// tasks checkpointed, after which the job starts.
func (p *Placer) makeRoom(l []Cmd, e *jobState, s Size) ([]Cmd, bool) {
	var save *workerState
	for _, n := range p.workerNames {
		m := p.workers[n]
		if !m.acceptsTask(p.nowMillis) || e.failedOn[n] || s.Accelerators > m.free().Accelerators {
			continue
		}
		slack, saved := m.reclaimable()
		free := m.free()
		switch {
		case s.fits(Size{Cores: free.Cores + slack, MemoryMB: free.MemoryMB, Accelerators: free.Accelerators}):
			l = p.throttle(l, m, s.Cores)
			return p.start(l, e, m, s), true
		case save == nil && s.Cores <= free.Cores+saved.Cores && s.MemoryMB <= free.MemoryMB+saved.MemoryMB:
			save = m
		}
	}
	if save != nil {
		l = p.checkpoint(l, save, s)
	}
	return l, false
}

// yieldCandidates returns the tasks that may yield, those that have run least first.
func (m *workerState) yieldCandidates() []*task {
	var l []*task
	for _, t := range m.tasks {
		if !t.job.Urgent && !t.stopping {
			l = append(l, t)
		}
	}
	slices.SortFunc(l, func(a, b *task) int { return cmp.Or(cmp.Compare(b.startedMillis, a.startedMillis), byName(a, b)) })
	return l[:min(len(l), maxYieldTasks)]
}

// reclaimable returns the cores that throttling would free, and what checkpoints would.
func (m *workerState) reclaimable() (cores float64, saved Size) {
	for _, t := range m.yieldCandidates() {
		saved.Cores += t.cores()
		saved.MemoryMB += t.size.MemoryMB
		if !t.throttled {
			cores += t.size.Cores * (1 - throttledShare)
		}
	}
	return cores, saved
}

func (p *Placer) throttle(l []Cmd, m *workerState, cores float64) []Cmd {
	for _, t := range m.yieldCandidates() {
		if m.free().Cores+1e-9 >= cores {
			break
		}
		if !t.throttled {
			m.reserved.Cores -= t.size.Cores * (1 - throttledShare)
			t.throttled = true
			p.throttled = append(p.throttled, t)
			l = append(l, ThrottleCmd{Task: t.Task, Worker: m.Name, On: true})
		}
	}
	return l
}

func (p *Placer) checkpoint(l []Cmd, m *workerState, s Size) []Cmd {
	free := m.free()
	for _, t := range m.tasks {
		if t.stopping { // room that is on its way already.
			free.Cores += t.cores()
			free.MemoryMB += t.size.MemoryMB
		}
	}
	for _, t := range m.yieldCandidates() {
		if s.Cores <= free.Cores && s.MemoryMB <= free.MemoryMB {
			break
		}
		free.Cores += t.cores()
		free.MemoryMB += t.size.MemoryMB
		t.stopping = true
		l = append(l, CheckpointCmd{Task: t.Task, Worker: m.Name})
	}
	return l
}

// liftThrottles ends throttles for which there is room again, unless urgent jobs wait.
func (p *Placer) liftThrottles(l []Cmd) []Cmd {
	for k, q := range p.queues {
		if k.urgent && q.head() != nil {
			return l
		}
	}
	var left []*task
	for _, t := range p.throttled {
		need := t.size.Cores * (1 - throttledShare)
		if t.worker.free().Cores+1e-9 < need || t.stopping {
			left = append(left, t)
			continue
		}
		t.throttled = false
		t.worker.reserved.Cores += need
		if t.worker.bucket >= 0 {
			p.byFreeCores.update(t.worker)
		}
		l = append(l, ThrottleCmd{Task: t.Task, Worker: t.worker.Name})
	}
	p.throttled = left
	return l
}
