package ledger

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// keyHeldBy returns a key whose first and second holder under r are the given entries.
func keyHeldBy(r Roster, first, second string) string {
	for i := 0; ; i++ {
		k := fmt.Sprint("key", i)
		if f, s := r.Holders(k); f == first && s == second {
			return k
		}
	}
}

// startRemote starts a claimant of another data centre that knows r and is cut off from all entries.
func (w *cluster) startRemote(r Roster) *process {
	l := w.start("far")
	l.roster, l.partition = r, 9
	return l
}

// expectSent starts a copy, delivers its calls and checks whether it was sent.
func (w *cluster) expectSent(i *is.I, l *process, key string, want bool) {
	i.Helper()
	n := len(w.sends[key])
	w.copies = (w.copies + 4) &^ 3 // so that the target runs it
	c := l.startCopy(key, 1)
	w.deliverAll(&w.claimCalls)
	c.timeout()
	w.deliverAll(&w.claimCalls)
	i.Equal(len(w.sends[key]) > n, want)
}

func scenario(t *testing.T, name string, f func(*is.I, *cluster)) {
	t.Run(name, func(t *testing.T) {
		w := newCluster(t, entryNames...)
		f(is.New(t), w)
	})
}

// TestScenarios runs fixed sequences of failures and checks which copies may be sent.
func TestScenarios(t *testing.T) {
	scenario(t, "two holders that stayed at different old rosters do not grant a claim", func(i *is.I, w *cluster) {
		w.runRounds(4, true)
		r := w.storedRoster
		f := w.startRemote(r)
		key := keyHeldBy(r, "a", "b")
		w.processes["b"].partition, w.processes["b"].noStore = 1, true
		w.runRounds(20, true)
		w.processes["a"].partition, w.processes["a"].noStore = 1, true
		w.processes["a"].frozen = true // a stays at the roster without b
		w.runRounds(20, true)
		i.Equal(len(w.storedRoster.Members()), 2)
		w.expectSent(i, w.processes["c"], key, true)
		w.processes["a"].frozen = false
		f.partition = 1
		w.expectSent(i, f, key, false)
	})
	scenario(t, "restarted entries are not members", func(i *is.I, w *cluster) {
		w.kill("b")
		w.kill("c")
		w.kill("d")
		w.runRounds(4, true)
		w.start("b")
		w.runRounds(4, true)
		key := keyHeldBy(w.storedRoster, "a", "b")
		w.expectSent(i, w.processes["a"], key, true)
		f := w.startRemote(w.storedRoster)
		f.partition = 0
		for _, e := range []string{"a", "b"} {
			w.kill(e)
			w.start(e).readStore()
		}
		w.expectSent(i, f, key, false)
	})
	scenario(t, "the keys of a single member are in the service", func(i *is.I, w *cluster) {
		for _, e := range entryNames[1:] {
			w.kill(e)
		}
		w.runRounds(4, true)
		w.expectSent(i, w.processes["a"], "k", true)
		w.kill("a")
		b, c := w.start("b"), w.start("c")
		w.updateVMList()
		w.runRounds(6, true)
		w.expectSent(i, b, "k", false)
		w.expectSent(i, c, "k", false)
		w.start("d")
		w.runRounds(6, true)
		w.expectSent(i, w.processes["d"], "k", false)
		w.expectSent(i, b, "fresh", true)
		w.now = w.now.Add(RecordTTL)
		w.runRounds(4, true)
		i.Equal(b.book.Claim(ClaimMsg{Now: w.now, ID: NewID(keyHeldBy(w.storedRoster, "b", "c")), Roster: w.storedRoster.Number()}).NeedsStoreKey, false)
	})
	scenario(t, "a successor of a single member uses the service until it has the records", func(i *is.I, w *cluster) {
		for _, e := range entryNames[1:] {
			w.kill(e)
		}
		w.runRounds(4, true)
		w.expectSent(i, w.processes["a"], "k", true)
		w.processes["a"].frozen, w.processes["a"].partition = true, 1
		m := w.processes["b"]
		m.alive = true
		r := w.storedRoster.Next([]Member{m.member, w.processes["c"].member}, 1)
		w.processes["c"].alive = true
		w.storedRoster, w.storeRev = r, w.storeRev+1
		w.runRounds(2, true)
		w.expectSent(i, m, "k", false)
		w.expectSent(i, m, "fresh", true)
	})
	scenario(t, "a cut-off pair blocks its keys until one is gone", func(i *is.I, w *cluster) {
		w.runRounds(4, true)
		key := keyHeldBy(w.storedRoster, "a", "b")
		f := w.startRemote(w.storedRoster)
		w.processes["a"].partition, w.processes["b"].partition = 1, 1
		w.processes["a"].noStore, w.processes["b"].noStore = true, true
		w.runRounds(40, true)
		i.Equal(len(w.storedRoster.Members()), 2)
		w.expectSent(i, w.processes["c"], key, false)
		f.partition = 1
		w.expectSent(i, f, key, true) // the pair still grants claims on its side of the partition
		w.kill("a")
		w.updateVMList()
		w.now = w.now.Add(RecordTTL - ClaimTimeout)
		w.runRounds(1, true)
		w.expectSent(i, w.processes["c"], key, false)
	})
	scenario(t, "a cut-off pair that comes back hands over", func(i *is.I, w *cluster) {
		w.runRounds(4, true)
		key := keyHeldBy(w.storedRoster, "a", "b")
		a, b := w.processes["a"], w.processes["b"]
		w.expectSent(i, a, key, true)
		a.partition, b.partition, a.noStore, b.noStore = 1, 1, true, true
		w.runRounds(40, true)
		i.True(w.processes["c"].book.ActiveRoster() != w.storedRoster.Number())
		a.partition, b.partition, a.noStore, b.noStore = 0, 0, false, false
		w.runRounds(20, true)
		i.Equal(len(w.storedRoster.Members()), 4)
		w.expectSent(i, w.processes["c"], key, false)
		w.expectSent(i, w.processes["c"], "fresh", true)
	})
	scenario(t, "a holder that does not know of its removal does not make a refusal not run", func(i *is.I, w *cluster) {
		w.runRounds(4, true)
		key := keyHeldBy(w.storedRoster, "a", "b")
		a := w.processes["a"]
		a.partition, a.noStore = 1, true
		w.runRounds(20, true)
		w.expectSent(i, w.processes["c"], key, true)
		c := a.startCopy(key, 1) // a grants, b cannot be reached; checkNotRun checks the refusal
		for range 3 {
			w.deliverAll(&w.claimCalls)
			c.timeout()
		}
		i.True(c.ended)
	})
}
