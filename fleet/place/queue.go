package place

import (
	"cmp"
	"container/heap"
	"slices"
)

// line names the jobs that stand in one queue: they need the same, run alike and count against one quota.
type line struct {
	team, kind string
	urgent     bool
	again      bool // had too little memory before, and so need more than their kind.
}

// queue holds jobs by the time at which they must finish; since they run alike, that is also the order of their latest starts.
type queue struct {
	line
	jobs []*entry
}

func (q *queue) Len() int           { return len(q.jobs) }
func (q *queue) Less(i, j int) bool { return q.jobs[i].FinishBy < q.jobs[j].FinishBy }
func (q *queue) Swap(i, j int)      { q.jobs[i], q.jobs[j] = q.jobs[j], q.jobs[i] }

// Push adds a job for the heap package.
func (q *queue) Push(x any) { q.jobs = append(q.jobs, x.(*entry)) }

// Pop takes the last job off for the heap package.
func (q *queue) Pop() any {
	n := len(q.jobs) - 1
	e := q.jobs[n]
	q.jobs = q.jobs[:n]
	return e
}

// head returns the first job that is still wanted.
func (q *queue) head() *entry {
	for len(q.jobs) > 0 {
		if e := q.jobs[0]; !e.canceled && e.task == nil {
			return e
		}
		heap.Pop(q)
	}
	return nil
}

func (p *Placer) queue(e *entry) {
	l := line{team: e.Team, kind: e.Kind, urgent: e.Urgent, again: e.tooSmall > 0}
	q := p.lines[l]
	if q == nil {
		q = &queue{line: l}
		p.lines[l] = q
	}
	heap.Push(q, e)
}

// turn is one queue with the latest start of its head.
type turn struct {
	*queue
	startBy int64
}

// turns returns the queues that have jobs, urgent ones first, then by latest start.
func (p *Placer) turns() []turn {
	var l []turn
	for k, q := range p.lines {
		e := q.head()
		if e == nil {
			delete(p.lines, k)
			continue
		}
		l = append(l, turn{queue: q, startBy: p.startBy(e)})
	}
	slices.SortFunc(l, before)
	return l
}

func before(a, b turn) int {
	return cmp.Or(
		-cmp.Compare(rank(a.urgent), rank(b.urgent)),
		cmp.Compare(a.startBy, b.startBy),
		cmp.Compare(a.team, b.team),
		cmp.Compare(a.kind, b.kind),
		cmp.Compare(rank(a.again), rank(b.again)),
	)
}

func rank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// startBy returns the latest time at which the job can start and still finish in time, as far as its kind is known.
func (p *Placer) startBy(e *entry) int64 {
	return e.FinishBy - p.kind(e.Kind).runMillis(e.RunMillis)
}
