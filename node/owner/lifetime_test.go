package owner

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/fleet/batch"
	"burdockreach.dev/node/desk"
	"burdockreach.dev/node/stats"
)

// restartableWorker is a worker whose lifetimes each list one ended run. It takes answerDelay to answer.
type restartableWorker struct {
	Workers
	mu          sync.Mutex
	born        int64
	forgotten   map[int64]bool // lifetimes whose ended run was acknowledged.
	answerDelay time.Duration
}

func (w *restartableWorker) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.born++
}

func (w *restartableWorker) Hold(_ context.Context, c batch.PollCmd) (batch.PolledMsg, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.ForgetUpTo >= 1 {
		w.forgotten[w.born] = true
	}
	g := batch.PolledMsg{Worker: c.Worker, Born: w.born, ClockMs: 1}
	if !w.forgotten[w.born] {
		g.Ended = []batch.EndedRun{{Number: 1, Task: batch.TaskName{Job: "5c0e7a21d94b36f8"}, Run: 1, Reason: batch.EndDone}}
	}
	time.Sleep(w.answerDelay)
	return g, nil
}

// pollTwice has a helper poll the worker, lets something happen, and has the helper acknowledge the ended run of the first lifetime.
func pollTwice(t *testing.T, w *restartableWorker, between func()) *desk.Answer {
	t.Helper()
	g := errgroup.Group{}
	c := NewCarrier(context.Background(), &g, w, stats.New(), zerolog.New(io.Discard))
	carry := func(o *desk.Order) *desk.Answer {
		a, err := c.Carry(context.Background(), &desk.CarryRequest{Session: "s", Orders: []*desk.Order{o}, WaitMs: 2_000})
		is.New(t).NoErr(err)
		is.New(t).Equal(len(a.GetAnswers()), 1)
		return a.GetAnswers()[0]
	}
	carry(&desk.Order{Id: 1, Worker: "w"})
	between()
	return carry(&desk.Order{Id: 2, Worker: "w", Seen: 1, Born: 1})
}

// An acknowledgement that was held up must not reach a worker that has restarted under its ID: the worker counts its ends anew, and would
// forget one that no owner has seen, so that its task would run again.
func TestLateAckDoesNotReachNextLifetime(t *testing.T) {
	newWorker := func() *restartableWorker { return &restartableWorker{born: 1, forgotten: map[int64]bool{}} }
	t.Run("the worker has restarted", func(t *testing.T) {
		is := is.New(t)
		w := newWorker()
		a := pollTwice(t, w, func() {
			w.restart()
			time.Sleep(2 * batch.SameLifetimeWithin)
		})
		is.Equal(w.forgotten, map[int64]bool{})
		is.Equal(a.GetBorn(), int64(2))
		is.Equal(len(a.GetEnded()), 1)
		is.True(a.GetSeenWithheld())
	})
	t.Run("the poll was delayed", func(t *testing.T) {
		is := is.New(t)
		w := newWorker()
		a := pollTwice(t, w, func() { time.Sleep(2 * batch.SameLifetimeWithin) })
		is.Equal(w.forgotten, map[int64]bool{1: true})
		is.True(!a.GetSeenWithheld())
	})
	t.Run("the worker answers slowly", func(t *testing.T) {
		is := is.New(t)
		w := newWorker()
		w.answerDelay = 2 * batch.SameLifetimeWithin
		a := pollTwice(t, w, func() {})
		is.Equal(w.forgotten, map[int64]bool{1: true})
		is.True(!a.GetSeenWithheld())
	})
}

// startedWorker is a worker that records its starts. It does not answer polls while it is cut off.
type startedWorker struct {
	restartableWorker
	starts []int64 // lifetimes in which runs were started.
	cutOff bool
}

func (w *startedWorker) Hold(ctx context.Context, c batch.PollCmd) (batch.PolledMsg, error) {
	if w.cutOff {
		return batch.PolledMsg{Worker: c.Worker, Result: batch.NoAnswer}, context.DeadlineExceeded
	}
	return w.restartableWorker.Hold(ctx, c)
}

func (w *startedWorker) Start(context.Context, batch.StartCmd) (batch.Result, int64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts = append(w.starts, w.born)
	return batch.OK, 1, nil
}

// A start that names a lifetime must not reach the next one, which would not refuse the start of an owner that has been replaced.
func TestStartReachesOnlyItsLifetime(t *testing.T) {
	start := func(t *testing.T, w *startedWorker, born int64) batch.Result {
		t.Helper()
		w.forgotten = map[int64]bool{}
		g := errgroup.Group{}
		c := NewCarrier(context.Background(), &g, w, stats.New(), zerolog.New(io.Discard))
		a, err := c.Carry(context.Background(), &desk.CarryRequest{Session: "s", Orders: []*desk.Order{
			{Id: 1, Worker: "w", Task: "5c0e7a21d94b36f8.0.0.1", Run: 1, Born: born},
		}, WaitMs: 2_000})
		is.New(t).NoErr(err)
		is.New(t).Equal(len(a.GetAnswers()), 1)
		return batch.Result(a.GetAnswers()[0].GetResult())
	}
	newWorker := func(born int64) *startedWorker {
		return &startedWorker{restartableWorker: restartableWorker{born: born}}
	}
	t.Run("the worker has restarted", func(t *testing.T) {
		is := is.New(t)
		w := newWorker(2)
		is.Equal(start(t, w, 1), batch.NotSent)
		is.Equal(len(w.starts), 0)
	})
	t.Run("the lifetime is not known", func(t *testing.T) {
		is := is.New(t)
		w := newWorker(1)
		w.cutOff = true
		is.Equal(start(t, w, 1), batch.NotSent)
		is.Equal(len(w.starts), 0)
	})
	t.Run("the same lifetime", func(t *testing.T) {
		is := is.New(t)
		w := newWorker(1)
		is.Equal(start(t, w, 1), batch.OK)
		is.Equal(w.starts, []int64{1})
	})
	t.Run("any lifetime", func(t *testing.T) {
		is := is.New(t)
		w := newWorker(2)
		is.Equal(start(t, w, 0), batch.OK)
		is.Equal(w.starts, []int64{2})
	})
}
