package admit_test

import (
	"fmt"
	"time"

	"burdockreach.dev/flow/admit"
)

func ExampleGate() {
	g := admit.New()
	g.SetRates(map[string]float64{"kitchen": 1})
	busy, idle := admit.NewLoad(false, false, 0), admit.NewLoad(true, false, 0)
	for range 3 {
		v, after := g.Arrive(0, "kitchen", busy)
		fmt.Println(v.Admitted(), after)
	}
	v, _ := g.Arrive(0, "kitchen", idle)
	fmt.Println(v == admit.Lent)
	v, _ = g.Arrive(time.Second, "kitchen", busy)
	fmt.Println(v == admit.Within)
	// Output:
	// true 0s
	// true 0s
	// false 1s
	// true
	// true
}
