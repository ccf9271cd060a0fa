package conf_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/plat/conf"
	"burdockreach.dev/plat/keyval"
)

// commitUpTo commits changes until the log has n of them.
func commitUpTo(t testing.TB, s keyval.Store, h *conf.Holder, n conf.Number) {
	t.Helper()
	c := conf.NewCommitter(s, h)
	for h.Document().Number() < n {
		k := h.Document().Number()
		_, err := c.Commit(t.Context(), conf.Change{
			Op: fmt.Sprint("op", k), Kind: conf.PutPool, Pool: &conf.PoolSpec{Name: fmt.Sprint("p", k%50)},
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// withFollower runs a follower of s for h while f runs.
func withFollower(t testing.TB, s keyval.Store, h *conf.Holder, f func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return conf.NewFollower(s, h).Run(ctx) })
	f()
	cancel()
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
}

func TestCompactorBoundsTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m, h := keyval.NewMemory(), conf.NewHolder()
		commitUpTo(t, m, h, 1_700)
		c := conf.NewCompactor(m, h)
		for range 20 {
			is.NoErr(c.Step(t.Context()))
		}
		writes := m.Writes()
		is.NoErr(c.Step(t.Context()))
		is.Equal(m.Writes(), writes) // nothing left to do
		first, _, err := m.List(t.Context(), conf.LogPrefix, "", 1)
		is.NoErr(err)
		is.Equal(first[0].Key(), conf.LogKey(701))

		newcomer, reads := conf.NewHolder(), m.Reads()
		withFollower(t, m, newcomer, func() {
			is.NoErr(newcomer.Wait(t.Context(), 1_700))
			is.True(newcomer.Document().Equal(h.Document()))
			is.True(m.Reads()-reads <= 4) // the snapshot and what follows, not the whole log
		})

		behind := conf.NewHolder()
		old, _ := h.ChangeAt(701)
		is.Equal(old.Number, conf.Number(701))
		_, err = behind.Offer(putPool(1, "a")) // another history, whose changes have been pruned
		is.NoErr(err)
		withFollower(t, m, behind, func() { is.NoErr(behind.Wait(t.Context(), 1_700)) })
	})
}

func TestNewcomerDuringOutageLearnsFromPeers(t *testing.T) {
	is := is.New(t)
	h := conf.NewHolder(conf.WithTail(100))
	commitUpTo(t, keyval.NewMemory(), h, 1_000)
	early := h.Document()
	for n := conf.Number(1_001); n <= 1_050; n++ {
		_, err := h.Offer(putPool(n, fmt.Sprint("late", n)))
		is.NoErr(err)
	}
	for _, start := range []*conf.Document{nil, early} {
		peer := conf.NewHolder()
		peer.OfferDocument(start)
		for peer.Document().Number() < h.Document().Number() {
			changes, snapshot := h.Since(peer.Document().Number(), 20)
			is.Equal(snapshot != nil, start == nil) // only for a peer that is older than the tail
			peer.OfferDocument(snapshot)
			_, err := peer.Offer(changes...)
			is.NoErr(err)
		}
		is.True(peer.Document().Equal(h.Document()))
	}
}

func TestOutageCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const entries, outageSeconds = 100, 60
		m, admin := keyval.NewMemory(), conf.NewHolder()
		commitUpTo(t, m, admin, 10)
		c := &faultInjector{r: rand.New(rand.NewSource(1)), noFaults: true}
		ctx, cancel := context.WithCancel(t.Context())
		var g errgroup.Group
		var stores []*flakyStore
		var holders []*conf.Holder
		for range entries {
			s, h := &flakyStore{Store: m, faults: c}, conf.NewHolder()
			stores, holders = append(stores, s), append(holders, h)
			g.Go(func() error { return conf.NewFollower(s, h).Run(ctx) })
		}
		time.Sleep(10 * time.Second)
		c.set(true, true)
		before := countCalls(c, stores)
		time.Sleep(outageSeconds * time.Second)
		perSecond := (countCalls(c, stores) - before) / outageSeconds
		is.True(perSecond <= entries) // at most one call per second and entry in the outage
		commitUpTo(t, m, admin, 11)
		c.set(false, true)
		before = countCalls(c, stores)
		restored := time.Now()
		for _, h := range holders {
			is.NoErr(h.Wait(ctx, 11))
		}
		is.True(time.Since(restored) < 9*time.Second) // every entry has the change
		is.True(countCalls(c, stores)-before <= 10*entries)
		t.Logf("%d calls/s in the outage; all entries caught up %v after it with %d calls", perSecond, time.Since(restored), countCalls(c, stores)-before)
		cancel()
		is.NoErr(g.Wait())
	})
}

func countCalls(c *faultInjector, l []*flakyStore) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, s := range l {
		n += s.calls
	}
	return n
}

func TestOneWinnerOfARace(t *testing.T) {
	is := is.New(t)
	m, a, b := keyval.NewMemory(), conf.NewHolder(), conf.NewHolder()
	commitUpTo(t, m, a, 1)
	edit := func(op string) conf.Change {
		return conf.Change{Op: op, Kind: conf.PutPool, Expect: 1, Pool: &conf.PoolSpec{Name: "p0", Spare: true}}
	}
	errs := make([]error, 2)
	runConcurrently(t,
		func() { _, errs[0] = conf.NewCommitter(m, a).Commit(t.Context(), edit("a")) },
		func() { _, errs[1] = conf.NewCommitter(m, b).Commit(t.Context(), edit("b")) })
	is.True((errs[0] == nil) != (errs[1] == nil))                             // exactly one is accepted
	is.True(errors.Is(errors.Join(errs[0], errs[1]), conf.ErrInvalid))        // the other gets a FieldError
	n, err := conf.NewCommitter(m, b).Repeat(t.Context(), winner(errs, edit)) // a repeat does not edit again
	is.NoErr(err)
	is.Equal(n, conf.Number(2))
}

func winner(errs []error, edit func(string) conf.Change) conf.Change {
	if errs[0] == nil {
		return edit("a")
	}
	return edit("b")
}
