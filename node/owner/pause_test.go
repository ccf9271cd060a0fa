package owner

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/fleet/batch"
	"burdockreach.dev/node/board"
	"burdockreach.dev/plat/keyval"
	"burdockreach.dev/plat/lease"
)

// unrenewedStore is a store that does not answer renewals.
type unrenewedStore struct{ *keyval.Memory }

func (unrenewedStore) Renew(ctx context.Context, _ keyval.LeaseID) error {
	<-ctx.Done()
	return ctx.Err()
}

// startCounter counts starts.
type startCounter struct {
	Workers
	starts atomic.Int64
}

func (w *startCounter) Start(context.Context, batch.StartCmd) (batch.Result, int64, error) {
	w.starts.Add(1)
	return batch.OK, 1, nil
}

func (w *startCounter) Hold(_ context.Context, c batch.PollCmd) (batch.PolledMsg, error) {
	return batch.PolledMsg{Worker: c.Worker, Born: 1, ClockMs: 1}, nil
}

// noMachines does not answer.
type noMachines struct{ Machines }

func (noMachines) List(context.Context) ([]batch.Machine, error) { return nil, errNoWorker }

// startsAfterPause returns how many tasks an owner starts that gets a job after its process has been paused for d, and how its term ends.
func startsAfterPause(t *testing.T, d time.Duration) (int64, error) {
	t.Helper()
	is := is.New(t)
	var paused atomic.Int64
	x, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	s := keyval.NewMemory()
	l := lease.New(unrenewedStore{s}, ClaimKey, "a/1", lease.WithTTL(ClaimTTL), lease.WithRenewalGrace(ClaimGracePeriod),
		lease.WithClock(func() time.Time { return time.Now().Add(time.Duration(paused.Load())) }))
	g := errgroup.Group{}
	held, release := context.WithCancel(context.Background()) // outlives the term, as in an entry that stops.
	defer release()
	g.Go(func() error { return l.Run(held) })
	for f, ok := l.Retained(); !ok || f == 0; f, ok = l.Retained() {
		time.Sleep(time.Millisecond)
	}
	f, _ := l.Retained()
	m := newTestTerm(s, f)
	w := &startCounter{}
	m.o.workers, m.o.machines, m.o.lease, m.o.board, m.o.started = w, noMachines{}, l, board.New(), time.Now().Add(-time.Minute)
	m.o.Carrier = NewCarrier(x, &g, w, m.o.stats, m.o.log)
	m.msgs, m.calls = make(chan batch.Msg, 16), make(chan batch.Cmd)
	m.queries, m.pending = make(chan modelQuery), map[uint64]chan batch.ReplyCmd{}
	m.group = &errgroup.Group{}
	m.model = batch.New(batch.Config{Fence: int64(f), UnixMs: time.Now().UnixMilli(), LeaseMs: 6000})
	for _, k := range []batch.Msg{
		batch.ServicesMsg{Services: []batch.Service{{Name: "s"}}},
		batch.WorkersMsg{All: true, Set: []batch.WorkerEntry{{ID: "w", Service: "s", Addr: "w", Room: batch.Size{CPU: 1000, MemMB: 1000}, ClockMs: 1, Born: 1}}},
		batch.LoadedMsg{Jobs: []batch.StoredJob{{Job: batch.Job{ID: "5c0e7a21d94b36f8", Queue: "q", Service: "s", ObjectiveExtraMs: 60_000, Steps: []batch.Step{
			{Count: 1, Size: batch.Size{CPU: 500, MemMB: 10}, EstimateMs: 60_000},
		}}}}},
	} {
		m.model.Update(1, k)
	}
	paused.Store(int64(d))
	err := m.runModel(x)
	release()
	is.NoErr(m.group.Wait())
	is.NoErr(g.Wait())
	return w.starts.Load(), err
}

// A process that was paused for longer than its successor waits for its orders must not give any when it goes on, before the store has told
// it that its claim is gone.
func TestPausedOwnerGivesNoOrders(t *testing.T) {
	t.Run("a short pause", func(t *testing.T) {
		is := is.New(t)
		n, err := startsAfterPause(t, time.Second)
		is.True(n > 0)
		is.NoErr(err)
	})
	t.Run("a long pause", func(t *testing.T) {
		is := is.New(t)
		n, err := startsAfterPause(t, 20*time.Second)
		is.Equal(n, int64(0))
		is.Equal(err, errClaimLost)
	})
}
