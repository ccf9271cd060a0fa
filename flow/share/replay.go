package share

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"burdockreach.dev/flow/sched"
)

// Policy is a way to share the slots of targets among entries.
type Policy uint8

const (
	// Fixed gives each entry only its static share.
	Fixed Policy = iota
	// Lending adds loans to the static shares.
	Lending
	// Overcommit lets each entry use all slots. A target refuses the requests that exceed its slots.
	Overcommit
	// FIFO is the baseline: static shares, first come first served, no load shedding.
	FIFO
)

// String returns the policy's name.
func (p Policy) String() string {
	switch p {
	case Lending:
		return "lending"
	case Overcommit:
		return "overcommit"
	case FIFO:
		return "fifo"
	}
	return "fixed"
}

const loadInterval = 10 * time.Millisecond

// replay is the state of a Replay, a discrete-event simulation in virtual time.
type replay struct {
	Trace
	policy  Policy
	now     time.Duration
	events  events
	entries []*replayEntry
	busy    []int // occupied slots by target
	result  Result
}

type replayEntry struct {
	scheduler *sched.Scheduler
	loans     *Loans
	fifo      *fifo
	busy      map[string]int
}

// Replay runs the trace under the policy in virtual time. The same trace and policy always give the same result.
func Replay(t Trace, p Policy) Result {
	r := &replay{Trace: t, policy: p, busy: make([]int, t.targets)}
	r.result = newResult(t)
	r.start()
	for i, q := range t.requests {
		r.schedule(q.arrivesAt, func() { r.arrive(i) })
	}
	for d := time.Duration(0); d < t.end+drainTime; d += 10 * time.Millisecond {
		r.schedule(d, func() { r.tick(d) })
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.run()
	}
	return r.result
}

func (r *replay) schedule(at time.Duration, f func()) {
	r.result.lastEventSeq++
	heap.Push(&r.events, event{at: at, seq: r.result.lastEventSeq, run: f})
}

func (r *replay) clock() time.Time { return time.Unix(1000, 0).Add(r.now) }

func entryName(i int) string { return fmt.Sprint("entry-", i) }

func targetName(i int) string { return fmt.Sprint("vm-", i) }

// start creates the entries with their shares under the policy.
func (r *replay) start() {
	var names []string
	for i := range r.Trace.entries {
		names = append(names, entryName(i))
	}
	slots := map[string]int{}
	for i := range r.targets {
		slots[targetName(i)] = r.slots
	}
	for _, n := range names {
		e := &replayEntry{scheduler: sched.New("orders"), busy: map[string]int{}}
		if r.policy == FIFO {
			e.fifo = &fifo{}
		}
		if r.policy == Lending {
			e.loans = New(n)
		}
		r.entries = append(r.entries, e)
		r.setTargets(e, n, names)
	}
	if r.policy == Lending {
		r.adoptRoster(names, slots)
	}
}

func (r *replay) setTargets(e *replayEntry, name string, names []string) {
	var l []sched.Target
	for i := range r.targets {
		n := Static(targetName(i), r.slots, names, name)
		if r.policy == Overcommit {
			n = r.slots
		}
		l = append(l, sched.NewTarget(targetName(i), fmt.Sprint("rack-", i), n))
	}
	e.scheduler.Update(sched.TargetsMsg{Now: r.clock(), Targets: l})
	if e.fifo != nil {
		e.fifo.targets = l
	}
}

// adoptRoster makes all entries adopt the first roster.
func (r *replay) adoptRoster(names []string, slots map[string]int) {
	for i := range r.entries {
		r.updateLoans(i, TargetsMsg{Now: r.clock(), Slots: slots})
		r.updateLoans(i, RosterMsg{Now: r.clock(), Number: 1, Entries: names})
	}
	for i := range r.entries {
		r.updateLoans(i, LoadMsg{Now: r.clock()})
	}
	for i := range r.entries {
		for _, n := range names {
			r.updateLoans(i, RosterAdoptedMsg{Now: r.clock(), From: n, Number: 1})
		}
	}
}

func (r *replay) tick(d time.Duration) {
	for i, e := range r.entries {
		if e.fifo == nil {
			r.perform(i, e.scheduler.Update(sched.TickMsg{Now: r.clock()}))
		}
		if e.loans != nil && d%loadInterval == 0 {
			r.updateLoans(i, LoadMsg{Now: r.clock(), Load: r.load(i)})
		}
	}
}

func (r *replay) load(i int) Load {
	e := r.entries[i]
	t := e.scheduler.Stats()
	clear(e.busy)
	e.scheduler.Taken(e.busy)
	return Load{Demand: t.Demand(), Reclaimable: t.Reclaimable(), Reserve: t.UrgentReserve(), Busy: e.busy}
}

// updateLoans passes a message to the loans of entry i and carries out the commands. A message between entries takes two hops.
func (r *replay) updateLoans(i int, m Msg) {
	for _, c := range slices.Clone(r.entries[i].loans.Update(m)) {
		switch c := c.(type) {
		case SharesCmd:
			r.perform(i, r.entries[i].scheduler.Update(sched.SharesMsg{Now: r.clock(), Shares: c.Shares}))
		case BorrowCmd:
			r.result.messages++
			r.schedule(r.now+2*r.hopDelay, func() {
				j := r.entryIndex(c.To)
				r.updateLoans(j, BorrowMsg{Now: r.clock(), From: entryName(i), Number: c.Number, Want: c.Want, Holding: c.Holding, Load: r.load(j)})
			})
		case LentCmd:
			r.result.messages++
			r.schedule(r.now+2*r.hopDelay, func() {
				r.updateLoans(r.entryIndex(c.To), LentMsg{Now: r.clock(), From: entryName(i), Number: c.Number, Grants: c.Grants, Recalled: c.Recalled, Exhausted: c.Exhausted})
			})
		}
	}
}

func (r *replay) entryIndex(name string) int {
	i := 0
	for entryName(i) != name {
		i++
	}
	return i
}

func (r *replay) arrive(i int) {
	q := r.requests[i]
	m := sched.ArriveMsg{
		Now: r.clock(), ID: sched.ID(i), Team: "kitchen", Class: q.class,
		Deadline: r.clock().Add(q.timeout), Idempotent: q.idempotent,
	}
	r.result.arrived[q.class]++
	r.updateScheduler(q.entry, m)
}

// updateScheduler passes a message to the scheduler of entry i, or to its fifo if it has one.
func (r *replay) updateScheduler(i int, m sched.Msg) {
	e := r.entries[i]
	if e.fifo != nil {
		r.perform(i, e.fifo.update(m))
		return
	}
	r.perform(i, e.scheduler.Update(m))
}

func (r *replay) perform(i int, l []sched.Cmd) {
	for _, c := range slices.Clone(l) {
		switch c := c.(type) {
		case sched.SendCmd:
			r.send(i, c)
		case sched.EndCmd:
			r.result.ended[c.Reason]++
			r.result.addLoss(r.now)
		}
	}
}

func (r *replay) send(i int, c sched.SendCmd) {
	r.result.sends++
	q := r.requests[c.ID]
	r.schedule(r.now+r.hopDelay, func() {
		var k int
		_, _ = fmt.Sscanf(c.Target, "vm-%d", &k)
		if k == 0 && r.silentFrom > 0 && r.now >= r.silentFrom {
			r.done(i, c, r.giveUpAt(q, c.Attempt), sched.Unknown)
			return
		}
		if r.busy[k] >= r.slots {
			r.result.refused++
			r.done(i, c, r.now+r.hopDelay, sched.NotRun)
			return
		}
		r.busy[k]++
		from, to := r.now, r.now+q.runTime
		r.schedule(to, func() { r.busy[k]-- })
		if deadline := q.arrivesAt + q.timeout; to+r.hopDelay > deadline {
			r.done(i, c, max(deadline, r.now), sched.Unknown)
			return
		}
		r.result.addRun(from, to)
		r.result.addAnswer(q, to+r.hopDelay)
		r.done(i, c, to+r.hopDelay, sched.Answered)
	})
}

// giveUpAt returns when the runner stops waiting for a silent target. The first attempt of an idempotent request may take half
// of the remaining time, so that the rest is left for a retry at another target.
func (r *replay) giveUpAt(q Request, attempt int) time.Duration {
	deadline := max(q.arrivesAt+q.timeout, r.now)
	if q.idempotent && attempt == 1 {
		return r.now + (deadline-r.now)/2
	}
	return deadline
}

func (r *replay) done(i int, c sched.SendCmd, at time.Duration, x sched.Result) {
	r.schedule(at, func() {
		if x == sched.Unknown {
			r.result.addLoss(r.now)
		}
		r.updateScheduler(i, sched.DoneMsg{Now: r.clock(), ID: c.ID, Target: c.Target, Result: x})
	})
}

// event is a function that runs at a point in virtual time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

// Len returns the number of events.
func (e events) Len() int { return len(e) }

// Less orders events by time, then by creation.
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

// Swap exchanges two events.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends an event.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes and returns the last event.
func (e *events) Pop() any {
	n := len(*e) - 1
	x := (*e)[n]
	*e = (*e)[:n]
	return x
}

// fifo is the baseline scheduler: first come first served, without load shedding and retries.
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
