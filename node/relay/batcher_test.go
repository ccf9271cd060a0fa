package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// TestBatcher checks that each request gets its own answer and that no call is lost, also when requests are cancelled.
func TestBatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i, r, calls := is.New(t), rand.New(rand.NewPCG(1, 1)), 0
		j := newBatcher[int, int](2, 8)
		echo := func(l []int) ([]int, error) {
			time.Sleep(10 * time.Millisecond)
			j.mu.Lock()
			calls++
			j.mu.Unlock()
			return l, nil
		}
		g := errgroup.Group{}
		for k := range 400 {
			start, timeout := time.Duration(r.IntN(200))*time.Millisecond, time.Duration(1+r.IntN(40))*time.Millisecond
			g.Go(func() error {
				time.Sleep(start)
				c, end := context.WithTimeout(t.Context(), timeout)
				defer end()
				if a, err := j.do(c, k, echo); err == nil && a != k {
					return errors.New("another request's answer")
				}
				return nil
			})
		}
		i.NoErr(g.Wait())
		i.Equal(j.freeCalls, 2)
		i.Equal(len(j.waiting), 0)
		i.True(calls < 200)
	})
}

// TestBatcherCancelledLead checks that the next batch is not lost when the request that should run it is cancelled.
func TestBatcherCancelledLead(t *testing.T) {
	j, r := newBatcher[int, int](0, 8), &batchItem[int, int]{lead: make(chan bool, 1)}
	r.lead <- true
	j.cancel(r)
	is.New(t).Equal(j.freeCalls, 1)
}
