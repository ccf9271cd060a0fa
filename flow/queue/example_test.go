package queue_test

import (
	"fmt"
	"time"

	"burdockreach.dev/flow/queue"
)

func ExampleQueue() {
	q := queue.New[string]()
	q.SetSlots(0, 1)
	q.Started(queue.Normal)
	q.Finished(queue.Normal, time.Second) // the service time is one second
	q.Push(0, queue.Background, time.Hour, "ledger")
	q.Push(0, queue.Normal, 10*time.Second, "order")
	q.Push(0, queue.Urgent, 10*time.Second, "hardship grant")
	if h, over := q.Push(0, queue.Normal, time.Second, "late order"); h == queue.None {
		fmt.Println("refused, come back after", over > 0)
	}
	for q.Len() > 0 {
		v, _ := q.Pop(0, false)
		fmt.Println(v)
	}
	// Output:
	// refused, come back after true
	// hardship grant
	// order
	// ledger
}
