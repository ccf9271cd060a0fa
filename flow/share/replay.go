package share

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"burdockreach.dev/flow/sched"
)

// Policy is a way to share the slots of targets between entries.
type Policy uint8

const (
	// Fixed gives each entry its static share.
	Fixed Policy = iota
	// Lending adds loans to the static shares.
	Lending
	// Refusing lets each entry use all slots; the target refuses what is too much.
	Refusing
	// Queueing is the naive way: static shares, first come first served, nothing is shed.
	Queueing
)

// String returns the policy's name.
func (p Policy) String() string {
	switch p {
	case Lending:
		return "lending"
	case Refusing:
		return "refusing"
	case Queueing:
		return "queueing"
	}
	return "fixed"
}

const loadEvery = 10 * time.Millisecond

// replay is the state of a Replay in virtual time.
type replay struct {
	Trace
	policy  Policy
	now     time.Duration
	events  events
	entries []*replayEntry
	busy    []int // requests at each target
	out     Result
}

type replayEntry struct {
	s     *sched.Scheduler
	loans *Loans
	naive *fifo
	busy  map[string]int
}

// Replay runs the trace under the policy in virtual time; the same trace and policy give the same result.
func Replay(t Trace, p Policy) Result {
	r := &replay{Trace: t, policy: p, busy: make([]int, t.targets)}
	r.out = newResult(t)
	r.start()
	for i, q := range t.requests {
		r.in(q.at, func() { r.arrive(i) })
	}
	for d := time.Duration(0); d < t.end+drainTime; d += 10 * time.Millisecond {
		r.in(d, func() { r.tick(d) })
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.run()
	}
	return r.out
}

func (r *replay) in(at time.Duration, f func()) {
	r.out.seq++
	heap.Push(&r.events, event{at: at, seq: r.out.seq, run: f})
}

func (r *replay) time() time.Time { return time.Unix(1000, 0).Add(r.now) }

func entryName(i int) string { return fmt.Sprint("entry-", i) }

func targetName(i int) string { return fmt.Sprint("vm-", i) }

// start makes the entries, with shares as the policy has them.
func (r *replay) start() {
	var all []string
	for i := range r.Trace.entries {
		all = append(all, entryName(i))
	}
	slots := map[string]int{}
	for i := range r.targets {
		slots[targetName(i)] = r.slots
	}
	for _, n := range all {
		e := &replayEntry{s: sched.New("orders"), busy: map[string]int{}}
		if r.policy == Queueing {
			e.naive = &fifo{}
		}
		if r.policy == Lending {
			e.loans = New(n)
		}
		r.entries = append(r.entries, e)
		r.list(e, n, all)
	}
	if r.policy == Lending {
		r.agree(all, slots)
	}
}

func (r *replay) list(e *replayEntry, name string, all []string) {
	var l []sched.Target
	for i := range r.targets {
		n := Static(targetName(i), r.slots, all, name)
		if r.policy == Refusing {
			n = r.slots
		}
		l = append(l, sched.NewTarget(targetName(i), fmt.Sprint("rack-", i), n))
	}
	e.s.Update(sched.TargetsMsg{Now: r.time(), Targets: l})
	if e.naive != nil {
		e.naive.targets = l
	}
}

// agree lets all entries keep to the first roster.
func (r *replay) agree(all []string, slots map[string]int) {
	for i := range r.entries {
		r.loan(i, TargetsMsg{Now: r.time(), Slots: slots})
		r.loan(i, RosterMsg{Now: r.time(), Number: 1, Entries: all})
	}
	for i := range r.entries {
		r.loan(i, LoadMsg{Now: r.time()})
	}
	for i := range r.entries {
		for _, n := range all {
			r.loan(i, SettledMsg{Now: r.time(), From: n, Number: 1})
		}
	}
}

func (r *replay) tick(d time.Duration) {
	for i, e := range r.entries {
		if e.naive == nil {
			r.perform(i, e.s.Update(sched.TickMsg{Now: r.time()}))
		}
		if e.loans != nil && d%loadEvery == 0 {
			r.loan(i, LoadMsg{Now: r.time(), Load: r.load(i)})
		}
	}
}

func (r *replay) load(i int) Load {
	e := r.entries[i]
	t := e.s.Stats()
	clear(e.busy)
	e.s.Taken(e.busy)
	return Load{Queued: t.Pressing(), Yielding: t.Yielding(), Keep: t.Held(), Busy: e.busy}
}

// loan gives a message to the loans of entry i and performs the commands; messages between entries take two hops.
func (r *replay) loan(i int, m Msg) {
	for _, c := range slices.Clone(r.entries[i].loans.Update(m)) {
		switch c := c.(type) {
		case SharesCmd:
			r.perform(i, r.entries[i].s.Update(sched.SharesMsg{Now: r.time(), Shares: c.Shares}))
		case BorrowCmd:
			r.out.messages++
			r.in(r.now+2*r.hop, func() {
				j := r.index(c.To)
				r.loan(j, BorrowMsg{Now: r.time(), From: entryName(i), Number: c.Number, Want: c.Want, Holding: c.Holding, Load: r.load(j)})
			})
		case LentCmd:
			r.out.messages++
			r.in(r.now+2*r.hop, func() {
				r.loan(r.index(c.To), LentMsg{Now: r.time(), From: entryName(i), Number: c.Number, Grants: c.Grants, Recalled: c.Recalled, Busy: c.Busy})
			})
		}
	}
}

func (r *replay) index(name string) int {
	i := 0
	for entryName(i) != name {
		i++
	}
	return i
}

func (r *replay) arrive(i int) {
	q := r.requests[i]
	m := sched.ArriveMsg{
		Now: r.time(), ID: sched.ID(i), Team: "kitchen", Class: q.class,
		Deadline: r.time().Add(q.timeout), Idempotent: q.idempotent,
	}
	r.out.arrived[q.class]++
	r.update(q.entry, m)
}

// update gives a message to the scheduler of entry i, or to its naive version.
func (r *replay) update(i int, m sched.Msg) {
	e := r.entries[i]
	if e.naive != nil {
		r.perform(i, e.naive.update(m))
		return
	}
	r.perform(i, e.s.Update(m))
}

func (r *replay) perform(i int, l []sched.Cmd) {
	for _, c := range slices.Clone(l) {
		switch c := c.(type) {
		case sched.SendCmd:
			r.send(i, c)
		case sched.EndCmd:
			r.out.ended[c.Reason]++
			r.out.lost(r.now)
		}
	}
}

func (r *replay) send(i int, c sched.SendCmd) {
	r.out.sends++
	q := r.requests[c.ID]
	r.in(r.now+r.hop, func() {
		var k int
		_, _ = fmt.Sscanf(c.Target, "vm-%d", &k)
		if k == 0 && r.silent > 0 && r.now >= r.silent {
			r.done(i, c, r.patience(q, c.Attempt), sched.Unknown)
			return
		}
		if r.busy[k] >= r.slots {
			r.out.refused++
			r.done(i, c, r.now+r.hop, sched.NotRun)
			return
		}
		r.busy[k]++
		from, to := r.now, r.now+q.run
		r.in(to, func() { r.busy[k]-- })
		if by := q.at + q.timeout; to+r.hop > by {
			r.done(i, c, max(by, r.now), sched.Unknown)
			return
		}
		r.out.work(from, to)
		r.out.answered(q, to+r.hop)
		r.done(i, c, to+r.hop, sched.Answered)
	})
}

// patience returns when a runner gives a silent target up: an idempotent request keeps half of its time for another one.
func (r *replay) patience(q Request, attempt int) time.Duration {
	by := max(q.at+q.timeout, r.now)
	if q.idempotent && attempt == 1 {
		return r.now + (by-r.now)/2
	}
	return by
}

func (r *replay) done(i int, c sched.SendCmd, at time.Duration, x sched.Result) {
	r.in(at, func() {
		if x == sched.Unknown {
			r.out.lost(r.now)
		}
		r.update(i, sched.DoneMsg{Now: r.time(), ID: c.ID, Target: c.Target, Result: x})
	})
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

// Len returns the number of events.
func (e events) Len() int { return len(e) }

// Less orders events by time, then as they were made.
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

// Swap exchanges two events.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop takes the last event away.
func (e *events) Pop() any {
	n := len(*e) - 1
	x := (*e)[n]
	*e = (*e)[:n]
	return x
}

// fifo is the naive scheduler.
type fifo struct {
	targets []sched.Target
	waiting []sched.ID
	busy    map[string]int
}

func (f *fifo) update(m sched.Msg) []sched.Cmd {
	if f.busy == nil {
		f.busy = map[string]int{}
	}
	switch m := m.(type) {
	case sched.ArriveMsg:
		f.waiting = append(f.waiting, m.ID)
	case sched.DoneMsg:
		f.busy[m.Target]--
	}
	var l []sched.Cmd
	for _, t := range f.targets {
		for len(f.waiting) > 0 && f.busy[t.Name()] < t.Slots() {
			f.busy[t.Name()]++
			l = append(l, sched.SendCmd{ID: f.waiting[0], Target: t.Name(), Attempt: 1})
			f.waiting = f.waiting[1:]
		}
	}
	return l
}
