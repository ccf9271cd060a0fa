package proxy_test

import (
	"context"
	"fmt"
	"net"

	"golang.org/x/sync/errgroup"

	"burdockreach.dev/fakes/proxy"
)

func ExampleProxy() {
	ctx, cancel := context.WithCancel(context.Background())
	c := proxy.New("127.0.0.1:0", "127.0.0.1:9")
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.Serve(ctx) })
	addr, err := c.Addr(ctx)
	if err != nil {
		fmt.Println(err)
	}
	c.Refuse()
	n, err := net.Dial("tcp", addr)
	if err == nil {
		_, err = n.Read(make([]byte, 1))
		_ = n.Close()
	}
	fmt.Println(err != nil, c.Stats().Refused)
	cancel()
	fmt.Println(g.Wait())
	// Output:
	// true 1
	// <nil>
}
