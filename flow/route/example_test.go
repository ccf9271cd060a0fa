package route_test

import (
	"fmt"

	"burdockreach.dev/flow/route"
)

func ExamplePool() {
	p := route.New()
	p.SetTargets(0, []route.Target{route.NewTarget("vm-1", "rack-1", 1), route.NewTarget("vm-2", "rack-2", 1)})
	a, _ := p.Pick(0, "", false)
	b, _ := p.Pick(0, "", false)
	_, ok := p.Pick(0, "", false)
	fmt.Println(a, b, ok)
	p.MarkLeaving(0, a)
	p.Done(0, a, route.Succeeded, 0)
	_, ok = p.Pick(0, "", false)
	fmt.Println(ok)
	// Output:
	// vm-1 vm-2 false
	// false
}
