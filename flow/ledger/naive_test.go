package ledger

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// naiveProtocol names a simpler claim protocol that the ledger is compared with. The empty name stands for the ledger itself.
type naiveProtocol string

const (
	oneHolder  naiveProtocol = "one holder"
	twoHolders naiveProtocol = "two holders without a roster's number or a handover"
)

// startNaively asks the key's holders in the roster that this entry knows, one after the other. It sends the copy if none of them has
// a record of another copy.
func (c *requestCopy) startNaively() {
	f, s := c.process.roster.Holders(c.key)
	if c.process.cluster.naive == oneHolder || s == f {
		s = ""
	}
	c.askNaively(f, s)
}

// askNaively asks holder, which records the copy if it has no record of the key. Unless that record is another copy's, it goes on to
// the holder then, or sends the copy if then is empty.
func (c *requestCopy) askNaively(holder, then string) {
	l, w := c.process, c.process.cluster
	h := w.processes[holder]
	if h == nil {
		return
	}
	w.call(l, h, func() {
		had, ok := h.naiveRecords[c.key]
		if !ok {
			h.naiveRecords[c.key] = c.id
		}
		w.call(h, l, func() {
			switch {
			case c.ended || ok && had != c.id:
			case then != "":
				c.askNaively(then, "")
			default:
				c.send()
			}
		})
	})
}

// failedTrace is the value that a recorder panics with.
type failedTrace struct{ reason string }

// panickingReporter is a reporter that stops a trace at its first failure: its Fatalf panics, and runSeed recovers.
type panickingReporter struct{ log string }

func (*panickingReporter) Helper()                   {}
func (r *panickingReporter) Log(a ...any)            { r.log = fmt.Sprint(a...) }
func (*panickingReporter) Fatalf(f string, a ...any) { panic(failedTrace{fmt.Sprintf(f, a...)}) }

// runSeed runs protocol n through the random trace that the seed gives. It returns the reason of its failure, or the empty string.
func runSeed(n naiveProtocol, seed int) (reason string) {
	return rapid.Custom(func(t *rapid.T) (reason string) {
		defer func() {
			if s, ok := recover().(failedTrace); ok {
				reason = s.reason
			}
		}()
		w := newCluster(&panickingReporter{}, entryNames...)
		w.naive = n
		runTrace(t, w)
		return ""
	}).Example(seed)
}

// naiveSeeds is the number of seeds, and so of traces, that each protocol is run with.
const naiveSeeds = 400

// countFailures returns how many of the traces fail under protocol n, and the seed and the reason of the first failure.
func countFailures(n naiveProtocol) (count int, first string) {
	for s := range naiveSeeds {
		if reason := runSeed(n, s); reason != "" {
			count++
			if first == "" {
				first = fmt.Sprintf("seed %d: %s", s, reason)
			}
		}
	}
	return count, first
}

// TestNaive checks that the random traces find faults in the simpler protocols and none in the ledger.
func TestNaive(t *testing.T) {
	for _, n := range []naiveProtocol{oneHolder, twoHolders} {
		t.Run(string(n), func(t *testing.T) {
			c, first := countFailures(n)
			t.Logf("caught in %d of %d traces; %s", c, naiveSeeds, first)
			is.New(t).True(c > 0)
		})
	}
	t.Run("the ledger", func(t *testing.T) {
		c, first := countFailures("")
		t.Log(first)
		is.New(t).Equal(c, 0)
	})
}
