package sched_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"burdockreach.dev/flow/sched"
)

// harness runs requests with given run times against a scheduler in virtual time.
type harness struct {
	*is.I
	scheduler     *sched.Scheduler
	now           time.Time
	sent          []sched.SendCmd
	sentAt        []time.Time // of each element of sent
	ended         map[sched.ID]sched.EndCmd
	sendsByTarget map[string]int
}

func newHarness(t *testing.T, targets int) *harness {
	now := time.Unix(1000, 0)
	return &harness{I: is.New(t), scheduler: newScheduler(now, targets, 1), now: now, ended: map[sched.ID]sched.EndCmd{}, sendsByTarget: map[string]int{}}
}

func (r *harness) update(m sched.Msg) {
	for _, c := range r.scheduler.Update(m) {
		switch c := c.(type) {
		case sched.SendCmd:
			r.sent, r.sentAt = append(r.sent, c), append(r.sentAt, r.now)
			r.sendsByTarget[c.Target]++
		case sched.EndCmd:
			r.ended[c.ID] = c
		}
	}
}

func (r *harness) arrive(id sched.ID, c sched.Class, d time.Duration) {
	r.update(sched.ArriveMsg{Now: r.now, ID: id, Team: "team-000", Class: c, Deadline: r.now.Add(d), Idempotent: true})
}

// advance lets a millisecond pass. Sends that are at least run old end with the result that f returns.
func (r *harness) advance(run time.Duration, f func(sched.SendCmd) sched.Result) {
	r.now = r.now.Add(time.Millisecond)
	for len(r.sent) > 0 && !r.sentAt[0].Add(run).After(r.now) {
		c := r.sent[0]
		r.sent, r.sentAt = r.sent[1:], r.sentAt[1:]
		r.update(sched.DoneMsg{Now: r.now, ID: c.ID, Target: c.Target, Result: f(c)})
	}
	r.update(sched.TickMsg{Now: r.now})
}

func answered(sched.SendCmd) sched.Result { return sched.Answered }

func TestFailingTargetIsEjected(t *testing.T) {
	r := newHarness(t, 4)
	for i := range sched.ID(5000) {
		r.arrive(i, sched.Normal, time.Second)
		r.advance(10*time.Millisecond, func(c sched.SendCmd) sched.Result {
			if c.Target == "vm-001" {
				return sched.Failed
			}
			return sched.Answered
		})
	}
	r.True(r.sendsByTarget["vm-001"] < 30)
	r.True(len(r.ended) < 10) // of 5000; all others were answered, some of them after a retry at another target
	r.Equal(r.scheduler.Stats().Ejected(), 1)
}

func TestCancelWave(t *testing.T) {
	r := newHarness(t, 1)
	for i := range sched.ID(20) {
		r.arrive(i, sched.Normal, time.Minute)
	}
	for range 200 {
		r.advance(10*time.Millisecond, answered)
	}
	for i := range sched.ID(2000) {
		r.arrive(100+i, sched.Background, time.Hour)
	}
	for i := range sched.ID(1990) {
		r.update(sched.CancelMsg{Now: r.now, ID: 100 + i})
	}
	notRun := 0
	for _, e := range r.ended {
		r.Equal(e.Reason, sched.ReasonCancelled)
		if e.NotRun {
			notRun++
		}
	}
	r.Equal(notRun, 1990-8) // eight were already at the target
	for range 100 {
		r.advance(10*time.Millisecond, answered)
	}
	r.Equal(r.scheduler.Stats().Queued(sched.Background), 0)
	r.Equal(r.scheduler.Stats().Busy(), 0)
}

func TestNoTarget(t *testing.T) {
	r := newHarness(t, 1)
	for i := range sched.ID(10) {
		r.arrive(i, sched.Normal, time.Minute)
	}
	r.update(sched.TargetsMsg{Now: r.now})
	r.arrive(20, sched.Normal, time.Minute)
	r.Equal(len(r.ended), 0) // requests wait for the target to come back
	for range 1001 {
		r.advance(time.Hour, answered)
	}
	r.Equal(len(r.ended), 3)
	r.arrive(21, sched.Normal, time.Minute)
	r.Equal(r.ended[21].Reason, sched.ReasonNoTarget)
	r.True(r.ended[21].NotRun)
	r.True(r.ended[21].RetryAfter > 0)
}

func TestReservesSlotForUrgentWhenRunsAreLong(t *testing.T) {
	r := newHarness(t, 1)
	r.arrive(1, sched.Urgent, time.Minute)
	for range 10001 {
		r.advance(10*time.Second, answered)
	}
	for i := range sched.ID(20) {
		r.arrive(100+i, sched.Normal, time.Hour)
	}
	r.Equal(r.scheduler.Stats().Busy(), 7)
	r.arrive(2, sched.Urgent, time.Minute)
	r.Equal(r.sent[len(r.sent)-1].ID, sched.ID(2))
}

func TestRetriesDoNotAmplifyOverload(t *testing.T) {
	r := newHarness(t, 4)
	sends := 0
	for i := range sched.ID(2000) {
		r.arrive(i, sched.Normal, time.Second)
		r.advance(5*time.Millisecond, func(sched.SendCmd) sched.Result { sends++; return sched.NotRun })
	}
	r.True(float64(sends) <= 1.1*2000+10) // first sends, the retry share of 10% and the burst of 10
	for _, e := range r.ended {
		r.True(e.NotRun)
	}
}

func TestTeamFloodDoesNotAffectOtherTeams(t *testing.T) {
	r := newHarness(t, 4) // 32 slots and runs of 100 ms: 320 requests a second
	r.update(sched.QuotasMsg{Now: r.now, Rates: map[string]float64{"kitchen": 160, "riders": 160}})
	lastID, arrivals, answers := sched.ID(0), map[string]int{}, map[string]int{}
	team := map[sched.ID]string{}
	ask := func(n string) {
		lastID++
		team[lastID] = n
		arrivals[n]++
		r.update(sched.ArriveMsg{Now: r.now, ID: lastID, Team: n, Class: sched.Normal, Deadline: r.now.Add(2 * time.Second)})
	}
	for ms := range 10000 {
		if ms%10 == 0 {
			ask("kitchen") // 100 requests a second
		}
		ask("riders") // 1,000 requests a second
		r.advance(100*time.Millisecond, func(c sched.SendCmd) sched.Result { answers[team[c.ID]]++; return sched.Answered })
	}
	for range 3000 {
		r.advance(100*time.Millisecond, func(c sched.SendCmd) sched.Result { answers[team[c.ID]]++; return sched.Answered })
	}
	t.Log(arrivals, answers, r.scheduler.Stats().ServiceTime())
	r.Equal(answers["kitchen"], arrivals["kitchen"])
	r.True(answers["kitchen"]+answers["riders"] >= 3100) // of the 3,200 that the slots can answer in 10 s and those queued at the end
}

// Callers whose requests were shed retry once RetryAfter has passed. On average that must take fewer than two retries, and every
// retry that comes after the burst must be admitted.
func TestRefusedCallersSucceedWhenRetryingAsTold(t *testing.T) {
	const burst = 5000 // ms, during which requests come at twice the rate that the slots can answer
	r := newHarness(t, 4)
	retriesAt, id := map[int]int{}, sched.ID(0)
	var refused, retries, retriesAfterBurst, refusedAfterBurst int
	ask := func(ms int) bool {
		id++
		r.arrive(id, sched.Normal, time.Second)
		e, ok := r.ended[id]
		if ok {
			r.Equal(e.Reason, sched.ReasonOverload)
			retriesAt[ms+1+int(e.RetryAfter/time.Millisecond)]++
		}
		return !ok
	}
	for ms := range 60000 {
		if ms < burst && ms%3 < 2 && !ask(ms) {
			refused++
		}
		for range retriesAt[ms] {
			ok := ask(ms)
			retries++
			if ms > burst+1000 {
				retriesAfterBurst++
				if !ok {
					refusedAfterBurst++
				}
			}
		}
		r.advance(100*time.Millisecond, answered)
	}
	t.Log(refused, retries, retriesAfterBurst, refusedAfterBurst)
	r.True(refused > 1000 && retriesAfterBurst > 500)
	r.True(retries < 2*refused)   // on average a shed request is retried less than twice
	r.Equal(refusedAfterBurst, 0) // every retry after the burst is admitted
}

func TestProfileChangesRetryBudget(t *testing.T) {
	i := is.New(t)
	now := time.Unix(0, 0)
	s := sched.New("orders", sched.WithRetryBudget(0, 0))
	s.Update(sched.TargetsMsg{Now: now, Targets: []sched.Target{sched.NewTarget("a", "r", 8), sched.NewTarget("b", "q", 8)}})
	s.Update(sched.ProfileMsg{Now: now, RetryShare: 0, UrgentStart: time.Second})
	sendAndRefuse := func(id sched.ID) sched.Cmd {
		c := s.Update(sched.ArriveMsg{Now: now, ID: id, Team: "kitchen", Deadline: now.Add(time.Minute), Idempotent: true})
		return s.Update(sched.DoneMsg{Now: now, ID: id, Target: c[0].(sched.SendCmd).Target, Result: sched.NotRun})[0]
	}
	_, ended := sendAndRefuse(1).(sched.EndCmd)
	i.True(ended) // there is no retry budget
	s = sched.New("orders", sched.WithRetryBudget(0, 1))
	s.Update(sched.TargetsMsg{Now: now, Targets: []sched.Target{sched.NewTarget("a", "r", 8), sched.NewTarget("b", "q", 8)}})
	s.Update(sched.ProfileMsg{Now: now, RetryShare: 1, UrgentStart: time.Second})
	for id := range sched.ID(5) {
		_, again := sendAndRefuse(id + 1).(sched.SendCmd)
		i.True(again) // each first send allows one retry
		s.Update(sched.DoneMsg{Now: now, ID: id + 1, Target: "a", Result: sched.Answered})
		s.Update(sched.DoneMsg{Now: now, ID: id + 1, Target: "b", Result: sched.Answered})
	}
}
