package target_test

import (
	"context"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/fakes/target"
)

func ExampleTarget() {
	ctx, cancel := context.WithCancel(context.Background())
	t := target.New(target.WithName("vm-7"), target.WithSlots(8))
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return t.Serve(ctx, "127.0.0.1:0", "127.0.0.1:0") })
	addr, _, err := t.Addrs(ctx)
	if err != nil {
		fmt.Println(err)
	}
	var q fasthttp.Request
	var a fasthttp.Response
	q.SetRequestURI("http://" + addr + "/order")
	q.Header.SetMethod(fasthttp.MethodPost)
	q.Header.Set("Idempotency-Key", "order-1")
	if err := fasthttp.DoTimeout(&q, &a, 5*time.Second); err != nil {
		fmt.Println(err)
	}
	fmt.Println(a.StatusCode(), t.Counts().Keys["order-1"])
	cancel()
	fmt.Println(g.Wait())
	// Output:
	// 200 1
	// <nil>
}
