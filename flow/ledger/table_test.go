package ledger

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTable compares the table with a map on random traces. Its ids fall into few shards, so that their cells collide.
func TestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x, naive := newTable(), map[ID]Attempt{}
		id := rapid.Custom(func(t *rapid.T) ID {
			return ID{0: byte(rapid.IntRange(0, 30).Draw(t, "low")), 5: byte(rapid.IntRange(0, 3).Draw(t, "high"))}
		})
		for k := range rapid.IntRange(1, 300).Draw(t, "steps") {
			d := id.Draw(t, "id")
			i, s := x.find(d)
			a, ok := naive[d]
			if ok != (s != nil) || ok && s.attempt != a {
				t.Fatalf("found %v, want %d %t", s, a, ok)
			}
			switch {
			case !ok:
				_, s = x.add(d, time.Duration(k)*time.Second)
				s.attempt = Attempt(k)
				naive[d] = s.attempt
			case rapid.Bool().Draw(t, "touch"):
				x.touch(i, s, time.Duration(k)*time.Second)
			default:
				x.remove(i, s)
				delete(naive, d)
			}
			if x.index.count != len(naive) {
				t.Fatalf("%d records, want %d", x.index.count, len(naive))
			}
		}
		n, last := 0, uint32(0)
		for i := x.head; i != noSlot; i = x.at(i).next {
			if x.at(i).changedAt < last {
				t.Fatalf("out of order")
			}
			n, last = n+1, x.at(i).changedAt
		}
		if n != len(naive) {
			t.Fatalf("%d linked, want %d", n, len(naive))
		}
	})
}
