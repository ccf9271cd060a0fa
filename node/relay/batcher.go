package relay

import (
	"context"
	"sync"
)

// batcher joins requests that come while others are under way into one call; the first of them performs the call for all.
//
// It owns no goroutine: a request that finds a free flight leads at once, and one that ends a flight hands it on.
type batcher[Q, A any] struct {
	maxBatch int

	mu        sync.Mutex
	freeCalls int
	waiting   []*batchItem[Q, A]
}

// batchItem is one request on its way.
type batchItem[Q, A any] struct {
	request Q
	answer  A
	err     error
	lead    chan bool // true: lead the next flight; false: the answer is here
}

func newBatcher[Q, A any](flights, batch int) *batcher[Q, A] {
	return &batcher[Q, A]{freeCalls: flights, maxBatch: batch}
}

// do returns f's answer to q; f gets the requests that have come together and must bound its own time.
func (j *batcher[Q, A]) do(ctx context.Context, q Q, f func([]Q) ([]A, error)) (A, error) {
	r := &batchItem[Q, A]{request: q, lead: make(chan bool, 1)}
	j.mu.Lock()
	j.waiting = append(j.waiting, r)
	if j.freeCalls > 0 {
		j.freeCalls--
		j.mu.Unlock()
		j.runBatch(r, f)
		return r.answer, r.err
	}
	j.mu.Unlock()
	select {
	case lead := <-r.lead:
		if lead {
			j.runBatch(r, f)
		}
		return r.answer, r.err
	case <-ctx.Done():
		j.cancel(r)
		var none A
		return none, ctx.Err()
	}
}

// runBatch performs one flight with r and those that wait, then hands it on.
func (j *batcher[Q, A]) runBatch(r *batchItem[Q, A], f func([]Q) ([]A, error)) {
	l := j.takeBatch(r)
	q := make([]Q, len(l))
	for i, o := range l {
		q[i] = o.request
	}
	a, err := f(q)
	for i, o := range l {
		if o.err = err; err == nil {
			o.answer = a[i]
		}
		if o != r {
			o.lead <- false
		}
	}
	j.mu.Lock()
	j.startNext()
	j.mu.Unlock()
}

// takeBatch takes r and the first that wait.
func (j *batcher[Q, A]) takeBatch(r *batchItem[Q, A]) []*batchItem[Q, A] {
	j.mu.Lock()
	defer j.mu.Unlock()
	l := []*batchItem[Q, A]{r}
	remaining := j.waiting[:0:0]
	for _, o := range j.waiting {
		switch {
		case o == r:
		case len(l) < j.maxBatch:
			l = append(l, o)
		default:
			remaining = append(remaining, o)
		}
	}
	j.waiting = remaining
	return l
}

// startNext lets the first that waits lead, or frees the flight.
func (j *batcher[Q, A]) startNext() {
	if len(j.waiting) == 0 {
		j.freeCalls++
		return
	}
	r := j.waiting[0]
	j.waiting = j.waiting[1:]
	r.lead <- true
}

// cancel takes r out when its caller has gone; a flight that was handed to it goes on to the next.
func (j *batcher[Q, A]) cancel(r *batchItem[Q, A]) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i, o := range j.waiting {
		if o == r {
			j.waiting = append(j.waiting[:i:i], j.waiting[i+1:]...)
			return
		}
	}
	select {
	case lead := <-r.lead:
		if lead {
			j.startNext()
		}
	default: // under way; its answer is dropped
	}
}
