package lease_test

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockreach.dev/plat/keyval"
	"burdockreach.dev/plat/lease"
)

func ExampleLease() {
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	l := lease.New(keyval.NewMemory(), "dc/nairobi-1/leader", "entry-1/4711")
	g.Go(func() error { return l.Run(ctx) })
	for {
		if _, ok := l.Held(); ok {
			break
		}
		time.Sleep(time.Millisecond)
	}
	fmt.Println(l.Leader())
	cancel()
	fmt.Println(g.Wait())
	// Output:
	// entry-1/4711
	// <nil>
}
