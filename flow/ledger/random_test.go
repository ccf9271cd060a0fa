package ledger

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "1") }

var entryNames = []string{"a", "b", "c", "d"}

// performStep draws one step of the trace and performs it.
func performStep(t *rapid.T, w *cluster) {
	l := w.processes[rapid.SampledFrom(entryNames).Draw(t, "entry")]
	switch k := rapid.IntRange(0, 99).Draw(t, "step"); {
	case k < 3:
		l.partition, l.noStore = 1, true
		w.logf("cut off %s", l.member.Entry)
		w.runRounds(12, false)
	case k < 12:
		w.runRounds(rapid.IntRange(1, 12).Draw(t, "rounds"), false)
	case k < 20:
		w.runRounds(rapid.IntRange(1, 4).Draw(t, "rounds"), true)
	case k < 34:
		if l.runs() {
			l.startCopy(rapid.SampledFrom([]string{"k1", "k2", "k3", "k4"}).Draw(t, "key"), Digest(1+k/33))
		}
	case k < 62:
		if n := len(w.claimCalls); n > 0 {
			w.deliver(&w.claimCalls, rapid.IntRange(0, n-1).Draw(t, "call"), k < 37)
		}
	case k < 66:
		if n := len(w.messages); n > 0 {
			w.deliver(&w.messages, rapid.IntRange(0, n-1).Draw(t, "message"), k < 63)
		}
	case k < 69:
		if n := len(w.claimCalls); n > 0 {
			i := rapid.IntRange(0, n-1).Draw(t, "call")
			w.claimCalls = append(w.claimCalls[:i:i], w.claimCalls[i+1:]...)
		}
	case k < 73:
		for _, c := range l.copies {
			if l.runs() {
				c.timeout()
			}
		}
	default:
		performFault(t, w, l, k)
	}
}

// performFault starts or ends a failure.
func performFault(t *rapid.T, w *cluster, l *process, k int) {
	switch {
	case k < 77:
		l.tick()
	case k < 80:
		if l.alive {
			w.kill(l.member.Entry)
		}
	case k < 84:
		if !l.alive {
			w.start(l.member.Entry)
		}
	case k < 87:
		l.frozen = !l.frozen
		w.logf("frozen %s %t", l.member.Entry, l.frozen)
	case k < 90:
		l.partition = rapid.IntRange(0, 1).Draw(t, "group")
		w.logf("group %s %d", l.member.Entry, l.partition)
	case k < 92:
		l.noStore = !l.noStore
		w.logf("noStore %s %t", l.member.Entry, l.noStore)
	case k < 94:
		w.updateVMList()
	case k < 95:
		l.membership.Leave()
		w.logf("stop %s", l.member.Entry)
	case k < 96:
		w.revertStore()
	default:
		w.now = w.now.Add(rapid.SampledFrom([]time.Duration{
			50 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second, 5 * time.Second, time.Minute, 4 * time.Minute, RecordTTL,
		}).Draw(t, "pass"))
	}
}

// updateVMList updates the platform's list of entries that are gone.
func (w *cluster) updateVMList() {
	w.goneEntries = nil
	for _, e := range entryNames {
		if !w.processes[e].alive {
			w.goneEntries = append(w.goneEntries, e)
		}
	}
	w.logf("gone %v", w.goneEntries)
}

// runRounds runs rounds of half a second in which every entry ticks and every message that can arrive is delivered in order.
// Messages of claims are delivered only if calls is set.
func (w *cluster) runRounds(rounds int, calls bool) {
	for range rounds {
		for _, e := range entryNames {
			w.processes[e].tick()
		}
		w.deliverAll(&w.messages)
		if calls {
			w.deliverAll(&w.claimCalls)
		}
		w.now = w.now.Add(500 * time.Millisecond)
	}
}

func (w *cluster) deliverAll(q *[]message) {
	for n := len(*q) + 60; n > 0 && len(*q) > 0; n-- {
		m := (*q)[0]
		if !m.store && m.to.alive && m.to.frozen {
			*q = append((*q)[1:], m)
			continue
		}
		w.deliver(q, 0, false)
	}
}

// runTrace draws one trace and runs it.
func runTrace(t *rapid.T, w *cluster) {
	for _, e := range entryNames[rapid.IntRange(1, len(entryNames)).Draw(t, "alive"):] {
		w.kill(e)
	}
	w.runRounds(4, true)
	for range rapid.IntRange(20, 120).Draw(t, "steps") {
		performStep(t, w)
	}
}

// TestRandom checks under random failures that no key runs twice and that every "not run" is true, and that claims succeed
// again once the failures have ended.
func TestRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newCluster(t, entryNames...)
		runTrace(t, w)
		if rapid.IntRange(0, 3).Draw(t, "heal") == 0 {
			w.endFaults()
			w.expectProgress()
		}
	})
}

func (w *cluster) endFaults() {
	w.logf("heal")
	for _, e := range entryNames {
		if !w.processes[e].alive || w.processes[e].membership.Leaving() {
			w.kill(e)
			w.start(e)
		}
		l := w.processes[e]
		l.frozen, l.partition, l.noStore = false, 0, false
	}
	w.updateVMList()
	w.runRounds(60, true)
	w.now = w.now.Add(RecordTTL)
	w.runRounds(30, true)
}

func (w *cluster) expectProgress() {
	w.t.Helper()
	for _, e := range entryNames {
		l := w.processes[e]
		if l.book.ActiveRoster() != w.storedRoster.Number() || len(w.storedRoster.Members()) != len(entryNames) {
			w.fail("%s holds %x of %x with %v", e, l.book.ActiveRoster(), w.storedRoster.Number(), w.storedRoster.Members())
		}
		c := l.startCopy("fresh"+e, 1)
		w.runRounds(2, true)
		if !c.ended || len(c.holders) < 2 {
			w.fail("a fresh key was not claimed at %s", e)
		}
	}
}
