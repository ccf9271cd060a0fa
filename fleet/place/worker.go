package place

import "math"

const (
	quarantineAfterJobs = 3         // distinct jobs that fail on a worker, with none that ends well, before it is set aside.
	minQuarantineMillis = 60_000    // first time for which a worker is set aside.
	maxQuarantineMillis = 3_600_000 // longest.
	throttledShare      = 0.05      // of a throttled task's cores that it still takes.
)

// workerState is one worker and what runs on it.
type workerState struct {
	Worker
	reserved         Size
	tasks            map[string]*task // by job.
	failedJobs       map[string]bool  // jobs that failed here since one ended well.
	quarantinedUntil int64            // set aside until then; 0 if the worker is good.
	quarantineMillis int64
	bucket           int // its place in the index; -1 if it is not in it.
	bucketIndex      int
}

// task is one attempt that is running, or may be.
type task struct {
	Task
	job           *jobState
	worker        *workerState
	size          Size
	startedMillis int64
	peakUsage     Size
	throttled     bool
	stopping      bool // a checkpoint or stop is on its way.
}

func (m *workerState) free() Size {
	return Size{
		Cores: m.Size.Cores - m.reserved.Cores, MemoryMB: m.Size.MemoryMB - m.reserved.MemoryMB,
		Accelerators: m.Size.Accelerators - m.reserved.Accelerators,
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

// acceptsTask tells whether the worker may be given a task now; one that was set aside gets one task at a time.
func (m *workerState) acceptsTask(at int64) bool {
	return !m.Out && (m.quarantineMillis == 0 || at >= m.quarantinedUntil && len(m.tasks) == 0)
}

// recordFailure notes that the job recordFailure here, and sets the worker aside after several.
func (m *workerState) recordFailure(job string, at int64) {
	m.failedJobs[job] = true
	if len(m.failedJobs) < quarantineAfterJobs && m.quarantineMillis == 0 {
		return
	}
	m.quarantineMillis = min(max(2*m.quarantineMillis, minQuarantineMillis), maxQuarantineMillis)
	m.quarantinedUntil = at + m.quarantineMillis
}

// recordSuccess notes that a job ended well here.
func (m *workerState) recordSuccess() {
	clear(m.failedJobs)
	m.quarantineMillis, m.quarantinedUntil = 0, 0
}

// isHealthy tells whether failures here count against the job.
func (m *workerState) isHealthy() bool { return m.quarantineMillis == 0 }

// coreIndex holds the workers by whole free cores.
type coreIndex struct{ buckets [][]*workerState }

// update files the worker under the cores that it has free now.
func (x *coreIndex) update(m *workerState) {
	b := max(0, int(math.Floor(m.free().Cores+1e-9)))
	if m.bucket == b {
		return
	}
	x.remove(m)
	for len(x.buckets) <= b {
		x.buckets = append(x.buckets, nil)
	}
	m.bucket, m.bucketIndex = b, len(x.buckets[b])
	x.buckets[b] = append(x.buckets[b], m)
}

func (x *coreIndex) remove(m *workerState) {
	if m.bucket < 0 {
		return
	}
	l := x.buckets[m.bucket]
	last := l[len(l)-1]
	l[m.bucketIndex], last.bucketIndex = last, m.bucketIndex
	x.buckets[m.bucket] = l[:len(l)-1]
	m.bucket = -1
}
