package share_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"burdockreach.dev/flow/share"
)

func init() { _ = flag.Set("rapid.seed", "1") }

func TestStaticSumsToSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := rapid.SliceOfNDistinct(rapid.StringMatching("[a-z]{1,4}"), 1, 9, rapid.ID).Draw(t, "entries")
		n := rapid.IntRange(0, 20).Draw(t, "slots")
		sum := 0
		for _, e := range l {
			s := share.Static("vm-1", n, l, e)
			if s < n/len(l) || s > n/len(l)+1 {
				t.Fatalf("share is %d of %d slots with %d entries", s, n, len(l))
			}
			sum += s
		}
		if sum != n || share.Static("vm-1", n, l, "nobody") != 0 {
			t.Fatalf("shares sum to %d of %d slots, or a non-member has a share", sum, n)
		}
	})
}

func TestStaticSpreadsRemainder(t *testing.T) {
	i, l := is.New(t), []string{"a", "b", "c"}
	sum := map[string]int{}
	for k := range 300 {
		for _, e := range l {
			sum[e] += share.Static(fmt.Sprint("vm-", k), 8, l, e)
		}
	}
	for _, e := range l {
		i.True(sum[e] > 760 && sum[e] < 840) // an even division gives 800 each
	}
}

const slotsPerTarget = 8

// simulation holds a set of entries, the messages in flight between them and the slots that they use.
type simulation struct {
	*rapid.T
	now          time.Time
	names        []string // members of the newest roster
	rosterNumber int64
	entries      map[string]*entry
	inFlight     []envelope
}

type entry struct {
	*share.Loans
	shares       map[string]int
	busy         map[string]int
	queued       int
	rosterNumber int64
}

type envelope struct {
	to  string
	msg share.Msg
}

func (w *simulation) deliver(to string, m share.Msg) {
	e := w.entries[to]
	if e == nil {
		return
	}
	for _, c := range e.Update(m) {
		switch c := c.(type) {
		case share.SharesCmd:
			e.shares = c.Shares
			if e.queued > 0 { // waiting requests occupy new slots at once
				for t, n := range e.shares {
					e.busy[t] = max(e.busy[t], n)
				}
			}
		case share.BorrowCmd:
			w.inFlight = append(w.inFlight, envelope{c.To, share.BorrowMsg{From: to, Number: c.Number, Want: c.Want, Holding: c.Holding}})
		case share.LentCmd:
			w.inFlight = append(w.inFlight, envelope{c.To, share.LentMsg{From: to, Number: c.Number, Grants: c.Grants, Recalled: c.Recalled, Exhausted: c.Exhausted}})
		}
	}
	w.check()
}

// check fails the test if entries together use, or may use, more slots than a target has.
func (w *simulation) check() {
	for _, t := range []string{"vm-0", "vm-1"} {
		allowed, used := 0, 0
		for _, e := range w.entries {
			allowed += e.shares[t]
			used += max(e.shares[t], e.busy[t])
		}
		if allowed > slotsPerTarget || used > slotsPerTarget {
			w.Fatalf("%s: entries may use %d slots and use up to %d", t, allowed, used)
		}
	}
}

func (w *simulation) addEntry(e string) {
	w.names = append(w.names, e)
	w.entries[e] = &entry{Loans: share.New(e), busy: map[string]int{}}
	w.deliver(e, share.TargetsMsg{Now: w.now, Slots: map[string]int{"vm-0": slotsPerTarget, "vm-1": slotsPerTarget}})
	w.rosterNumber++
}

// removeEntry ends an entry and its requests.
func (w *simulation) removeEntry(e string) {
	w.names = slices.DeleteFunc(w.names, func(x string) bool { return x == e })
	delete(w.entries, e)
	w.rosterNumber++
}

func (w *simulation) drawEntry() string { return rapid.SampledFrom(w.names).Draw(w.T, "entry") }

// deliverRoster passes an entry the newest roster and the rosters that its peers have adopted.
func (w *simulation) deliverRoster(e string) {
	w.entries[e].rosterNumber = w.rosterNumber
	w.deliver(e, share.RosterMsg{Now: w.now, Number: w.rosterNumber, Entries: slices.Clone(w.names)})
	for _, p := range w.names {
		if n := w.entries[p].AdoptedRoster(); n > 0 && p != e {
			w.deliver(e, share.RosterAdoptedMsg{Now: w.now, From: p, Number: n})
		}
	}
}

// reportLoad passes an entry its current load.
func (w *simulation) reportLoad(e string) {
	w.deliver(e, share.LoadMsg{Now: w.now, Load: w.entries[e].load()})
}

func (e *entry) load() share.Load { return share.Load{Demand: e.queued, Busy: e.busy} }

// changeWork changes the queue and starts or ends requests without a LoadMsg, so that the state of Loans becomes outdated.
func (w *simulation) changeWork(e string) {
	x := w.entries[e]
	x.queued = max(0, rapid.IntRange(-8, 8).Draw(w.T, "queued"))
	for _, t := range []string{"vm-0", "vm-1"} {
		n := rapid.IntRange(0, slotsPerTarget).Draw(w.T, "busy")
		x.busy[t] = max(min(x.busy[t], n), min(n, x.shares[t]))
	}
	w.check()
}

// deliverOne delivers or loses one message, and may keep a duplicate of it in flight.
func (w *simulation) deliverOne() {
	if len(w.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.inFlight)-1).Draw(w.T, "message")
	p := w.inFlight[i]
	if rapid.IntRange(0, 3).Draw(w.T, "copies") > 0 {
		w.inFlight = slices.Delete(w.inFlight, i, i+1)
	}
	if rapid.IntRange(0, 3).Draw(w.T, "lose") == 0 || w.entries[p.to] == nil {
		return
	}
	switch m := p.msg.(type) {
	case share.BorrowMsg:
		m.Now, m.Load = w.now, w.entries[p.to].load()
		w.deliver(p.to, m)
	case share.LentMsg:
		m.Now = w.now
		w.deliver(p.to, m)
	}
}

// changeMembers may remove an entry from the roster or add one.
func (w *simulation) changeMembers() {
	switch rapid.IntRange(0, 12).Draw(w.T, "change") {
	case 0:
		if len(w.names) > 1 {
			w.removeEntry(w.drawEntry())
		}
	case 1:
		if len(w.names) < 4 {
			w.addEntry(fmt.Sprint("entry-", w.rosterNumber))
		}
	}
}

// Whatever happens to rosters, loads and messages, entries together must not use more slots than a target has. Messages between
// entries are lost, duplicated and reordered, and entries join and leave.
func TestNeverExceedsTargetSlots(t *testing.T) {
	maxBorrowed := 0
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{T: t, now: time.Unix(1000, 0), entries: map[string]*entry{}}
		for i := range 3 {
			w.addEntry(fmt.Sprint("first-", i))
		}
		steps := []func(){
			func() { w.deliverRoster(w.drawEntry()) }, func() { w.deliverRoster(w.drawEntry()) }, func() { w.changeWork(w.drawEntry()) },
			func() { w.changeWork(w.drawEntry()) }, func() { w.reportLoad(w.drawEntry()) }, func() { w.reportLoad(w.drawEntry()) }, func() { w.reportLoad(w.drawEntry()) }, w.deliverOne, w.deliverOne, w.deliverOne, w.deliverOne, w.changeMembers,
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "elapsed")) * time.Millisecond)
			steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")]()
			for _, e := range w.entries {
				maxBorrowed = max(maxBorrowed, e.Borrowed())
			}
		}
	})
	is.New(t).True(maxBorrowed > 0) // some traces borrowed slots
}

// All entries adopt one roster that does not change, so that most of the steps lend and borrow.
func TestLoansWithLostAndDuplicatedMessages(t *testing.T) {
	borrowed := 0
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{T: t, now: time.Unix(1000, 0), entries: map[string]*entry{}}
		for i := range 3 {
			w.addEntry(fmt.Sprint("entry-", i))
		}
		for range 2 {
			for _, e := range w.names {
				w.deliverRoster(e)
				w.reportLoad(e)
			}
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 150).Draw(t, "elapsed")) * time.Millisecond)
			e := w.drawEntry()
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				w.changeWork(e)
			case 1, 2:
				w.reportLoad(e)
			default:
				w.deliverOne()
			}
			borrowed += w.entries[e].Borrowed()
		}
	})
	is.New(t).True(borrowed > 1000) // summed over all steps
}

func TestLoans(t *testing.T) {
	now := time.Unix(1000, 0)
	start := func(t *testing.T) (a, b *share.Loans) {
		a, b = share.New("a"), share.New("b")
		for _, l := range []*share.Loans{a, b} {
			l.Update(share.TargetsMsg{Now: now, Slots: map[string]int{"vm": 8}})
			l.Update(share.RosterMsg{Now: now, Number: 1, Entries: []string{"a", "b"}})
			l.Update(share.LoadMsg{Now: now})
		}
		a.Update(share.RosterAdoptedMsg{Now: now, From: "b", Number: b.AdoptedRoster()})
		b.Update(share.RosterAdoptedMsg{Now: now, From: "a", Number: a.AdoptedRoster()})
		is.New(t).Equal(a.Usable("vm")+b.Usable("vm"), 8)
		return a, b
	}
	// exchange advances the time by d, reports the load of both entries and delivers the messages between them.
	exchange := func(a, b *share.Loans, d time.Duration, queuedA, busyA, queuedB, busyB int) {
		now = now.Add(d)
		x := share.Load{Demand: queuedB, Busy: map[string]int{"vm": busyB}}
		b.Update(share.LoadMsg{Now: now, Load: x})
		for _, c := range slices.Clone(a.Update(share.LoadMsg{Now: now, Load: share.Load{Demand: queuedA, Busy: map[string]int{"vm": busyA}}})) {
			if c, ok := c.(share.BorrowCmd); ok {
				l := b.Update(share.BorrowMsg{Now: now, From: "a", Number: c.Number, Want: c.Want, Holding: c.Holding, Load: x})
				r := l[0].(share.LentCmd)
				a.Update(share.LentMsg{Now: now, From: "b", Number: r.Number, Grants: r.Grants, Recalled: r.Recalled})
			}
		}
	}
	t.Run("idle slots are lent and come back within a second when the lender needs them", func(t *testing.T) {
		i := is.New(t)
		a, b := start(t)
		exchange(a, b, 0, 5, 4, 0, 0)
		i.Equal(a.Usable("vm"), 8)
		i.True(!a.Quiet() && !b.Quiet())
		for range 20 {
			exchange(a, b, 50*time.Millisecond, 5, min(8, a.Usable("vm")), 3, 1)
		}
		i.Equal(a.Usable("vm"), 4)
		i.Equal(b.Usable("vm"), 4)
	})
	t.Run("reserved slots are not lent", func(t *testing.T) {
		i := is.New(t)
		_, b := start(t)
		b.Update(share.BorrowMsg{Now: now, From: "a", Number: 1, Want: 9, Load: share.Load{Reserve: 3}})
		i.Equal(b.Lent(), 1)
	})
	t.Run("slots of background requests are drained and lent to a peer", func(t *testing.T) {
		i := is.New(t)
		_, b := start(t)
		x := share.Load{Reclaimable: 4, Busy: map[string]int{"vm": 4}}
		b.Update(share.BorrowMsg{Now: now, From: "a", Number: 1, Want: 2, Load: x})
		i.Equal(b.Lent(), 0)
		i.Equal(b.Usable("vm"), 2) // two slots drain
		x.Demand = 1
		b.Update(share.LoadMsg{Now: now, Load: x})
		i.Equal(b.Usable("vm"), 4) // a request that waits here stops the draining
		x.Demand = 0
		x.Busy = map[string]int{"vm": 2}
		b.Update(share.BorrowMsg{Now: now, From: "a", Number: 2, Want: 2, Load: x})
		i.Equal(b.Lent(), 2)
	})
	t.Run("idle borrowed slots are returned", func(t *testing.T) {
		i := is.New(t)
		a, b := start(t)
		exchange(a, b, 0, 5, 4, 0, 0)
		for range 4 {
			exchange(a, b, 200*time.Millisecond, 0, 1, 0, 0)
		}
		i.Equal(b.Usable("vm"), 4)
		i.Equal(a.Borrowed(), 0)
		i.True(a.Quiet() && b.Quiet())
	})
}
