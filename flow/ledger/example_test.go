package ledger_test

import (
	"fmt"
	"time"

	"burdockreach.dev/flow/ledger"
)

// A claim asks both holders of its key before the copy may be sent.
func Example() {
	now := time.Date(2026, 1, 1, 6, 0, 0, 0, time.UTC)
	r := ledger.NewRoster("east", []ledger.Member{{Entry: "a", Incarnation: 1}, {Entry: "b", Incarnation: 1}}, 1)
	books := map[string]*ledger.Book{}
	for _, m := range r.Members() {
		books[m.Entry] = ledger.NewBook(m)
		books[m.Entry].Adopt(ledger.RosterMsg{Now: now, Roster: r})
	}
	for _, attempt := range []string{"first copy", "second copy"} {
		id := ledger.NewID("order 17")
		c := ledger.NewClaim(id)
		cmds := c.Update(ledger.StartMsg{Now: now, Roster: r})
		for len(cmds) > 0 {
			switch m := cmds[0].(type) {
			case ledger.AskCmd:
				reply := books[m.Holder.Entry].Claim(ledger.ClaimMsg{Now: now, ID: id, Roster: m.Roster, Attempt: ledger.NewAttempt(attempt)})
				cmds = c.Update(ledger.ReplyMsg{Now: now, Holder: m.Holder.Entry, Reply: reply, Roster: r})
				continue
			case ledger.SendCmd:
				fmt.Println(attempt, "may be sent")
			case ledger.RepeatCmd:
				fmt.Println(attempt, "is a repeat")
			}
			cmds = cmds[1:]
		}
	}
	// Output:
	// first copy may be sent
	// second copy is a repeat
}
