package sched_test

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"burdockreach.dev/flow/sched"
)

func init() { _ = flag.Set("rapid.seed", "1") }

// state is what a model knows of one request.
type state struct {
	m          sched.ArriveMsg
	target     string // while sent
	last       string
	attempts   int
	mayHaveRun bool
	over       bool
}

// model checks every command of a scheduler against what may be done.
type model struct {
	*rapid.T
	s               *sched.Scheduler
	now             time.Time
	reqs            map[sched.ID]*state
	slots           map[string]int // of listed targets
	busy            map[string]int
	leaving         map[string]time.Time
	firsts, retries int
	free            int // retries after a refusal of a leaving target
	next            sched.ID
	share           float64
	burst           int
	shares          map[string]int
}

func newModel(t *rapid.T) *model {
	m := &model{
		T: t, now: time.Unix(1000, 0), reqs: map[sched.ID]*state{}, slots: map[string]int{},
		busy: map[string]int{}, leaving: map[string]time.Time{}, share: 0.1, burst: 1,
	}
	m.s = sched.New("orders", sched.WithRetryBudget(m.share, m.burst))
	return m
}

func (m *model) update(x sched.Msg) {
	var fresh []sched.ID
	for _, c := range m.s.Update(x) {
		switch c := c.(type) {
		case sched.SendCmd:
			m.sent(c)
			fresh = append(fresh, c.ID)
		case sched.EndCmd:
			m.ended(c)
		}
	}
	m.urgentFirst(fresh)
}

func (m *model) must(ok bool, f string, a ...any) {
	m.Helper()
	if !ok {
		m.Fatalf(f, a...)
	}
}

func (m *model) sent(c sched.SendCmd) {
	r := m.reqs[c.ID]
	m.must(r != nil && !r.over && r.target == "", "request %d is sent though it is not waiting", c.ID)
	m.must(r.m.Idempotent || !r.mayHaveRun, "request %d may have run and is sent again", c.ID)
	m.must(m.now.Before(r.m.Deadline), "request %d is sent after its deadline", c.ID)
	n, ok := m.slots[c.Target]
	m.must(ok, "request %d goes to %s, which is off the list", c.ID, c.Target)
	t, ok := m.leaving[c.Target]
	m.must(!ok || !m.now.Before(t), "request %d goes to %s, which is leaving", c.ID, c.Target)
	m.busy[c.Target]++
	m.must(m.busy[c.Target] <= n, "%d requests for %d slots of %s", m.busy[c.Target], n, c.Target)
	r.attempts++
	m.must(r.attempts == c.Attempt, "attempt %d is called %d", r.attempts, c.Attempt)
	r.target, r.last = c.Target, c.Target
	if c.Attempt == 1 {
		m.firsts++
	} else {
		m.retries++
	}
	m.must(float64(m.retries-m.free) <= m.share*float64(m.firsts)+float64(m.burst), "%d retries for %d first sends", m.retries, m.firsts)
}

func (m *model) ended(c sched.EndCmd) {
	r := m.reqs[c.ID]
	m.must(r != nil && !r.over, "request %d ends twice", c.ID)
	m.must(c.NotRun == (!r.mayHaveRun && r.target == ""), "request %d is said not to have run: %v", c.ID, c.NotRun)
	m.must(c.RetryAfter >= 0, "a negative time")
	r.over = true
}

// urgentFirst checks that no other request was sent while a new urgent one went on waiting.
func (m *model) urgentFirst(fresh []sched.ID) {
	other := slices.ContainsFunc(fresh, func(i sched.ID) bool { return m.reqs[i].m.Class != sched.Urgent })
	if !other {
		return
	}
	for i, r := range m.reqs {
		m.must(r.over || r.target != "" || r.attempts > 0 || r.m.Class != sched.Urgent, "urgent request %d was passed over", i)
	}
}

func (m *model) arrive() {
	m.next++
	a := sched.ArriveMsg{
		Now: m.now, ID: m.next, Team: rapid.SampledFrom([]string{"kitchen", "riders", "other"}).Draw(m.T, "team"),
		Class: sched.Class(rapid.IntRange(0, 2).Draw(m.T, "class")), Idempotent: rapid.Bool().Draw(m.T, "idempotent"),
		Deadline: m.now.Add(time.Duration(rapid.SampledFrom([]int{-1, 0, 5, 20, 100, 300, 2000, 60000}).Draw(m.T, "ms")) * time.Millisecond),
	}
	m.reqs[a.ID] = &state{m: a}
	m.update(a)
}

func (m *model) done() {
	l := m.inFlight()
	if len(l) == 0 {
		return
	}
	m.finish(rapid.SampledFrom(l).Draw(m.T, "request"), sched.Result(rapid.IntRange(0, 4).Draw(m.T, "result")), rapid.IntRange(0, 9).Draw(m.T, "leaving") == 0)
}

func (m *model) inFlight() []sched.ID {
	var l []sched.ID
	for _, i := range slices.Sorted(maps.Keys(m.reqs)) {
		if m.reqs[i].target != "" {
			l = append(l, i)
		}
	}
	return l
}

func (m *model) finish(i sched.ID, x sched.Result, leaving bool) {
	r := m.reqs[i]
	d := sched.DoneMsg{Now: m.now, ID: i, Target: r.target, Result: x, Leaving: leaving}
	m.busy[r.target]--
	if leaving {
		m.leaving[r.target] = m.now.Add(30 * time.Second)
	}
	if _, ok := m.slots[r.target]; !ok && m.busy[r.target] == 0 {
		delete(m.leaving, r.target)
	}
	r.target = ""
	r.mayHaveRun = r.mayHaveRun || x == sched.Failed || x == sched.Unknown
	if leaving && x == sched.NotRun {
		m.free++
	}
	if x == sched.Answered || x == sched.Withdrawn {
		r.over = true
	}
	m.update(d)
	n := len(m.s.Update(sched.DoneMsg{Now: m.now, ID: i, Target: "nowhere", Result: sched.Answered}))
	m.must(n == 0, "a wrong DoneMsg has %d effects", n)
}

// repeat sends the arrival of an open request again.
func (m *model) repeat() {
	for i := sched.ID(1); i <= m.next; i++ {
		if r := m.reqs[i]; !r.over || r.target != "" {
			a := r.m
			a.Now, a.Deadline = m.now, m.now.Add(time.Second)
			n := len(m.s.Update(a))
			m.must(n == 0, "a repeated arrival has %d effects", n)
			return
		}
	}
}

func (m *model) cancel() {
	if m.next > 0 {
		m.update(sched.CancelMsg{Now: m.now, ID: sched.ID(rapid.Uint64Range(1, uint64(m.next)).Draw(m.T, "cancelled"))})
	}
}

func (m *model) tick() {
	m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 3, 10, 40, 40, 1500, 31000}).Draw(m.T, "pass")) * time.Millisecond)
	m.update(sched.TickMsg{Now: m.now})
}

func (m *model) retarget() {
	old := maps.Clone(m.slots)
	clear(m.slots)
	var l []sched.Target
	for i := range rapid.IntRange(0, 4).Draw(m.T, "targets") {
		n := fmt.Sprint("vm-", rapid.IntRange(0, 4).Draw(m.T, "vm"))
		if _, ok := m.slots[n]; ok {
			continue
		}
		m.slots[n] = rapid.IntRange(0, 3).Draw(m.T, "slots")
		l = append(l, sched.NewTarget(n, fmt.Sprint("rack-", i%2), m.slots[n]))
		if k, ok := m.shares[n]; ok {
			m.slots[n] = k
		}
	}
	for n := range old {
		if _, ok := m.slots[n]; !ok && m.busy[n] == 0 {
			delete(m.leaving, n)
		}
	}
	m.update(sched.TargetsMsg{Now: m.now, Targets: l})
}

func (m *model) reshare() {
	x := map[string]int{}
	for _, n := range slices.Sorted(maps.Keys(m.slots)) {
		m.slots[n] = rapid.IntRange(0, 3).Draw(m.T, "share")
		x[n] = m.slots[n]
	}
	m.shares = x
	m.update(sched.SharesMsg{Now: m.now, Shares: x})
}

// settle ends all sends and lets all deadlines pass.
func (m *model) settle() {
	for _, i := range m.inFlight() {
		m.finish(i, sched.Answered, false)
	}
	for range 3 {
		m.now = m.now.Add(time.Minute)
		m.update(sched.TickMsg{Now: m.now})
		for _, i := range m.inFlight() {
			m.finish(i, sched.Answered, false)
		}
	}
	for i, r := range m.reqs {
		m.must(r.over, "request %d has no end", i)
	}
	t := m.s.Stats()
	m.must(t.Busy() == 0 && t.Queued(sched.Urgent)+t.Queued(sched.Normal)+t.Queued(sched.Background) == 0, "something is left")
}

func TestEveryRequestEndsOnceAndTruly(t *testing.T) { rapid.Check(t, trace) }

func FuzzEveryRequestEndsOnceAndTruly(f *testing.F) { f.Fuzz(rapid.MakeFuzz(trace)) }

// trace runs random messages and ends all requests.
func trace(t *rapid.T) {
	m := newModel(t)
	if rapid.Bool().Draw(t, "quotas") {
		m.update(sched.QuotasMsg{Now: m.now, Rates: map[string]float64{"kitchen": 50, "riders": 5}})
	}
	m.retarget()
	acts := []func(){m.arrive, m.arrive, m.arrive, m.done, m.done, m.tick, m.cancel, m.repeat, m.retarget, m.reshare}
	for range rapid.IntRange(1, 200).Draw(t, "steps") {
		acts[rapid.IntRange(0, len(acts)-1).Draw(t, "act")]()
	}
	m.settle()
}

// pair is a scheduler and its naive version under the same trace.
type pair struct {
	*rapid.T
	n   *naive
	s   *sched.Scheduler
	now time.Time
	id  sched.ID
	at  map[sched.ID]string // target of each request that s sent
}

// both gives x to the scheduler and y to the naive version, and compares what they do.
func (p *pair) both(x, y sched.Msg) {
	p.Helper()
	l := p.s.Update(x)
	for _, c := range l {
		if c, ok := c.(sched.SendCmd); ok {
			p.at[c.ID] = c.Target
		}
	}
	a, b := order(l), order(p.n.Update(y))
	if !slices.Equal(a, b) {
		p.Fatalf("%+v: does %+v, naive does %+v", x, a, b)
	}
}

func (p *pair) arrive() {
	p.id++
	m := sched.ArriveMsg{
		Now: p.now, ID: p.id, Class: sched.Class(rapid.IntRange(0, 2).Draw(p.T, "class")),
		Deadline: far(time.Unix(1000, 0), rapid.IntRange(0, 3).Draw(p.T, "deadline")),
	}
	p.both(m, m)
}

func (p *pair) done() {
	l := slices.Sorted(maps.Keys(p.n.sent))
	if len(l) == 0 {
		return
	}
	i := rapid.SampledFrom(l).Draw(p.T, "done")
	// Not Unknown: the slot of a lost request stays taken for a learned time, which the naive version has not.
	x := rapid.SampledFrom([]sched.Result{sched.Answered, sched.Failed, sched.Withdrawn}).Draw(p.T, "result")
	d := sched.DoneMsg{Now: p.now, ID: i, Target: p.at[i], Result: x}
	e := d
	e.Target = p.n.sent[i].target
	p.both(d, e)
}

func (p *pair) cancel() {
	if p.id > 0 {
		m := sched.CancelMsg{Now: p.now, ID: sched.ID(rapid.Uint64Range(1, uint64(p.id)).Draw(p.T, "cancelled"))}
		p.both(m, m)
	}
}

func TestSameAsNaiveWithFarDeadlines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &pair{T: t, n: newNaive(), now: time.Unix(1000, 0), at: map[sched.ID]string{}}
		p.s = sched.New("orders", sched.WithMaxEjected(0), sched.WithUrgentStart(1000*time.Hour))
		m := sched.TargetsMsg{Now: p.now, Targets: []sched.Target{sched.NewTarget("a", "r", 2), sched.NewTarget("b", "q", 1)}}
		p.both(m, m)
		acts := []func(){p.arrive, p.arrive, p.arrive, p.cancel, p.done, p.done}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			p.now = p.now.Add(time.Millisecond)
			acts[rapid.IntRange(0, len(acts)-1).Draw(t, "act")]()
		}
	})
}
