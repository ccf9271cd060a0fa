package wave_test

import (
	"errors"
	"fmt"

	"burdockreach.dev/fleet/pool"
	"burdockreach.dev/fleet/wave"
)

func ExampleBudget() {
	var b wave.Budget
	b = b.Fail(wave.Absence{VM: "vm-1"})
	b, err := b.Reserve(wave.Absence{VM: "vm-2", Op: "a/vm-2/1/w", StopNumber: 1, Wave: "w"}, 2)
	fmt.Println(b.Out(), err)
	_, err = b.Reserve(wave.Absence{VM: "vm-3", Op: "a/vm-3/1/w", StopNumber: 1, Wave: "w"}, 2)
	fmt.Println(errors.Is(err, wave.ErrBudget))
	// Output:
	// 2 <nil>
	// true
}

func ExamplePlanner() {
	p := wave.New("a", 1)
	p.Update(wave.ShardMsg{At: 1000, Shard: pool.NewShard(0, 1)})
	p.Update(wave.HostsMsg{At: 1000, Hosts: []wave.Host{{Name: "vm-1", Pool: "orders", Rack: "r1"}}})
	for _, c := range p.Update(wave.TickMsg{At: 1000}) {
		if w, ok := c.(wave.WriteShardCmd); ok {
			m, _ := w.Shard.Find("vm-1")
			fmt.Println(m.VM, m.Pool, m.State)
		}
	}
	// Output: vm-1 orders serving
}
