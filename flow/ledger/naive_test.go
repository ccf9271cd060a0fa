package ledger

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// naive names a simpler way to claim, against which the ledger is compared.
type naive string

const (
	oneHolder  naive = "one holder"
	twoHolders naive = "two holders without a roster's number or a handover"
)

// takeNaively asks the holders that this entry believes in, and sends when all say that they have no record.
func (c *copyOf) takeNaively() {
	f, s := c.at.roster.Holders(c.key)
	if c.at.w.naive == oneHolder || s == f {
		s = ""
	}
	c.askNaively(f, s)
}

func (c *copyOf) askNaively(holder, then string) {
	l, w := c.at, c.at.w
	h := w.lives[holder]
	if h == nil {
		return
	}
	w.call(l, h, func() {
		had, ok := h.plain[c.key]
		if !ok {
			h.plain[c.key] = c.id
		}
		w.call(h, l, func() {
			switch {
			case c.over || ok && had != c.id:
			case then != "":
				c.askNaively(then, "")
			default:
				c.send()
			}
		})
	})
}

// stopped is what a recorder panics with.
type stopped struct{ why string }

// recorder keeps the first failure of a trace.
type recorder struct{ log string }

func (*recorder) Helper()                   {}
func (r *recorder) Log(a ...any)            { r.log = fmt.Sprint(a...) }
func (*recorder) Fatalf(f string, a ...any) { panic(stopped{fmt.Sprintf(f, a...)}) }

// verdict runs the trace of a seed and returns how it failed.
func verdict(n naive, seed int) (why string) {
	return rapid.Custom(func(t *rapid.T) (why string) {
		defer func() {
			if s, ok := recover().(stopped); ok {
				why = s.why
			}
		}()
		w := newWorld(&recorder{}, worldEntries...)
		w.naive = n
		live(t, w)
		return ""
	}).Example(seed)
}

const naiveSeeds = 400

func caught(n naive) (count int, first string) {
	for s := range naiveSeeds {
		if why := verdict(n, s); why != "" {
			count++
			if first == "" {
				first = fmt.Sprintf("seed %d: %s", s, why)
			}
		}
	}
	return count, first
}

// TestNaive holds that the same traces catch the simpler ways and not the ledger.
func TestNaive(t *testing.T) {
	for _, n := range []naive{oneHolder, twoHolders} {
		t.Run(string(n), func(t *testing.T) {
			c, first := caught(n)
			t.Logf("caught in %d of %d traces; %s", c, naiveSeeds, first)
			is.New(t).True(c > 0)
		})
	}
	t.Run("the ledger", func(t *testing.T) {
		c, first := caught("")
		t.Log(first)
		is.New(t).Equal(c, 0)
	})
}
