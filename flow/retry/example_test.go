package retry_test

import (
	"fmt"

	"burdockreach.dev/flow/retry"
)

func ExampleBudget() {
	b := retry.New(retry.WithShare(0.5), retry.WithBurst(1))
	fmt.Println(b.Decide(retry.Unknown, 1, false) == retry.Stop)
	fmt.Println(b.Decide(retry.NotRun, 1, false) == retry.Again)
	fmt.Println(b.Decide(retry.NotRun, 1, false) == retry.Exhausted)
	b.AddFirstSend()
	b.AddFirstSend()
	fmt.Println(b.Remaining())
	// Output:
	// true
	// true
	// true
	// 1
}
