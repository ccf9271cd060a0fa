package place

import (
	"cmp"
	"container/heap"
	"slices"
)

// queueKey identifies a queue. Its jobs need the same resources, take similar time and count against one quota.
type queueKey struct {
	team, kind      string
	urgent          bool
	needsMoreMemory bool // ran out of memory before and so need more than others of their kind.
}

// queue is a heap of jobs by the time at which they must finish. Since their estimated run times are the same, that is
// also the order of their latest start times.
type queue struct {
	queueKey
	jobs []*jobState
}

func (q *queue) Len() int           { return len(q.jobs) }
func (q *queue) Less(i, j int) bool { return q.jobs[i].FinishByMillis < q.jobs[j].FinishByMillis }
func (q *queue) Swap(i, j int)      { q.jobs[i], q.jobs[j] = q.jobs[j], q.jobs[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { q.jobs = append(q.jobs, x.(*jobState)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	n := len(q.jobs) - 1
	e := q.jobs[n]
	q.jobs = q.jobs[:n]
	return e
}

// head returns the first job that still waits, and drops canceled and running ones before it.
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

// readyQueue is a queue and the latest start time of its head.
type readyQueue struct {
	*queue
	startBy int64
}

// readyQueues returns the queues that have jobs, urgent ones first, then by latest start time.
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

// startBy returns the latest time at which the job can start and still finish in time by its estimated run time.
func (p *Placer) startBy(e *jobState) int64 {
	return e.FinishByMillis - p.kind(e.Kind).runMillis(e.RunMillis)
}
