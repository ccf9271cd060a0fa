package relay_test

import (
	"context"
	"errors"
	"fmt"

	"golang.org/x/sync/errgroup"

	"burdockreach.dev/flow/ledger"
	"burdockreach.dev/node/relay"
	"burdockreach.dev/plat/keyval"
)

// A single entry claims a key for the first copy of a request; the second copy gets the answer of the first one.
func ExampleKeyHolder() {
	ctx, end := context.WithCancel(context.Background())
	c := relay.NewClient()
	self := ledger.Member{Entry: "a", Addr: "127.0.0.1:7101", Incarnation: 1}
	k := relay.NewKeyHolder(self, "east", []string{"east"}, keyval.NewMemory(), c)
	g, x := errgroup.WithContext(ctx)
	g.Go(func() error { return k.Run(x) })
	k.WaitForRoster(ctx)

	t, err := k.ClaimKey(ctx, "order 17", []byte("digest"), "first copy")
	fmt.Println(err)
	t.Settle(ledger.Answered, 200, "text/plain", []byte("ordered"))

	_, err = k.ClaimKey(ctx, "order 17", []byte("digest"), "second copy")
	var r *relay.RepeatError
	if errors.As(err, &r) {
		a, _ := r.Answer()
		fmt.Println(r.Status(), string(a))
	}
	end()
	_ = g.Wait()
	c.Close()
	// Output:
	// <nil>
	// 200 ordered
}
