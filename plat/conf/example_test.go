package conf_test

import (
	"context"
	"fmt"

	"burdockreach.dev/plat/conf"
	"burdockreach.dev/plat/keyval"
)

func ExampleCommitter() {
	ctx, h := context.Background(), conf.NewHolder()
	c := conf.NewCommitter(keyval.NewMemory(), h)
	n, err := c.Commit(ctx, conf.Change{
		Op: "op-1", By: "amina", Kind: conf.PutProfile, Profile: &conf.ProfileSpec{Name: "morning", MinVMs: 6},
	})
	fmt.Println(n, err)
	_, err = c.Commit(ctx, conf.Change{
		Op: "op-2", By: "amina", Kind: conf.PutService, Service: &conf.ServiceSpec{Name: "orders", Profile: "evening", Pool: "kitchen"},
	})
	fmt.Println(err)
	p, _ := h.Document().Profile("morning")
	fmt.Println(p.MinVMs, p.DrainSeconds)
	// Output:
	// 1 <nil>
	// conf: service.profile is "evening", allowed: an existing name
	// 6 60
}

func ExampleHolder_Since() {
	a, b := conf.NewHolder(), conf.NewHolder()
	_, _ = a.Offer(
		conf.Change{Number: 1, Op: "op-1", Kind: conf.PutPool, Pool: &conf.PoolSpec{Name: "riders"}},
		conf.Change{Number: 2, Op: "op-2", Kind: conf.PutPool, Pool: &conf.PoolSpec{Name: "kitchen"}},
	)
	changes, snapshot := a.Since(b.Document().Number(), 100)
	b.OfferDocument(snapshot)
	n, err := b.Offer(changes...)
	fmt.Println(n, err, b.Document().Equal(a.Document()))
	// Output: 2 <nil> true
}
