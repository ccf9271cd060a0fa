package ledger

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// heldBy returns a key that just these entries hold under r, in this order.
func heldBy(r Roster, first, second string) string {
	for i := 0; ; i++ {
		k := fmt.Sprint("key", i)
		if f, s := r.Holders(k); f == first && s == second {
			return k
		}
	}
}

// far returns a claimant of another data centre that knows r and is cut from everyone.
func (w *world) far(r Roster) *life {
	l := w.start("far")
	l.roster, l.cut = r, 9
	return l
}

// sent runs the calls of a copy and demands that it was sent or not.
func (w *world) sent(i *is.I, l *life, key string, want bool) {
	i.Helper()
	n := len(w.sends[key])
	w.ids = (w.ids + 4) &^ 3 // so that the target runs it
	c := l.take(key, 1)
	w.flush(&w.calls)
	c.timeout()
	w.flush(&w.calls)
	i.Equal(len(w.sends[key]) > n, want)
}

func scenario(t *testing.T, name string, f func(*is.I, *world)) {
	t.Run(name, func(t *testing.T) {
		w := newWorld(t, worldEntries...)
		f(is.New(t), w)
	})
}

func TestScenarios(t *testing.T) {
	scenario(t, "holders left behind in two rosters do not make a pair", func(i *is.I, w *world) {
		w.calm(4, true)
		r := w.doc
		f := w.far(r)
		key := heldBy(r, "a", "b")
		w.lives["b"].cut, w.lives["b"].noStore = 1, true
		w.calm(20, true)
		w.lives["a"].cut, w.lives["a"].noStore = 1, true
		w.lives["a"].frozen = true // keeps the roster without b
		w.calm(20, true)
		i.Equal(len(w.doc.Members()), 2)
		w.sent(i, w.lives["c"], key, true)
		w.lives["a"].frozen = false
		f.cut = 1
		w.sent(i, f, key, false)
	})
	scenario(t, "restarted entries are not members", func(i *is.I, w *world) {
		w.kill("b")
		w.kill("c")
		w.kill("d")
		w.calm(4, true)
		w.start("b")
		w.calm(4, true)
		key := heldBy(w.doc, "a", "b")
		w.sent(i, w.lives["a"], key, true)
		f := w.far(w.doc)
		f.cut = 0
		for _, e := range []string{"a", "b"} {
			w.kill(e)
			w.start(e).refresh()
		}
		w.sent(i, f, key, false)
	})
	scenario(t, "a lone member's keys are in the service", func(i *is.I, w *world) {
		for _, e := range worldEntries[1:] {
			w.kill(e)
		}
		w.calm(4, true)
		w.sent(i, w.lives["a"], "k", true)
		w.kill("a")
		b, c := w.start("b"), w.start("c")
		w.list()
		w.calm(6, true)
		w.sent(i, b, "k", false)
		w.sent(i, c, "k", false)
		w.start("d")
		w.calm(6, true)
		w.sent(i, w.lives["d"], "k", false)
		w.sent(i, b, "fresh", true)
		w.now = w.now.Add(Remember)
		w.calm(4, true)
		i.Equal(b.book.Claim(ClaimMsg{Now: w.now, ID: NewID(heldBy(w.doc, "b", "c")), Roster: w.doc.Number()}).Store, false)
	})
	scenario(t, "a newcomer of a lone member asks the service until it has its records", func(i *is.I, w *world) {
		for _, e := range worldEntries[1:] {
			w.kill(e)
		}
		w.calm(4, true)
		w.sent(i, w.lives["a"], "k", true)
		w.lives["a"].frozen, w.lives["a"].cut = true, 1
		m := w.lives["b"]
		m.alive = true
		r := w.doc.Next([]Member{m.member, w.lives["c"].member}, 1)
		w.lives["c"].alive = true
		w.doc, w.rev = r, w.rev+1
		w.calm(2, true)
		w.sent(i, m, "k", false)
		w.sent(i, m, "fresh", true)
	})
	scenario(t, "a cut-off pair blocks its keys until one is gone", func(i *is.I, w *world) {
		w.calm(4, true)
		key := heldBy(w.doc, "a", "b")
		f := w.far(w.doc)
		w.lives["a"].cut, w.lives["b"].cut = 1, 1
		w.lives["a"].noStore, w.lives["b"].noStore = true, true
		w.calm(40, true)
		i.Equal(len(w.doc.Members()), 2)
		w.sent(i, w.lives["c"], key, false)
		f.cut = 1
		w.sent(i, f, key, true) // the pair still serves its side
		w.kill("a")
		w.list()
		w.now = w.now.Add(Remember - ClaimWithin)
		w.calm(1, true)
		w.sent(i, w.lives["c"], key, false)
	})
	scenario(t, "a cut-off pair that comes back hands over", func(i *is.I, w *world) {
		w.calm(4, true)
		key := heldBy(w.doc, "a", "b")
		a, b := w.lives["a"], w.lives["b"]
		w.sent(i, a, key, true)
		a.cut, b.cut, a.noStore, b.noStore = 1, 1, true, true
		w.calm(40, true)
		i.True(w.lives["c"].book.Holding() != w.doc.Number())
		a.cut, b.cut, a.noStore, b.noStore = 0, 0, false, false
		w.calm(20, true)
		i.Equal(len(w.doc.Members()), 4)
		w.sent(i, w.lives["c"], key, false)
		w.sent(i, w.lives["c"], "fresh", true)
	})
	scenario(t, "a holder that was removed unknowingly does not vouch for its keys", func(i *is.I, w *world) {
		w.calm(4, true)
		key := heldBy(w.doc, "a", "b")
		a := w.lives["a"]
		a.cut, a.noStore = 1, true
		w.calm(20, true)
		w.sent(i, w.lives["c"], key, true)
		c := a.take(key, 1) // a grants, b cannot be reached; checkNotRun judges the refusal
		for range 3 {
			w.flush(&w.calls)
			c.timeout()
		}
		i.True(c.over)
	})
}
