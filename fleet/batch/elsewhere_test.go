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
		l.stepUnanswered(100)
		is.Equal(l.startsAt("w1"), 1)
		sent := l.now
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
