package ledger

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "1") }

var worldEntries = []string{"a", "b", "c", "d"}

// act performs one drawn step of the trace.
func act(t *rapid.T, w *world) {
	l := w.lives[rapid.SampledFrom(worldEntries).Draw(t, "entry")]
	switch k := rapid.IntRange(0, 99).Draw(t, "step"); {
	case k < 3:
		l.cut, l.noStore = 1, true
		w.note("cut off %s", l.member.Entry)
		w.calm(12, false)
	case k < 12:
		w.calm(rapid.IntRange(1, 12).Draw(t, "rounds"), false)
	case k < 20:
		w.calm(rapid.IntRange(1, 4).Draw(t, "rounds"), true)
	case k < 34:
		if l.runs() {
			l.take(rapid.SampledFrom([]string{"k1", "k2", "k3", "k4"}).Draw(t, "key"), Digest(1+k/33))
		}
	case k < 62:
		if n := len(w.calls); n > 0 {
			w.deliver(&w.calls, rapid.IntRange(0, n-1).Draw(t, "call"), k < 37)
		}
	case k < 66:
		if n := len(w.queue); n > 0 {
			w.deliver(&w.queue, rapid.IntRange(0, n-1).Draw(t, "message"), k < 63)
		}
	case k < 69:
		if n := len(w.calls); n > 0 {
			i := rapid.IntRange(0, n-1).Draw(t, "call")
			w.calls = append(w.calls[:i:i], w.calls[i+1:]...)
		}
	case k < 73:
		for _, c := range l.copies {
			if l.runs() {
				c.timeout()
			}
		}
	default:
		disturb(t, w, l, k)
	}
}

// disturb performs a failure or its end.
func disturb(t *rapid.T, w *world, l *life, k int) {
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
		w.note("frozen %s %t", l.member.Entry, l.frozen)
	case k < 90:
		l.cut = rapid.IntRange(0, 1).Draw(t, "group")
		w.note("group %s %d", l.member.Entry, l.cut)
	case k < 92:
		l.noStore = !l.noStore
		w.note("noStore %s %t", l.member.Entry, l.noStore)
	case k < 94:
		w.list()
	case k < 95:
		l.membership.Stop()
		w.note("stop %s", l.member.Entry)
	case k < 96:
		w.revert()
	default:
		w.now = w.now.Add(rapid.SampledFrom([]time.Duration{
			50 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second, 5 * time.Second, time.Minute, 4 * time.Minute, Remember,
		}).Draw(t, "pass"))
	}
}

// list brings the platform's list up to date.
func (w *world) list() {
	w.gone = nil
	for _, e := range worldEntries {
		if !w.lives[e].alive {
			w.gone = append(w.gone, e)
		}
	}
	w.note("gone %v", w.gone)
}

// calm runs rounds in which every entry ticks and every message that can come does, in order, those of claims if asked.
func (w *world) calm(rounds int, calls bool) {
	for range rounds {
		for _, e := range worldEntries {
			w.lives[e].tick()
		}
		w.flush(&w.queue)
		if calls {
			w.flush(&w.calls)
		}
		w.now = w.now.Add(500 * time.Millisecond)
	}
}

func (w *world) flush(q *[]message) {
	for n := len(*q) + 60; n > 0 && len(*q) > 0; n-- {
		m := (*q)[0]
		if !m.store && m.to.alive && m.to.frozen {
			*q = append((*q)[1:], m)
			continue
		}
		w.deliver(q, 0, false)
	}
}

// live runs one drawn trace.
func live(t *rapid.T, w *world) {
	for _, e := range worldEntries[rapid.IntRange(1, len(worldEntries)).Draw(t, "alive"):] {
		w.kill(e)
	}
	w.calm(4, true)
	for range rapid.IntRange(20, 120).Draw(t, "steps") {
		act(t, w)
	}
}

// TestRandom holds that no key runs twice and no "not run" is untrue, whatever fails, and that claims pass once all is well.
func TestRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, worldEntries...)
		live(t, w)
		if rapid.IntRange(0, 3).Draw(t, "heal") == 0 {
			w.heal()
			w.progress()
		}
	})
}

func (w *world) heal() {
	w.note("heal")
	for _, e := range worldEntries {
		if !w.lives[e].alive || w.lives[e].membership.Stopping() {
			w.kill(e)
			w.start(e)
		}
		l := w.lives[e]
		l.frozen, l.cut, l.noStore = false, 0, false
	}
	w.list()
	w.calm(60, true)
	w.now = w.now.Add(Remember)
	w.calm(30, true)
}

func (w *world) progress() {
	w.t.Helper()
	for _, e := range worldEntries {
		l := w.lives[e]
		if l.book.Holding() != w.doc.Number() || len(w.doc.Members()) != len(worldEntries) {
			w.fail("%s holds %x of %x with %v", e, l.book.Holding(), w.doc.Number(), w.doc.Members())
		}
		c := l.take("fresh"+e, 1)
		w.calm(2, true)
		if !c.over || len(c.holders) < 2 {
			w.fail("a fresh key was not claimed at %s", e)
		}
	}
}
