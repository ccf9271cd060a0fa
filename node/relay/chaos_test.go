package relay

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockreach.dev/flow/ledger"
)

// chaos is a fleet with faults: entries crash, restart and go silent, and the platform's service fails, while copies of
// requests with few distinct keys arrive.
type chaos struct {
	*fleet
	r     *rand.Rand
	nodes map[string]*node
	group errgroup.Group

	mu      sync.Mutex
	copies  int
	ran     map[string]time.Time // last run of a key
	granted int
	refused int
	repeats int
}

// TestChaos checks that no key runs twice and that every "not run" is true, with the whole package under random faults.
func TestChaos(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &chaos{fleet: newFleet(t), r: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*node{}, ran: map[string]time.Time{}}
				for _, e := range []string{"a", "b", "c", "d"} {
					c.nodes[e] = c.start(e)
				}
				for range 600 {
					c.step()
					time.Sleep(time.Duration(c.r.IntN(300)) * time.Millisecond)
				}
				_ = c.group.Wait()
				c.endFaults()
				t.Logf("granted %d, refused %d, repeats %d", c.granted, c.refused, c.repeats)
				if c.granted < 30 {
					t.Fatal("fewer than 30 copies were granted, too few for a meaningful run")
				}
			})
		})
	}
}

// endFaults ends all faults and checks that all entries agree on one roster within a minute. Then it waits until keys whose holders all died
// can be claimed again, and checks that every entry can claim a new key.
func (c *chaos) endFaults() {
	c.store.down.Store(false)
	var l []*node
	for _, n := range c.nodes {
		c.network.silence(n.self.Addr, false)
		l = append(l, n)
	}
	time.Sleep(time.Minute)
	if !haveSameRoster(l) {
		c.inForce(l...)
	}
	time.Sleep(ledger.RecordTTL)
	for i, n := range l {
		if _, err := n.ClaimKey(n.ctx, fmt.Sprint("east/fresh", i), body, "1"); err != nil {
			c.t.Errorf("a fresh key at %s: %v", n.self.Entry, err)
		}
	}
}

// step injects a random fault or sends a copy of a request.
func (c *chaos) step() {
	e := string(rune('a' + c.r.IntN(4)))
	n := c.nodes[e]
	switch k := c.r.IntN(100); {
	case k < 2:
		n.kill()
		c.nodes[e] = c.start(e)
	case k < 4:
		c.network.silence(n.self.Addr, true)
	case k < 8:
		c.network.silence(n.self.Addr, false)
	case k < 9:
		c.network.silenceOpenConns()
	case k < 11:
		c.store.down.Store(!c.store.down.Load())
	default:
		key, fate, wait := fmt.Sprint("east/", c.r.IntN(80)), c.r.IntN(10), time.Duration(c.r.IntN(400))*time.Millisecond
		c.group.Go(func() error {
			c.runCopy(n, key, fate, wait)
			return nil
		})
	}
}

// runCopy claims the key at n, runs the copy if it is granted, and settles it unless n crashes first.
func (c *chaos) runCopy(n *node, key string, fate int, wait time.Duration) {
	c.mu.Lock()
	c.copies++
	id := fmt.Sprint("copy", c.copies)
	c.mu.Unlock()
	start := time.Now()
	t, err := n.ClaimKey(n.ctx, key, body, id)
	c.mu.Lock()
	defer c.mu.Unlock()
	var no *RefusedError
	var again *RepeatError
	last, ran := c.ran[key]
	recent := ran && start.Sub(last) < ledger.RecordTTL-ledger.ClaimTimeout
	switch {
	case errors.As(err, &no):
		c.refused++
		if no.NotRun() && recent && !last.After(start) {
			c.t.Errorf("%s of %s was reported as not run, although it ran %s before", id, key, start.Sub(last))
		}
	case errors.As(err, &again):
		c.repeats++
		if a, ok := again.Answer(); ok && again.Phase() == ledger.Answered && string(a) != key {
			c.t.Errorf("%s of %s got %q", id, key, a)
		}
	case fate < 2: // the target does not run it
		t.Settle(ledger.NotRun, 0, "", nil)
	default:
		c.granted++
		if ran && time.Since(last) < ledger.RecordTTL-ledger.ClaimTimeout {
			c.t.Errorf("%s of %s ran at %s, although the key ran %s ago", id, key, n.self.Entry, time.Since(last))
		}
		c.ran[key] = time.Now()
		c.mu.Unlock()
		time.Sleep(wait)
		if n.ctx.Err() == nil {
			t.Settle(ledger.Answered, 200, "", []byte(key))
		}
		c.mu.Lock()
	}
}
