package place

import (
	"flag"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "5s")
}

// newTestPlacer returns a placer with n workers of 8 cores and 8000 MB, two in each rack.
func newTestPlacer(n int) *Placer {
	p := New()
	var l []Worker
	for i := range n {
		l = append(l, Worker{Name: fmt.Sprintf("w%d", i), Rack: fmt.Sprintf("r%d", i/2), Size: Size{Cores: 8, MemoryMB: 8000}})
	}
	p.Update(WorkersMsg{Workers: l})
	return p
}

func job(id string, cores float64) Job {
	return Job{ID: id, Kind: "k" + id, Team: "t", Declared: Size{Cores: cores, MemoryMB: 1000 * cores}, RunMillis: 1000, FinishByMillis: 100_000}
}

// tick sends a TickMsg and returns the start commands by job.
func tick(p *Placer, at int64) map[string]StartCmd {
	l := map[string]StartCmd{}
	for _, c := range p.Update(TickMsg{AtMillis: at}) {
		if s, ok := c.(StartCmd); ok {
			l[s.Task.Job] = s
		}
	}
	return l
}

func TestPlacer(t *testing.T) {
	t.Run("a job that can never run is given up at once", func(t *testing.T) {
		j := job("a", 1)
		j.Declared.Accelerators = 1
		is.New(t).Equal(newTestPlacer(2).Update(SubmitMsg{Jobs: []Job{j}}), []Cmd{GiveUpCmd{Job: "a", Reason: NoWorker}})
	})
	t.Run("a job is given up when it ran out of memory with that of a whole worker", func(t *testing.T) {
		p := newTestPlacer(2)
		p.Update(SubmitMsg{Jobs: []Job{job("a", 5)}})
		for at := int64(1); at < 3; at++ {
			s := tick(p, at)["a"]
			c := p.Update(EndedMsg{AtMillis: at, Task: s.Task, State: OutOfMemory})
			is.New(t).Equal(len(c) == 1, s.Size.MemoryMB == 8000)
		}
		is.New(t).Equal(p.Waiting(), 0)
	})
	t.Run("a job that always fails is given up and its workers stay healthy", func(t *testing.T) {
		p := newTestPlacer(5)
		p.Update(SubmitMsg{Jobs: []Job{job("a", 1)}})
		var c []Cmd
		for at := int64(1); at <= maxFailedWorkers; at++ {
			c = p.Update(EndedMsg{AtMillis: at, Task: tick(p, at)["a"].Task, State: Failed})
		}
		is.New(t).Equal(c, []Cmd{GiveUpCmd{Job: "a", Reason: RepeatedlyFailed}})
		for i := range 5 {
			is.New(t).True(!p.IsQuarantined(fmt.Sprintf("w%d", i)))
		}
	})
	t.Run("a worker that always fails is quarantined and tried again with one job", func(t *testing.T) {
		p := newTestPlacer(4)
		failAll := func(at int64) int {
			n := 0
			for _, s := range tick(p, at) {
				how := Done
				if s.Worker == "w0" {
					n, how = n+1, Failed
				}
				p.Update(EndedMsg{AtMillis: at, Task: s.Task, State: how})
			}
			return n
		}
		for i := range 30 {
			p.Update(SubmitMsg{Jobs: []Job{job(fmt.Sprint(i), 1)}})
		}
		for at := range int64(10) {
			failAll(at + 1)
		}
		is.New(t).True(p.IsQuarantined("w0"))
		is.New(t).Equal(p.Waiting(), 0) // every job ran elsewhere.
		for i := range 32 {
			p.Update(SubmitMsg{Jobs: []Job{job(fmt.Sprint("b", i), 1)}})
		}
		is.New(t).True(failAll(minQuarantineMillis+20) <= 1)
	})
	t.Run("failures on quarantined workers do not count against the job", func(t *testing.T) {
		p := newTestPlacer(5)
		p.Update(SubmitMsg{Jobs: []Job{job("a", 1)}})
		for at := int64(1); at <= maxFailedWorkers; at++ {
			s := tick(p, at)["a"]
			p.workers[s.Worker].quarantineMillis = minQuarantineMillis
			is.New(t).Equal(len(p.Update(EndedMsg{AtMillis: at, Task: s.Task, State: Failed})), 0)
		}
		is.New(t).Equal(p.Waiting(), 1)
	})
	t.Run("reservations follow the measured usage", func(t *testing.T) {
		p := newTestPlacer(1)
		for at := int64(1); at < 6; at++ {
			j := job(fmt.Sprint(at), 8)
			j.Kind = "k"
			p.Update(SubmitMsg{Jobs: []Job{j}})
			for _, s := range tick(p, at) {
				is.New(t).Equal(s.Size.Cores < 2, at > minSamples)
				p.Update(UsageMsg{Task: s.Task, Used: Size{Cores: 1, MemoryMB: 100}})
				p.Update(EndedMsg{AtMillis: at, Task: s.Task, State: Done})
			}
		}
	})
	t.Run("a canceled job is stopped", func(t *testing.T) {
		p := newTestPlacer(1)
		p.Update(SubmitMsg{Jobs: []Job{job("a", 5), job("b", 5)}})
		s := tick(p, 1)["a"]
		is.New(t).Equal(p.Update(CancelMsg{Jobs: []string{"a", "b"}}), []Cmd{StopCmd{Task: s.Task, Worker: "w0"}})
		p.Update(EndedMsg{AtMillis: 2, Task: s.Task, State: Stopped})
		is.New(t).Equal(len(tick(p, 3)), 0)
	})
	t.Run("urgent work starts at once in a full pool", func(t *testing.T) {
		p := newTestPlacer(2)
		for i := range 4 {
			p.Update(SubmitMsg{Jobs: []Job{{ID: fmt.Sprint(i), Kind: "k", Declared: Size{Cores: 4, MemoryMB: 1000}, FinishByMillis: 1}}})
		}
		is.New(t).Equal(len(tick(p, 1)), 4)
		u := job("u", 2)
		u.Urgent = true
		p.Update(SubmitMsg{AtMillis: 2, Jobs: []Job{u}})
		is.New(t).Equal(len(tick(p, 2)), 1)
	})
	t.Run("without free memory, tasks are checkpointed before urgent work starts", func(t *testing.T) {
		p := newTestPlacer(1)
		p.Update(SubmitMsg{Jobs: []Job{job("a", 8)}})
		s := tick(p, 1)["a"]
		u := job("u", 2)
		u.Urgent = true
		p.Update(SubmitMsg{AtMillis: 2, Jobs: []Job{u}})
		is.New(t).Equal(p.Update(TickMsg{AtMillis: 2}), []Cmd{CheckpointCmd{Task: s.Task, Worker: "w0"}})
		is.New(t).Equal(len(p.Update(TickMsg{AtMillis: 3})), 0) // commanded only once.
		p.Update(EndedMsg{AtMillis: 4, Task: s.Task, State: Stopped})
		is.New(t).Equal(tick(p, 4)["u"].Worker, "w0")
	})
	t.Run("a team's quota limits its cores", func(t *testing.T) {
		p := newTestPlacer(4)
		p.Update(QuotaMsg{Cores: map[string]float64{"t": 5}})
		p.Update(SubmitMsg{Jobs: []Job{job("a", 2), job("b", 2), job("c", 2)}})
		is.New(t).Equal(len(tick(p, 1)), 2)
	})
	t.Run("jobs of unknown kinds start earlier", func(t *testing.T) {
		var known, unknown kindStats
		for range 5 {
			known.run.add(1000)
		}
		is.New(t).True(known.runMillis(1000) < unknown.runMillis(1000))
	})
	t.Run("an expired lease starts no second copy of a job that must run once", func(t *testing.T) {
		p := newTestPlacer(2)
		j := job("a", 1)
		j.RunOnce = true
		p.Update(SubmitMsg{Jobs: []Job{j, job("b", 1)}})
		s := tick(p, 1)
		p.Update(LeaseExpiredMsg{AtMillis: 2, Task: s["a"].Task})
		p.Update(LeaseExpiredMsg{AtMillis: 2, Task: s["b"].Task})
		l := tick(p, 3)
		is.New(t).Equal(len(l), 1)
		is.New(t).Equal(l["b"].Task.Attempt, 2)
		p.Update(EndedMsg{AtMillis: 4, Task: s["b"].Task, State: Failed}) // a message about the former attempt is ignored.
		is.New(t).Equal(p.Running(), 2)
		p.Update(EndedMsg{AtMillis: 5, Task: s["a"].Task, State: Stopped})
		is.New(t).Equal(tick(p, 6)["a"].Task.Attempt, 2)
	})
}

// commandChecker follows the commands and checks that no worker is overcommitted and that no run-once job has two copies.
type commandChecker struct {
	*rapid.T
	running   map[Task]StartCmd
	throttled map[Task]bool
	copies    map[string]int // possibly running copies by job, including those whose lease expired.
	runOnce   map[string]bool
}

func (c *commandChecker) check(l []Cmd) {
	for _, m := range l {
		switch m := m.(type) {
		case StartCmd:
			c.running[m.Task] = m
			if c.copies[m.Task.Job]++; c.runOnce[m.Task.Job] && c.copies[m.Task.Job] > 1 {
				c.Fatalf("%+v starts a second copy of a run-once job", m.Task)
			}
		case ThrottleCmd:
			c.throttled[m.Task] = m.On
		}
	}
	used := map[string]Size{}
	for _, s := range c.running {
		u := used[s.Worker]
		k := 1.0
		if c.throttled[s.Task] {
			k = throttledShare
		}
		used[s.Worker] = Size{Cores: u.Cores + k*s.Size.Cores, MemoryMB: u.MemoryMB + s.Size.MemoryMB}
	}
	for w, u := range used {
		if u.Cores > 8+1e-6 || u.MemoryMB > 8000+1e-6 {
			c.Fatalf("worker %s is overcommitted: %+v reserved", w, u)
		}
	}
}

// TestTraces sends random messages to a placer and checks its commands after each one.
func TestTraces(t *testing.T) {
	starts := 0
	rapid.Check(t, func(t *rapid.T) {
		p := newTestPlacer(3)
		c := &commandChecker{T: t, running: map[Task]StartCmd{}, throttled: map[Task]bool{}, copies: map[string]int{}, runOnce: map[string]bool{}}
		at, ids := int64(1), []Task(nil)
		for _, u := range rapid.SliceOfN(rapid.Uint32Range(0, 1<<20), 100, 300).Draw(t, "trace") {
			at += int64(u % 700)
			n := u / 8
			var old Task
			if len(ids) > 0 {
				old = ids[int(n)%len(ids)]
			}
			_, runs := c.running[old]
			switch u % 8 {
			case 0, 1, 2:
				j := job(fmt.Sprint("j", len(c.runOnce)), float64(n%8+1)/2)
				j.Kind, j.Urgent, j.RunOnce = fmt.Sprint(n%3), n%5 == 0, n%2 == 0
				c.runOnce[j.ID] = j.RunOnce
				c.check(p.Update(SubmitMsg{AtMillis: at, Jobs: []Job{j}}))
			case 3, 4:
				if runs {
					p.Update(UsageMsg{Task: old, Used: Size{Cores: float64(n%6) + 0.5, MemoryMB: float64(n%6)*900 + 100}})
					delete(c.running, old)
					c.copies[old.Job]--
					c.check(p.Update(EndedMsg{AtMillis: at, Task: old, State: EndState(n / 16 % 4)}))
				}
			case 5:
				if runs && !c.runOnce[old.Job] {
					delete(c.running, old) // the placer frees the reservation when the lease expires.
				}
				c.check(p.Update(LeaseExpiredMsg{AtMillis: at, Task: old}))
			case 6:
				c.check(p.Update(CancelMsg{Jobs: []string{fmt.Sprint("j", n%20)}}))
			case 7:
				l := p.Update(TickMsg{AtMillis: at})
				c.check(l)
				for _, m := range l {
					if s, ok := m.(StartCmd); ok {
						ids, starts = append(ids, s.Task), starts+1
					}
				}
			}
		}
	})
	is.New(t).True(starts > 100)
	t.Log("starts:", starts)
}

func ExamplePlacer() {
	p := New()
	p.Update(WorkersMsg{Workers: []Worker{{Name: "w1", Rack: "r1", Size: Size{Cores: 4, MemoryMB: 1000}}}})
	p.Update(SubmitMsg{Jobs: []Job{{ID: "ledger", Kind: "ledger", Declared: Size{Cores: 2, MemoryMB: 500}}}})
	for _, c := range p.Update(TickMsg{AtMillis: 1}) {
		fmt.Println(c.(StartCmd).Task.Job, c.(StartCmd).Worker)
	}
	// Output: ledger w1
}

func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{50, 9000} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			p := New()
			var l []Worker
			for i := range n {
				l = append(l, Worker{Name: fmt.Sprintf("w%d", i), Rack: fmt.Sprintf("r%d", i/4), Size: Size{Cores: 32, MemoryMB: 65_536}})
			}
			p.Update(WorkersMsg{Workers: l})
			b.ResetTimer()
			for i := range b.N {
				id := fmt.Sprint(i)
				p.Update(SubmitMsg{Jobs: []Job{{ID: id, Kind: fmt.Sprint(i % 50), Declared: Size{Cores: float64(1 + i%8), MemoryMB: 4000}, FinishByMillis: int64(i)}}})
				p.Update(TickMsg{AtMillis: int64(i)})
				if i >= 4*n {
					p.Update(EndedMsg{AtMillis: int64(i), Task: Task{Job: fmt.Sprint(i - 4*n), Attempt: 1}, State: Done})
				}
			}
		})
	}
}
