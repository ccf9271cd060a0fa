package relay

import (
	"context"
	"sync"
)

// joiner joins requests that come while others are under way into one call; the first of them performs the call for all.
//
// It owns no goroutine: a request that finds a free flight leads at once, and one that ends a flight hands it on.
type joiner[Q, A any] struct {
	batch int

	mu   sync.Mutex
	free int
	wait []*ride[Q, A]
}

// ride is one request on its way.
type ride[Q, A any] struct {
	q    Q
	a    A
	err  error
	lead chan bool // true: lead the next flight; false: the answer is here
}

func newJoiner[Q, A any](flights, batch int) *joiner[Q, A] {
	return &joiner[Q, A]{free: flights, batch: batch}
}

// do returns f's answer to q; f gets the requests that have come together and must bound its own time.
func (j *joiner[Q, A]) do(ctx context.Context, q Q, f func([]Q) ([]A, error)) (A, error) {
	r := &ride[Q, A]{q: q, lead: make(chan bool, 1)}
	j.mu.Lock()
	j.wait = append(j.wait, r)
	if j.free > 0 {
		j.free--
		j.mu.Unlock()
		j.fly(r, f)
		return r.a, r.err
	}
	j.mu.Unlock()
	select {
	case lead := <-r.lead:
		if lead {
			j.fly(r, f)
		}
		return r.a, r.err
	case <-ctx.Done():
		j.leave(r)
		var none A
		return none, ctx.Err()
	}
}

// fly performs one flight with r and those that wait, then hands it on.
func (j *joiner[Q, A]) fly(r *ride[Q, A], f func([]Q) ([]A, error)) {
	l := j.board(r)
	q := make([]Q, len(l))
	for i, o := range l {
		q[i] = o.q
	}
	a, err := f(q)
	for i, o := range l {
		if o.err = err; err == nil {
			o.a = a[i]
		}
		if o != r {
			o.lead <- false
		}
	}
	j.mu.Lock()
	j.handOn()
	j.mu.Unlock()
}

// board takes r and the first that wait.
func (j *joiner[Q, A]) board(r *ride[Q, A]) []*ride[Q, A] {
	j.mu.Lock()
	defer j.mu.Unlock()
	l := []*ride[Q, A]{r}
	rest := j.wait[:0:0]
	for _, o := range j.wait {
		switch {
		case o == r:
		case len(l) < j.batch:
			l = append(l, o)
		default:
			rest = append(rest, o)
		}
	}
	j.wait = rest
	return l
}

// handOn lets the first that waits lead, or frees the flight.
func (j *joiner[Q, A]) handOn() {
	if len(j.wait) == 0 {
		j.free++
		return
	}
	r := j.wait[0]
	j.wait = j.wait[1:]
	r.lead <- true
}

// leave takes r out when its caller has gone; a flight that was handed to it goes on to the next.
func (j *joiner[Q, A]) leave(r *ride[Q, A]) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i, o := range j.wait {
		if o == r {
			j.wait = append(j.wait[:i:i], j.wait[i+1:]...)
			return
		}
	}
	select {
	case lead := <-r.lead:
		if lead {
			j.handOn()
		}
	default: // under way; its answer is dropped
	}
}
