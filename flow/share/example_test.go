package share_test

import (
	"fmt"
	"time"

	"burdockreach.dev/flow/share"
)

func ExampleStatic() {
	entries := []string{"entry-0", "entry-1", "entry-2"}
	sum := 0
	for _, e := range entries {
		sum += share.Static("vm-7", 8, entries, e)
	}
	fmt.Println(sum)
	// Output: 8
}

func ExampleLoans() {
	now := time.Unix(0, 0)
	l := share.New("entry-0")
	l.Update(share.TargetsMsg{Now: now, Slots: map[string]int{"vm-7": 8}})
	l.Update(share.RosterMsg{Now: now, Number: 1, Entries: []string{"entry-0", "entry-1"}})
	l.Update(share.LoadMsg{Now: now})
	fmt.Println(l.AdoptedRoster(), l.Usable("vm-7"))
	l.Update(share.RosterAdoptedMsg{Now: now, From: "entry-1", Number: 1})
	fmt.Println(l.Usable("vm-7"))
	for _, c := range l.Update(share.BorrowMsg{Now: now, From: "entry-1", Number: 1, Want: 3}) {
		if c, ok := c.(share.LentCmd); ok {
			fmt.Println("lent", len(c.Grants))
		}
	}
	fmt.Println(l.Usable("vm-7"))
	// Output:
	// 1 0
	// 4
	// lent 3
	// 1
}

func ExampleReplay() {
	x := share.FiveFoldBursts(1, share.WithBursts(1), share.WithSkew(3))
	static, lending := share.Replay(x, share.Fixed), share.Replay(x, share.Lending)
	fmt.Println(lending.Goodput() > static.Goodput())
	// Output: true
}
