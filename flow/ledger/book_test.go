package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// singleMemberBook returns the book of the only member of a roster, which holds every key, and the roster's number.
func singleMemberBook(o ...BookOption) (*Book, int64) {
	m := Member{Entry: "a", Incarnation: 1}
	b := NewBook(m, o...)
	r := NewRoster("east", []Member{m}, 1)
	b.Adopt(RosterMsg{Now: clusterStart, Roster: r})
	return b, r.Number()
}

func expectVerdict(i *is.I, b *Book, after time.Duration, key, attempt string, d Digest, want Verdict) ClaimReply {
	i.Helper()
	r := b.Claim(ClaimMsg{Now: clusterStart.Add(after), ID: NewID(key), Roster: b.Roster().Number(), Attempt: NewAttempt(attempt), Digest: d})
	i.Equal(r.Verdict, want)
	return r
}

func settle(b *Book, after time.Duration, key, attempt string, p Phase, answer string) {
	b.Settle(SettleMsg{Now: clusterStart.Add(after), Record: Record{
		ID: NewID(key), Attempt: NewAttempt(attempt), Phase: p, HasAnswer: p == Answered, Answer: []byte(answer), ContentType: "t",
	}})
}

func TestBook(t *testing.T) {
	t.Run("a copy that is released before its claim comes is never granted", func(t *testing.T) {
		i := is.New(t)
		b, _ := singleMemberBook()
		settle(b, 0, "k", "1", NotRun, "")
		i.Equal(expectVerdict(i, b, 0, "k", "1", 1, Repeat).Record.Phase, NotRun)
		expectVerdict(i, b, 0, "k", "2", 1, Granted)
		settle(b, 0, "k", "1", NotRun, "") // late
		expectVerdict(i, b, 0, "k", "3", 1, Repeat)
	})
	t.Run("the same copy is granted again until it is settled", func(t *testing.T) {
		i := is.New(t)
		b, _ := singleMemberBook()
		expectVerdict(i, b, 0, "k", "1", 1, Granted)
		expectVerdict(i, b, 0, "k", "1", 1, Granted)
		expectVerdict(i, b, 0, "k", "2", 2, Mismatch)
		settle(b, 0, "k", "1", Unknown, "")
		expectVerdict(i, b, 0, "k", "1", 1, Repeat)
		settle(b, 0, "k", "1", Answered, "late")
		settle(b, 0, "k", "1", NotRun, "") // the first answer stays
		settle(b, 0, "k", "1", Unknown, "")
		i.Equal(string(expectVerdict(i, b, 0, "k", "2", 1, Repeat).Record.Answer), "late")
	})
	t.Run("an unsettled claim is remembered for an hour", func(t *testing.T) {
		i := is.New(t)
		b, _ := singleMemberBook()
		expectVerdict(i, b, 0, "k", "1", 1, Granted)
		for d := time.Duration(0); d < UnsettledClaimTTL-time.Minute; d += time.Minute {
			b.Tick(TickMsg{Now: clusterStart.Add(d)})
			expectVerdict(i, b, d, "k", "2", 1, Repeat)
		}
		b.Tick(TickMsg{Now: clusterStart.Add(UnsettledClaimTTL)})
		expectVerdict(i, b, UnsettledClaimTTL, "k", "2", 1, Granted)
	})
	t.Run("new keys are refused rather than old ones forgotten", func(t *testing.T) {
		i := is.New(t)
		b, _ := singleMemberBook(WithRecords(2), WithAnswerBytes(8))
		expectVerdict(i, b, 0, "k1", "1", 1, Granted)
		expectVerdict(i, b, 0, "k2", "1", 1, Granted)
		expectVerdict(i, b, 0, "k3", "1", 1, Full)
		settle(b, 0, "k1", "1", Answered, "123456")
		settle(b, 0, "k2", "1", Answered, "123456")
		i.Equal(b.AnswerBytes(), 7)
		i.Equal(expectVerdict(i, b, 0, "k1", "2", 1, Repeat).Record.HasAnswer, false) // the copy ran, but its answer was evicted
		i.Equal(expectVerdict(i, b, 0, "k2", "2", 1, Repeat).Record.HasAnswer, true)
		b.Tick(TickMsg{Now: clusterStart.Add(RecordTTL)})
		i.Equal(b.Len()+b.AnswerBytes(), 0)
		expectVerdict(i, b, RecordTTL, "k3", "1", 1, Granted)
	})
}

func TestHandover(t *testing.T) {
	a, z := Member{Entry: "a", Incarnation: 1}, Member{Entry: "z", Incarnation: 1}
	t.Run("only one that held the roster before hands over, and all that it held", func(t *testing.T) {
		i := is.New(t)
		b, _ := singleMemberBook()
		for k := range 2500 {
			expectVerdict(i, b, 0, fmt.Sprint(k), "1", 1, Granted)
		}
		r := b.Roster().Next([]Member{z}, 1)
		b.Adopt(RosterMsg{Now: clusterStart, Roster: r})
		n, m := 0, HandoverMsg{Now: clusterStart, Entry: "z", Roster: r.Number(), Newcomer: true}
		for more := true; more; {
			p := b.Handover(m)
			i.True(p.Complete)
			n, more, m.After = n+len(p.Records), p.More, p.After
		}
		i.Equal(n, 2500)
		skipped := r.Next([]Member{a, z}, 1).Next([]Member{z}, 1)
		b.Adopt(RosterMsg{Now: clusterStart, Roster: skipped})
		m.Roster, m.After = skipped.Number(), ""
		i.Equal(b.Handover(m).Complete, false)
	})
	t.Run("lapses are inherited and end", func(t *testing.T) {
		i := is.New(t)
		b := NewBook(z)
		r := NewRoster("east", []Member{a, {Entry: "b", Incarnation: 1}}, 1).Next([]Member{a, z}, 1)
		b.Adopt(RosterMsg{Now: clusterStart, Roster: r})
		l := RecordGap{Roster: 1, Members: r.Previous(), Lost: r.Previous(), Until: clusterStart.Add(time.Minute)}
		for _, e := range []string{"a", "b"} {
			b.AddPage(PageMsg{Now: clusterStart, Roster: r.Number(), Entry: e, Page: Page{Complete: true, Gaps: []RecordGap{l}}})
		}
		i.Equal(expectVerdict(i, b, 0, "k", "1", 1, Gap).RetryAfter, time.Minute)
		expectVerdict(i, b, time.Minute, "k", "1", 1, Granted)
	})
	t.Run("sources may have lost different members", func(t *testing.T) {
		i := is.New(t)
		c, d := Member{Entry: "c", Incarnation: 1}, Member{Entry: "d", Incarnation: 1}
		old := []Member{a, c, d}
		b := NewBook(z)
		r := NewRoster("east", old, 1).Next([]Member{a, z}, 1)
		b.Adopt(RosterMsg{Now: clusterStart, Roster: r})
		for e, lost := range map[string][]Member{"a": {c, d}, "c": {a, d}, "d": {a, c}} {
			l := RecordGap{Roster: 1, Members: old, Lost: lost, Until: clusterStart.Add(time.Minute)}
			b.AddPage(PageMsg{Now: clusterStart, Roster: r.Number(), Entry: e, Page: Page{Complete: true, Gaps: []RecordGap{l}}})
		}
		for k := range 20 {
			expectVerdict(i, b, 0, fmt.Sprint(k), "1", 1, Gap) // each pair of holders is lost at one of the sources
		}
	})
}

// TestClaimNotRun checks that a refusal says "not run" only if a holder has reported in time that it has no record, and the
// roster has not changed since.
func TestClaimNotRun(t *testing.T) {
	i := is.New(t)
	r := NewRoster("east", []Member{{Entry: "a"}, {Entry: "b"}}, 1)
	key := keyHeldBy(r, "a", "b")
	start := func() *Claim {
		c := NewClaim(NewID(key))
		i.Equal(c.Update(StartMsg{Now: clusterStart, Roster: r}), []Cmd{AskCmd{Holder: r.Members()[0], Roster: r.Number()}})
		return c
	}
	last := func(l []Cmd) Cmd { return l[len(l)-1] }
	fail := func(h string) NoReplyMsg { return NoReplyMsg{Now: clusterStart, Holder: h} }
	late := ReplyMsg{Now: clusterStart.Add(ClaimTimeout + 1), Holder: "a"}

	c := start()
	i.Equal(last(c.Update(late)).(RefuseCmd).NotRun, false) // after the timeout, records of earlier copies may have expired
	c = start()
	c.Update(fail("a"))
	c.Update(fail("a"))
	i.Equal(last(c.Update(fail("b"))).(RefuseCmd).NotRun, false) // no holder has reported that it has no record
	c = start()
	c.Update(fail("a"))
	i.Equal(last(c.Update(fail("a"))), AskCmd{Holder: r.Members()[1], Roster: r.Number()})
	l := c.Update(ReplyMsg{Now: clusterStart, Holder: "b"})
	i.Equal(l, []Cmd{ReleaseCmd{Holders: r.Members()}, ConfirmCmd{}})
	i.Equal(c.Update(ConfirmMsg{Number: r.Number()})[0].(RefuseCmd).NotRun, true)
	c = start()
	c.Update(ReplyMsg{Now: clusterStart, Holder: "a"})
	c.Update(fail("b"))
	i.Equal(last(c.Update(fail("b"))), ConfirmCmd{})
	i.Equal(c.Update(ConfirmMsg{Number: r.Number() + 1})[0].(RefuseCmd).NotRun, false) // a newer roster
	c = start()
	c.Update(ReplyMsg{Now: clusterStart, Holder: "a"})
	next := r.Next(r.Members(), 1)
	c.Update(ReplyMsg{Now: clusterStart, Holder: "b", Reply: ClaimReply{Verdict: Stale}, Roster: next})
	c.Update(fail("a"))
	_, probes := last(c.Update(fail("a"))).(AskCmd)
	i.True(probes) // a grant under an older roster does not count
	c = start()
	c.Update(ReplyMsg{Now: clusterStart, Holder: "a", Reply: ClaimReply{NeedsStoreKey: true}})
	c.Update(fail("b"))
	i.Equal(last(c.Update(fail("b"))).(RefuseCmd).NotRun, false) // in a gap a holder does not know whether a copy ran
}

func TestRoster(t *testing.T) {
	i := is.New(t)
	var m []Member
	for k := range 10 {
		m = append(m, Member{Entry: fmt.Sprint("e", k), Incarnation: int64(k)})
	}
	r := NewRoster("east", m, 1).Next(m[1:], 2)
	p, err := ParseRoster(r.Marshal())
	i.NoErr(err)
	i.Equal(p, r)
	_, err = ParseRoster([]byte(`{"number":1}`))
	i.True(err != nil)
	held, moved := map[string]int{}, 0
	for k := range 9000 {
		id := NewID(fmt.Sprint(k))
		f, s := r.HoldersOf(id)
		pf, ps := r.priorHoldersOf(id)
		held[f]++
		held[s]++
		if f != pf || s != ps {
			moved++
			i.True(pf == "e0" || ps == "e0") // only the keys of the removed member move
		}
	}
	for _, n := range held {
		i.True(n > 1800 && n < 2200) // 2,000 each
	}
	i.Equal(HomeDataCentre("west/k", []string{"east", "west"}), "west")
	i.Equal(HomeDataCentre("mars/k", []string{"east", "west"}), HomeDataCentre("mars/k", []string{"west", "east"}))
}
