package batch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"burdockreach.dev/fleet/batch"
)

// slowSpells are times in which some workers take 3 to 5 times as long as usual.
type slowSpells struct {
	rnd     *rand.Rand
	workers int // slow workers in a spell.
	open    []*slowSpell
	noticed []int64 // from the beginning of each spell until the owner took the worker for slow, ms; the spell's length if it did not.
	cleared []int64 // from the end of each spell that was noticed until it no longer did, ms.
}

type slowSpell struct {
	worker     string
	from, to   int64
	noticed    bool
	noticedAt  int64
	isLastSlow bool // the owner took it for slow in the last step.
}

const (
	spellMs      = 10_000
	spellEveryMs = 12_000
	takenForSlow = 2.0
)

// step begins and ends spells, and notes when the owner notices.
func (o *slowSpells) step(w *simulation) {
	for _, s := range o.open {
		o.watch(s, w)
	}
	o.open = slices.DeleteFunc(o.open, func(s *slowSpell) bool { return w.now >= s.to && !s.isLastSlow })
	if w.now < 4_000 || w.now%spellEveryMs != 0 {
		return
	}
	l := slices.Clone(w.workers)
	o.rnd.Shuffle(len(l), func(i, k int) { l[i], l[k] = l[k], l[i] })
	for _, f := range l[:o.workers] {
		f.SetSlowness(3 + 2*o.rnd.Float64())
		w.schedule(spellMs, func() { f.SetSlowness(1) })
		o.open = append(o.open, &slowSpell{worker: f.ID(), from: w.now, to: w.now + spellMs})
	}
}

func (o *slowSpells) watch(s *slowSpell, w *simulation) {
	slow := batch.Slowdown(w.owners[0].m, s.worker) >= takenForSlow
	switch {
	case slow && !s.noticed && w.now < s.to:
		s.noticed, s.noticedAt = true, w.now
		o.noticed = append(o.noticed, w.now-s.from)
	case w.now == s.to && !s.noticed:
		o.noticed = append(o.noticed, spellMs)
	case w.now >= s.to && !slow && s.noticed:
		o.cleared = append(o.cleared, w.now-s.to)
	}
	s.isLastSlow = slow && s.noticed
}

// slowResult is the mean of some plays with slow workers.
type slowResult struct {
	callerResult
	noticedMs, clearedMs int64 // medians.
}

// String returns the result as text.
func (x slowResult) String() string {
	return fmt.Sprintf("in time %.3f, late %.3f, lost %.3f, %.4f done twice, noticed after %d ms, cleared after %d ms",
		x.inTime, x.late, x.lost, x.twice, x.noticedMs, x.clearedMs)
}

// playSlow plays a load of the given multiple of what 20 workers can serve, while so many of them at a time are slow.
func playSlow(t *testing.T, load float64, slow int, speeds bool) slowResult {
	t.Helper()
	const seeds = 2
	var x slowResult
	var noticed, cleared []int64
	for s := uint64(1); s <= seeds; s++ {
		o := &slowSpells{rnd: rand.New(rand.NewPCG(s, 3)), workers: slow}
		r := callerLoad{
			seed: s, pools: pools(map[string]int{"s": 20}), noStandby: true, copies: true,
			queues: map[string]queueLoad{"s": {kind: checks, cores: steady(load * 20 * machineCPU / 1000)}},
			from:   4_000, to: 40_000, until: 56_000, each: o.step, speeds: speeds,
		}.play(t)
		x.inTime, x.late, x.lost, x.twice = x.inTime+r.inTime/seeds, x.late+r.late/seeds, x.lost+r.lost/seeds, x.twice+r.twice/seeds
		noticed, cleared = append(noticed, o.noticed...), append(cleared, o.cleared...)
	}
	x.noticedMs, x.clearedMs = median(noticed), median(cleared)
	return x
}

// steady returns a load of so many cores for 40 s.
func steady(cores float64) func(int64) float64 {
	return func(now int64) float64 {
		if now < 2_000 || now > 42_000 {
			return 0
		}
		return cores
	}
}

func median(l []int64) int64 {
	if len(l) == 0 {
		return 0
	}
	slices.Sort(l)
	return l[len(l)/2]
}

// While three of 20 workers take 3 to 5 times as long, more jobs end in time if the speeds of workers are learned from the progress of
// their runs. Without slow workers this costs nothing, and no more work is done twice.
func TestSlowWorkers(t *testing.T) {
	for _, load := range []float64{0.7, 0.9, 1.1} {
		for _, c := range []struct {
			slow int
			gain float64 // in the share of jobs in time.
		}{{0, -0.02}, {3, 0.07}} {
			t.Run(fmt.Sprintf("load %.1f, %d slow", load, c.slow), func(t *testing.T) {
				is := is.New(t)
				without, with := playSlow(t, load, c.slow, false), playSlow(t, load, c.slow, true)
				t.Logf("without: %v; with: %v", without, with)
				is.True(with.inTime >= without.inTime+c.gain)
				is.True(with.twice <= without.twice+0.005)
				is.True(c.slow == 0 || with.noticedMs <= 2_000 && with.clearedMs <= 2_000)
			})
		}
	}
}

// speedHarness is a harness that learns the speeds of three workers. Each has four runs of one job at first.
type speedHarness struct {
	*harness
	begun   []int64          // when each run began, in the order of the starts.
	slow    map[string]int64 // factors by which workers are slow.
	noCount bool             // the runs report no progress.
}

const (
	speedRunMs  = 3_000
	speedListMs = 100
)

func newSpeedHarness(t *testing.T, speeds bool) *speedHarness {
	t.Helper()
	b := &speedHarness{harness: newHarnessOf(batch.Config{WorkerSpeed: speeds}, "w0", "w1", "w2"), slow: map[string]int64{"w0": 5}}
	b.Update(b.now, batch.LoadedMsg{})
	b.advance(100)
	b.submit(1, batch.Step{Count: 12, Size: batch.Size{CPU: 250, MemMB: 10}, PerWorker: 4})
	b.advance(50)
	is.New(t).Equal(len(b.starts), 12)
	return b
}

func (b *speedHarness) submit(n int, s batch.Step) {
	j := plainJob(n)
	s.EstimateMs = speedRunMs
	j.Steps = []batch.Step{s}
	b.Update(b.now, batch.SubmitMsg{Ref: uint64(n), Job: j})
}

// play lets ms milliseconds pass, in which the workers list their runs.
func (b *speedHarness) play(ms int64) {
	for end := b.now + ms; b.now < end; {
		b.advance(speedListMs)
		l := map[string][]batch.ActiveRun{}
		for i, c := range b.starts {
			if i == len(b.begun) {
				b.begun = append(b.begun, b.now)
			}
			l[c.Worker] = append(l[c.Worker], batch.ActiveRun{Task: c.Task, Run: c.Run, Percent: b.percent(i)})
		}
		for _, w := range []string{"w0", "w1", "w2"} {
			b.listRuns(w, l[w])
		}
	}
}

func (b *speedHarness) percent(i int) int {
	if b.noCount {
		return 0
	}
	ms := (b.now - b.begun[i]) / max(b.slow[b.starts[i].Worker], 1)
	return int(min(100*ms/speedRunMs, 99))
}

// startsOf returns the workers at which tasks of the job were started.
func (b *speedHarness) startsOf(job int) []string {
	var l []string
	for _, c := range b.starts {
		if c.Task.Job == jobID(job) {
			l = append(l, c.Worker)
		}
	}
	slices.Sort(l)
	return l
}

// A slow worker gets no tasks while others have room, and a job that fits nowhere else is not left waiting for long.
func TestSlowWorkerGetsNoTasks(t *testing.T) {
	wide := batch.Step{Count: 2, Size: batch.Size{CPU: 3000, MemMB: 10}, PerWorker: 1}
	t.Run("speeds not learned", func(t *testing.T) {
		b := newSpeedHarness(t, false)
		b.play(1_500)
		b.submit(2, wide)
		b.play(100)
		is.New(t).Equal(b.startsOf(2), []string{"w0", "w1"})
	})
	t.Run("slow worker", func(t *testing.T) {
		is := is.New(t)
		b := newSpeedHarness(t, true)
		b.play(1_500)
		b.submit(2, wide)
		b.submit(3, batch.Step{Count: 1, Size: wide.Size})
		b.play(1_500)
		is.Equal(b.startsOf(2), []string{"w1", "w2"})
		is.Equal(len(b.startsOf(3)), 0)
		b.play(800)
		is.Equal(b.startsOf(3), []string{"w0"})
	})
	t.Run("gang that needs all workers", func(t *testing.T) {
		is := is.New(t)
		b := newSpeedHarness(t, true)
		b.play(1_500)
		b.submit(2, batch.Step{Count: 3, Size: wide.Size, PerWorker: 1, Gang: true})
		b.play(1_500)
		is.Equal(len(b.startsOf(2)), 0)
		b.play(800)
		is.Equal(b.startsOf(2), []string{"w0", "w1", "w2"})
	})
	t.Run("most of the pool", func(t *testing.T) {
		is := is.New(t)
		b := newSpeedHarness(t, true)
		b.slow = map[string]int64{"w0": 12, "w1": 8}
		b.play(2_500)
		is.True(batch.Slowdown(b.Model, "w1") >= takenForSlow)
		b.submit(2, wide)
		b.play(100)
		is.Equal(b.startsOf(2), []string{"w1", "w2"})
	})
	t.Run("tasks that report no progress", func(t *testing.T) {
		b := newSpeedHarness(t, true)
		b.noCount = true
		b.play(2_000)
		is.New(t).Equal(batch.Slowdown(b.Model, "w0"), 1.0)
	})
	t.Run("a new lifetime is not slow", func(t *testing.T) {
		is := is.New(t)
		b := newSpeedHarness(t, true)
		b.play(1_500)
		is.True(batch.Slowdown(b.Model, "w0") >= takenForSlow)
		b.Update(b.now, batch.PolledMsg{Worker: "w0", Sent: b.now, ClockMs: 5, Born: 2})
		is.Equal(batch.Slowdown(b.Model, "w0"), 1.0)
	})
}
