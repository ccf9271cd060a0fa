package retry_test

import (
	"flag"
	"testing"

	"pgregory.net/rapid"

	"burdockreach.dev/flow/retry"
)

func init() { _ = flag.Set("rapid.seed", "1") }

func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share, burst := rapid.Float64Range(0, 0.5).Draw(t, "share"), rapid.IntRange(0, 5).Draw(t, "burst")
		b := retry.New(retry.WithShare(share), retry.WithBurst(burst))
		firsts, paid := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "first") {
				b.AddFirstSend()
				firsts++
				continue
			}
			o := retry.Outcome(rapid.IntRange(0, 3).Draw(t, "outcome"))
			n, idempotent := rapid.IntRange(1, 4).Draw(t, "attempt"), rapid.Bool().Draw(t, "idempotent")
			if b.Decide(o, n, idempotent) != retry.Again {
				continue
			}
			if n >= 3 || !idempotent && o >= retry.Failed {
				t.Fatalf("outcome %d of attempt %d is tried again", o, n)
			}
			if o != retry.Leaving {
				paid++
			}
			if float64(paid) > share*float64(firsts)+float64(burst)+1e-9 {
				t.Fatalf("%d retries for %d first sends", paid, firsts)
			}
		}
	})
}
