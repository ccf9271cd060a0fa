// Package floor is a stand-in of workers: leases on a clock of their own, fences, lifetimes, and lists of what runs and has ended.
package floor

import (
	"maps"
	"slices"

	"burdockreach.dev/fleet/batch"
)

// MaxLeaseMs is the longest lease that a worker grants.
const MaxLeaseMs = 6000

// Never is the end of a run that lasts.
const Never = int64(1) << 60

// Run is one run at a worker; times are of the world's clock.
type Run struct {
	Task   batch.TaskName
	Number int
	From   int64
	End    int64
	How    batch.EndReason
	Size   batch.Size
}

// Plan tells how a run goes: how long it takes, how it ends, and what it takes of the worker.
type Plan struct {
	RunMs int64 // Never for a run that lasts.
	How   batch.EndReason
	Size  batch.Size
}

// Hooks are told what happens at a worker; each may be nil.
type Hooks struct {
	Begun func(w *Worker, r *Run)
	Ended func(w *Worker, r *Run, how batch.EndReason) // how is empty when the lifetime ended.
	Noted func(w *Worker, e batch.EndedRun)            // an end that is forgotten, and was not followed by a lapse.
}

// Worker is one worker; it is not safe for concurrent use.
type Worker struct {
	id     string
	room   batch.Size
	rate   float64 // of its clock against the world's.
	hooks  Hooks
	now    int64
	born   int64
	former int64 // born of the lifetime before.
	dark   int64 // no power until then.

	fence   int64
	until   int64 // of the lease, on the worker's clock.
	runs    []*Run
	ended   []batch.EndedRun
	counter int64
	seen    int64
	lapsed  int64          // ends up to this one were followed by a lapse.
	highest map[string]int // run stopped or ended, by task.
	used    batch.Size
}

// New returns a worker that was born at now; its clock runs at rate.
func New(id string, room batch.Size, rate float64, now int64, h Hooks) *Worker {
	return &Worker{id: id, room: room, rate: rate, hooks: h, now: now, born: now, highest: map[string]int{}}
}

// ID returns the worker's id.
func (w *Worker) ID() string { return w.id }

// Room returns the worker's capacity.
func (w *Worker) Room() batch.Size { return w.room }

// SetRoom changes the worker's capacity.
func (w *Worker) SetRoom(s batch.Size) { w.room = s }

// Born returns the start of the lifetime, as the list of workers tells it: while there is no power, that of the one before.
func (w *Worker) Born() int64 {
	if w.Dark() {
		return w.former
	}
	return w.born
}

// Lifetime returns the start of the present lifetime, or of the next one while there is no power.
func (w *Worker) Lifetime() int64 { return w.born }

// Dark reports whether the worker has no power.
func (w *Worker) Dark() bool { return w.dark > w.now }

// Clock returns the worker's clock in ms.
func (w *Worker) Clock() int64 { return max(int64(float64(w.now-w.born)*w.rate), 0) }

// Runs returns what runs.
func (w *Worker) Runs() []*Run { return slices.Clone(w.runs) }

// Crash ends the lifetime; a new one begins after ms.
func (w *Worker) Crash(ms int64) {
	if w.Dark() {
		return
	}
	for _, r := range w.runs {
		w.tell(r, "")
	}
	w.former, w.dark, w.born = w.born, w.now+ms, w.now+ms
	w.fence, w.until, w.runs, w.ended, w.counter, w.seen, w.lapsed, w.used = 0, 0, nil, nil, 0, 0, 0, batch.Size{}
	w.highest = map[string]int{}
}

func (w *Worker) tell(r *Run, how batch.EndReason) {
	if w.hooks.Ended != nil {
		w.hooks.Ended(w, r, how)
	}
}

// Pass lets the time pass until now.
func (w *Worker) Pass(now int64) {
	w.now = max(w.now, now)
	if w.Dark() {
		return
	}
	if w.Clock() > w.until {
		w.lapsed = w.counter
	}
	for _, r := range slices.Clone(w.runs) {
		switch {
		case w.Clock() > w.until:
			w.end(r, batch.EndLapsed)
		case w.now >= r.End:
			w.end(r, r.How)
		}
	}
}

func (w *Worker) end(r *Run, how batch.EndReason) {
	w.runs = slices.DeleteFunc(w.runs, func(o *Run) bool { return o == r })
	w.used = minus(w.used, r.Size)
	w.counter++
	w.ended = append(w.ended, batch.EndedRun{Number: w.counter, Task: r.Task, Run: r.Number, Reason: how})
	n := r.Task.String()
	w.highest[n] = max(w.highest[n], r.Number)
	w.tell(r, how)
}

func minus(a, b batch.Size) batch.Size {
	return batch.Size{CPU: a.CPU - b.CPU, MemMB: a.MemMB - b.MemMB, GPU: a.GPU - b.GPU}
}

func (w *Worker) fenced(fence int64) bool {
	if fence < w.fence {
		return true
	}
	w.fence = fence
	return false
}

func (w *Worker) extend(until int64) { w.until = max(w.until, min(until, w.Clock()+MaxLeaseMs)) }

// News reports whether an end is listed that the caller has not seen.
func (w *Worker) News(lastSeen int64) bool { return w.counter > max(lastSeen, w.seen) }

// Hold extends the lease, forgets the ends that were seen, and returns both lists.
func (w *Worker) Hold(c batch.PollCmd) batch.PolledMsg {
	g := batch.PolledMsg{Worker: w.id, Born: w.born, ClockMs: w.Clock()}
	if w.fenced(c.Fence) {
		g.Result = batch.Fenced
		return g
	}
	w.extend(c.UntilMs)
	for _, e := range w.ended {
		if e.Number <= c.ForgetUpTo && e.Number > w.lapsed && w.hooks.Noted != nil {
			w.hooks.Noted(w, e)
		}
	}
	w.seen = max(w.seen, c.ForgetUpTo)
	w.ended = slices.DeleteFunc(w.ended, func(e batch.EndedRun) bool { return e.Number <= w.seen })
	for _, r := range w.runs {
		g.Running = append(g.Running, batch.ActiveRun{Task: r.Task, Run: r.Number, Percent: w.percent(r)})
	}
	g.Ended = slices.Clone(w.ended)
	return g
}

// startupMs is the time until a run that lasts is at work.
const startupMs = 300

func (w *Worker) percent(r *Run) int {
	span := max(r.End-r.From, 1)
	if r.End == Never {
		span = startupMs
	}
	return int(min(100*(w.now-r.From)/span, 100))
}

// Start starts a run that goes as planned.
func (w *Worker) Start(c batch.StartCmd, p Plan) batch.Result {
	n := c.Task.String()
	there := func(r *Run) bool { return r.Task == c.Task && r.Number == c.Run }
	if w.fenced(c.Fence) {
		return batch.Fenced
	}
	if c.UntilMs < w.Clock() {
		return batch.Expired
	}
	w.extend(c.UntilMs)
	switch {
	case slices.ContainsFunc(w.runs, there):
		return batch.OK
	case c.Run <= w.highest[n]:
		return batch.StaleRun
	case !p.Size.Fits(minus(w.room, w.used)):
		return batch.NoRoom
	}
	r := &Run{Task: c.Task, Number: c.Run, From: w.now, End: Never, How: p.How, Size: p.Size}
	if p.RunMs != Never {
		r.End = w.now + p.RunMs
	}
	w.runs = append(w.runs, r)
	w.used = batch.Size{CPU: w.used.CPU + p.Size.CPU, MemMB: w.used.MemMB + p.Size.MemMB, GPU: w.used.GPU + p.Size.GPU}
	if w.hooks.Begun != nil {
		w.hooks.Begun(w, r)
	}
	return batch.OK
}

// Stop stops a run, and keeps it and earlier ones from being started.
func (w *Worker) Stop(c batch.StopCmd) batch.Result {
	if w.fenced(c.Fence) {
		return batch.Fenced
	}
	n := c.Task.String()
	w.highest[n] = max(w.highest[n], c.Run)
	for _, r := range slices.Clone(w.runs) {
		if r.Task == c.Task && r.Number <= c.Run {
			w.end(r, batch.EndStopped)
		}
	}
	return batch.OK
}

// Sorted returns the keys of m in order.
func Sorted[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
