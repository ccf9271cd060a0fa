package keyval_test

import (
	"context"
	"errors"
	"fmt"

	"burdockreach.dev/plat/keyval"
)

func ExampleStore() {
	ctx := context.Background()
	var s keyval.Store = keyval.NewMemory() // or keyval.New("10.0.0.1:7000", keyval.WithName("entry-1"))
	rev, _ := s.Put(ctx, "svc/orders/out", []byte("vm-1"), keyval.Absent, 0)
	_, err := s.Put(ctx, "svc/orders/out", []byte("vm-2"), keyval.Absent, 0)
	fmt.Println(errors.Is(err, keyval.ErrConflict))
	_, err = s.Put(ctx, "svc/orders/out", []byte("vm-1,vm-2"), rev, 0)
	fmt.Println(err)
	// Output:
	// true
	// <nil>
}
