package conf_test

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"burdockreach.dev/plat/conf"
)

// drawHistory draws n valid changes, each of which follows the one before.
func drawHistory(t *rapid.T, label string, n int) []conf.Change {
	d := conf.NewDocument()
	var l []conf.Change
	for len(l) < n {
		c := drawChange(t, label, d)
		e, err := d.Apply(c)
		if errors.Is(err, conf.ErrInvalid) {
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		l, d = append(l, c), e
	}
	return l
}

func drawChange(t *rapid.T, label string, d *conf.Document) conf.Change {
	n := d.Number() + 1
	c := conf.Change{Number: n, Op: fmt.Sprint(label, n), Prev: d.Chain()}
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	kinds := []conf.Kind{conf.PutPool, conf.DropPool, conf.PutTeam, conf.DropTeam, conf.PutProfile}
	switch c.Kind = rapid.SampledFrom(kinds).Draw(t, "kind"); c.Kind {
	case conf.PutPool:
		c.Pool = &conf.PoolSpec{Name: name, Spare: rapid.Bool().Draw(t, "spare")}
	case conf.PutTeam:
		c.Team = &conf.TeamSpec{Name: name, TokenDigest: tokenDigest(fmt.Sprint(name, n))}
	case conf.PutProfile:
		c.Profile = &conf.ProfileSpec{Name: name, MinVMs: int(n)}
	default:
		c.Name = name
	}
	return c
}

// replay applies a history to the empty document.
func replay(t rapid.TB, l []conf.Change) *conf.Document {
	d := conf.NewDocument()
	for _, c := range l {
		e, err := d.Apply(c)
		if err != nil {
			t.Fatal(err)
		}
		d = e
	}
	return d
}

func TestLogNeverRevertsAndNeverMixes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ours := drawHistory(t, "ours", rapid.IntRange(1, 12).Draw(t, "ours"))
		shared := rapid.IntRange(0, len(ours)-1).Draw(t, "shared")
		rival := append(append([]conf.Change(nil), ours[:shared]...), drawHistory(t, "rival", 12)[shared:]...)
		l := conf.NewLog(conf.WithTail(rapid.IntRange(1, 20).Draw(t, "tail")))
		for step := range rapid.IntRange(1, 30).Draw(t, "steps") {
			before := l.Document().Number()
			switch rapid.IntRange(0, 2).Draw(t, "act") {
			case 0:
				i := rapid.IntRange(0, len(ours)-1).Draw(t, "from")
				_, _ = l.Offer(ours[i:min(len(ours), i+3)]...)
			case 1:
				l.OfferDocument(replay(t, ours[:rapid.IntRange(0, len(ours)).Draw(t, "doc")]))
			case 2:
				offerRival(t, l, rival, shared)
			}
			n := l.Document().Number()
			if n < before || !l.Document().Equal(replay(t, ours[:n])) {
				t.Fatalf("step %d: document %d does not match the history", step, n)
			}
			checkSince(t, l, ours)
		}
	})
}

// offerRival offers one change of the other history, once the log is past the changes that both share.
func offerRival(t *rapid.T, l *conf.Log, rival []conf.Change, shared int) {
	n := l.Document().Number()
	if int(n) <= shared {
		return
	}
	c := rival[rapid.IntRange(int(n)-1, min(int(n), len(rival)-1)).Draw(t, "rival")]
	if applied, err := l.Offer(c); applied != 0 || !errors.Is(err, conf.ErrDiverged) {
		t.Fatalf("rival change %d: applied %d at document %d, error %v", c.Number, applied, n, err)
	}
}

// checkSince checks that Since brings a peer at any number to the log's document.
func checkSince(t *rapid.T, l *conf.Log, ours []conf.Change) {
	n := conf.Number(rapid.IntRange(0, len(ours)).Draw(t, "since"))
	c, d := l.Since(n, 100)
	peer := conf.NewLog()
	if n > 0 {
		peer.OfferDocument(replay(t, ours[:n]))
	}
	peer.OfferDocument(d)
	if _, err := peer.Offer(c...); err != nil {
		t.Fatal(err)
	}
	if want := max(n, l.Document().Number()); !peer.Document().Equal(replay(t, ours[:want])) {
		t.Fatalf("a peer at change %d did not reach change %d", n, want)
	}
}

func TestLogPassesOverInvalid(t *testing.T) {
	l := conf.NewLog()
	bad := conf.Change{Number: 1, Op: "x", Kind: conf.DropPool, Name: "none"}
	n, err := l.Offer(bad, putPool(2, "b"))
	if n != 2 || !errors.Is(err, conf.ErrInvalid) || len(l.Document().Pools()) != 1 {
		t.Fatal(n, err)
	}
}
