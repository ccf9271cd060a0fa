package relay

import (
	"context"
	"sync"
)

// batcher combines requests that arrive while calls are under way into one call, which one of the requests performs for all.
//
// It starts no goroutine: a request that finds a free call runs a batch at once, and after a batch the first waiting request runs
// the next one.
type batcher[Q, A any] struct {
	maxBatch int

	mu        sync.Mutex
	freeCalls int // number of further calls that may start now
	waiting   []*batchItem[Q, A]
}

// batchItem is one request with its result.
type batchItem[Q, A any] struct {
	request Q
	answer  A
	err     error
	lead    chan bool // true: run the next batch; false: the result is set
}

func newBatcher[Q, A any](concurrency, maxBatch int) *batcher[Q, A] {
	return &batcher[Q, A]{freeCalls: concurrency, maxBatch: maxBatch}
}

// do returns the answer to q. f receives the combined requests, returns their answers in the same order, and must bound its own
// time. The call of a batch goes on when one of its requests is cancelled.
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

// runBatch calls f for r and the waiting requests, then lets the next batch start.
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

// takeBatch removes r and the longest waiting requests from the queue, at most maxBatch in all.
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

// startNext lets the first waiting request run the next batch, or frees the call; j.mu is held.
func (j *batcher[Q, A]) startNext() {
	if len(j.waiting) == 0 {
		j.freeCalls++
		return
	}
	r := j.waiting[0]
	j.waiting = j.waiting[1:]
	r.lead <- true
}

// cancel removes r after its context has ended; if r was to run the next batch, another request does.
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
	default: // its batch is running; the answer is discarded
	}
}
