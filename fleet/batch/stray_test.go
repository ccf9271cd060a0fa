package batch_test

import (
	"testing"

	"github.com/matryer/is"

	"burdockreach.dev/fakes/worker"
	"burdockreach.dev/fleet/batch"
)

// strayPlay is a simulation of one worker and one task, with calls that reach a later lifetime of the worker than they were meant for.
type strayPlay struct {
	*simulation
	first *worker.Worker
	task  batch.TaskName
}

// newStrayPlay returns a play in which the worker's clock shows 30 s: any time that is meant for this lifetime is far ahead for the next one.
func newStrayPlay(t *testing.T) *strayPlay {
	t.Helper()
	w := newSimulation(t, 1, 1, faults{})
	w.run(31_000, nil)
	return &strayPlay{simulation: w, first: w.workers[0], task: batch.TaskName{Job: jobID(1)}}
}

// submitTask submits a job of one task that runs for ms milliseconds.
func (p *strayPlay) submitTask(ms int64) {
	p.runMs = func(batch.TaskName) int64 { return ms }
	p.submit(batch.Job{ID: p.task.Job, Queue: "q", Service: "s", Attempts: 4, Steps: []batch.Step{
		{Count: 1, Size: batch.Size{CPU: 1000, MemMB: 500}, EstimateMs: ms},
	}})
}

// holdNext holds up the next call to a worker that match accepts.
func (p *strayPlay) holdNext(match func(batch.Cmd) bool) {
	p.holds = func(c batch.Cmd) bool {
		if !match(c) {
			return false
		}
		p.holds = nil
		return true
	}
}

// wait lets time pass until done returns true.
func (p *strayPlay) wait(what string, done func() bool) {
	p.t.Helper()
	for end := p.now + 30_000; !done(); p.run(p.now+stepMs, nil) {
		if p.now >= end {
			p.t.Fatalf("%s: not within 30 s", what)
		}
	}
}

// waitCall lets time pass until the owner makes a call to a worker that match accepts.
func (p *strayPlay) waitCall(what string, match func(batch.Cmd) bool) {
	p.t.Helper()
	made := false
	p.holds = func(c batch.Cmd) bool {
		made = made || match(c)
		return false
	}
	p.wait(what, func() bool { return made })
	p.holds = nil
}

// cutFirst cuts the first worker off from the owner, or ends the cut.
func (p *strayPlay) cutFirst(cut bool) { p.owners[0].unreachable[p.first.ID()] = cut }

// addWorker adds a worker with room for the task.
func (p *strayPlay) addWorker() { p.fleet.add("s", batch.Size{CPU: 8000, MemMB: 16000}) }

// active returns the workers at which the task runs.
func (p *strayPlay) active() []string {
	var l []string
	for _, r := range p.judge.Runs(p.task.String()) {
		if r.EndMs == 0 {
			l = append(l, r.Worker)
		}
	}
	return l
}

// begun returns whether n runs of the task have begun.
func (p *strayPlay) begun(n int) func() bool {
	return func() bool { return len(p.judge.Runs(p.task.String())) == n }
}

func (p *strayPlay) isHeld() bool { return len(p.held) > 0 }

func isLeasePoll(c batch.Cmd) bool {
	k, ok := c.(batch.PollCmd)
	return ok && k.UntilMs > 0
}

func isAck(c batch.Cmd) bool {
	k, ok := c.(batch.PollCmd)
	return ok && k.ForgetUpTo > 0
}

func isStart(c batch.Cmd) bool {
	_, ok := c.(batch.StartCmd)
	return ok
}

func isStop(c batch.Cmd) bool {
	_, ok := c.(batch.StopCmd)
	return ok
}

// Guards against a second run beside one whose lease was extended by a poll that was meant for the worker's former lifetime.
func TestStrayPollExtendsNoUnknownLease(t *testing.T) {
	// restart lets the first worker start again while a poll of it is held up.
	restart := func(t *testing.T) *strayPlay {
		p := newStrayPlay(t)
		p.submitTask(60_000)
		p.wait("start", p.begun(1))
		p.holdNext(isLeasePoll)
		p.wait("held poll", p.isHeld)
		p.first.Crash(50)
		return p
	}
	// startsElsewhere lets the poll arrive where the task runs again, and cuts that worker off for longer than its lease lasts.
	startsElsewhere := func(p *strayPlay) {
		p.cutFirst(true)
		p.addWorker()
		p.run(p.now+16_000, nil)
		p.report()
		is.New(p.t).Equal(p.active(), []string{"w01"})
	}
	t.Run("before the owner has reached the lifetime", func(t *testing.T) {
		p := restart(t)
		p.cutFirst(true)
		p.run(p.now+5_000, nil)
		p.release()
		p.cutFirst(false)
		p.wait("second start", p.begun(2))
		startsElsewhere(p)
	})
	t.Run("after the owner has reached the lifetime", func(t *testing.T) {
		p := restart(t)
		p.wait("second start", p.begun(2))
		p.run(p.now+5_000, nil)
		p.release()
		startsElsewhere(p)
	})
}

// Guards against a second run beside one that a lifetime begins by a start whose stop only the lifetime before it has answered.
func TestStrayStartRunsNothingTwice(t *testing.T) {
	// restart holds up a start and lets the worker start again once it has carried out the stop. Another one has room for the task.
	restart := func(t *testing.T) (p *strayPlay, start batch.StartCmd) {
		p = newStrayPlay(t)
		p.submitTask(60_000)
		p.holdNext(func(c batch.Cmd) bool {
			if isStart(c) {
				start = c.(batch.StartCmd)
			}
			return isStart(c)
		})
		p.wait("held start", p.isHeld)
		p.waitCall("stop", isStop)
		p.run(p.now+stepMs, nil)
		p.first.Crash(50)
		p.addWorker()
		return p, start
	}
	runsOnce := func(p *strayPlay) {
		p.release()
		p.run(p.now+5_000, nil)
		p.report()
		is.New(p.t).Equal(len(p.active()), 1)
	}
	t.Run("after the owner has reached the lifetime", func(t *testing.T) {
		p, _ := restart(t)
		p.run(p.now+3_000, nil)
		runsOnce(p)
	})
	t.Run("after a list that was requested under the fence of the start", func(t *testing.T) {
		p, start := restart(t)
		p.unlistedUntil[p.first.ID()] = p.now + 3_000 // only the list shows the restart.
		p.waitCall("poll of the lifetime", func(c batch.Cmd) bool {
			k, ok := c.(batch.PollCmd)
			return ok && k.Worker == p.first.ID() && k.Fence == start.Fence && !p.first.PoweredOff()
		})
		p.run(p.now+3*stepMs, nil)
		runsOnce(p)
	})
}

// Guards against another run of a task that is done, because an acknowledgement that was meant for the former lifetime made the worker
// forget the end.
func TestStrayAckForgetsNoUnseenEnd(t *testing.T) {
	p := newStrayPlay(t)
	p.submitTask(500)
	p.holdNext(isAck)
	p.wait("held acknowledgement", p.isHeld)
	p.first.Crash(50)
	p.run(p.now+1_000, nil)
	p.task.Job = jobID(2)
	p.submitTask(500)
	p.wait("start", p.begun(1))
	p.run(p.now+100, nil)
	p.cutFirst(true)
	p.run(p.now+1_000, nil)
	is.New(t).Equal(len(p.active()), 0)
	p.release()
	p.cutFirst(false)
	p.run(p.now+5_000, nil)
	p.report()
	is.New(t).Equal(p.owners[0].m.State(p.task.Job), batch.StateCompleted)
}

// Guards against an owner that gives up its term because a worker refuses a call under a number that the owner itself has replaced.
func TestOwnFenceEndsNoTerm(t *testing.T) {
	// play holds up a start, lets the worker start again and the owner call it, and delivers an answer from then.
	play := func(t *testing.T, answer func(worker string, start batch.StartCmd, newest int64) batch.Msg) *strayPlay {
		p := newStrayPlay(t)
		p.submitTask(60_000)
		var start batch.StartCmd
		newest := int64(0)
		p.holds = func(c batch.Cmd) bool {
			switch k := c.(type) {
			case batch.StartCmd:
				start = k
				return !p.isHeld()
			case batch.PollCmd:
				newest = max(newest, k.Fence)
			}
			return false
		}
		p.wait("held start", p.isHeld)
		p.first.Crash(50)
		p.run(p.now+callTimeoutMs-100, nil)
		p.owners[0].m.Update(p.now, answer(p.first.ID(), start, newest))
		p.run(p.now+2_000, nil)
		return p
	}
	goesOn := func(t *testing.T, answer func(worker string, start batch.StartCmd) batch.Msg) {
		t.Helper()
		p := play(t, func(w string, k batch.StartCmd, _ int64) batch.Msg { return answer(w, k) })
		p.report()
		is.New(t).Equal(len(p.owners), 1)
		is.New(t).Equal(p.active(), []string{"w00"})
	}
	t.Run("poll", func(t *testing.T) {
		goesOn(t, func(w string, k batch.StartCmd) batch.Msg {
			return batch.PolledMsg{Worker: w, Result: batch.Fenced, Fence: k.Fence}
		})
	})
	t.Run("start", func(t *testing.T) {
		goesOn(t, func(w string, k batch.StartCmd) batch.Msg {
			return batch.StartedMsg{Worker: w, Task: k.Task, Run: k.Run, Result: batch.Fenced, Fence: k.Fence}
		})
	})
	t.Run("stop", func(t *testing.T) {
		goesOn(t, func(w string, k batch.StartCmd) batch.Msg {
			return batch.StoppedMsg{Worker: w, Task: k.Task, Run: k.Run, Result: batch.Fenced, Fence: k.Fence}
		})
	})
	t.Run("a poll under the newest number ends it", func(t *testing.T) {
		p := play(t, func(w string, _ batch.StartCmd, newest int64) batch.Msg {
			return batch.PolledMsg{Worker: w, Result: batch.Fenced, Fence: newest}
		})
		is.New(t).Equal(len(p.owners), 0)
	})
}
