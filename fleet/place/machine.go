package place

import "math"

const (
	strikesAside     = 3         // distinct jobs that fail on a worker, with none that ends well, before it is set aside.
	asideMillis      = 60_000    // first time for which a worker is set aside.
	asideBoundMillis = 3_600_000 // longest.
	throttledShare   = 0.05      // of a throttled task's cores that it still takes.
)

// machine is one worker and what runs on it.
type machine struct {
	Worker
	used    Size
	tasks   map[string]*task // by job.
	strikes map[string]bool  // jobs that failed here since one ended well.
	until   int64            // set aside until then; 0 if the worker is good.
	wait    int64
	bucket  int // its place in the index; -1 if it is not in it.
	slot    int
}

// task is one attempt that is running, or may be.
type task struct {
	Task
	job       *entry
	machine   *machine
	size      Size
	started   int64
	peak      Size
	throttled bool
	ending    bool // a checkpoint or stop is on its way.
}

func (m *machine) free() Size {
	return Size{
		Cores: m.Size.Cores - m.used.Cores, MemoryMB: m.Size.MemoryMB - m.used.MemoryMB,
		Accelerators: m.Size.Accelerators - m.used.Accelerators,
	}
}

func (s Size) fits(free Size) bool {
	return s.Cores <= free.Cores+1e-9 && s.MemoryMB <= free.MemoryMB+1e-9 && s.Accelerators <= free.Accelerators
}

// cores returns the cores that the task takes now.
func (t *task) cores() float64 {
	if t.throttled {
		return t.size.Cores * throttledShare
	}
	return t.size.Cores
}

// isOpen tells whether the worker may be given a task now; one that was set aside gets one task at a time.
func (m *machine) isOpen(at int64) bool {
	return !m.Out && (m.wait == 0 || at >= m.until && len(m.tasks) == 0)
}

// failed notes that the job failed here, and sets the worker aside after several.
func (m *machine) failed(job string, at int64) {
	m.strikes[job] = true
	if len(m.strikes) < strikesAside && m.wait == 0 {
		return
	}
	m.wait = min(max(2*m.wait, asideMillis), asideBoundMillis)
	m.until = at + m.wait
}

// succeeded notes that a job ended well here.
func (m *machine) succeeded() {
	clear(m.strikes)
	m.wait, m.until = 0, 0
}

// isGood tells whether failures here count against the job.
func (m *machine) isGood() bool { return m.wait == 0 }

// index holds the workers by whole free cores.
type index struct{ buckets [][]*machine }

// put files the worker under the cores that it has free now.
func (x *index) put(m *machine) {
	b := max(0, int(math.Floor(m.free().Cores+1e-9)))
	if m.bucket == b {
		return
	}
	x.drop(m)
	for len(x.buckets) <= b {
		x.buckets = append(x.buckets, nil)
	}
	m.bucket, m.slot = b, len(x.buckets[b])
	x.buckets[b] = append(x.buckets[b], m)
}

func (x *index) drop(m *machine) {
	if m.bucket < 0 {
		return
	}
	l := x.buckets[m.bucket]
	last := l[len(l)-1]
	l[m.slot], last.slot = last, m.slot
	x.buckets[m.bucket] = l[:len(l)-1]
	m.bucket = -1
}
