package cloud_test

import (
	"context"
	"errors"
	"fmt"

	"golang.org/x/sync/errgroup"

	"burdockreach.dev/fakes/cloud"
	"burdockreach.dev/plat/keyval"
)

func ExampleServer() {
	ctx, cancel := context.WithCancel(context.Background())
	s := cloud.New()
	var g errgroup.Group
	g.Go(func() error { return s.Serve(ctx, "127.0.0.1:0") })
	<-s.Ready()
	c := keyval.New(s.Addr(), keyval.WithName("entry-1"))
	defer c.Close()
	s.Fault(cloud.Fault{Mode: cloud.Lose, Count: 1})
	_, err := c.Put(ctx, "k", []byte("v"), keyval.Absent, 0)
	fmt.Println(errors.Is(err, keyval.ErrUnknown))
	i, err := c.Get(ctx, "k")
	fmt.Println(string(i.Value()), err)
	cancel()
	fmt.Println(g.Wait())
	// Output:
	// true
	// v <nil>
	// <nil>
}
