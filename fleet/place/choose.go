package place

import (
	"cmp"
	"slices"
)

const (
	candidates = 8 // workers of one level of free cores that are compared.
	yieldTasks = 8 // tasks of one worker that are asked to yield at most for one urgent job.
)

// place starts what fits, queue by queue, each queue until its head does not fit.
func (p *Placer) place() []Cmd {
	l := p.lift(nil)
	for turns := p.turns(); len(turns) > 0; {
		t := turns[0]
		e := t.head()
		var ok bool
		if e != nil {
			l, ok = p.try(l, e)
		}
		turns = turns[1:]
		if e = t.head(); !ok || e == nil {
			continue
		}
		t.startBy = p.startBy(e)
		i, _ := slices.BinarySearchFunc(turns, t, before)
		turns = slices.Insert(turns, i, t)
	}
	return l
}

// try starts the job if some worker has room, or has others yield if it is urgent.
func (p *Placer) try(l []Cmd, e *entry) ([]Cmd, bool) {
	s := p.need(e)
	if q, ok := p.quotas[e.Team]; ok && p.teams[e.Team]+s.Cores > q {
		return l, false
	}
	if m := p.choose(e, s); m != nil {
		return p.start(l, e, m, s), true
	}
	if !e.Urgent {
		return l, false
	}
	return p.yield(l, e, s)
}

// need returns what to reserve for the job: what its kind is known to take, and no more than the largest worker has.
func (p *Placer) need(e *entry) Size {
	s := p.kind(e.Kind).size(e.Declared)
	if e.tooSmall > 0 {
		s.MemoryMB = max(s.MemoryMB, growShare*e.tooSmall)
	}
	s.Cores = min(s.Cores, p.largest.Cores)
	s.MemoryMB = min(s.MemoryMB, p.largest.MemoryMB)
	return s
}

// choose returns the worker with the least free cores that are enough, and among some of those the one whose rack runs the
// fewest tasks of the kind.
func (p *Placer) choose(e *entry, s Size) *machine {
	for b := int(s.Cores); b < len(p.index.buckets); b++ {
		var best *machine
		n := 0
		for _, m := range p.index.buckets[b] {
			if !m.isOpen(p.now) || e.failedOn[m.Name] || !s.fits(m.free()) {
				continue
			}
			if best == nil || p.prefers(e, m, best) {
				best = m
			}
			if n++; n == candidates {
				break
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

func (p *Placer) prefers(e *entry, a, b *machine) bool {
	return cmp.Or(
		cmp.Compare(p.spread[e.Kind+"/"+a.Rack], p.spread[e.Kind+"/"+b.Rack]),
		cmp.Compare(a.Size.Accelerators, b.Size.Accelerators),
		cmp.Compare(a.Name, b.Name),
	) < 0
}

func (p *Placer) start(l []Cmd, e *entry, m *machine, s Size) []Cmd {
	e.attempt++
	t := &task{Task: Task{Job: e.ID, Attempt: e.attempt}, job: e, machine: m, size: s, started: p.now}
	e.task, m.tasks[e.ID] = t, t
	m.used.Cores += s.Cores
	m.used.MemoryMB += s.MemoryMB
	m.used.Accelerators += s.Accelerators
	p.teams[e.Team] += s.Cores
	p.spread[e.Kind+"/"+m.Rack]++
	p.index.put(m)
	return append(l, StartCmd{Task: t.Task, Worker: m.Name, Size: s})
}

// yield makes room for an urgent job: at once by throttling tasks on a worker that has the memory free, else by having
// tasks checkpointed, after which the job starts.
func (p *Placer) yield(l []Cmd, e *entry, s Size) ([]Cmd, bool) {
	var save *machine
	for _, n := range p.names {
		m := p.workers[n]
		if !m.isOpen(p.now) || e.failedOn[n] || s.Accelerators > m.free().Accelerators {
			continue
		}
		slack, saved := m.slack()
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

// yielding returns the tasks that may yield, those that have run least first.
func (m *machine) yielding() []*task {
	var l []*task
	for _, t := range m.tasks {
		if !t.job.Urgent && !t.ending {
			l = append(l, t)
		}
	}
	slices.SortFunc(l, func(a, b *task) int { return cmp.Or(cmp.Compare(b.started, a.started), byName(a, b)) })
	return l[:min(len(l), yieldTasks)]
}

// slack returns the cores that throttling would free, and what checkpoints would.
func (m *machine) slack() (cores float64, saved Size) {
	for _, t := range m.yielding() {
		saved.Cores += t.cores()
		saved.MemoryMB += t.size.MemoryMB
		if !t.throttled {
			cores += t.size.Cores * (1 - throttledShare)
		}
	}
	return cores, saved
}

func (p *Placer) throttle(l []Cmd, m *machine, cores float64) []Cmd {
	for _, t := range m.yielding() {
		if m.free().Cores+1e-9 >= cores {
			break
		}
		if !t.throttled {
			m.used.Cores -= t.size.Cores * (1 - throttledShare)
			t.throttled = true
			p.calmed = append(p.calmed, t)
			l = append(l, ThrottleCmd{Task: t.Task, Worker: m.Name, On: true})
		}
	}
	return l
}

func (p *Placer) checkpoint(l []Cmd, m *machine, s Size) []Cmd {
	free := m.free()
	for _, t := range m.tasks {
		if t.ending { // room that is on its way already.
			free.Cores += t.cores()
			free.MemoryMB += t.size.MemoryMB
		}
	}
	for _, t := range m.yielding() {
		if s.Cores <= free.Cores && s.MemoryMB <= free.MemoryMB {
			break
		}
		free.Cores += t.cores()
		free.MemoryMB += t.size.MemoryMB
		t.ending = true
		l = append(l, CheckpointCmd{Task: t.Task, Worker: m.Name})
	}
	return l
}

// lift ends throttles for which there is room again, unless urgent jobs wait.
func (p *Placer) lift(l []Cmd) []Cmd {
	for k, q := range p.lines {
		if k.urgent && q.head() != nil {
			return l
		}
	}
	var left []*task
	for _, t := range p.calmed {
		need := t.size.Cores * (1 - throttledShare)
		if t.machine.free().Cores+1e-9 < need || t.ending {
			left = append(left, t)
			continue
		}
		t.throttled = false
		t.machine.used.Cores += need
		if t.machine.bucket >= 0 {
			p.index.put(t.machine)
		}
		l = append(l, ThrottleCmd{Task: t.Task, Worker: t.machine.Name})
	}
	p.calmed = left
	return l
}
