package ledger

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// failer is what a world reports to; a rapid.T and a testing.T are both one.
type failer interface {
	Helper()
	Log(args ...any)
	Fatalf(format string, args ...any)
}

// send is one copy that a target has run.
type send struct {
	attempt string
	at      time.Time
	digest  Digest
}

// message is on its way between two lives, or to the platform's service.
type message struct {
	from, to *life
	store    bool
	act      func()
}

// copyOf is one copy of a keyed request at the entry that claims it.
type copyOf struct {
	at      *life
	key, id string
	digest  Digest
	start   time.Time
	claim   *Claim
	waits   int // number of the wait for an answer; late answers carry an older one
	pending bool
	holder  string // last asked
	over    bool
	phase   Phase
	holders []Member
	store   bool
	resends int
}

// life is one life of an entry.
type life struct {
	w          *world
	member     Member
	book       *Book
	membership *Membership
	roster     Roster
	plain      map[string]string // a naive holder's records: key → copy
	alive      bool
	frozen     bool
	cut        int // group of the partition that the entry is in
	noStore    bool
	stored     int64
	rev        int
	read       bool
	copies     []*copyOf
	pullsSince time.Time
	pullsOf    int64
}

// world is entries, network and the platform's service under one scheduler that a trace drives.
type world struct {
	t     failer
	now   time.Time
	lives map[string]*life
	all   []*life
	queue []message // of rosters, beats and handovers
	calls []message // of claims and what became of them
	born  int64
	ids   int

	doc   Roster
	docs  []Roster // former ones
	rev   int
	keys  map[ID]Attempt
	gone  []string
	sends map[string][]send
	log   []string
	naive naive // zero for the ledger itself
}

var worldStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newWorld(t failer, entries ...string) *world {
	w := &world{t: t, now: worldStart, lives: map[string]*life{}, keys: map[ID]Attempt{}, sends: map[string][]send{}}
	for _, e := range entries {
		w.start(e)
	}
	return w
}

func (w *world) note(f string, a ...any) {
	w.log = append(w.log, w.now.Sub(worldStart).String()+" "+fmt.Sprintf(f, a...))
}

func (w *world) fail(f string, a ...any) {
	w.t.Helper()
	w.note(f, a...)
	w.t.Log(strings.Join(w.log[max(0, len(w.log)-200):], "\n"))
	w.t.Fatalf(f, a...)
}

func (w *world) start(e string) *life {
	w.born++
	m := Member{Entry: e, Addr: e, Incarnation: w.born}
	l := &life{w: w, member: m, book: NewBook(m), membership: NewMembership(m, "east"), plain: map[string]string{}, alive: true}
	w.lives[e] = l
	w.all = append(w.all, l)
	w.gone = slices.DeleteFunc(w.gone, func(g string) bool { return g == e })
	w.note("start %s/%d", e, m.Incarnation)
	return l
}

func (w *world) kill(e string) {
	w.note("kill %s", e)
	w.lives[e].alive = false
}

// revert brings the service back older than it was, if an entry that knows what was lost is there to write it again.
func (w *world) revert() {
	i := slices.IndexFunc(w.all, func(l *life) bool { return l.runs() && !l.noStore && l.roster.Number() == w.doc.Number() })
	if n := len(w.docs); n > 0 && i >= 0 {
		w.doc, w.docs = w.docs[n-1], w.docs[:n-1]
		w.rev++
		w.note("store is back at %x", w.doc.Number())
		w.all[i].tick()
		w.flush(&w.queue)
	}
}

func (l *life) runs() bool { return l.alive && !l.frozen }

func (w *world) linked(a, b *life) bool { return a == b || a.cut == b.cut }

// call queues f, a part of a claim, to be performed at to, or at the platform's service.
func (w *world) call(from, to *life, f func()) {
	w.calls = append(w.calls, message{from: from, to: to, store: to == nil, act: f})
}

// post queues f to be performed at to.
func (w *world) post(from, to *life, f func()) {
	if len(w.queue) > 80 {
		w.queue = w.queue[1:]
	}
	w.queue = append(w.queue, message{from: from, to: to, act: f})
}

func (w *world) postStore(from *life, f func()) {
	w.queue = append(w.queue, message{from: from, store: true, act: f})
}

// deliver performs the i-th message of q unless its way is cut; one to a frozen life waits.
func (w *world) deliver(q *[]message, i int, again bool) {
	m := (*q)[i]
	if !m.store && m.to.alive && m.to.frozen {
		return
	}
	if !again {
		*q = slices.Delete(*q, i, i+1)
	}
	switch {
	case m.store && !m.from.noStore:
		m.act()
	case !m.store && m.to.alive && w.linked(m.from, m.to):
		m.act()
	}
}

func (l *life) learn(r Roster) {
	if r.Number() <= l.roster.Number() {
		return
	}
	l.roster = r
	m := RosterMsg{Now: l.w.now, Roster: r}
	l.membership.Adopt(m)
	l.book.Adopt(m)
	l.w.note("%s/%d adopts %x holding %x", l.member.Entry, l.member.Incarnation, r.Number(), l.book.Holding())
}

// tick is a round of an entry's loop: read the service, let time pass, propose, pull, beat, repeat what was not heard.
func (l *life) tick() {
	w := l.w
	if !l.runs() {
		return
	}
	l.refresh()
	l.book.Tick(TickMsg{Now: w.now})
	l.membership.Beat(BeatMsg{Now: w.now, Member: l.member, Holding: l.book.Holding(), Unheard: l.membership.Unheard(w.now)})
	l.tellGone()
	l.propose()
	l.pull()
	l.beat()
	for _, c := range l.copies {
		c.settle()
	}
}

func (l *life) refresh() {
	if l.noStore {
		return
	}
	if l.member.Entry < "c" { // the others learn it from beats
		l.membership.VMs(VMsMsg{Now: l.w.now, Gone: l.w.gone})
	}
	l.read, l.rev, l.stored = true, l.w.rev, l.w.doc.Number()
	l.learn(l.w.doc)
}

func (l *life) tellGone() {
	for _, m := range append(l.book.Lost(), l.roster.Previous()...) {
		if l.membership.Over(m, l.w.now) {
			l.book.Gone(GoneMsg{Now: l.w.now, Member: m})
		}
	}
}

func (l *life) propose() {
	w := l.w
	if !l.read {
		return
	}
	var r Roster
	switch {
	case l.stored < l.roster.Number():
		r = l.roster
	case l.stored == l.roster.Number():
		if p := l.membership.Tick(TickMsg{Now: w.now}); len(p) > 0 {
			r = p[0].Roster
		}
	}
	if rev := l.rev; r.Number() != 0 {
		w.postStore(l, func() {
			if w.rev == rev {
				w.rev++
				w.docs = append(w.docs, w.doc)
				w.doc = r
				w.note("store has %x %v by %s", r.Number(), r.Members(), l.member.Entry)
			}
		})
	}
}

func (l *life) pull() {
	w := l.w
	if n := l.roster.Number(); n != l.pullsOf {
		l.pullsOf, l.pullsSince = n, w.now
	}
	for _, p := range l.book.Pulls() {
		if w.now.Sub(l.pullsSince) > 5*time.Second {
			l.book.Unreached(UnreachedMsg{Now: w.now, Roster: p.Roster, Entry: p.From.Entry})
		}
		l.pullPage(p, l.roster, "")
	}
}

func (l *life) pullPage(p PullCmd, r Roster, after string) {
	w := l.w
	f := w.lives[p.From.Entry]
	w.post(l, f, func() {
		f.learn(r)
		g := f.book.Handover(HandoverMsg{Now: w.now, Entry: l.member.Entry, Roster: p.Roster, Newcomer: p.Newcomer, After: after})
		w.post(f, l, func() {
			l.book.Pulled(PulledMsg{Now: w.now, Roster: p.Roster, Entry: p.From.Entry, Page: g})
			if g.More {
				l.pullPage(p, r, g.After)
			}
		})
	})
}

func (l *life) beat() {
	w := l.w
	m := BeatMsg{
		Now: w.now, Member: l.member, Holding: l.book.Holding(), Stopping: l.membership.Stopping(), Unheard: l.membership.Unheard(w.now),
		Gone: l.membership.Gone(w.now, l.book.Lost()),
	}
	r := l.roster
	for _, o := range w.lives {
		if o == l {
			continue
		}
		w.post(l, o, func() {
			m.Now = w.now
			o.membership.Beat(m)
			o.learn(r)
		})
	}
}

// take begins a copy of a keyed request at l.
func (l *life) take(key string, d Digest) *copyOf {
	w := l.w
	w.ids++
	c := &copyOf{at: l, key: key, id: fmt.Sprint("copy", w.ids), digest: d, start: w.now, claim: NewClaim(NewID(key))}
	l.copies = append(l.copies, c)
	w.note("%s/%d begins %s of %s", l.member.Entry, l.member.Incarnation, c.id, key)
	if w.naive != "" {
		c.takeNaively()
		return c
	}
	c.do(c.claim.Update(StartMsg{Now: w.now, Roster: l.roster}))
	return c
}

func (c *copyOf) do(cmds []Cmd) {
	l, w := c.at, c.at.w
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
			c.phase, c.holders, c.store = NotRun, m.Holders, m.Store
			c.settle()
		case GoCmd:
			c.holders, c.store = m.Holders, m.Store
			c.send()
		case RefuseCmd:
			c.over = true
			w.note("%s refused %s of %s: %v notRun=%t", l.member.Entry, c.id, c.key, m.Reason, m.NotRun)
			w.checkNotRun(c, m)
		case RepeatCmd:
			c.over = true
			w.note("%s repeat %s of %s: phase %d", l.member.Entry, c.id, c.key, m.Record.Phase)
			w.checkRepeat(c, m.Record)
		}
	}
}

func (c *copyOf) wait(holder string) int {
	c.waits++
	c.pending, c.holder = true, holder
	return c.waits
}

// answer takes in a message unless the copy no longer waits for it.
func (c *copyOf) answer(wait int, m func() Msg) {
	if c.waits != wait || !c.pending {
		return
	}
	c.pending = false
	c.do(c.claim.Update(m()))
}

// timeout ends the wait for an answer.
func (c *copyOf) timeout() {
	if c.pending {
		c.answer(c.waits, func() Msg { return FailMsg{Now: c.at.w.now, Holder: c.holder, Roster: c.at.roster} })
	}
}

func (c *copyOf) ask(m AskCmd) {
	l, w := c.at, c.at.w
	n := c.wait(m.Holder.Entry)
	h := w.lives[m.Holder.Entry]
	msg := ClaimMsg{ID: NewID(c.key), Roster: m.Roster, Attempt: NewAttempt(c.id), Digest: c.digest}
	w.call(l, h, func() {
		msg.Now = w.now
		r := h.book.Claim(msg)
		w.note("%s/%d says %v to %s of %s", h.member.Entry, h.member.Incarnation, r.Verdict, c.id, c.key)
		doc := h.roster
		w.call(h, l, func() {
			l.learn(doc)
			c.answer(n, func() Msg { return ReplyMsg{Now: w.now, Holder: m.Holder.Entry, Reply: r, Roster: l.roster} })
		})
	})
}

func (c *copyOf) create() {
	l, w := c.at, c.at.w
	n := c.wait("")
	w.call(l, nil, func() {
		id, a := NewID(c.key), NewAttempt(c.id)
		o := StoreMsg{Outcome: StoreMade}
		if k, ok := w.keys[id]; ok && k != a {
			o = StoreMsg{Outcome: StoreTaken, Record: Record{ID: id, Attempt: k, Phase: Claimed}}
		} else {
			w.keys[id] = a
		}
		w.call(l, nil, func() {
			if l.runs() {
				c.answer(n, func() Msg { o.Now = w.now; return o })
			}
		})
	})
}

func (c *copyOf) confirm() {
	l, w := c.at, c.at.w
	n := c.wait("")
	w.call(l, nil, func() {
		d := w.doc.Number()
		w.call(l, nil, func() {
			if l.runs() {
				c.answer(n, func() Msg { return ConfirmMsg{Number: d} })
			}
		})
	})
}

// send lets a target run the copy; every fourth target says that it certainly did not.
func (c *copyOf) send() {
	w := c.at.w
	c.over = true
	w.note("%s SENDS %s of %s", c.at.member.Entry, c.id, c.key)
	if w.ids%4 == 3 {
		c.phase = NotRun
		return
	}
	w.checkSend(c)
	w.sends[c.key] = append(w.sends[c.key], send{attempt: c.id, at: w.now, digest: c.digest})
	c.phase = Answered
	if w.ids%5 == 0 {
		c.phase = Unknown
	}
}

// settle tells the holders of then and of now what became of the copy.
func (c *copyOf) settle() {
	l, w := c.at, c.at.w
	if c.phase == None || c.resends > 20 {
		return
	}
	c.resends++
	r := Record{ID: NewID(c.key), Attempt: NewAttempt(c.id), Digest: c.digest, Phase: c.phase, Answer: []byte(c.key), Kept: c.phase == Answered}
	f, s := l.roster.Holders(c.key)
	for _, e := range []string{f, s} {
		if m, ok := l.roster.Member(e); ok && !slices.Contains(c.holders, m) {
			c.holders = append(c.holders, m)
		}
	}
	for _, h := range c.holders {
		if o := w.lives[h.Entry]; o != nil {
			w.call(l, o, func() { o.book.Settle(SettleMsg{Now: w.now, Record: r}) })
		}
	}
	if c.store && c.phase == NotRun {
		w.call(l, nil, func() {
			if w.keys[r.ID] == r.Attempt {
				delete(w.keys, r.ID)
			}
		})
	}
}

// checkSend demands that no other copy of the key ran within the time for which keys are remembered.
func (w *world) checkSend(c *copyOf) {
	for _, s := range w.sends[c.key] {
		if w.now.Sub(s.at) < Remember-ClaimWithin {
			w.fail("%s of %s sent by %s, after %s %s ago", c.id, c.key, c.at.member.Entry, s.attempt, w.now.Sub(s.at))
		}
	}
}

// checkNotRun demands that no copy had run when the claim began.
func (w *world) checkNotRun(c *copyOf, m RefuseCmd) {
	for _, s := range w.sends[c.key] {
		other := m.Reason == OtherRequest && s.digest != c.digest
		if m.NotRun && !other && !s.at.After(c.start) && c.start.Sub(s.at) < Remember-ClaimWithin {
			w.fail("%s of %s told not run, but %s ran %s before", c.id, c.key, s.attempt, c.start.Sub(s.at))
		}
	}
}

// checkRepeat demands that a kept answer is one that a target gave.
func (w *world) checkRepeat(c *copyOf, r Record) {
	if r.Phase == Answered && (len(w.sends[c.key]) == 0 || r.Kept && string(r.Answer) != c.key) {
		w.fail("%s of %s got an answer that no target gave", c.id, c.key)
	}
}
