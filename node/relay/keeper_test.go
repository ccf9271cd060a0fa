package relay

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"burdockreach.dev/flow/ledger"
	"burdockreach.dev/plat/keyval"
)

func granted(i *is.I, n *node, key, attempt string) *Ticket {
	i.Helper()
	t, err := n.Take(n.ctx, key, []byte("body"), attempt)
	i.NoErr(err)
	return t
}

func repeats(i *is.I, err error) *RepeatError {
	i.Helper()
	var r *RepeatError
	i.True(errors.As(err, &r))
	return r
}

func TestKeeper(t *testing.T) {
	f := newFleet(t, keyval.NewMemory())
	a, b, c := f.start("a"), f.start("b"), f.start("c")
	f.inForce(a, b, c)
	_ = fmt.Sprint
	_ = ledger.Answered
}
