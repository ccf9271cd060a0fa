package place

import (
	"cmp"
	"slices"
)

const (
	maxCandidates = 8 // fitting workers with the same number of free cores that are compared.
	maxYieldTasks = 8 // tasks of one worker that may be throttled or checkpointed for one urgent job.
)

// place starts the jobs that fit, always from the queue whose head is next in order. A queue whose head does not fit is
// done for this tick.
func (p *Placer) place() []Cmd {
	l := p.liftThrottles(nil)
	for ready := p.readyQueues(); len(ready) > 0; {
		t := ready[0]
		e := t.head()
		var ok bool
		if e != nil {
			l, ok = p.tryStart(l, e)
		}
		ready = ready[1:]
		if e = t.head(); !ok || e == nil {
			continue
		}
		t.startBy = p.startBy(e)
		i, _ := slices.BinarySearchFunc(ready, t, compareQueues)
		ready = slices.Insert(ready, i, t)
	}
	return l
}

// tryStart starts the job if its team's quota allows it and a worker has room. For an urgent job it makes room by
// throttling or checkpointing other tasks. It reports whether the job was started.
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

// reservation returns the size to reserve for the job, estimated from its kind and at most that of the largest worker.
func (p *Placer) reservation(e *jobState) Size {
	s := p.kind(e.Kind).size(e.Declared)
	if e.insufficientMB > 0 {
		s.MemoryMB = max(s.MemoryMB, memoryGrowth*e.insufficientMB)
	}
	s.Cores = min(s.Cores, p.largestWorker.Cores)
	s.MemoryMB = min(s.MemoryMB, p.largestWorker.MemoryMB)
	return s
}

// chooseWorker returns the worker with the fewest whole free cores on which the job fits (best fit). Among up to
// maxCandidates such workers it takes the one whose rack runs the fewest tasks of the kind.
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

// makeRoom makes room for an urgent job. If a worker has enough free memory, it throttles tasks there and starts the job
// at once. Otherwise it has tasks of one worker checkpointed; the job starts on a later tick, when they have ended.
func (p *Placer) makeRoom(l []Cmd, e *jobState, s Size) ([]Cmd, bool) {
	var toCheckpoint *workerState
	for _, n := range p.workerNames {
		m := p.workers[n]
		if !m.acceptsTask(p.nowMillis) || e.failedOn[n] || s.Accelerators > m.free().Accelerators {
			continue
		}
		byThrottle, byCheckpoint := m.reclaimable()
		free := m.free()
		switch {
		case s.fits(Size{Cores: free.Cores + byThrottle, MemoryMB: free.MemoryMB, Accelerators: free.Accelerators}):
			l = p.throttle(l, m, s.Cores)
			return p.start(l, e, m, s), true
		case toCheckpoint == nil && s.Cores <= free.Cores+byCheckpoint.Cores && s.MemoryMB <= free.MemoryMB+byCheckpoint.MemoryMB:
			toCheckpoint = m
		}
	}
	if toCheckpoint != nil {
		l = p.checkpoint(l, toCheckpoint, s)
	}
	return l, false
}

// yieldCandidates returns the tasks that may be throttled or checkpointed for an urgent job, the last started first.
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

// reclaimable returns the cores that throttling would free, and the size that checkpoints would free.
func (m *workerState) reclaimable() (byThrottle float64, byCheckpoint Size) {
	for _, t := range m.yieldCandidates() {
		byCheckpoint.Cores += t.cores()
		byCheckpoint.MemoryMB += t.size.MemoryMB
		if !t.throttled {
			byThrottle += t.size.Cores * (1 - throttledShare)
		}
	}
	return byThrottle, byCheckpoint
}

// throttle throttles tasks of the worker until it has the given number of free cores.
func (p *Placer) throttle(l []Cmd, m *workerState, cores float64) []Cmd {
	for _, t := range m.yieldCandidates() {
		if m.free().Cores+1e-9 >= cores {
			break
		}
		if !t.throttled {
			m.reserved.Cores -= t.size.Cores * (1 - throttledShare)
			t.throttled = true
			p.throttledTasks = append(p.throttledTasks, t)
			l = append(l, ThrottleCmd{Task: t.Task, Worker: m.Name, On: true})
		}
	}
	return l
}

// checkpoint has tasks of the worker checkpointed until the cores and memory that will be free are enough.
func (p *Placer) checkpoint(l []Cmd, m *workerState, s Size) []Cmd {
	free := m.free()
	for _, t := range m.tasks {
		if t.stopping { // will be free soon without a further checkpoint.
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

// liftThrottles ends the throttling of tasks whose workers have enough free cores again, unless urgent jobs wait.
func (p *Placer) liftThrottles(l []Cmd) []Cmd {
	for k, q := range p.queues {
		if k.urgent && q.head() != nil {
			return l
		}
	}
	var remaining []*task
	for _, t := range p.throttledTasks {
		need := t.size.Cores * (1 - throttledShare)
		if t.worker.free().Cores+1e-9 < need || t.stopping {
			remaining = append(remaining, t)
			continue
		}
		t.throttled = false
		t.worker.reserved.Cores += need
		if t.worker.bucket >= 0 {
			p.byFreeCores.update(t.worker)
		}
		l = append(l, ThrottleCmd{Task: t.Task, Worker: t.worker.Name})
	}
	p.throttledTasks = remaining
	return l
}
