package place

import "math"

const (
	quarantineAfterJobs = 3         // distinct jobs that must fail on a worker, without a success between, to quarantine it.
	minQuarantineMillis = 60_000    // first quarantine; each further one is twice as long.
	maxQuarantineMillis = 3_600_000 // longest quarantine.
	throttledShare      = 0.05      // share of its cores that a throttled task still takes.
)

// workerState is one worker, the tasks on it and its failures.
type workerState struct {
	Worker
	reserved         Size
	tasks            map[string]*task // by job.
	failedJobs       map[string]bool  // jobs that failed here since the last success.
	quarantinedUntil int64            // Unix milliseconds; 0 if the worker is healthy.
	quarantineMillis int64
	bucket           int // bucket in the coreIndex; -1 if the worker is not in it.
	bucketIndex      int
}

// task is an attempt that is running or may still be.
type task struct {
	Task
	job           *jobState
	worker        *workerState
	size          Size // reserved when it started.
	startedMillis int64
	peakUsage     Size
	throttled     bool
	stopping      bool // a checkpoint or stop was commanded.
}

// free returns what is not reserved.
func (m *workerState) free() Size {
	return Size{
		Cores: m.Size.Cores - m.reserved.Cores, MemoryMB: m.Size.MemoryMB - m.reserved.MemoryMB,
		Accelerators: m.Size.Accelerators - m.reserved.Accelerators,
	}
}

func (s Size) fits(free Size) bool {
	return s.Cores <= free.Cores+1e-9 && s.MemoryMB <= free.MemoryMB+1e-9 && s.Accelerators <= free.Accelerators
}

// cores returns the cores reserved for the task now.
func (t *task) cores() float64 {
	if t.throttled {
		return t.size.Cores * throttledShare
	}
	return t.size.Cores
}

// acceptsTask reports whether the worker may be given a task now. After its quarantine, a worker gets one task at a time
// until one succeeds.
func (m *workerState) acceptsTask(nowMillis int64) bool {
	return !m.Unschedulable && (m.quarantineMillis == 0 || nowMillis >= m.quarantinedUntil && len(m.tasks) == 0)
}

// recordFailure records that the job failed on the worker, and quarantines the worker after several such jobs.
func (m *workerState) recordFailure(job string, nowMillis int64) {
	m.failedJobs[job] = true
	if len(m.failedJobs) < quarantineAfterJobs && m.quarantineMillis == 0 {
		return
	}
	m.quarantineMillis = min(max(2*m.quarantineMillis, minQuarantineMillis), maxQuarantineMillis)
	m.quarantinedUntil = nowMillis + m.quarantineMillis
}

// recordSuccess records that a job succeeded on the worker, which ends any quarantine.
func (m *workerState) recordSuccess() {
	clear(m.failedJobs)
	m.quarantineMillis, m.quarantinedUntil = 0, 0
}

// isHealthy reports whether failures on the worker count against the job.
func (m *workerState) isHealthy() bool { return m.quarantineMillis == 0 }

// coreIndex groups the workers by their number of whole free cores.
type coreIndex struct{ buckets [][]*workerState }

// update moves the worker to the bucket for its current number of free cores, or adds it.
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
