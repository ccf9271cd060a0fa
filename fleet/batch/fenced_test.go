package batch_test

import (
	"testing"

	"github.com/matryer/is"

	"burdockreach.dev/fleet/batch"
)

// A worker that has seen a newer owner refuses an old one's orders. The old owner must give up its term at the first such
// answer, to whichever order.
func TestFencedAnswerEndsTerm(t *testing.T) {
	deposed := func(answer func(batch.Cmd) batch.Msg) bool {
		m := batch.New(batch.Config{Fence: 9, Now: 1000, UnixMs: 1000, LeaseMs: 6000})
		m.Update(1000, batch.ServicesMsg{Services: []batch.Service{{Name: "s"}}})
		m.Update(1000, batch.WorkersMsg{All: true, Set: []batch.WorkerEntry{
			{ID: "w", Service: "s", Addr: "w", Room: batch.Size{CPU: 1000, MemMB: 1000}, ClockMs: 5, Born: 500},
		}})
		m.Update(1000, batch.LoadedMsg{})
		m.Update(1000, batch.ClaimMsg{Fresh: true, RenewedAt: 1000})
		m.Update(1000, batch.SubmitMsg{Ref: 1, Job: batch.Job{ID: jobID(1), Queue: "q", Service: "s", ObjectiveExtraMs: 60_000, Steps: []batch.Step{
			{Count: 1, Size: batch.Size{CPU: 500, MemMB: 10}, EstimateMs: 100},
		}}})
		var running []batch.ActiveRun
		for now := int64(1010); now < 4_000; now += 10 {
			for _, c := range m.Commands(now) {
				switch k := c.(type) {
				case batch.DeposedCmd:
					return true
				case batch.CommitCmd:
					m.Update(now, batch.CommittedMsg{ID: k.ID, Rev: now})
				case batch.StartCmd:
					running = []batch.ActiveRun{{Task: k.Task, Run: k.Run}}
				}
				if g := answer(c); g != nil {
					m.Update(now, g)
					continue
				}
				if _, ok := c.(batch.PollCmd); ok {
					m.Update(now, batch.PolledMsg{Worker: "w", Sent: now, ClockMs: now, Born: 500, Running: running})
				}
			}
			if now == 1_500 {
				m.Update(now, batch.CancelMsg{Ref: 2, ID: jobID(1)})
			}
		}
		return false
	}
	t.Run("to a poll", func(t *testing.T) {
		is := is.New(t)
		is.True(deposed(func(c batch.Cmd) batch.Msg {
			if _, ok := c.(batch.PollCmd); ok {
				return batch.PolledMsg{Worker: "w", Result: batch.Fenced}
			}
			return nil
		}))
	})
	t.Run("to a start", func(t *testing.T) {
		is := is.New(t)
		is.True(deposed(func(c batch.Cmd) batch.Msg {
			if k, ok := c.(batch.StartCmd); ok {
				return batch.StartedMsg{Worker: "w", Task: k.Task, Run: k.Run, Result: batch.Fenced}
			}
			return nil
		}))
	})
	t.Run("to a stop", func(t *testing.T) {
		is := is.New(t)
		is.True(deposed(func(c batch.Cmd) batch.Msg {
			switch k := c.(type) {
			case batch.StartCmd:
				return batch.StartedMsg{Worker: "w", Task: k.Task, Run: k.Run, ClockMs: 20}
			case batch.StopCmd:
				return batch.StoppedMsg{Worker: "w", Task: k.Task, Run: k.Run, Result: batch.Fenced}
			}
			return nil
		}))
	})
	t.Run("to none", func(t *testing.T) {
		is := is.New(t)
		is.True(!deposed(func(batch.Cmd) batch.Msg { return nil }))
	})
}
