package owner

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/fleet/batch"
	"burdockreach.dev/node/desk"
	"burdockreach.dev/node/stats"
)

// idleWorkers answers each call after a while.
type idleWorkers struct {
	Workers
	rnd  *rand.Rand
	mu   sync.Mutex
	most time.Duration
}

var errNoWorker = errors.New("worker does not answer")

func (w *idleWorkers) pause(ctx context.Context) error {
	w.mu.Lock()
	d := time.Duration(w.rnd.Int64N(int64(w.most)))
	fail := w.rnd.IntN(10) == 0
	w.mu.Unlock()
	select {
	case <-time.After(d):
	case <-ctx.Done():
		return ctx.Err()
	}
	if fail {
		return errNoWorker
	}
	return nil
}

func (w *idleWorkers) Hold(ctx context.Context, c batch.HoldCmd) (batch.HeldMsg, error) {
	g := batch.HeldMsg{Worker: c.Worker}
	err := w.pause(ctx)
	if err != nil {
		g.Result = batch.NoAnswer
	}
	return g, err
}

func (w *idleWorkers) Stop(ctx context.Context, _ batch.StopCmd) (batch.Result, int64, error) {
	if err := w.pause(ctx); err != nil {
		return batch.NoAnswer, 0, err
	}
	return batch.OK, 1, nil
}

// path passes connections on to a server; it resets those that are open, and holds new ones up, as the test wishes.
type path struct {
	net.Listener
	to   string
	mu   sync.Mutex
	open []net.Conn
	shut atomic.Bool
	wg   errgroup.Group
}

func (p *path) serve() {
	for {
		c, err := p.Accept()
		if err != nil {
			return
		}
		s, err := net.Dial("tcp", p.to)
		if err != nil {
			_ = c.Close()
			continue
		}
		p.mu.Lock()
		p.open = append(p.open, c, s)
		p.mu.Unlock()
		p.wg.Go(func() error { p.copy(c, s); return nil })
		p.wg.Go(func() error { p.copy(s, c); return nil })
	}
}

func (p *path) copy(to, from net.Conn) {
	b := make([]byte, 4096)
	for {
		n, err := from.Read(b)
		for p.shut.Load() {
			time.Sleep(time.Millisecond)
		}
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_, _ = to.Close(), from.Close()
}

func (p *path) reset() {
	p.mu.Lock()
	l := p.open
	p.open = nil
	p.mu.Unlock()
	for _, c := range l {
		_ = c.Close()
	}
}

// carried is a term with one helper behind a path, and the carrier at its end.
func carried(t *testing.T, seed uint64) (*term, *helper, *path, context.Context) {
	t.Helper()
	is := is.New(t)
	ctx, stop := context.WithCancel(context.Background())
	g, ctx := errgroup.WithContext(ctx)
	w := &idleWorkers{rnd: rand.New(rand.NewPCG(seed, 1)), most: 60 * time.Millisecond}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	far := &Owner{Carrier: NewCarrier(ctx, g, w, stats.New(), zerolog.Nop())}
	g.Go(func() error { return desk.Serve(ctx, l, far) })
	pl, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	p := &path{Listener: pl, to: l.Addr().String()}
	p.wg.Go(func() error { p.serve(); return nil })
	o := &Owner{log: zerolog.New(io.Discard), peers: desk.NewClient(), holder: "h/1", started: time.Now(), entries: nobody{}, settings: Settings{HelperWorkers: 60}}
	m := &term{o: o, fence: 7, msgs: make(chan batch.Msg, maxQueuedMsgs), group: g}
	m.helpers.byAddr = map[string]*helper{}
	h := newHelper(m, pl.Addr().String())
	g.Go(func() error { return h.send(ctx) })
	g.Go(func() error { return h.collect(ctx) })
	t.Cleanup(func() {
		stop()
		p.shut.Store(false)
		_ = pl.Close()
		p.reset()
		_ = g.Wait()
		_ = p.wg.Wait()
	})
	return m, h, p, ctx
}

// waiting returns the number of orders that have no answer yet.
func (p *helper) waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.inFlight)
}

// nobody has no entries that help.
type nobody struct{}

func (nobody) Helpers() []string { return nil }

// Each order that a helper is given is answered, by the worker or as one that has no answer, whatever happens to the way to the helper.
func TestHelperAnswersEachOrder(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		is := is.New(t)
		m, h, p, _ := carried(t, seed)
		rnd := rand.New(rand.NewPCG(seed, 2))
		const orders = 400
		for i := range orders {
			if i%2 == 0 {
				h.enqueue(batch.HoldCmd{Worker: string(rune('a' + i%20)), LastSeen: int64(i)})
			} else {
				h.enqueue(batch.StopCmd{Worker: "w", Task: batch.TaskName{Job: "0123456789abcdef", Index: i}, Run: 1})
			}
			switch rnd.IntN(40) {
			case 0:
				p.reset()
			case 1:
				p.shut.Store(!p.shut.Load())
			}
			time.Sleep(time.Duration(rnd.Int64N(int64(4 * time.Millisecond))))
		}
		p.shut.Store(false)
		late := time.After(20 * time.Second) // ten times the longest request.
		for range orders {
			select {
			case <-m.msgs:
			case <-late:
				t.Fatalf("seed %d: %d orders have no answer", seed, h.waiting())
			}
		}
		is.Equal(h.waiting(), 0)
	}
}
