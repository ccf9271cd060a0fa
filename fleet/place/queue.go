package place

import (
	"cmp"
	"container/heap"
	"slices"
)

// queueKey names the jobs that stand in one queue: they need the same, run alike and count against one quota.
type queueKey struct {
	team, kind      string
	urgent          bool
	needsMoreMemory bool // had too little memory before, and so need more than their kind.
}

// queue holds jobs by the time at which they must finish; since they run alike, that is also the order of their latest starts.
type queue struct {
	queueKey
	jobs []*jobState
}

func (q *queue) Len() int           { return len(q.jobs) }
func (q *queue) Less(i, j int) bool { return q.jobs[i].FinishBy < q.jobs[j].FinishBy }
func (q *queue) Swap(i, j int)      { q.jobs[i], q.jobs[j] = q.jobs[j], q.jobs[i] }

// Push adds a job for the heap package.
func (q *queue) Push(x any) { q.jobs = append(q.jobs, x.(*jobState)) }

// Pop takes the last job off for the heap package.
func (q *queue) Pop() any {
	n := len(q.jobs) - 1
	e := q.jobs[n]
	q.jobs = q.jobs[:n]
	return e
}

// head returns the first job that is still wanted.
func (q *queue) head() *jobState {
	for len(q.jobs) > 0 {
		if e := q.jobs[0]; !e.canceled && e.task == nil {
			return e
		}
		heap.Pop(q)
	}
	return nil
}

func (p *Placer) enqueue(e *jobState) {
	l := queueKey{team: e.Team, kind: e.Kind, urgent: e.Urgent, needsMoreMemory: e.insufficientMB > 0}
	q := p.queues[l]
	if q == nil {
		q = &queue{queueKey: l}
		p.queues[l] = q
	}
	heap.Push(q, e)
}

// readyQueue is one queue with the latest start of its head.
type readyQueue struct {
	*queue
	startBy int64
}

// readyQueues returns the queues that have jobs, urgent ones first, then by latest start.
func (p *Placer) readyQueues() []readyQueue {
	var l []readyQueue
	for k, q := range p.queues {
		e := q.head()
		if e == nil {
			delete(p.queues, k)
			continue
		}
		l = append(l, readyQueue{queue: q, startBy: p.startBy(e)})
	}
	slices.SortFunc(l, compareQueues)
	return l
}

func compareQueues(a, b readyQueue) int {
	return cmp.Or(
		-cmp.Compare(boolToInt(a.urgent), boolToInt(b.urgent)),
		cmp.Compare(a.startBy, b.startBy),
		cmp.Compare(a.team, b.team),
		cmp.Compare(a.kind, b.kind),
		cmp.Compare(boolToInt(a.needsMoreMemory), boolToInt(b.needsMoreMemory)),
	)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// startBy returns the latest time at which the job can start and still finish in time, as far as its kind is known.
func (p *Placer) startBy(e *jobState) int64 {
	return e.FinishBy - p.kind(e.Kind).runMillis(e.RunMillis)
}
