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

// simulation runs several entries on a store with faults while operators at each entry edit the same pools.
type simulation struct {
	memory     *keyval.Memory
	faults     *faultInjector
	entries    []*conf.Holder
	committers []*conf.Committer
	g          errgroup.Group
	mu         sync.Mutex
	accepted   map[string]conf.Number
	refused    map[string]error
	restores   bool // outages end with the service in an older state.
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
		f := conf.NewFollower(s, h, conf.WithAuditInterval(2*time.Second))
		t.entries = append(t.entries, h)
		t.committers = append(t.committers, conf.NewCommitter(s, h))
		t.g.Go(func() error { return f.Run(ctx) })
		t.g.Go(func() error { return t.checkNoRollback(ctx, h) })
	}
	return t
}

// checkNoRollback records a failure if the document's number goes down.
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

// editPools commits count changes through entry i, each with a short timeout. It repeats a change of unknown outcome through a
// random entry.
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

// commit runs call for c with a short random timeout.
func (t *simulation) commit(call func(context.Context, conf.Change) (conf.Number, error), c conf.Change) (conf.Number, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(50+t.faults.intn(1500))*time.Millisecond)
	defer cancel()
	return call(ctx, c)
}

// checkConvergence compares every entry's document with a replay of the log that the service has in the end.
func (t *simulation) checkConvergence() {
	l, _, err := t.memory.List(context.Background(), conf.LogPrefix, "", 1000)
	if err != nil {
		t.failf("list changes: %v", err)
	}
	replay, numbers := conf.NewLog(), map[string]conf.Number{}
	for _, i := range l {
		var c conf.Change
		if err := json.Unmarshal(i.Value(), &c); err != nil {
			t.failf("decode change %s: %v", i.Key(), err)
		}
		if n, err := replay.Offer(c); n != 1 || err != nil && !t.restores {
			t.failf("replay change %d: %v", c.Number, err)
		}
		if o, ok := numbers[c.Op]; ok {
			t.failf("operation %s is change %d and change %d", c.Op, o, c.Number)
		}
		numbers[c.Op] = c.Number
	}
	for op, n := range t.accepted {
		if numbers[op] == 0 || numbers[op] != n && !t.restores {
			t.failf("operation %s was accepted as change %d, the log has it as %d", op, n, numbers[op])
		}
	}
	for op, err := range t.refused {
		if numbers[op] != 0 {
			t.failf("operation %s was refused (%v) and yet is change %d", op, err, numbers[op])
		}
	}
	for i, h := range t.entries {
		if !h.Document().Equal(replay.Document()) {
			t.failf("entry %d has document %d, the service's log gives %d", i, h.Document().Number(), replay.Document().Number())
		}
	}
}

// simulate runs operators at all entries through outages. If restore is set, the service comes back from each in an older state.
// It returns the failures and the number of accepted changes.
func simulate(tt *testing.T, seed int64, entries, edits int, restore bool) (failures []string, accepted int) {
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
		failures, accepted = t.failures, len(t.accepted)
	})
	return failures, accepted
}

// injectOutages takes the service down three times. If t.restores is set, it comes back in an older state.
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
				failures, n := simulate(t, seed, entries, rapid.IntRange(1, 8).Draw(r, "edits"), restore)
				total += n
				if len(failures) > 0 {
					r.Fatal(failures)
				}
			})
			if total == 0 {
				t.Fatal("no change was accepted in any run")
			}
			t.Logf("%d changes accepted", total)
		})
	}
}
