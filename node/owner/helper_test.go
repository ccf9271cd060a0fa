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

// slowWorkers answers each call after a random delay, and fails one call in ten.
type slowWorkers struct {
	Workers
	rnd      *rand.Rand
	mu       sync.Mutex
	maxDelay time.Duration
}

var errNoWorker = errors.New("worker does not answer")

func (w *slowWorkers) pause(ctx context.Context) error {
	w.mu.Lock()
	d := time.Duration(w.rnd.Int64N(int64(w.maxDelay)))
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

func (w *slowWorkers) Hold(ctx context.Context, c batch.PollCmd) (batch.PolledMsg, error) {
	g := batch.PolledMsg{Worker: c.Worker}
	err := w.pause(ctx)
	if err != nil {
		g.Result = batch.NoAnswer
	}
	return g, err
}

func (w *slowWorkers) Stop(ctx context.Context, _ batch.StopCmd) (batch.Result, int64, error) {
	if err := w.pause(ctx); err != nil {
		return batch.NoAnswer, 0, err
	}
	return batch.OK, 1, nil
}

// flakyProxy forwards connections to a server. A test can close the open connections and stall the transfer of data.
type flakyProxy struct {
	net.Listener
	to      string
	mu      sync.Mutex
	conns   []net.Conn // to clients and to the server, in turn.
	stalled atomic.Bool
	wg      errgroup.Group
}

func (p *flakyProxy) serve() {
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
		p.conns = append(p.conns, c, s)
		p.mu.Unlock()
		p.wg.Go(func() error { p.copy(c, s); return nil })
		p.wg.Go(func() error { p.copy(s, c); return nil })
	}
}

func (p *flakyProxy) copy(to, from net.Conn) {
	b := make([]byte, 4096)
	for {
		n, err := from.Read(b)
		for p.stalled.Load() {
			time.Sleep(time.Millisecond)
		}
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				break
			}
		}
		if errors.Is(err, net.ErrClosed) {
			return // reset closes the other connection.
		}
		if err != nil {
			break
		}
	}
	_, _ = to.Close(), from.Close()
}

// maxLag is the longest time until the server notices that a connection was closed.
const maxLag = 200 * time.Millisecond

// reset closes the connections to clients at once, and those to the server after lag.
func (p *flakyProxy) reset(lag time.Duration) {
	p.mu.Lock()
	l := p.conns
	p.conns = nil
	p.mu.Unlock()
	for i := 0; i < len(l); i += 2 {
		_ = l[i].Close()
	}
	p.wg.Go(func() error {
		time.Sleep(lag)
		for i := 1; i < len(l); i += 2 {
			_ = l[i].Close()
		}
		return nil
	})
}

// heldDesk holds the first request that waits for answers until released, also when its client has given up on it.
type heldDesk struct {
	*Owner
	first   atomic.Bool
	release chan struct{}
}

func (d *heldDesk) Carry(ctx context.Context, r *desk.CarryRequest) (*desk.CarryReply, error) {
	if r.GetWaitMs() > 0 && d.first.CompareAndSwap(false, true) {
		<-d.release
		ctx = context.WithoutCancel(ctx)
	}
	return d.Owner.Carry(ctx, r)
}

// newTermWithHelper returns a term with one helper. Its requests reach the Carrier through a flakyProxy.
func newTermWithHelper(t *testing.T, seed uint64) (*term, *helper, *flakyProxy) {
	t.Helper()
	w := &slowWorkers{rnd: rand.New(rand.NewPCG(seed, 1)), maxDelay: 60 * time.Millisecond}
	return newTermWithDesk(t, w, func(o *Owner) desk.Desk { return o })
}

// newTermWithDesk is newTermWithHelper with the desk that wrap returns at the helper.
func newTermWithDesk(t *testing.T, w Workers, wrap func(*Owner) desk.Desk) (*term, *helper, *flakyProxy) {
	t.Helper()
	is := is.New(t)
	ctx, stop := context.WithCancel(context.Background())
	g, ctx := errgroup.WithContext(ctx)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	remote := wrap(&Owner{Carrier: NewCarrier(ctx, g, w, stats.New(), zerolog.Nop())})
	g.Go(func() error { return desk.Serve(ctx, l, remote) })
	pl, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	p := &flakyProxy{Listener: pl, to: l.Addr().String()}
	p.wg.Go(func() error { p.serve(); return nil })
	o := &Owner{log: zerolog.New(io.Discard), peers: desk.NewClient(), holder: "h/1", started: time.Now(), entries: entryList{}, settings: Settings{HelperWorkers: 60}}
	m := &term{o: o, fence: 7, msgs: make(chan batch.Msg, maxQueuedMsgs), group: g}
	m.helpers.byAddr = map[string]*helper{}
	h := newHelper(ctx, m, pl.Addr().String())
	g.Go(func() error { return h.send(ctx) })
	g.Go(func() error { return h.collect(ctx) })
	t.Cleanup(func() {
		stop()
		p.stalled.Store(false)
		_ = pl.Close()
		p.reset(0)
		_ = g.Wait()
		_ = p.wg.Wait()
	})
	return m, h, p
}

// unanswered returns the number of orders that have no answer yet.
func (p *helper) unanswered() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.inFlight)
}

// entryList lists helpers by their addresses.
type entryList []string

func (l entryList) Helpers() []string { return l }

// Each order that is queued for a helper gets an answer, from the worker or NoAnswer, even if connections to the helper are closed or
// stalled.
func TestHelperAnswersEachOrder(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		is := is.New(t)
		m, h, p := newTermWithHelper(t, seed)
		rnd := rand.New(rand.NewPCG(seed, 2))
		const orders, lastReset = 440, 400
		for i := range orders {
			n := rnd.IntN(40)
			switch {
			case i == lastReset: // no failure follows that would report a lost answer as NoAnswer.
				p.stalled.Store(false)
				p.reset(maxLag)
			case i > lastReset:
			case n == 0:
				p.reset(time.Duration(rnd.Int64N(int64(maxLag))))
			case n == 1:
				p.stalled.Store(!p.stalled.Load())
			}
			if i%2 == 0 {
				h.enqueue(batch.PollCmd{Worker: string(rune('a' + i%20)), ForgetUpTo: int64(i)})
			} else {
				h.enqueue(batch.StopCmd{Worker: "w", Task: batch.TaskName{Job: "0123456789abcdef", Index: i}, Run: 1})
			}
			time.Sleep(time.Duration(rnd.Int64N(int64(4 * time.Millisecond))))
		}
		timeout := time.After(20 * time.Second) // over ten times the longest request.
		for range orders {
			select {
			case <-m.msgs:
			case <-timeout:
				t.Fatalf("seed %d: %d orders have no answer", seed, h.unanswered())
			}
		}
		is.Equal(h.unanswered(), 0)
	}
}

// waitMsg returns the next message for the model.
func waitMsg(t *testing.T, m *term) batch.Msg {
	t.Helper()
	select {
	case g := <-m.msgs:
		return g
	case <-time.After(10 * time.Second):
		t.Fatal("an order has no answer")
		return nil
	}
}

// silentWorkers never answer polls, and answer stops after a delay.
type silentWorkers struct {
	Workers
	delay time.Duration
}

func (silentWorkers) Hold(ctx context.Context, c batch.PollCmd) (batch.PolledMsg, error) {
	<-ctx.Done()
	return batch.PolledMsg{Worker: c.Worker, Result: batch.NoAnswer}, ctx.Err()
}

func (w silentWorkers) Stop(context.Context, batch.StopCmd) (batch.Result, int64, error) {
	time.Sleep(w.delay)
	return batch.OK, 1, nil
}

// A request that the owner has given up on may still wait at the helper. It must not take the answer to a later order.
func TestAbandonedRequestTakesNoAnswer(t *testing.T) {
	is := is.New(t)
	d := &heldDesk{release: make(chan struct{})}
	m, h, _ := newTermWithDesk(t, silentWorkers{delay: 100 * time.Millisecond}, func(o *Owner) desk.Desk {
		d.Owner = o
		return d
	})
	h.enqueue(batch.PollCmd{Worker: "a"})
	waitMsg(t, m)
	close(d.release)
	time.Sleep(50 * time.Millisecond) // the held request now waits for answers.
	h.enqueue(batch.StopCmd{Worker: "a", Task: batch.TaskName{Job: "0123456789abcdef"}, Run: 1})
	g, ok := waitMsg(t, m).(batch.StoppedMsg)
	is.True(ok)
	is.Equal(g.Result, batch.OK)
	is.Equal(h.unanswered(), 0)
}

// A helper that cannot be reached gets no orders, also from a new owner that has never called it.
func TestUnreachableHelperGetsNoOrders(t *testing.T) {
	is := is.New(t)
	m, h, _ := newTermWithDesk(t, silentWorkers{}, func(o *Owner) desk.Desk { return o })
	silent, err := net.Listen("tcp", "127.0.0.1:0") // connections are not accepted.
	is.NoErr(err)
	t.Cleanup(func() { _ = silent.Close() })
	m.o.entries = entryList{silent.Addr().String(), h.addr}
	m.workerCount.Store(int64(m.o.settings.HelperWorkers))
	ctx, stop := context.WithCancel(t.Context())
	m.group.Go(func() error { return m.manageHelpers(ctx) })
	t.Cleanup(stop)
	for begin := time.Now(); m.helperOf("w") == nil && time.Since(begin) < time.Second; {
		time.Sleep(time.Millisecond)
	}
	m.sendOrder(ctx, "w", batch.StopCmd{Worker: "w", Task: batch.TaskName{Job: "0123456789abcdef"}, Run: 1})
	g, ok := waitMsg(t, m).(batch.StoppedMsg)
	is.True(ok)
	is.Equal(g.Result, batch.OK)
	is.Equal(m.helperOf("w").addr, h.addr)
}
