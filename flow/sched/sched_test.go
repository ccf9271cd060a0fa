package sched_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"burdockreach.dev/flow/sched"
)

// rig runs requests of a given time against a scheduler in virtual time.
type rig struct {
	*is.I
	s     *sched.Scheduler
	now   time.Time
	sent  []sched.SendCmd
	when  []time.Time
	ends  map[sched.ID]sched.EndCmd
	count map[string]int // sends by target
}

func newRig(t *testing.T, targets int) *rig {
	now := time.Unix(1000, 0)
	return &rig{I: is.New(t), s: ready(now, targets, 1), now: now, ends: map[sched.ID]sched.EndCmd{}, count: map[string]int{}}
}

func (r *rig) update(m sched.Msg) {
	for _, c := range r.s.Update(m) {
		switch c := c.(type) {
		case sched.SendCmd:
			r.sent, r.when = append(r.sent, c), append(r.when, r.now)
			r.count[c.Target]++
		case sched.EndCmd:
			r.ends[c.ID] = c
		}
	}
}

func (r *rig) arrive(id sched.ID, c sched.Class, d time.Duration) {
	r.update(sched.ArriveMsg{Now: r.now, ID: id, Team: "team-000", Class: c, Deadline: r.now.Add(d), Idempotent: true})
}

// pass lets a millisecond go by; requests sent that long ago end as f says.
func (r *rig) pass(run time.Duration, f func(sched.SendCmd) sched.Result) {
	r.now = r.now.Add(time.Millisecond)
	for len(r.sent) > 0 && !r.when[0].Add(run).After(r.now) {
		c := r.sent[0]
		r.sent, r.when = r.sent[1:], r.when[1:]
		r.update(sched.DoneMsg{Now: r.now, ID: c.ID, Target: c.Target, Result: f(c)})
	}
	r.update(sched.TickMsg{Now: r.now})
}

func answered(sched.SendCmd) sched.Result { return sched.Answered }

func TestTargetThatFailsEverything(t *testing.T) {
	r := newRig(t, 4)
	for i := range sched.ID(5000) {
		r.arrive(i, sched.Normal, time.Second)
		r.pass(10*time.Millisecond, func(c sched.SendCmd) sched.Result {
			if c.Target == "vm-001" {
				return sched.Failed
			}
			return sched.Answered
		})
	}
	r.True(r.count["vm-001"] < 30)
	r.True(len(r.ends) < 10) // of 5000; the others were answered, at another target if need be
	r.Equal(r.s.Stats().Ejected(), 1)
}

func TestCancelWave(t *testing.T) {
	r := newRig(t, 1)
	for i := range sched.ID(20) {
		r.arrive(i, sched.Normal, time.Minute)
	}
	for range 200 {
		r.pass(10*time.Millisecond, answered)
	}
	for i := range sched.ID(2000) {
		r.arrive(100+i, sched.Background, time.Hour)
	}
	for i := range sched.ID(1990) {
		r.update(sched.CancelMsg{Now: r.now, ID: 100 + i})
	}
	notRun := 0
	for _, e := range r.ends {
		r.Equal(e.Reason, sched.ReasonCancelled)
		if e.NotRun {
			notRun++
		}
	}
	r.Equal(notRun, 1990-8) // eight were at the target
	for range 100 {
		r.pass(10*time.Millisecond, answered)
	}
	r.Equal(r.s.Stats().Queued(sched.Background), 0)
	r.Equal(r.s.Stats().Busy(), 0)
}

func TestNoTarget(t *testing.T) {
	r := newRig(t, 1)
	for i := range sched.ID(10) {
		r.arrive(i, sched.Normal, time.Minute)
	}
	r.update(sched.TargetsMsg{Now: r.now})
	r.arrive(20, sched.Normal, time.Minute)
	r.Equal(len(r.ends), 0) // the target may come back
	for range 1001 {
		r.pass(time.Hour, answered)
	}
	r.Equal(len(r.ends), 3)
	r.arrive(21, sched.Normal, time.Minute)
	r.Equal(r.ends[21].Reason, sched.ReasonNoTarget)
	r.True(r.ends[21].NotRun)
	r.True(r.ends[21].RetryAfter > 0)
}

func TestSlotIsHeldForUrgentWorkWhenRunsAreLong(t *testing.T) {
	r := newRig(t, 1)
	r.arrive(1, sched.Urgent, time.Minute)
	for range 10001 {
		r.pass(10*time.Second, answered)
	}
	for i := range sched.ID(20) {
		r.arrive(100+i, sched.Normal, time.Hour)
	}
	r.Equal(r.s.Stats().Busy(), 7)
	r.arrive(2, sched.Urgent, time.Minute)
	r.Equal(r.sent[len(r.sent)-1].ID, sched.ID(2))
}

func TestRetriesDoNotMultiplyAnOverload(t *testing.T) {
	r := newRig(t, 4)
	sends := 0
	for i := range sched.ID(2000) {
		r.arrive(i, sched.Normal, time.Second)
		r.pass(5*time.Millisecond, func(sched.SendCmd) sched.Result { sends++; return sched.NotRun })
	}
	r.True(float64(sends) <= 1.1*2000+10)
	for _, e := range r.ends {
		r.True(e.NotRun)
	}
}

func TestFloodOfOneTeamDoesNotHurtAnother(t *testing.T) {
	r := newRig(t, 4) // 320 requests a second
	r.update(sched.QuotasMsg{Now: r.now, Rates: map[string]float64{"kitchen": 160, "riders": 160}})
	from, asked, got := sched.ID(0), map[string]int{}, map[string]int{}
	team := map[sched.ID]string{}
	ask := func(n string) {
		from++
		team[from] = n
		asked[n]++
		r.update(sched.ArriveMsg{Now: r.now, ID: from, Team: n, Class: sched.Normal, Deadline: r.now.Add(2 * time.Second)})
	}
	for ms := range 10000 {
		if ms%10 == 0 {
			ask("kitchen") // 100 a second
		}
		ask("riders") // 1,000 a second
		r.pass(100*time.Millisecond, func(c sched.SendCmd) sched.Result { got[team[c.ID]]++; return sched.Answered })
	}
	for range 3000 {
		r.pass(100*time.Millisecond, func(c sched.SendCmd) sched.Result { got[team[c.ID]]++; return sched.Answered })
	}
	t.Log(asked, got, r.s.Stats().ServiceTime())
	r.Equal(got["kitchen"], asked["kitchen"])
	r.True(got["kitchen"]+got["riders"] >= 3100) // of 3,200 that the slots can answer, and what waited at the end
}

// TestRefusedCallersComeBackToRoom lets callers whose requests were refused come back when they were told to.
func TestRefusedCallersComeBackToRoom(t *testing.T) {
	const burst = 5000 // ms, in which twice as much is asked for as the slots answer
	r := newRig(t, 4)
	due, id := map[int]int{}, sched.ID(0)
	var refused, back, after, again int
	ask := func(ms int) bool {
		id++
		r.arrive(id, sched.Normal, time.Second)
		e, ok := r.ends[id]
		if ok {
			r.Equal(e.Reason, sched.ReasonOverload)
			due[ms+1+int(e.RetryAfter/time.Millisecond)]++
		}
		return !ok
	}
	for ms := range 60000 {
		if ms < burst && ms%3 < 2 && !ask(ms) {
			refused++
		}
		for range due[ms] {
			ok := ask(ms)
			back++
			if ms > burst+1000 {
				after++
				if !ok {
					again++
				}
			}
		}
		r.pass(100*time.Millisecond, answered)
	}
	t.Log(refused, back, after, again)
	r.True(refused > 1000 && after > 500)
	r.True(back < 2*refused) // nobody has to ask again and again
	r.Equal(again, 0)        // whoever comes after the burst finds room
}

func TestPolicyChangesTheRetryBudget(t *testing.T) {
	i := is.New(t)
	now := time.Unix(0, 0)
	s := sched.New("orders", sched.WithRetryBudget(0, 0))
	s.Update(sched.TargetsMsg{Now: now, Targets: []sched.Target{sched.NewTarget("a", "r", 8), sched.NewTarget("b", "q", 8)}})
	s.Update(sched.PolicyMsg{Now: now, RetryShare: 0, UrgentStart: time.Second})
	first := func(id sched.ID) sched.Cmd {
		c := s.Update(sched.ArriveMsg{Now: now, ID: id, Team: "kitchen", Deadline: now.Add(time.Minute), Idempotent: true})
		return s.Update(sched.DoneMsg{Now: now, ID: id, Target: c[0].(sched.SendCmd).Target, Result: sched.NotRun})[0]
	}
	_, ended := first(1).(sched.EndCmd)
	i.True(ended) // no budget
	s = sched.New("orders", sched.WithRetryBudget(0, 1))
	s.Update(sched.TargetsMsg{Now: now, Targets: []sched.Target{sched.NewTarget("a", "r", 8), sched.NewTarget("b", "q", 8)}})
	s.Update(sched.PolicyMsg{Now: now, RetryShare: 1, UrgentStart: time.Second})
	for id := range sched.ID(5) {
		_, again := first(id + 1).(sched.SendCmd)
		i.True(again) // each first send pays for one retry
		s.Update(sched.DoneMsg{Now: now, ID: id + 1, Target: "a", Result: sched.Answered})
		s.Update(sched.DoneMsg{Now: now, ID: id + 1, Target: "b", Result: sched.Answered})
	}
}
