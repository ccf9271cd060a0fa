package relay

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/flow/ledger"
)

var body = []byte("digest of a request")

// keysHeldBy returns keys of the data centre east whose holders are exactly a and b.
func keysHeldBy(n *node, a, b string, count int) (l []string) {
	r := n.Roster("east")
	for k := 0; len(l) < count; k++ {
		key := fmt.Sprintf("east/%d", k)
		if f, s := r.Holders(key); f == a && s == b || f == b && s == a {
			l = append(l, key)
		}
	}
	return l
}

func keyHeldBy(n *node, a, b string) string { return keysHeldBy(n, a, b, 1)[0] }

func wantGranted(i *is.I, n *node, key, attempt string) *Ticket {
	i.Helper()
	t, err := n.ClaimKey(n.ctx, key, body, attempt)
	i.NoErr(err)
	return t
}

func wantRepeated(i *is.I, n *node, key, attempt string, p ledger.Phase) *RepeatError {
	i.Helper()
	_, err := n.ClaimKey(n.ctx, key, body, attempt)
	var r *RepeatError
	i.True(errors.As(err, &r)) // repeat
	i.Equal(r.Phase(), p)
	return r
}

func wantRefused(i *is.I, n *node, key, attempt string, why ledger.Reason, notRun bool) {
	i.Helper()
	_, err := n.ClaimKey(n.ctx, key, body, attempt)
	var r *RefusedError
	i.True(errors.As(err, &r)) // refused
	i.Equal(r.Reason(), why)
	i.Equal(r.NotRun(), notRun)
}

func wantStoredAnswer(i *is.I, n *node, key, attempt string) {
	i.Helper()
	a, ok := wantRepeated(i, n, key, attempt, ledger.Answered).Answer()
	i.True(ok)
	i.Equal(string(a), "answer of "+key)
}

func settleAnswered(t *Ticket, key string) {
	t.Settle(ledger.Answered, 200, "text/plain", []byte("answer of "+key))
}

// inVirtualTime runs a case with a fleet of the entries under synctest.
func inVirtualTime(t *testing.T, name string, entries []string, f func(*is.I, *fleet, []*node)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newFleet(t)
			var l []*node
			for _, e := range entries {
				l = append(l, w.start(e))
			}
			w.inForce(l...)
			f(is.New(t), w, l)
		})
	})
}

func TestKeyHolder(t *testing.T) {
	three := []string{"a", "b", "c"}
	inVirtualTime(t, "a holder dies between claim and settle", three, func(i *is.I, f *fleet, n []*node) {
		key := keyHeldBy(n[0], "b", "c")
		k := wantGranted(i, n[0], key, "1")
		n[1].kill()
		settleAnswered(k, key)
		f.reportGone("b")
		f.inForce(n[0], n[2])
		time.Sleep(2 * time.Second)
		wantStoredAnswer(i, n[0], key, "2")
		wantStoredAnswer(i, n[2], key, "3")
	})
	inVirtualTime(t, "the claimant dies before it settles", three, func(i *is.I, f *fleet, n []*node) {
		key := keyHeldBy(n[0], "b", "c")
		wantGranted(i, n[0], key, "1")
		n[0].kill()
		wantRepeated(i, n[1], key, "2", ledger.Claimed)
		f.reportGone("a")
		f.inForce(n[1], n[2])
		wantRepeated(i, n[2], key, "3", ledger.Claimed)
	})
	inVirtualTime(t, "a copy that did not run leaves the key free", three, func(i *is.I, _ *fleet, n []*node) {
		wantGranted(i, n[0], "east/x", "1").Settle(ledger.NotRun, 0, "", nil)
		time.Sleep(time.Second)
		i.NoErr(n[0].outbox.drain(n[0].ctx))
		i.Equal(n[0].outbox.dropped, 0)
		wantGranted(i, n[1], "east/x", "2")
		wantRepeated(i, n[2], "east/x", "3", ledger.Claimed)
	})
	inVirtualTime(t, "another request under the key", three, func(i *is.I, _ *fleet, n []*node) {
		wantGranted(i, n[0], "east/x", "1")
		_, err := n[1].ClaimKey(n[1].ctx, "east/x", []byte("other"), "2")
		var r *RefusedError
		i.True(errors.As(err, &r))
		i.Equal(r.Reason(), ledger.OtherRequest)
	})
	inVirtualTime(t, "a planned stop waits until the records are handed over", three, func(i *is.I, f *fleet, n []*node) {
		f.network.silence(n[1].self.Addr, true)
		f.network.silence(n[2].self.Addr, true) // a cannot pull records from any entry
		c, end := context.WithTimeout(n[1].ctx, 3*time.Second)
		defer end()
		i.True(errors.Is(n[1].Leave(c), context.DeadlineExceeded))
		_, in := n[0].Roster("east").Member("b")
		i.True(!in)
	})
	inVirtualTime(t, "a planned stop hands over first", three, func(i *is.I, f *fleet, n []*node) {
		key := keyHeldBy(n[0], "b", "c")
		settleAnswered(wantGranted(i, n[0], key, "1"), key)
		time.Sleep(time.Second)
		i.NoErr(n[1].Leave(n[1].ctx))
		n[1].kill()
		n[2].kill() // the other holder crashes right after
		f.reportGone("c")
		f.inForce(n[0])
		wantStoredAnswer(i, n[0], key, "2")
	})
}

func TestKeyHolderLosses(t *testing.T) {
	three := []string{"a", "b", "c"}
	inVirtualTime(t, "a holder that cannot be reached is removed when unheard", three, func(i *is.I, f *fleet, n []*node) {
		key := keyHeldBy(n[0], "b", "c")
		n[1].kill()
		start := time.Now()
		wantRefused(i, n[0], key, "1", ledger.Unreachable, true)
		i.True(time.Since(start) < time.Second)
		f.store.down.Store(true)
		wantRefused(i, n[0], key, "1b", ledger.Unreachable, false) // the roster cannot be confirmed, so the holder that answered may have been replaced
		f.store.down.Store(false)
		f.inForce(n[0], n[2])
		wantGranted(i, n[0], key, "2")
	})
	inVirtualTime(t, "both holders die", three, func(i *is.I, f *fleet, n []*node) {
		key := keyHeldBy(n[0], "b", "c")
		wantGranted(i, n[0], key, "1")
		n[1].kill()
		n[2].kill()
		wantRefused(i, n[0], key, "2", ledger.Unreachable, false)
		f.reportGone("b", "c")
		f.inForce(n[0])
		wantRefused(i, n[0], key, "3", ledger.RecordsLost, false)
		time.Sleep(ledger.RecordTTL - 15*time.Second)
		wantRefused(i, n[0], key, "4", ledger.RecordsLost, false)
		time.Sleep(20 * time.Second)
		wantGranted(i, n[0], key, "5")
	})
	inVirtualTime(t, "an entry restarts without records", three, func(i *is.I, f *fleet, n []*node) {
		key := keyHeldBy(n[0], "b", "c")
		settleAnswered(wantGranted(i, n[0], key, "1"), key)
		time.Sleep(time.Second)
		n[1].kill()
		b := f.start("b")
		f.inForce(n[0], b, n[2])
		n[2].kill()
		f.reportGone("c")
		f.inForce(n[0], b)
		wantStoredAnswer(i, b, key, "2")
	})
	inVirtualTime(t, "a lone entry uses the platform's service", []string{"a"}, func(i *is.I, f *fleet, n []*node) {
		wantGranted(i, n[0], "east/x", "1")
		wantGranted(i, n[0], "east/y", "1").Settle(ledger.NotRun, 0, "", nil)
		time.Sleep(time.Second)
		n[0].kill()
		b, c := f.start("b"), f.start("c")
		f.reportGone("a")
		f.inForce(b, c)
		wantRepeated(i, b, "east/x", "2", ledger.Claimed)
		wantGranted(i, c, "east/y", "2")
		wantRepeated(i, b, "east/y", "3", ledger.Claimed)
	})
	inVirtualTime(t, "records end after their time", three, func(i *is.I, _ *fleet, n []*node) {
		settleAnswered(wantGranted(i, n[0], "east/x", "1"), "east/x")
		time.Sleep(ledger.RecordTTL - time.Second)
		wantStoredAnswer(i, n[1], "east/x", "2")
		time.Sleep(3 * time.Second)
		wantGranted(i, n[1], "east/x", "3")
	})
}

func TestSilentPeer(t *testing.T) {
	inVirtualTime(t, "connections that go silent", []string{"a", "b", "c"}, func(i *is.I, f *fleet, n []*node) {
		key := keyHeldBy(n[0], "b", "c")
		f.network.silence(n[1].self.Addr, true)
		start := time.Now()
		wantRefused(i, n[0], key, "1", ledger.Unreachable, true)
		i.True(time.Since(start) <= ledger.ClaimTimeout)
		time.Sleep(time.Second)
		start = time.Now()
		wantRefused(i, n[0], key, "2", ledger.Unreachable, true)
		i.True(time.Since(start) <= callTimeout) // the circuit is open
		f.network.silence(n[1].self.Addr, false)
		time.Sleep(3 * time.Second)
		for _, k := range keysHeldBy(n[0], "b", "c", 4) {
			wantGranted(i, n[0], k, "3") // the circuit is closed again
		}
	})
	inVirtualTime(t, "open connections that go silent while new ones work", []string{"a", "b", "c"}, func(i *is.I, f *fleet, n []*node) {
		g := errgroup.Group{}
		for range 8 { // so that several connections are open
			g.Go(func() error {
				_, err := n[0].client.Borrow(n[0].ctx, n[1].self.Addr, &BorrowRequest{})
				return err
			})
		}
		i.NoErr(g.Wait())
		f.network.silenceOpenConns()
		wantGranted(i, n[0], keyHeldBy(n[0], "b", "c"), "1")
	})
}

// TestLoopback stops a holder with a real server between claim and settlement; the answer must still reach the other holders.
func TestLoopback(t *testing.T) {
	f, i := newFleet(t), is.New(t)
	a, b, c := f.startAt("a", "east"), f.startAt("b", "east"), f.startAt("c", "east")
	f.inForce(a, b, c)
	key := keyHeldBy(a, "b", "c")
	k := wantGranted(i, a, key, "1")
	b.kill()
	settleAnswered(k, key)
	f.reportGone("b")
	f.inForce(a, c)
	i.NoErr(a.outbox.drain(a.ctx))
	wantStoredAnswer(i, c, key, "2")
	wantStoredAnswer(i, a, key, "3")
}

func TestOtherDataCentre(t *testing.T) {
	f := newFleet(t)
	a, b, c := f.startAt("a", "east"), f.startAt("b", "west"), f.startAt("c", "west")
	f.inForce(a)
	f.inForce(b, c)
	i := is.New(t)
	i.NoErr(a.refreshRoster(a.ctx, "west"))
	k := wantGranted(i, a, "west/x", "1")
	settleAnswered(k, "west/x")
	for {
		_, err := b.ClaimKey(b.ctx, "west/x", body, "2")
		var r *RepeatError
		i.True(errors.As(err, &r))
		if r.Phase() == ledger.Answered {
			break
		}
		time.Sleep(time.Millisecond)
	}
	g, err := a.client.Borrow(a.ctx, b.self.Addr, &BorrowRequest{Service: "s", Slots: 2})
	i.NoErr(err)
	i.Equal(g.GetGrants()[0].GetSlots(), int32(2))
	_, err = a.client.Claim(a.ctx, "127.0.0.1:1", &ClaimRequest{})
	i.True(errors.Is(err, ErrCallFailed))
}

func TestBeats(t *testing.T) {
	inVirtualTime(t, "changes pass from entry to entry", []string{"a", "b"}, func(i *is.I, _ *fleet, n []*node) {
		n[0].state.Offer([][]byte{{1}}, nil)
		n[0].heartbeater.BeatNow()
		synctest.Wait()
		i.Equal(n[1].state.Applied(), int64(1))
		h := n[1].heartbeater.Peers()
		i.Equal(len(h), 1)
		i.Equal(h[0].Address().Entry(), "a")
		i.Equal(h[0].Applied(), int64(1))
	})
	inVirtualTime(t, "loads go to the leader alone", []string{"a", "b", "c"}, func(i *is.I, _ *fleet, n []*node) {
		time.Sleep(5 * time.Second)
		for k, p := range n[1].heartbeater.Peers() { // b leads
			i.Equal(len(p.Loads()), 1)
			i.True(time.Since(p.HeardAt()) < time.Second)
			i.Equal(len(n[2*k].heartbeater.Peers()[0].Loads()), 0)
		}
	})
	inVirtualTime(t, "a claim ends when its caller cancels it", []string{"a", "b", "c"}, func(i *is.I, f *fleet, n []*node) {
		key := keyHeldBy(n[0], "b", "c")
		f.network.silence(n[1].self.Addr, true)
		f.network.silence(n[2].self.Addr, true)
		c, end := context.WithTimeout(n[0].ctx, 100*time.Millisecond)
		defer end()
		_, err := n[0].ClaimKey(c, key, body, "1")
		var r *RefusedError
		i.True(errors.As(err, &r))
		i.Equal(r.Reason(), ledger.Withdrawn)
	})
}
