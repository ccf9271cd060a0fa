package batch_test

import (
	"testing"

	"github.com/matryer/is"

	"burdockreach.dev/fleet/batch"
)

// pollsAfterSilence runs one task to its end at a worker that does not answer the poll that acknowledges this end. It
// returns the numbers that the polls carry from then on, and after what a poll was answered again with the given time of
// birth.
func pollsAfterSilence(t *testing.T, bornAfter int64) (before, after []int64) {
	t.Helper()
	const born = 500
	m := batch.New(batch.Config{Fence: 9, Now: 1000, UnixMs: 1000, LeaseMs: 6000})
	m.Update(1000, batch.ServicesMsg{Services: []batch.Service{{Name: "s"}}})
	m.Update(1000, batch.WorkersMsg{All: true, Set: []batch.WorkerEntry{
		{ID: "w", Service: "s", Addr: "w", Room: batch.Size{CPU: 1000, MemMB: 1000}, ClockMs: 5, Born: born},
	}})
	m.Update(1000, batch.LoadedMsg{})
	m.Update(1000, batch.ClaimMsg{Fresh: true, RenewedAt: 1000})
	m.Update(1000, batch.SubmitMsg{Ref: 1, Job: batch.Job{ID: jobID(1), Queue: "q", Service: "s", ObjectiveExtraMs: 60_000, Steps: []batch.Step{
		{Count: 1, Size: batch.Size{CPU: 500, MemMB: 10}, EstimateMs: 100},
	}}})
	var ended []batch.EndedRun
	silentUntil, answered := int64(0), false
	for now := int64(1010); now < 6_000; now += 10 {
		for _, c := range m.Commands(now) {
			switch k := c.(type) {
			case batch.CommitCmd:
				m.Update(now, batch.CommittedMsg{ID: k.ID, Rev: now})
			case batch.StartCmd:
				ended = []batch.EndedRun{{Number: 1, Task: k.Task, Run: k.Run, Reason: batch.EndDone}}
				m.Update(now, batch.StartedMsg{Worker: "w", Task: k.Task, Run: k.Run, ClockMs: now, Sent: now})
			case batch.PollCmd:
				if k.ForgetUpTo == 1 && silentUntil == 0 {
					silentUntil = now + 700
				}
				switch {
				case silentUntil > now:
					before = append(before, k.ForgetUpTo)
					m.Update(now, batch.PolledMsg{Worker: "w", Sent: now, Result: batch.NoAnswer})
				case silentUntil != 0 && !answered:
					before = append(before, k.ForgetUpTo)
					answered = true
					m.Update(now, batch.PolledMsg{Worker: "w", Sent: now, ClockMs: now, Born: bornAfter, Ended: ended})
				case answered:
					after = append(after, k.ForgetUpTo)
					m.Update(now, batch.PolledMsg{Worker: "w", Sent: now, ClockMs: now, Born: bornAfter})
				default:
					m.Update(now, batch.PolledMsg{Worker: "w", Sent: now, ClockMs: now, Born: born, Ended: ended})
				}
			}
		}
	}
	return before, after
}

// A worker that does not answer may have restarted, and counts its ends anew. Until it has answered, polls must not tell
// it to forget the ends of its former lifetime: it would forget its own.
func TestNoAcknowledgementAcrossRestart(t *testing.T) {
	t.Run("not while the worker is silent", func(t *testing.T) {
		is := is.New(t)
		before, _ := pollsAfterSilence(t, 2000)
		is.True(len(before) >= 3)
		is.Equal(before[0], int64(1)) // the poll without an answer.
		for _, n := range before[1:] {
			is.Equal(n, int64(0))
		}
	})
	t.Run("again once the same lifetime answers", func(t *testing.T) {
		is := is.New(t)
		_, after := pollsAfterSilence(t, 500)
		is.True(len(after) > 0)
		is.Equal(after[0], int64(1))
	})
}

// A worker may restart without having been silent. A number that it has confirmed is therefore not sent again: the new
// lifetime would forget ends of its own.
func TestConfirmedNumberIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	m := batch.New(batch.Config{Fence: 9, Now: 1000, UnixMs: 1000, LeaseMs: 6000})
	m.Update(1000, batch.ServicesMsg{Services: []batch.Service{{Name: "s"}}})
	m.Update(1000, batch.WorkersMsg{All: true, Set: []batch.WorkerEntry{
		{ID: "w", Service: "s", Addr: "w", Room: batch.Size{CPU: 1000, MemMB: 1000}, ClockMs: 5, Born: 500},
	}})
	m.Update(1000, batch.LoadedMsg{})
	m.Update(1000, batch.ClaimMsg{Fresh: true, RenewedAt: 1000})
	m.Update(1000, batch.SubmitMsg{Ref: 1, Job: batch.Job{ID: jobID(1), Queue: "q", Service: "s", ObjectiveExtraMs: 60_000, Steps: []batch.Step{
		{Count: 2, Size: batch.Size{CPU: 500, MemMB: 10}, EstimateMs: 5_000},
	}}})
	var running []batch.ActiveRun
	var ended []batch.EndedRun
	var sent []int64
	for now := int64(1010); now < 4_000; now += 10 {
		for _, c := range m.Commands(now) {
			switch k := c.(type) {
			case batch.CommitCmd:
				m.Update(now, batch.CommittedMsg{ID: k.ID, Rev: now})
			case batch.StartCmd:
				if ended == nil {
					ended = []batch.EndedRun{{Number: 1, Task: k.Task, Run: k.Run, Reason: batch.EndDone}}
				} else {
					running = []batch.ActiveRun{{Task: k.Task, Run: k.Run}}
				}
				m.Update(now, batch.StartedMsg{Worker: "w", Task: k.Task, Run: k.Run, ClockMs: now, Sent: now})
			case batch.PollCmd:
				if k.ForgetUpTo > 0 {
					sent, ended = append(sent, k.ForgetUpTo), []batch.EndedRun{}
				}
				m.Update(now, batch.PolledMsg{Worker: "w", Sent: now, ClockMs: now, Born: 500, Running: running, Ended: ended})
			}
		}
	}
	is.Equal(sent, []int64{1})
}

// A worker may restart, without having been silent, after the list whose ends are acknowledged. The acknowledgement therefore goes out
// right after a list of that lifetime, however long the store takes: the new lifetime would forget ends of its own.
func TestAcknowledgementFollowsAList(t *testing.T) {
	const writeMs, mostMs = 200, 35
	is := is.New(t)
	w := newListedWorkers(batch.LoadedMsg{}, "w")
	w.m.Update(1000, batch.SubmitMsg{Ref: 1, Job: batch.Job{ID: jobID(1), Queue: "q", Service: "s", ObjectiveExtraMs: 60_000, Steps: []batch.Step{
		{Count: 1, Size: batch.Size{CPU: 500, MemMB: 10}, EstimateMs: 100},
	}}})
	var ended []batch.EndedRun
	var writes []batch.CommitCmd
	var doneAt []int64
	listedAt, acked := int64(0), 0
	for now := int64(1010); now < 4_000; now += 10 {
		for len(doneAt) > 0 && doneAt[0] <= now {
			w.m.Update(now, batch.CommittedMsg{ID: writes[0].ID, Rev: now})
			writes, doneAt = writes[1:], doneAt[1:]
		}
		for _, c := range w.m.Commands(now) {
			switch k := c.(type) {
			case batch.CommitCmd:
				writes, doneAt = append(writes, k), append(doneAt, now+writeMs)
			case batch.StartCmd:
				ended = []batch.EndedRun{{Number: 1, Task: k.Task, Run: k.Run, Reason: batch.EndDone}}
				w.m.Update(now, batch.StartedMsg{Worker: "w", Task: k.Task, Run: k.Run, ClockMs: now, Sent: now})
			case batch.PollCmd:
				if k.ForgetUpTo > 0 {
					acked++
					is.True(now-listedAt <= mostMs)
				}
				listedAt = now
				w.m.Update(now, batch.PolledMsg{Worker: "w", Sent: now, ClockMs: now, Born: 500, Ended: ended})
			}
		}
	}
	is.True(acked > 0)
}

// An acknowledgement that was held back on its way to the worker is sent again.
func TestWithheldAcknowledgementIsRepeated(t *testing.T) {
	is := is.New(t)
	b := newUnreadHarness("w1")
	var acks []int64
	b.polled = func(k batch.PollCmd) batch.PolledMsg {
		g := batch.PolledMsg{Worker: k.Worker, Sent: b.now, ClockMs: b.now, Born: 1}
		if k.ForgetUpTo > 0 {
			acks = append(acks, k.ForgetUpTo)
			g.AckWithheld = len(acks) == 1
		}
		if len(b.starts) > 0 && len(acks) < 2 {
			g.Ended = []batch.EndedRun{{Number: 1, Task: b.starts[0].Task, Run: 1, Reason: batch.EndDone}}
		}
		return g
	}
	b.Update(b.now, batch.LoadedMsg{})
	b.Update(b.now, batch.SubmitMsg{Ref: 1, Job: taskJob(1, 1, batch.Step{})})
	b.advance(2_000)
	is.Equal(acks, []int64{1, 1})
}
