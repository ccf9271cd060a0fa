package conf_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"burdockreach.dev/plat/conf"
	"burdockreach.dev/plat/keyval"
)

// trial is one run of several entries whose operators race each other's edits on a store with faults.
type trial struct {
	memory   *keyval.Memory
	chance   *chance
	entries  []*conf.Holder
	commits  []*conf.Committer
	g        errgroup.Group
	mu       sync.Mutex
	accepted map[string]conf.Number
	refused  map[string]error
	restores bool // the service comes back older.
	wrong    []string
}

func newTrial(ctx context.Context, seed int64, entries int, restores bool) *trial {
	t := &trial{
		memory: keyval.NewMemory(), chance: &chance{r: rand.New(rand.NewSource(seed))},
		accepted: map[string]conf.Number{}, refused: map[string]error{}, restores: restores,
	}
	for range entries {
		h := conf.NewHolder()
		s := &flaky{Store: t.memory, chance: t.chance, late: !restores}
		f := conf.NewFollower(s, h, conf.WithAudit(2*time.Second))
		t.entries = append(t.entries, h)
		t.commits = append(t.commits, conf.NewCommitter(s, h))
		t.g.Go(func() error { return f.Run(ctx) })
		t.g.Go(func() error { return t.watch(ctx, h) })
	}
	return t
}

// watch notes when a document goes back.
func (t *trial) watch(ctx context.Context, h *conf.Holder) error {
	s, last := h.Subscribe(ctx), conf.Number(0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s:
		}
		n := h.Document().Number()
		if n < last {
			t.fail("document went from %d to %d", last, n)
		}
		last = n
	}
}

func (t *trial) fail(f string, a ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wrong = append(t.wrong, fmt.Sprintf(f, a...))
}

// operate commits count changes through entry i, each within a short time.
func (t *trial) operate(i, count int) {
	for k := range count {
		op := fmt.Sprintf("op-%d-%d", i, k)
		c := conf.Change{Op: op, Kind: conf.PutPool, Pool: &conf.PoolSpec{Name: fmt.Sprint("p", k%3), Spare: i%2 == 0}}
		if k%3 == 2 {
			c = conf.Change{Op: op, Kind: conf.DropPool, Name: fmt.Sprint("p", (k+i)%3)}
		}
		n, err := t.commit(t.commits[i].Commit, c)
		repeated := errors.Is(err, conf.ErrUnsettled)
		if repeated {
			n, err = t.commit(t.commits[t.chance.n(len(t.commits))].Repeat, c)
		}
		t.mu.Lock()
		switch {
		case err == nil:
			t.accepted[op] = n
		case !errors.Is(err, conf.ErrUnsettled) && (!repeated || !t.restores):
			t.refused[op] = err
		}
		t.mu.Unlock()
		time.Sleep(time.Duration(t.chance.n(200)) * time.Millisecond)
	}
}

// commit tries c for a short time.
func (t *trial) commit(by func(context.Context, conf.Change) (conf.Number, error), c conf.Change) (conf.Number, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(50+t.chance.n(1500))*time.Millisecond)
	defer cancel()
	return by(ctx, c)
}

// check compares every entry with a naive replay of what the service holds in the end.
func (t *trial) check() {
	l, _, err := t.memory.List(context.Background(), conf.LogPrefix, "", 1000)
	if err != nil {
		t.fail("list: %v", err)
	}
	replay, at := conf.NewLog(), map[string]conf.Number{}
	for _, i := range l {
		var c conf.Change
		if err := json.Unmarshal(i.Value(), &c); err != nil {
			t.fail("change %s: %v", i.Key(), err)
		}
		if n, err := replay.Offer(c); n != 1 || err != nil && !t.restores {
			t.fail("change %d does not follow: %v", c.Number, err)
		}
		if o, ok := at[c.Op]; ok {
			t.fail("%s is change %d and %d", c.Op, o, c.Number)
		}
		at[c.Op] = c.Number
	}
	for op, n := range t.accepted {
		if at[op] == 0 || at[op] != n && !t.restores {
			t.fail("accepted %s as change %d, found %d", op, n, at[op])
		}
	}
	for op, err := range t.refused {
		if at[op] != 0 {
			t.fail("%s was refused (%v) and is change %d", op, err, at[op])
		}
	}
	for i, h := range t.entries {
		if !h.Document().Equal(replay.Document()) {
			t.fail("entry %d has document %d, the service %d", i, h.Document().Number(), replay.Document().Number())
		}
	}
}

// run drives operators at all entries through outages, and restores if that is set, and returns what went wrong.
func run(tt *testing.T, seed int64, entries, edits int, restore bool) (wrong []string, accepted int) {
	synctest.Test(tt, func(tt *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		t := newTrial(ctx, seed, entries, restore)
		var ops errgroup.Group
		for i := range entries {
			ops.Go(func() error {
				t.operate(i, edits)
				return nil
			})
		}
		ops.Go(func() error {
			t.disturb()
			return nil
		})
		_ = ops.Wait()
		t.chance.set(false, true)
		time.Sleep(time.Minute)
		cancel()
		_ = t.g.Wait()
		t.check()
		wrong, accepted = t.wrong, len(t.accepted)
	})
	return wrong, accepted
}

// disturb takes the service down and, if the trial restores, brings it back older.
func (t *trial) disturb() {
	for range 3 {
		saved := t.memory.Save()
		time.Sleep(time.Duration(200+t.chance.n(1000)) * time.Millisecond)
		t.chance.set(true, false)
		time.Sleep(time.Duration(t.chance.n(1000)) * time.Millisecond)
		if t.restores {
			t.memory.Restore(saved)
		}
		t.chance.set(false, false)
	}
}

func TestAcceptedStaysInForce(t *testing.T) {
	for _, restore := range []bool{false, true} {
		t.Run(fmt.Sprint("restore=", restore), func(t *testing.T) {
			total := 0
			rapid.Check(t, func(r *rapid.T) {
				seed := rapid.Int64().Draw(r, "seed")
				entries := rapid.IntRange(1, 4).Draw(r, "entries")
				wrong, n := run(t, seed, entries, rapid.IntRange(1, 8).Draw(r, "edits"), restore)
				total += n
				if len(wrong) > 0 {
					r.Fatal(wrong)
				}
			})
			if total == 0 {
				t.Fatal("nothing was accepted in any run")
			}
			t.Logf("%d changes accepted", total)
		})
	}
}
