package sched_test

import (
	"fmt"
	"time"

	"burdockreach.dev/flow/sched"
)

func ExampleScheduler() {
	now := time.Unix(0, 0)
	s := sched.New("orders")
	s.Update(sched.TargetsMsg{Now: now, Targets: []sched.Target{sched.NewTarget("vm-7", "rack-1", 1)}})
	perform := func(m sched.Msg) {
		for _, c := range s.Update(m) {
			switch c := c.(type) {
			case sched.SendCmd:
				fmt.Println("send", c.ID, "to", c.Target)
			case sched.EndCmd:
				fmt.Println("end", c.ID, c.Reason, "not run:", c.NotRun)
			}
		}
	}
	perform(sched.ArriveMsg{Now: now, ID: 1, Class: sched.Normal, Deadline: now.Add(time.Minute)})
	perform(sched.ArriveMsg{Now: now, ID: 2, Class: sched.Background, Deadline: now.Add(time.Minute)})
	perform(sched.ArriveMsg{Now: now, ID: 3, Class: sched.Urgent, Deadline: now.Add(time.Minute)})
	perform(sched.DoneMsg{Now: now.Add(time.Second), ID: 1, Target: "vm-7", Result: sched.Answered})
	perform(sched.CancelMsg{Now: now.Add(time.Second), ID: 2})
	perform(sched.DoneMsg{Now: now.Add(2 * time.Second), ID: 3, Target: "vm-7", Result: sched.Unknown})
	// Output:
	// send 1 to vm-7
	// send 3 to vm-7
	// end 2 cancelled not run: true
	// end 3 unknown not run: false
}
