package share_test

import (
	"fmt"
	"testing"
	"time"

	"burdockreach.dev/flow/share"
)

// BenchmarkLoad measures one LoadMsg with eight entries, with and without lent slots.
func BenchmarkLoad(b *testing.B) {
	for _, targets := range []int{4, 40, 200} {
		for _, lent := range []int{0, 16} {
			b.Run(fmt.Sprintf("targets=%d/lent=%d", targets, lent), func(b *testing.B) { benchmarkLoad(b, targets, lent) })
		}
	}
}

func benchmarkLoad(b *testing.B, targets, lent int) {
	now := time.Unix(0, 0)
	l, slots, names := share.New("entry-0"), map[string]int{}, []string{}
	for i := range targets {
		slots[fmt.Sprint("vm-", i)] = 8
	}
	for i := range 8 {
		names = append(names, fmt.Sprint("entry-", i))
	}
	l.Update(share.TargetsMsg{Now: now, Slots: slots})
	l.Update(share.RosterMsg{Now: now, Number: 1, Entries: names})
	l.Update(share.LoadMsg{Now: now})
	for _, n := range names {
		l.Update(share.RosterAdoptedMsg{Now: now, From: n, Number: 1})
	}
	l.Update(share.BorrowMsg{Now: now, From: "entry-1", Number: 1, Want: lent})
	busy := map[string]int{}
	for i := range targets / 4 {
		busy[fmt.Sprint("vm-", i)] = 1
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Millisecond)
		l.Update(share.LoadMsg{Now: now, Load: share.Load{Busy: busy}})
	}
}
