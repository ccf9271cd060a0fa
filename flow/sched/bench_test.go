package sched_test

import (
	"fmt"
	"testing"
	"time"

	"burdockreach.dev/flow/sched"
)

func names(kind string, n int) []string {
	l := make([]string, n)
	for i := range l {
		l[i] = fmt.Sprintf("%s-%03d", kind, i)
	}
	return l
}

// newScheduler returns a scheduler with targets of 8 slots, four targets to a rack, and teams with quotas large enough for all slots.
func newScheduler(now time.Time, targets, teams int) *sched.Scheduler {
	s := sched.New("orders")
	var l []sched.Target
	for i, n := range names("vm", targets) {
		l = append(l, sched.NewTarget(n, fmt.Sprint("rack-", i/4), 8))
	}
	rates := map[string]float64{}
	for _, n := range names("team", teams) {
		rates[n] = 1e6
	}
	s.Update(sched.QuotasMsg{Now: now, Rates: rates})
	s.Update(sched.TargetsMsg{Now: now, Targets: l})
	return s
}

func BenchmarkUpdateArriveDone(b *testing.B) {
	for _, targets := range []int{4, 40, 200} {
		for _, teams := range []int{3, 230} {
			b.Run(fmt.Sprintf("targets=%d/teams=%d", targets, teams), func(b *testing.B) { benchmarkArriveDone(b, targets, teams) })
		}
	}
}

// benchmarkArriveDone keeps a few requests queued all the time.
func benchmarkArriveDone(b *testing.B, targets, teams int) {
	now := time.Unix(0, 0)
	s, team := newScheduler(now, targets, teams), names("team", teams)
	var sent []sched.SendCmd
	collectSends := func(l []sched.Cmd) {
		for _, c := range l {
			if m, ok := c.(sched.SendCmd); ok {
				sent = append(sent, m)
			}
		}
	}
	arrive := func(i int) {
		now = now.Add(10 * time.Microsecond)
		collectSends(s.Update(sched.ArriveMsg{
			Now: now, ID: sched.ID(i), Team: team[i%teams], Class: sched.Class(i % 3), Deadline: now.Add(10 * time.Second),
		}))
	}
	for i := range targets*8 + 20 {
		arrive(i)
	}
	nextID := targets*8 + 20
	b.ReportAllocs()
	k := 0
	for b.Loop() {
		arrive(nextID)
		nextID++
		m := sent[k]
		k++
		if k == 1024 {
			sent = append(sent[:0], sent[k:]...)
			k = 0
		}
		collectSends(s.Update(sched.DoneMsg{Now: now, ID: m.ID, Target: m.Target, Result: sched.Answered}))
	}
}

// BenchmarkCancelWave measures one cancellation among n queued requests.
func BenchmarkCancelWave(b *testing.B) {
	for _, n := range []int{1000, 50000} {
		b.Run(fmt.Sprint("waiting=", n), func(b *testing.B) {
			now := time.Unix(0, 0)
			for done := 0; done < b.N; done += n {
				b.StopTimer()
				s := newScheduler(now, 1, 1)
				for i := range n {
					s.Update(sched.ArriveMsg{Now: now, ID: sched.ID(i), Team: "team-000", Deadline: now.Add(time.Hour)})
				}
				b.StartTimer()
				for i := range min(n, b.N-done) {
					s.Update(sched.CancelMsg{Now: now, ID: sched.ID((i * 7919) % n)})
				}
			}
		})
	}
}

// BenchmarkOverload measures one arrival that is refused because the queue is too long for its deadline.
func BenchmarkOverload(b *testing.B) {
	now := time.Unix(0, 0)
	s := newScheduler(now, 4, 3)
	id := sched.ID(0)
	for range 100000 {
		id++
		now = now.Add(100 * time.Microsecond)
		for _, c := range s.Update(sched.ArriveMsg{Now: now, ID: id, Team: "team-000", Deadline: now.Add(2 * time.Second)}) {
			if c, ok := c.(sched.SendCmd); ok {
				s.Update(sched.DoneMsg{Now: now.Add(10 * time.Millisecond), ID: c.ID, Target: c.Target, Result: sched.Answered})
			}
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		id++
		s.Update(sched.ArriveMsg{Now: now, ID: id, Team: "team-000", Deadline: now.Add(10 * time.Millisecond)})
	}
}
