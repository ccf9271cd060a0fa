package batch_test

import (
	"testing"

	"github.com/matryer/is"

	"burdockreach.dev/fleet/batch"
)

// lateMs is how long a worker may hold up a call that it does not answer.
const lateMs = 12_000

// stepUnanswered lets ms milliseconds pass in which workers answer neither starts nor stops. The other calls are answered as usual.
func (l *lifetimes) stepUnanswered(ms int64) {
	l.result = batch.NoAnswer
	l.advance(ms)
	l.result = batch.OK
}

// oneTaskJob returns a job of one long task.
func oneTaskJob() batch.Job {
	j := fourTaskJob()
	j.Steps[0].Count, j.Steps[0].EstimateMs = 1, 60_000
	return j
}

// A worker may hold up a start that it does not answer, and its next lifetime may carry it out after the former one's end is known.
func TestUnansweredStartOutlivesItsLifetime(t *testing.T) {
	play := func(t *testing.T, end func(*lifetimes), waitMs int64) {
		t.Helper()
		is := is.New(t)
		l := newLifetimes("w1")
		l.machines(l.now, []string{"w1"})
		l.Update(l.now, batch.SubmitMsg{Ref: 1, Job: oneTaskJob()})
		l.silent["w1"] = true
		sent := l.now
		l.stepUnanswered(100)
		is.Equal(l.startsAt("w1"), 1)
		l.advance(1_000)
		l.list("w2")
		end(l)
		l.advance(sent + waitMs - l.now)
		is.Equal(l.startsAt("w2"), 0)
	}
	t.Run("lease of a silent worker", func(t *testing.T) {
		play(t, func(*lifetimes) {}, lateMs+6_000) // a lease that the next lifetime counts from the arrival.
	})
	t.Run("list of machines", func(t *testing.T) {
		play(t, func(l *lifetimes) { l.machines(l.now, []string{"w2"}, "w1") }, 5_000)
	})
	t.Run("machine that is up again", func(t *testing.T) {
		play(t, func(l *lifetimes) {
			l.machines(l.now, []string{"w2"}, "w1")
			l.advance(1_000)
			l.machines(l.now, []string{"w1", "w2"})
		}, lateMs+6_000)
	})
}

// A former owner's start that is held up may reach the next lifetime of its worker, which the successor cannot read, and run there for the
// longest lease.
func TestSuccessorWaitsForLateCallsToUnreadLifetime(t *testing.T) {
	is := is.New(t)
	j := oneTaskJob()
	l := &lifetimes{harness: newUnreadHarness("w1", "w2"), born: map[string]int64{}, first: map[string]int{}, silent: map[string]bool{"w1": true}, polls: map[string]int{}}
	l.polled = l.answer
	l.Update(l.now, batch.ServicesMsg{Services: []batch.Service{{Name: "s"}}})
	l.Update(l.now, batch.LoadedMsg{BlindMs: 5_500, FormerFence: 8, Jobs: []batch.StoredJob{{Job: j, SubmittedMs: 1_000_000}}})
	l.born["w1"] = 1_000_500 // it started again after the takeover.
	l.list("w1")
	l.machines(l.now, []string{"w1", "w2"})
	l.advance(lateMs + 5_000)
	is.Equal(len(l.starts), 0)
}

// A start that an unknown new lifetime answers tells that lifetime's clock. The lease of the former one must not seem to last for as long as
// the former clock has run.
func TestAnswerOfNextLifetimeLeavesLeaseBounded(t *testing.T) {
	is := is.New(t)
	l := newLifetimes("w1")
	l.now += 3_600_000
	l.advance(1_000)
	l.Update(l.now, batch.SubmitMsg{Ref: 1, Job: fourTaskJob()})
	l.advance(200)
	is.Equal(l.startsAt("w1"), 4)
	l.Update(l.now, batch.StoppedMsg{Worker: "w1", Task: l.starts[0].Task, Run: 9, ClockMs: 300, Sent: l.now})
	l.silent["w1"] = true
	l.list("w2")
	l.advance(30_000)
	is.Equal(l.startsAt("w2"), 4)
}

// The former lifetime's answer may arrive after one of an unknown new lifetime. Its clock, far ahead, must not end the new one's lease.
func TestFormerClockDoesNotEndLeaseOfNextLifetime(t *testing.T) {
	play := func(t *testing.T, answer func(l *lifetimes, clock, sent int64)) {
		t.Helper()
		is := is.New(t)
		l := newLifetimes("w1")
		l.now += 60_000
		l.advance(1_000)
		l.Update(l.now, batch.SubmitMsg{Ref: 1, Job: fourTaskJob()})
		l.advance(200)
		is.Equal(l.startsAt("w1"), 4)
		sent := l.now
		l.advance(10)
		answerStop(l, 300, l.now)
		answer(l, sent, sent)
		l.silent["w1"] = true
		l.list("w2")
		l.advance(6_000) // the longest lease that the next lifetime may have granted to the starts.
		is.Equal(l.startsAt("w2"), 0)
	}
	t.Run("stop", func(t *testing.T) { play(t, answerStop) })
	t.Run("poll", func(t *testing.T) {
		play(t, func(l *lifetimes, clock, sent int64) {
			g := l.answer(batch.PollCmd{Worker: "w1"})
			g.ClockMs, g.Sent = clock, sent
			l.Update(l.now, g)
		})
	})
}

// answerStop answers a stop of a run that the owner does not know.
func answerStop(l *lifetimes, clock, sent int64) {
	l.Update(l.now, batch.StoppedMsg{Worker: "w1", Task: l.starts[0].Task, Run: 9, ClockMs: clock, Sent: sent})
}

// A worker that starts again while its entry is missing must be called until what runs there is known, or its tasks would wait for ever.
func TestUnlistedLifetimeIsCalled(t *testing.T) {
	is := is.New(t)
	l := newLifetimes("w1")
	l.restartUnseen("w1")
	l.polled = func(k batch.PollCmd) batch.PolledMsg {
		l.Update(l.now, batch.WorkersMsg{Gone: []string{"w1"}})
		return l.answer(k)
	}
	l.Update(l.now, batch.SubmitMsg{Ref: 1, Job: fourTaskJob()})
	l.advance(1_000)
	is.Equal(l.startsAt("w1"), 4)
	l.polled = l.answer
	l.silent["w1"] = true
	l.Update(l.now, batch.WorkersMsg{Set: []batch.WorkerEntry{{ID: "w2", Service: "s", Addr: "w2", Room: batch.Size{CPU: 4000, MemMB: 8000}, ClockMs: 5, Born: 1}}})
	l.advance(30_000)
	is.Equal(l.startsAt("w2"), 4)
}

// A new lifetime may be of another kind and size. Its predecessor's entry must not decide what it is given.
func TestLifetimeWithoutEntryIsNotUsed(t *testing.T) {
	is := is.New(t)
	l := newLifetimes("w1")
	l.Update(l.now, batch.SubmitMsg{Ref: 1, Job: fourTaskJob()})
	l.advance(300)
	is.Equal(l.startsAt("w1"), 4)
	l.restartUnseen("w1")
	l.advance(1_000) // a poll shows the new lifetime.
	is.Equal(l.startsAt("w1"), 4)
	l.Update(l.now, batch.WorkersMsg{Set: []batch.WorkerEntry{
		{ID: "w1", Service: "s", Addr: "w1", Room: batch.Size{CPU: 1000, MemMB: 8000}, ClockMs: 5, Born: l.born["w1"]},
	}})
	l.advance(1_000)
	is.Equal(l.startsAt("w1"), 5)
}

// A worker whose machine was maintained, and that starts again under its ID, must be used: only its former lifetime has ended.
func TestWorkerIsUsedAfterUpkeepUnderItsID(t *testing.T) {
	is := is.New(t)
	l := newLifetimes("w1")
	l.machines(l.now, []string{"w1"})
	l.Update(l.now, batch.WaveMsg{Number: 1, Machines: []string{"m-w1"}, DurationMs: 30_000, MaxDown: 1})
	ordered := 0
	for range 1_000 {
		l.Update(l.now, batch.ClaimMsg{Fresh: true, RenewedAt: l.now})
		for _, c := range l.Commands(l.now) {
			switch k := c.(type) {
			case batch.CommitCmd:
				l.commit(k)
			case batch.PollCmd:
				l.Update(l.now, l.polled(k))
			case batch.ListMachinesCmd:
				l.machines(l.now, []string{"w1"})
			case batch.UpkeepCmd:
				if ordered == 0 {
					ordered++
					l.Update(l.now, batch.OrderDoneMsg{Machine: k.Machine, Wave: k.Wave})
					l.restart("w1")
				}
			}
		}
		l.now += 10
	}
	is.Equal(ordered, 1)
	is.Equal(l.Workers(), 1)
	l.Update(l.now, batch.SubmitMsg{Ref: 1, Job: fourTaskJob()})
	l.advance(1_000)
	is.Equal(l.startsAt("w1"), 4)
}

// An acknowledged order to a machine ends the worker that was there when the order was sent, not a lifetime that has begun since.
func TestLateOrderAnswerEndsNoNewLifetime(t *testing.T) {
	is := is.New(t)
	l := newLifetimes("w1")
	l.machines(l.now, []string{"w1"})
	l.Update(l.now, batch.WaveMsg{Number: 1, Machines: []string{"m-w1"}, DurationMs: 30_000, MaxDown: 1})
	var ordered *batch.UpkeepCmd
	for i := 0; i < 1_000 && ordered == nil; i++ {
		l.Update(l.now, batch.ClaimMsg{Fresh: true, RenewedAt: l.now})
		for _, c := range l.Commands(l.now) {
			switch k := c.(type) {
			case batch.CommitCmd:
				l.commit(k)
			case batch.PollCmd:
				l.Update(l.now, l.polled(k))
			case batch.ListMachinesCmd:
				l.machines(l.now, []string{"w1"})
			case batch.UpkeepCmd:
				ordered = &k
			}
		}
		l.now += 10
	}
	is.True(ordered != nil)
	l.restart("w1")
	l.advance(200)
	l.Update(l.now, batch.OrderDoneMsg{Machine: ordered.Machine, Wave: ordered.Wave})
	is.Equal(l.Workers(), 1)
}

// A poll that is pending when its worker starts again is followed by another at once. Its answer must not begin a second series of polls.
func TestRestartKeepsOnePollPending(t *testing.T) {
	is := is.New(t)
	l := newLifetimes("w1")
	l.Update(l.now, batch.SubmitMsg{Ref: 1, Job: fourTaskJob()})
	l.advance(300)
	var pending []batch.PolledMsg
	l.polled = func(k batch.PollCmd) batch.PolledMsg {
		pending = append(pending, batch.PolledMsg{Worker: k.Worker, Sent: l.now, Fence: k.Fence})
		return batch.PolledMsg{Worker: "unknown"}
	}
	l.advance(3_000)
	is.Equal(len(pending), 1)
	l.restart("w1")
	l.advance(10)
	is.Equal(len(pending), 2)
	for _, g := range pending {
		a := l.answer(batch.PollCmd{Worker: "w1"})
		a.Sent, a.Fence = g.Sent, g.Fence
		l.Update(l.now, a)
		l.advance(10)
	}
	is.Equal(len(pending), 3)
}

// A call that a new lifetime takes before the owner knows of it asks for a lease on the former clock, far ahead, and gets the longest one.
// What the owner starts there must not start elsewhere before that lease has expired, wherever the lifetime's clock began.
func TestLeaseByFormerClockOutlastsCut(t *testing.T) {
	const longestMs, ageMs, formerClock = 10_000, 3_000, 600_000
	const formerBorn, born = 400_000, 997_000
	play := func(t *testing.T, successor bool, clockStart int64) {
		t.Helper()
		is := is.New(t)
		l := newUnreadHarness()
		l.Model = batch.New(batch.Config{Fence: 9, Now: l.now, UnixMs: 1_000_000, LeaseMs: longestMs, OrderGapMs: 3500})
		e := batch.WorkerEntry{ID: "w1", Service: "s", Addr: "w1", Room: batch.Size{CPU: 4000, MemMB: 8000}, ClockMs: formerClock, Born: formerBorn}
		l.Update(l.now, batch.ServicesMsg{Services: []batch.Service{{Name: "s"}}})
		l.Update(l.now, batch.WorkersMsg{All: true, Set: []batch.WorkerEntry{e}})
		restarted, cut, leaseEnd, begin := successor, false, int64(0), l.now
		clock := func() int64 { return clockStart + l.now - begin + ageMs }
		extend := func(until int64) { leaseEnd = max(leaseEnd, l.now+min(until-clock(), longestMs)) }
		l.polled = func(k batch.PollCmd) batch.PolledMsg {
			g := batch.PolledMsg{Worker: k.Worker, Sent: l.now, Fence: k.Fence, ClockMs: l.now, Born: 1}
			switch {
			case k.Worker != "w1":
			case cut:
				g.Result = batch.NoAnswer
			case !restarted:
				g.ClockMs, g.Born = formerClock+l.now-begin, formerBorn
			default:
				extend(k.UntilMs)
				g.ClockMs, g.Born = clock(), born
				for _, s := range l.starts {
					if s.Worker == "w1" {
						g.Running = append(g.Running, batch.ActiveRun{Task: s.Task, Run: s.Run, Percent: 1})
					}
				}
			}
			return g
		}
		showEntry := func() {
			e.Born, e.ClockMs = born, clock()
			l.Update(l.now, batch.WorkersMsg{Set: []batch.WorkerEntry{e}})
		}
		former := batch.LoadedMsg{}
		if successor {
			former = batch.LoadedMsg{BlindMs: 5_500, FormerFence: 8}
		}
		l.Update(l.now, former)
		l.advance(500)
		restarted = true
		if successor {
			showEntry()
		}
		l.Update(l.now, batch.SubmitMsg{Ref: 1, Job: oneTaskJob()})
		for i := 0; len(l.starts) == 0 && i < 500; i++ {
			l.advance(10)
		}
		is.Equal(len(l.starts), 1)
		extend(l.starts[0].UntilMs)
		if !successor {
			showEntry()
		}
		l.advance(50)
		cut = true
		l.Update(l.now, batch.WorkersMsg{Set: []batch.WorkerEntry{{ID: "w2", Service: "s", Addr: "w2", Room: e.Room, ClockMs: 5, Born: 1}}})
		for i := 0; len(l.starts) == 1 && i < 5_000; i++ {
			l.advance(10)
		}
		is.Equal(len(l.starts), 2)
		is.True(l.now >= leaseEnd)
	}
	for _, c := range []struct {
		name      string
		successor bool
	}{{"poll of a successor that knows the former entry", true}, {"start before the restart is known", false}} {
		t.Run(c.name, func(t *testing.T) { play(t, c.successor, 0) })
		t.Run(c.name+", clock ahead", func(t *testing.T) { play(t, c.successor, 207_093) })
	}
}

// A task that waits for an unanswered start keeps waiting for some seconds after its worker's machine has gone down: the machine may come back.
func TestReservationOutlastsLateCrash(t *testing.T) {
	is := is.New(t)
	l := newLifetimes("w1")
	l.machines(l.now, []string{"w1"})
	l.Update(l.now, batch.SubmitMsg{Ref: 1, Job: oneTaskJob()})
	l.silent["w1"] = true
	sent := l.now
	l.stepUnanswered(100)
	is.Equal(l.startsAt("w1"), 1)
	l.list("w2")
	l.advance(6_000)
	is.Equal(l.startsAt("w2"), 0)
	l.machines(l.now, []string{"w2"}, "w1") // it has crashed now, and will be back in 0.6 s.
	down := l.now
	for l.now < sent+12_000 && len(l.starts) == 1 {
		l.advance(20)
	}
	is.True(l.now-down >= 3_000)
}

// A task that may have copies does not wait for its unanswered start: a second run does no harm.
func TestCopiesDoNotWaitForUnansweredStart(t *testing.T) {
	is := is.New(t)
	l := newLifetimes("w1")
	l.machines(l.now, []string{"w1"})
	j := oneTaskJob()
	j.Steps[0].Copies = true
	l.Update(l.now, batch.SubmitMsg{Ref: 1, Job: j})
	l.silent["w1"] = true
	sent := l.now
	l.stepUnanswered(100)
	l.list("w2")
	for l.now < sent+30_000 && l.startsAt("w2") == 0 {
		l.advance(50)
	}
	is.True(l.now-sent < 7_000)
}

// A run that a call for the former lifetime has started counts against the number of a step's tasks at one worker.
func TestUnknownRunCountsForPerWorker(t *testing.T) {
	is := is.New(t)
	l := newLifetimes("w1")
	l.Update(l.now, batch.ServicesMsg{Services: []batch.Service{{Name: "s", Guards: true}}})
	j := oneTaskJob()
	j.Steps[0].Count, j.Steps[0].PerWorker = 2, 1
	l.Update(l.now, batch.SubmitMsg{Ref: 1, Job: j})
	l.advance(300)
	is.Equal(len(l.starts), 1)
	l.list("w2")
	l.advance(300)
	is.Equal(l.startsAt("w2"), 1)
	other := l.starts[1].Task
	l.restart("w1")
	inner := l.polled
	l.polled = func(k batch.PollCmd) batch.PolledMsg {
		g := inner(k)
		if k.Worker == "w1" {
			g.Running = append(g.Running, batch.ActiveRun{Task: other, Run: 7, Percent: 1})
		}
		return g
	}
	n := l.startsAt("w1")
	l.advance(300)
	is.Equal(l.startsAt("w1"), n)
}

// One crash must not count twice because the machine's list and the worker's next lifetime both show it: innocent tasks would be given up.
func TestCrashCountsOnce(t *testing.T) {
	is := is.New(t)
	l := newLifetimes("w1")
	l.machines(l.now, []string{"w1"})
	l.Update(l.now, batch.SubmitMsg{Ref: 1, Job: oneTaskJob()})
	l.silent["w1"] = true
	l.stepUnanswered(100)
	l.advance(500)
	l.machines(l.now, []string{"w2"}, "w1")
	l.advance(500)
	l.silent["w1"] = false
	l.born["w1"], l.polls["w1"], l.first["w1"] = l.now, 0, 1
	l.machines(l.now, []string{"w1"})
	l.advance(500)
	n := 0
	for _, x := range l.logs {
		if x.Event == "worker crashed" {
			n++
		}
	}
	is.Equal(n, 1)
}

// The answer to a poll that was given up must neither end the wait for the pending one nor count as silence.
func TestLateAnswerToOverduePoll(t *testing.T) {
	play := func(t *testing.T, late batch.Result) {
		t.Helper()
		l := newLifetimes("w1")
		l.Update(l.now, batch.SubmitMsg{Ref: 1, Job: oneTaskJob()})
		l.advance(500)
		type flight struct {
			at, sent int64
			k        batch.PollCmd
		}
		var q []flight
		lost := 0
		step := func(ms int64, hold bool) (polls, most int) {
			for end := l.now + ms; l.now < end; l.now += 10 {
				l.Update(l.now, batch.ClaimMsg{Fresh: true, RenewedAt: l.now})
				var rest []flight
				for _, f := range q {
					if f.at <= l.now && !hold {
						g := l.answer(f.k)
						g.Sent, g.Fence = f.sent, f.k.Fence
						l.Update(l.now, g)
					} else {
						rest = append(rest, f)
					}
				}
				q = rest
				for _, c := range l.Commands(l.now) {
					switch k := c.(type) {
					case batch.CommitCmd:
						l.commit(k)
					case batch.PollCmd:
						polls++
						q = append(q, flight{l.now + max(k.WaitMs, 10), l.now, k})
					case batch.LogCmd:
						if k.Event == "worker lost" {
							lost++
						}
					}
				}
				most = max(most, len(q))
			}
			return polls, most
		}
		step(3_000, false)
		for len(q) == 0 {
			step(10, false)
		}
		first := q[0]
		step(3_950-(l.now-first.sent)+100, true) // the first poll is overdue, and another one is sent.
		q = q[1:]
		step(500, false)
		lost = 0
		step(1_000, false)
		for len(q) == 0 {
			step(10, false)
		}
		g := l.answer(first.k)
		g.Sent, g.Fence, g.Result = first.sent, first.k.Fence, late
		l.Update(l.now, g)
		_, n := step(20_000, false)
		if n > 1 || lost > 0 {
			t.Errorf("late answer disturbs the pending poll")
		}
	}
	t.Run("OK", func(t *testing.T) { play(t, batch.OK) })
	t.Run("no answer", func(t *testing.T) { play(t, batch.NoAnswer) })
}
