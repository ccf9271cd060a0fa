package ledger

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// reporter receives the log and the failures of a cluster. Both rapid.T and testing.T implement it.
type reporter interface {
	Helper()
	Log(args ...any)
	Fatalf(format string, args ...any)
}

// send records that a target has run a copy.
type send struct {
	attempt string
	sentAt  time.Time
	digest  Digest
}

// message is in transit between two processes, or between a process and the platform's service.
type message struct {
	from, to *process
	store    bool // whether it goes to or comes from the platform's service
	run      func()
}

// requestCopy is one copy of a keyed request at the process that claims it.
type requestCopy struct {
	process    *process
	key, id    string
	digest     Digest
	startedAt  time.Time
	claim      *Claim
	waitNumber int // number of the current wait for a reply; a late reply has an older one
	waiting    bool
	holder     string // last holder asked
	ended      bool
	phase      Phase
	holders    []Member
	inStore    bool
	resends    int
}

// process is one incarnation of an entry.
type process struct {
	cluster        *cluster
	member         Member
	book           *Book
	membership     *Membership
	roster         Roster
	naiveRecords   map[string]string // records of the naive protocols: key → copy
	alive          bool
	frozen         bool
	partition      int   // network partition of the process
	noStore        bool  // whether it cannot reach the platform's service
	storedNumber   int64 // number of the roster in the service, as last read
	readRev        int   // revision of that roster
	hasReadStore   bool
	copies         []*requestCopy
	pullsStartedAt time.Time
	pullsRoster    int64
}

// cluster simulates entries, their network and the platform's service. A trace decides the order of all events.
type cluster struct {
	t               reporter
	now             time.Time
	processes       map[string]*process
	started         []*process
	messages        []message // roster writes, heartbeats and handovers
	claimCalls      []message // claims and settlements
	lastIncarnation int64
	copies          int // copies started; it decides the outcome of each send

	storedRoster  Roster
	formerRosters []Roster // earlier values of storedRoster
	storeRev      int
	storeKeys     map[ID]Attempt
	goneEntries   []string
	sends         map[string][]send
	log           []string
	naive         naiveProtocol // empty for the ledger itself
}

var clusterStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newCluster(t reporter, entries ...string) *cluster {
	w := &cluster{t: t, now: clusterStart, processes: map[string]*process{}, storeKeys: map[ID]Attempt{}, sends: map[string][]send{}}
	for _, e := range entries {
		w.start(e)
	}
	return w
}

func (w *cluster) logf(f string, a ...any) {
	w.log = append(w.log, w.now.Sub(clusterStart).String()+" "+fmt.Sprintf(f, a...))
}

func (w *cluster) fail(f string, a ...any) {
	w.t.Helper()
	w.logf(f, a...)
	w.t.Log(strings.Join(w.log[max(0, len(w.log)-200):], "\n"))
	w.t.Fatalf(f, a...)
}

func (w *cluster) start(e string) *process {
	w.lastIncarnation++
	m := Member{Entry: e, Addr: e, Incarnation: w.lastIncarnation}
	l := &process{cluster: w, member: m, book: NewBook(m), membership: NewMembership(m, "east"), naiveRecords: map[string]string{}, alive: true}
	w.processes[e] = l
	w.started = append(w.started, l)
	w.goneEntries = slices.DeleteFunc(w.goneEntries, func(g string) bool { return g == e })
	w.logf("start %s/%d", e, m.Incarnation)
	return l
}

func (w *cluster) kill(e string) {
	w.logf("kill %s", e)
	w.processes[e].alive = false
}

// revertStore restores an older state of the service, if a running entry that can reach it knows the lost roster and so can
// write it again.
func (w *cluster) revertStore() {
	i := slices.IndexFunc(w.started, func(l *process) bool { return l.runs() && !l.noStore && l.roster.Number() == w.storedRoster.Number() })
	if n := len(w.formerRosters); n > 0 && i >= 0 {
		w.storedRoster, w.formerRosters = w.formerRosters[n-1], w.formerRosters[:n-1]
		w.storeRev++
		w.logf("store reverted to %x", w.storedRoster.Number())
		w.started[i].tick()
		w.deliverAll(&w.messages)
	}
}

func (l *process) runs() bool { return l.alive && !l.frozen }

func (w *cluster) connected(a, b *process) bool { return a == b || a.partition == b.partition }

// call queues f, a part of a claim, to run at to, or at the platform's service if to is nil.
func (w *cluster) call(from, to *process, f func()) {
	w.claimCalls = append(w.claimCalls, message{from: from, to: to, store: to == nil, run: f})
}

// post queues f to run at to.
func (w *cluster) post(from, to *process, f func()) {
	if len(w.messages) > 80 {
		w.messages = w.messages[1:]
	}
	w.messages = append(w.messages, message{from: from, to: to, run: f})
}

func (w *cluster) postStore(from *process, f func()) {
	w.messages = append(w.messages, message{from: from, store: true, run: f})
}

// deliver runs the i-th message of q, or loses it if its path is cut. A message to a frozen process stays queued. With duplicate
// set, the message also stays queued, to be delivered a second time.
func (w *cluster) deliver(q *[]message, i int, duplicate bool) {
	m := (*q)[i]
	if !m.store && m.to.alive && m.to.frozen {
		return
	}
	if !duplicate {
		*q = slices.Delete(*q, i, i+1)
	}
	switch {
	case m.store && !m.from.noStore:
		m.run()
	case !m.store && m.to.alive && w.connected(m.from, m.to):
		m.run()
	}
}

func (l *process) adopt(r Roster) {
	if r.Number() <= l.roster.Number() {
		return
	}
	l.roster = r
	m := RosterMsg{Now: l.cluster.now, Roster: r}
	l.membership.Adopt(m)
	l.book.Adopt(m)
	l.cluster.logf("%s/%d adopts %x holding %x", l.member.Entry, l.member.Incarnation, r.Number(), l.book.ActiveRoster())
}

// tick runs one round of the entry's loop: read the service, update timers, propose, pull, send heartbeats, and repeat
// settlements.
func (l *process) tick() {
	w := l.cluster
	if !l.runs() {
		return
	}
	l.readStore()
	l.book.Tick(TickMsg{Now: w.now})
	l.membership.Heartbeat(HeartbeatMsg{Now: w.now, Member: l.member, ActiveRoster: l.book.ActiveRoster(), Unheard: l.membership.Unheard(w.now)})
	l.reportGone()
	l.propose()
	l.pull()
	l.beat()
	for _, c := range l.copies {
		c.settle()
	}
}

func (l *process) readStore() {
	if l.noStore {
		return
	}
	if l.member.Entry < "c" { // the others learn it from heartbeats
		l.membership.UpdateVMList(VMListMsg{Now: l.cluster.now, Gone: l.cluster.goneEntries})
	}
	l.hasReadStore, l.readRev, l.storedNumber = true, l.cluster.storeRev, l.cluster.storedRoster.Number()
	l.adopt(l.cluster.storedRoster)
}

func (l *process) reportGone() {
	for _, m := range append(l.book.MissingMembers(), l.roster.Previous()...) {
		if l.membership.Ended(m, l.cluster.now) {
			l.book.Gone(GoneMsg{Now: l.cluster.now, Member: m})
		}
	}
}

func (l *process) propose() {
	w := l.cluster
	if !l.hasReadStore {
		return
	}
	var r Roster
	switch {
	case l.storedNumber < l.roster.Number():
		r = l.roster
	case l.storedNumber == l.roster.Number():
		if p := l.membership.Tick(TickMsg{Now: w.now}); len(p) > 0 {
			r = p[0].Roster
		}
	}
	if rev := l.readRev; r.Number() != 0 {
		w.postStore(l, func() {
			if w.storeRev == rev {
				w.storeRev++
				w.formerRosters = append(w.formerRosters, w.storedRoster)
				w.storedRoster = r
				w.logf("store has %x %v by %s", r.Number(), r.Members(), l.member.Entry)
			}
		})
	}
}

func (l *process) pull() {
	w := l.cluster
	if n := l.roster.Number(); n != l.pullsRoster {
		l.pullsRoster, l.pullsStartedAt = n, w.now
	}
	for _, p := range l.book.Pulls() {
		if w.now.Sub(l.pullsStartedAt) > 5*time.Second {
			l.book.PullFailed(PullFailedMsg{Now: w.now, Roster: p.Roster, Entry: p.From.Entry})
		}
		l.pullPage(p, l.roster, "")
	}
}

func (l *process) pullPage(p PullCmd, r Roster, after string) {
	w := l.cluster
	f := w.processes[p.From.Entry]
	w.post(l, f, func() {
		f.adopt(r)
		g := f.book.Handover(HandoverMsg{Now: w.now, Entry: l.member.Entry, Roster: p.Roster, Newcomer: p.Newcomer, After: after})
		w.post(f, l, func() {
			l.book.AddPage(PageMsg{Now: w.now, Roster: p.Roster, Entry: p.From.Entry, Page: g})
			if g.More {
				l.pullPage(p, r, g.After)
			}
		})
	})
}

func (l *process) beat() {
	w := l.cluster
	m := HeartbeatMsg{
		Now: w.now, Member: l.member, ActiveRoster: l.book.ActiveRoster(), Leaving: l.membership.Leaving(), Unheard: l.membership.Unheard(w.now),
		Gone: l.membership.Gone(w.now, l.book.MissingMembers()),
	}
	r := l.roster
	for _, o := range w.processes {
		if o == l {
			continue
		}
		w.post(l, o, func() {
			m.Now = w.now
			o.membership.Heartbeat(m)
			o.adopt(r)
		})
	}
}

// startCopy starts a copy of a keyed request at l.
func (l *process) startCopy(key string, d Digest) *requestCopy {
	w := l.cluster
	w.copies++
	c := &requestCopy{process: l, key: key, id: fmt.Sprint("copy", w.copies), digest: d, startedAt: w.now, claim: NewClaim(NewID(key))}
	l.copies = append(l.copies, c)
	w.logf("%s/%d begins %s of %s", l.member.Entry, l.member.Incarnation, c.id, key)
	if w.naive != "" {
		c.startNaively()
		return c
	}
	c.perform(c.claim.Update(StartMsg{Now: w.now, Roster: l.roster}))
	return c
}

func (c *requestCopy) perform(cmds []Cmd) {
	l, w := c.process, c.process.cluster
	for _, cmd := range cmds {
		switch m := cmd.(type) {
		case AskCmd:
			c.ask(m)
		case WaitCmd:
			c.wait("")
		case StoreCmd:
			c.create()
		case ConfirmCmd:
			c.confirm()
		case ReleaseCmd:
			c.phase, c.holders, c.inStore = NotRun, m.Holders, m.InStore
			c.settle()
		case SendCmd:
			c.holders, c.inStore = m.Holders, m.InStore
			c.send()
		case RefuseCmd:
			c.ended = true
			w.logf("%s refused %s of %s: %v notRun=%t", l.member.Entry, c.id, c.key, m.Reason, m.NotRun)
			w.checkNotRun(c, m)
		case RepeatCmd:
			c.ended = true
			w.logf("%s repeat %s of %s: phase %d", l.member.Entry, c.id, c.key, m.Record.Phase)
			w.checkRepeat(c, m.Record)
		}
	}
}

func (c *requestCopy) wait(holder string) int {
	c.waitNumber++
	c.waiting, c.holder = true, holder
	return c.waitNumber
}

// answer passes a message to the claim unless the copy no longer waits for it.
func (c *requestCopy) answer(wait int, m func() Msg) {
	if c.waitNumber != wait || !c.waiting {
		return
	}
	c.waiting = false
	c.perform(c.claim.Update(m()))
}

// timeout ends the wait for a reply.
func (c *requestCopy) timeout() {
	if c.waiting {
		c.answer(c.waitNumber, func() Msg { return NoReplyMsg{Now: c.process.cluster.now, Holder: c.holder, Roster: c.process.roster} })
	}
}

func (c *requestCopy) ask(m AskCmd) {
	l, w := c.process, c.process.cluster
	n := c.wait(m.Holder.Entry)
	h := w.processes[m.Holder.Entry]
	msg := ClaimMsg{ID: NewID(c.key), Roster: m.Roster, Attempt: NewAttempt(c.id), Digest: c.digest}
	w.call(l, h, func() {
		msg.Now = w.now
		r := h.book.Claim(msg)
		w.logf("%s/%d replies %v to %s of %s", h.member.Entry, h.member.Incarnation, r.Verdict, c.id, c.key)
		doc := h.roster
		w.call(h, l, func() {
			l.adopt(doc)
			c.answer(n, func() Msg { return ReplyMsg{Now: w.now, Holder: m.Holder.Entry, Reply: r, Roster: l.roster} })
		})
	})
}

func (c *requestCopy) create() {
	l, w := c.process, c.process.cluster
	n := c.wait("")
	w.call(l, nil, func() {
		id, a := NewID(c.key), NewAttempt(c.id)
		o := StoreMsg{Outcome: StoreCreated}
		if k, ok := w.storeKeys[id]; ok && k != a {
			o = StoreMsg{Outcome: StoreExists, Record: Record{ID: id, Attempt: k, Phase: Claimed}}
		} else {
			w.storeKeys[id] = a
		}
		w.call(l, nil, func() {
			if l.runs() {
				c.answer(n, func() Msg { o.Now = w.now; return o })
			}
		})
	})
}

func (c *requestCopy) confirm() {
	l, w := c.process, c.process.cluster
	n := c.wait("")
	w.call(l, nil, func() {
		d := w.storedRoster.Number()
		w.call(l, nil, func() {
			if l.runs() {
				c.answer(n, func() Msg { return ConfirmMsg{Number: d} })
			}
		})
	})
}

// send lets a target run the copy. One copy in four is refused by its target as certainly not run.
func (c *requestCopy) send() {
	w := c.process.cluster
	c.ended = true
	w.logf("%s SENDS %s of %s", c.process.member.Entry, c.id, c.key)
	if w.copies%4 == 3 {
		c.phase = NotRun
		return
	}
	w.checkSend(c)
	w.sends[c.key] = append(w.sends[c.key], send{attempt: c.id, sentAt: w.now, digest: c.digest})
	c.phase = Answered
	if w.copies%5 == 0 {
		c.phase = Unknown
	}
}

// settle reports the outcome of the copy to the holders that it claimed from and to the current ones.
func (c *requestCopy) settle() {
	l, w := c.process, c.process.cluster
	if c.phase == None || c.resends > 20 {
		return
	}
	c.resends++
	r := Record{ID: NewID(c.key), Attempt: NewAttempt(c.id), Digest: c.digest, Phase: c.phase, Answer: []byte(c.key), HasAnswer: c.phase == Answered}
	f, s := l.roster.Holders(c.key)
	for _, e := range []string{f, s} {
		if m, ok := l.roster.Member(e); ok && !slices.Contains(c.holders, m) {
			c.holders = append(c.holders, m)
		}
	}
	for _, h := range c.holders {
		if o := w.processes[h.Entry]; o != nil {
			w.call(l, o, func() { o.book.Settle(SettleMsg{Now: w.now, Record: r}) })
		}
	}
	if c.inStore && c.phase == NotRun {
		w.call(l, nil, func() {
			if w.storeKeys[r.ID] == r.Attempt {
				delete(w.storeKeys, r.ID)
			}
		})
	}
}

// checkSend fails the test if another copy of the key ran within the time for which keys are remembered.
func (w *cluster) checkSend(c *requestCopy) {
	for _, s := range w.sends[c.key] {
		if w.now.Sub(s.sentAt) < RecordTTL-ClaimTimeout {
			w.fail("%s of %s sent by %s, after %s %s ago", c.id, c.key, c.process.member.Entry, s.attempt, w.now.Sub(s.sentAt))
		}
	}
}

// checkNotRun fails the test if a claim is refused as not run although a copy had run when the claim began.
func (w *cluster) checkNotRun(c *requestCopy, m RefuseCmd) {
	for _, s := range w.sends[c.key] {
		other := m.Reason == OtherRequest && s.digest != c.digest
		if m.NotRun && !other && !s.sentAt.After(c.startedAt) && c.startedAt.Sub(s.sentAt) < RecordTTL-ClaimTimeout {
			w.fail("%s of %s reported as not run, but %s ran %s before", c.id, c.key, s.attempt, c.startedAt.Sub(s.sentAt))
		}
	}
}

// checkRepeat fails the test if a repeat returns an answer that no target gave.
func (w *cluster) checkRepeat(c *requestCopy, r Record) {
	if r.Phase == Answered && (len(w.sends[c.key]) == 0 || r.HasAnswer && string(r.Answer) != c.key) {
		w.fail("%s of %s got an answer that no target gave", c.id, c.key)
	}
}
