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

// simulation is one run of several entries whose operators race each other's edits on a store with faults.
type simulation struct {
	memory     *keyval.Memory
	faults     *faultInjector
	entries    []*conf.Holder
	committers []*conf.Committer
	g          errgroup.Group
	mu         sync.Mutex
	accepted   map[string]conf.Number
	refused    map[string]error
	restores   bool // the service comes back older.
	failures   []string
}

func newSimulation(ctx context.Context, seed int64, entries int, restores bool) *simulation {
	t := &simulation{
		memory: keyval.NewMemory(), faults: &faultInjector{r: rand.New(rand.NewSource(seed))},
		accepted: map[string]conf.Number{}, refused: map[string]error{}, restores: restores,
	}
	for range entries {
		h := conf.NewHolder()
		s := &flakyStore{Store: t.memory, faults: t.faults, lateWrites: !restores}
		f := conf.NewFollower(s, h, conf.WithAudit(2*time.Second))
		t.entries = append(t.entries, h)
		t.committers = append(t.committers, conf.NewCommitter(s, h))
		t.g.Go(func() error { return f.Run(ctx) })
		t.g.Go(func() error { return t.checkNoRollback(ctx, h) })
	}
	return t
}

// checkNoRollback notes when a document goes back.
func (t *simulation) checkNoRollback(ctx context.Context, h *conf.Holder) error {
	s, last := h.Subscribe(ctx), conf.Number(0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s:
		}
		n := h.Document().Number()
		if n < last {
			t.failf("document went from %d to %d", last, n)
		}
		last = n
	}
}

func (t *simulation) failf(f string, a ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures = append(t.failures, fmt.Sprintf(f, a...))
}

// editPools commits count changes through entry i, each within a short time.
func (t *simulation) editPools(i, count int) {
	for k := range count {
		op := fmt.Sprintf("op-%d-%d", i, k)
		c := conf.Change{Op: op, Kind: conf.PutPool, Pool: &conf.PoolSpec{Name: fmt.Sprint("p", k%3), Spare: i%2 == 0}}
		if k%3 == 2 {
			c = conf.Change{Op: op, Kind: conf.DropPool, Name: fmt.Sprint("p", (k+i)%3)}
		}
		n, err := t.commit(t.committers[i].Commit, c)
		repeated := errors.Is(err, conf.ErrUnsettled)
		if repeated {
			n, err = t.commit(t.committers[t.faults.intn(len(t.committers))].Repeat, c)
		}
		t.mu.Lock()
		switch {
		case err == nil:
			t.accepted[op] = n
		case !errors.Is(err, conf.ErrUnsettled) && (!repeated || !t.restores):
			t.refused[op] = err
		}
		t.mu.Unlock()
		time.Sleep(time.Duration(t.faults.intn(200)) * time.Millisecond)
	}
}

// commit tries c for a short time.
func (t *simulation) commit(by func(context.Context, conf.Change) (conf.Number, error), c conf.Change) (conf.Number, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(50+t.faults.intn(1500))*time.Millisecond)
	defer cancel()
	return by(ctx, c)
}

// checkConvergence compares every entry with a naive replay of what the service holds in the end.
func (t *simulation) checkConvergence() {
	l, _, err := t.memory.List(context.Background(), conf.LogPrefix, "", 1000)
	if err != nil {
		t.failf("list: %v", err)
	}
	replay, at := conf.NewLog(), map[string]conf.Number{}
	for _, i := range l {
		var c conf.Change
		if err := json.Unmarshal(i.Value(), &c); err != nil {
			t.failf("change %s: %v", i.Key(), err)
		}
		if n, err := replay.Offer(c); n != 1 || err != nil && !t.restores {
			t.failf("change %d does not follow: %v", c.Number, err)
		}
		if o, ok := at[c.Op]; ok {
			t.failf("%s is change %d and %d", c.Op, o, c.Number)
		}
		at[c.Op] = c.Number
	}
	for op, n := range t.accepted {
		if at[op] == 0 || at[op] != n && !t.restores {
			t.failf("accepted %s as change %d, found %d", op, n, at[op])
		}
	}
	for op, err := range t.refused {
		if at[op] != 0 {
			t.failf("%s was refused (%v) and is change %d", op, err, at[op])
		}
	}
	for i, h := range t.entries {
		if !h.Document().Equal(replay.Document()) {
			t.failf("entry %d has document %d, the service %d", i, h.Document().Number(), replay.Document().Number())
		}
	}
}

// simulate drives operators at all entries through outages, and restores if that is set, and returns what went wrong.
func simulate(tt *testing.T, seed int64, entries, edits int, restore bool) (wrong []string, accepted int) {
	synctest.Test(tt, func(tt *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		t := newSimulation(ctx, seed, entries, restore)
		var ops errgroup.Group
		for i := range entries {
			ops.Go(func() error {
				t.editPools(i, edits)
				return nil
			})
		}
		ops.Go(func() error {
			t.injectOutages()
			return nil
		})
		_ = ops.Wait()
		t.faults.set(false, true)
		time.Sleep(time.Minute)
		cancel()
		_ = t.g.Wait()
		t.checkConvergence()
		wrong, accepted = t.failures, len(t.accepted)
	})
	return wrong, accepted
}

// injectOutages takes the service down and, if the trial restores, brings it back older.
func (t *simulation) injectOutages() {
	for range 3 {
		saved := t.memory.Save()
		time.Sleep(time.Duration(200+t.faults.intn(1000)) * time.Millisecond)
		t.faults.set(true, false)
		time.Sleep(time.Duration(t.faults.intn(1000)) * time.Millisecond)
		if t.restores {
			t.memory.Restore(saved)
		}
		t.faults.set(false, false)
	}
}

func TestAcceptedStaysInForce(t *testing.T) {
	for _, restore := range []bool{false, true} {
		t.Run(fmt.Sprint("restore=", restore), func(t *testing.T) {
			total := 0
			rapid.Check(t, func(r *rapid.T) {
				seed := rapid.Int64().Draw(r, "seed")
				entries := rapid.IntRange(1, 4).Draw(r, "entries")
				wrong, n := simulate(t, seed, entries, rapid.IntRange(1, 8).Draw(r, "edits"), restore)
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
