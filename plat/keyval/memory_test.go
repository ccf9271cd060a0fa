package keyval_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"burdockreach.dev/plat/keyval"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// call is a get or put of the one key. A put whose outcome is unknown may take effect at any later time, or never.
type call struct {
	put   bool
	value int
	cond  keyval.Revision
}

type outcome struct {
	value   int
	rev     keyval.Revision
	refused bool
	unknown bool
}

type register struct {
	value int
	rev   keyval.Revision
}

// model is the register that a history must be linearizable against. Only one key is written, so each write has the next revision.
var model = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{register{}} },
	Step: func(s, in, out any) []any {
		r, c, o := s.(register), in.(call), out.(outcome)
		next := register{value: c.value, rev: r.rev + 1}
		holds := c.cond == r.rev
		switch {
		case !c.put && o.value == r.value && o.rev == r.rev:
			return []any{r}
		case c.put && o.unknown && holds:
			return []any{r, next}
		case c.put && (o.unknown || o.refused && !holds):
			return []any{r}
		case c.put && !o.refused && holds && o.rev == next.rev:
			return []any{next}
		}
		return nil
	},
}).ToModel()

// runClient calls the store count times and records each call with its outcome and times. All clients share the clock of the
// synctest bubble.
func runClient(s keyval.Store, r *rand.Rand, id, count int, loseResponses bool) []porcupine.Operation {
	var l []porcupine.Operation
	last := keyval.Absent
	for k := range count {
		time.Sleep(time.Duration(r.Intn(50)) * time.Millisecond)
		c := call{put: r.Intn(2) == 0, value: id*1000 + k, cond: last}
		op := porcupine.Operation{ClientId: id, Input: c, Call: time.Now().UnixNano()}
		o, lost := performCall(s, r, c, loseResponses)
		op.Output, op.Return = o, time.Now().UnixNano()
		if lost {
			op.Return = int64(1) << 62
		}
		if !o.unknown && !o.refused {
			last = o.rev
		}
		l = append(l, op)
	}
	return l
}

func performCall(s keyval.Store, r *rand.Rand, c call, loseResponses bool) (outcome, bool) {
	ctx := context.Background()
	time.Sleep(time.Duration(r.Intn(20)) * time.Millisecond)
	if !c.put {
		i, _ := s.Get(ctx, "k")
		time.Sleep(time.Duration(r.Intn(20)) * time.Millisecond)
		v, _ := strconv.Atoi(string(i.Value()))
		return outcome{value: v, rev: i.Rev()}, false
	}
	write := func() (keyval.Revision, error) { return s.Put(ctx, "k", []byte(strconv.Itoa(c.value)), c.cond, 0) }
	if loseResponses && r.Intn(4) == 0 {
		d := time.Duration(r.Intn(100)) * time.Millisecond
		if r.Intn(2) == 0 {
			time.AfterFunc(d, func() { _, _ = write() })
		}
		return outcome{unknown: true}, true
	}
	rev, err := write()
	time.Sleep(time.Duration(r.Intn(20)) * time.Millisecond)
	return outcome{rev: rev, refused: errors.Is(err, keyval.ErrConflict)}, false
}

func TestCompareAndSwapIsLinearizable(t *testing.T) {
	for _, loseResponses := range []bool{false, true} {
		t.Run(fmt.Sprint("lose=", loseResponses), func(t *testing.T) {
			rapid.Check(t, func(r *rapid.T) {
				h := recordHistory(t, keyval.NewMemory(), rapid.Int64().Draw(r, "seed"), rapid.IntRange(1, 5).Draw(r, "clients"), loseResponses)
				if got := porcupine.CheckOperationsTimeout(model, h, 20*time.Second); got != porcupine.Ok {
					r.Fatalf("history of %d calls is %s", len(h), got)
				}
			})
		})
	}
}

// staleStore is a store whose reads return the first value that was read, so that the checker must reject its history.
type staleStore struct {
	keyval.Store
	mu    sync.Mutex
	first keyval.Item
}

func (u *staleStore) Get(ctx context.Context, key string) (keyval.Item, error) {
	i, err := u.Store.Get(ctx, key)
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.first.Found() {
		u.first = i
	}
	return u.first, err
}

func TestCheckerSeesStaleReads(t *testing.T) {
	h := recordHistory(t, &staleStore{Store: keyval.NewMemory()}, 1, 4, false)
	if porcupine.CheckOperations(model, h) {
		t.Fatal("stale reads passed")
	}
}

func recordHistory(t *testing.T, s keyval.Store, seed int64, clients int, loseResponses bool) []porcupine.Operation {
	parts := make([][]porcupine.Operation, clients)
	synctest.Test(t, func(*testing.T) {
		var g errgroup.Group
		for i := range clients {
			g.Go(func() error {
				parts[i] = runClient(s, rand.New(rand.NewSource(seed+int64(i))), i, 10, loseResponses)
				return nil
			})
		}
		_ = g.Wait()
		time.Sleep(time.Second) // for writes that take effect after their call returned
	})
	var h []porcupine.Operation
	for _, p := range parts {
		h = append(h, p...)
	}
	return h
}

func TestLeaseExpiryRemovesKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m, ctx := keyval.NewMemory(), t.Context()
		id, err := m.Grant(ctx, 3*time.Second)
		is.NoErr(err)
		_, err = m.Put(ctx, "a/1", nil, keyval.Absent, id)
		is.NoErr(err)
		_, err = m.Put(ctx, "b/1", nil, keyval.Absent, 0)
		is.NoErr(err)
		time.Sleep(2 * time.Second)
		is.NoErr(m.Renew(ctx, id))
		begin := time.Now()
		e, nextRev, err := m.Watch(ctx, "a/", 2, time.Minute)
		is.NoErr(err)
		is.Equal(len(e), 1)
		is.True(e[0].Deleted())
		is.Equal(time.Since(begin), 3*time.Second) // the watch returns when the lease expires
		is.True(errors.Is(m.Renew(ctx, id), keyval.ErrConflict))
		_, err = m.Put(ctx, "a/2", nil, keyval.Absent, id)
		is.True(errors.Is(err, keyval.ErrConflict)) // a late write of a former holder
		_, _, err = m.Watch(ctx, "a/", nextRev+1, time.Second)
		is.True(errors.Is(err, keyval.ErrReset))
	})
}

func TestListPages(t *testing.T) {
	is := is.New(t)
	m, ctx := keyval.NewMemory(), t.Context()
	for _, k := range []string{"a/3", "b/1", "a/1", "a/2", "a"} {
		_, err := m.Put(ctx, k, []byte(k), keyval.Absent, 0)
		is.NoErr(err)
	}
	var got []string
	after := ""
	for {
		l, rev, err := m.List(ctx, "a/", after, 2)
		is.NoErr(err)
		is.Equal(rev, keyval.Revision(5))
		if len(l) == 0 {
			break
		}
		for _, i := range l {
			got = append(got, i.Key())
		}
		after = got[len(got)-1]
	}
	is.Equal(got, []string{"a/1", "a/2", "a/3"})
}

func BenchmarkMemoryPut(b *testing.B) {
	m, v := keyval.NewMemory(), make([]byte, 200)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := m.Put(b.Context(), "k", v, keyval.Any, 0); err != nil {
			b.Fatal(err)
		}
	}
}
