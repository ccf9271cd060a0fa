package batch_test

import (
	"testing"

	"github.com/matryer/is"

	"burdockreach.dev/fleet/batch"
)

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
