package worker

import (
	"maps"
	"slices"

	"burdockreach.dev/fleet/batch"
)

// MaxLeaseMs is the longest lease that a worker grants unless SetMaxLease changes it, in milliseconds.
const MaxLeaseMs = 6000

// Never is a time, or a duration, in milliseconds that no test reaches: for a run that does not end by itself, or a power loss
// without end.
const Never = int64(1) << 60

// Run is one run of a task at a worker. Its times are milliseconds on the simulation's clock, not on the worker's.
type Run struct {
	Task    batch.TaskName
	Number  int
	StartMs int64
	EndMs   int64
	Reason  batch.EndReason
	Size    batch.Size
	Lasting bool

	crashMs  int64 // when it crashes the worker; 0 for never.
	outageMs int64 // for how long.

	workMs   int64   // run time at full speed.
	doneMs   float64 // of it, at sinceMs.
	sinceMs  int64
	slowness float64 // factor by which it takes longer since then.
}

// done returns the part of the run's work that is done by now, as run time at full speed.
func (r *Run) done(now int64) float64 { return r.doneMs + float64(now-r.sinceMs)/r.slowness }

// setSlowness makes the run take a multiple of its time from now on.
func (r *Run) setSlowness(now int64, factor float64) {
	r.doneMs, r.sinceMs, r.slowness = r.done(now), now, factor
	if r.EndMs != Never {
		r.EndMs = now + int64(max(float64(r.workMs)-r.doneMs, 0)*factor)
	}
}

// Plan sets in advance how a run behaves: how long it takes, how it ends, and which resources of the worker it uses.
type Plan struct {
	RunMs   int64 // Never for a run that does not end by itself.
	Reason  batch.EndReason
	Size    batch.Size
	Lasting bool // the run reports 100 percent once it has started up, however long it takes.

	NoTicket     bool  // the worker refuses to start it, because its ticket is missing or not valid.
	CrashAfterMs int64 // the run crashes its worker after this time; 0 for never.
	OutageMs     int64 // how long the worker is without power after that crash.
}

// Hooks are callbacks for the events of a worker; each may be nil.
type Hooks struct {
	Begun func(w *Worker, r *Run)
	Ended func(w *Worker, r *Run, how batch.EndReason) // how is empty when the worker crashed.
	Fatal func(w *Worker, r *Run)                      // the run crashes the worker.
	Acked func(w *Worker, e batch.EndedRun)            // the caller has acknowledged an end after which the worker's lease has not expired.
}

// Worker simulates one worker. It is not safe for concurrent use.
type Worker struct {
	id             string
	capacity       batch.Size
	clockRate      float64 // milliseconds of the worker's clock per millisecond of the simulation's.
	hooks          Hooks
	nowMs          int64
	bornMs         int64
	previousBornMs int64 // bornMs of the previous lifetime.
	offUntilMs     int64 // the worker is without power until this time.

	maxLeaseMs   int64 // longest lease that it grants.
	clockStartMs int64 // what its clock showed when the lifetime began.
	nextClockMs  int64 // the same for the next lifetime.
	fence        int64 // newest fencing token received.
	leaseUntilMs int64 // end of the lease, on the worker's clock.
	runs         []*Run
	ended        []batch.EndedRun // ends that the caller has not acknowledged.
	lastEnd      int64            // number of the newest end.
	ackedEnd     int64            // the caller has acknowledged the ends up to this number.
	lapsedEnd    int64            // the lease expired after the ends up to this number.
	highestRun   map[string]int   // highest run number that was stopped or has ended, by task.
	used         batch.Size

	unguarded bool             // it starts tasks that do not fit.
	shrunk    []formerCapacity // capacities before recent changes.

	slowness float64 // factor by which its runs take longer.
	refusing bool    // the last crash was a run's doing: the process has ended, and the machine refuses connections.
}

// New returns a worker whose lifetime begins at now, in milliseconds of the simulation's clock. Its own clock advances by clockRate
// milliseconds per millisecond of the simulation's.
func New(id string, capacity batch.Size, clockRate float64, now int64, h Hooks) *Worker {
	return &Worker{
		id: id, capacity: capacity, clockRate: clockRate, hooks: h, nowMs: now, bornMs: now, maxLeaseMs: MaxLeaseMs, highestRun: map[string]int{}, slowness: 1,
	}
}

// ID returns the worker's id.
func (w *Worker) ID() string { return w.id }

// Capacity returns the worker's capacity.
func (w *Worker) Capacity() batch.Size { return w.capacity }

// SetCapacity changes the worker's capacity. The former one counts for shrinkGraceMs more.
func (w *Worker) SetCapacity(s batch.Size) {
	w.shrunk = append(w.shrunk, formerCapacity{size: w.capacity, untilMs: w.nowMs + shrinkGraceMs})
	w.capacity = s
}

// SetMaxLease sets the longest lease that the worker grants, in milliseconds.
func (w *Worker) SetMaxLease(ms int64) { w.maxLeaseMs = ms }

// SetUnguarded makes the worker start tasks that do not fit.
func (w *Worker) SetUnguarded() { w.unguarded = true }

// shrinkGraceMs is the time in milliseconds after which a start must respect a smaller capacity: the owner has to learn of it.
const shrinkGraceMs = 4500

// formerCapacity is a capacity that the worker had, and how long it counts.
type formerCapacity struct {
	size    batch.Size
	untilMs int64
}

// SetSlowness makes all runs, also later ones, take the given multiple of their time from now on, until the worker's lifetime ends.
func (w *Worker) SetSlowness(factor float64) {
	w.slowness = factor
	for _, r := range w.runs {
		r.setSlowness(w.nowMs, factor)
	}
}

// Overfilled reports whether the worker runs more than its present capacity and each recent one holds.
func (w *Worker) Overfilled() bool {
	w.shrunk = slices.DeleteFunc(w.shrunk, func(f formerCapacity) bool { return f.untilMs <= w.nowMs })
	return !w.used.Fits(w.capacity) && !slices.ContainsFunc(w.shrunk, func(f formerCapacity) bool { return w.used.Fits(f.size) })
}

// Born returns the start of the lifetime that the worker's entry in the store shows. While the worker has no power, the entry
// still shows the previous lifetime.
func (w *Worker) Born() int64 {
	if w.PoweredOff() {
		return w.previousBornMs
	}
	return w.bornMs
}

// LifetimeStart returns the start of the current lifetime or, while the worker has no power, of the next one.
func (w *Worker) LifetimeStart() int64 { return w.bornMs }

// PoweredOff reports whether the worker has no power.
func (w *Worker) PoweredOff() bool { return w.offUntilMs > w.nowMs }

// Clock returns the time on the worker's own clock, in milliseconds. It begins at 0 in each lifetime, unless SetNextClock changes that.
func (w *Worker) Clock() int64 {
	return w.clockStartMs + max(int64(float64(w.nowMs-w.bornMs)*w.clockRate), 0)
}

// SetNextClock sets what the clock of the next lifetime shows when it begins, in milliseconds.
func (w *Worker) SetNextClock(ms int64) { w.nextClockMs = ms }

// Runs returns the active runs.
func (w *Worker) Runs() []*Run { return slices.Clone(w.runs) }

// Crash cuts the worker's power and ends its runs. A new lifetime, without runs, ends, lease or fencing token, begins after ms
// milliseconds.
func (w *Worker) Crash(ms int64) {
	if w.PoweredOff() {
		return
	}
	for _, r := range w.runs {
		w.notifyEnded(r, "")
	}
	w.previousBornMs, w.offUntilMs, w.bornMs = w.bornMs, w.nowMs+ms, w.nowMs+ms
	w.fence, w.leaseUntilMs, w.runs, w.ended, w.lastEnd, w.ackedEnd, w.lapsedEnd, w.used = 0, 0, nil, nil, 0, 0, 0, batch.Size{}
	w.highestRun = map[string]int{}
	w.refusing, w.slowness, w.clockStartMs = false, 1, w.nextClockMs
}

// crashBy lets a run crash the worker.
func (w *Worker) crashBy(r *Run) {
	if w.hooks.Fatal != nil {
		w.hooks.Fatal(w, r)
	}
	w.Crash(r.outageMs)
	w.refusing = true
}

// RefusesConnections reports whether the worker's process has ended by a run's doing, and its machine refuses connections.
func (w *Worker) RefusesConnections() bool { return w.PoweredOff() && w.refusing }

func (w *Worker) notifyEnded(r *Run, how batch.EndReason) {
	if w.hooks.Ended != nil {
		w.hooks.Ended(w, r, how)
	}
}

// Advance moves the simulation's time to now, in milliseconds, and ends the runs that have finished or whose lease has expired.
func (w *Worker) Advance(now int64) {
	w.nowMs = max(w.nowMs, now)
	if w.PoweredOff() {
		return
	}
	if w.Clock() > w.leaseUntilMs {
		w.lapsedEnd = w.lastEnd
	}
	for _, r := range slices.Clone(w.runs) {
		switch {
		case w.Clock() > w.leaseUntilMs:
			w.endRun(r, batch.EndLapsed)
		case r.crashMs != 0 && w.nowMs >= r.crashMs:
			w.crashBy(r)
			return
		case w.nowMs >= r.EndMs:
			w.endRun(r, r.Reason)
		}
	}
}

func (w *Worker) endRun(r *Run, how batch.EndReason) {
	w.runs = slices.DeleteFunc(w.runs, func(o *Run) bool { return o == r })
	w.used = subtract(w.used, r.Size)
	w.lastEnd++
	w.ended = append(w.ended, batch.EndedRun{Number: w.lastEnd, Task: r.Task, Run: r.Number, Reason: how})
	n := r.Task.String()
	w.highestRun[n] = max(w.highestRun[n], r.Number)
	w.notifyEnded(r, how)
}

func subtract(a, b batch.Size) batch.Size {
	return batch.Size{CPU: a.CPU - b.CPU, MemMB: a.MemMB - b.MemMB, GPU: a.GPU - b.GPU}
}

// fenced reports whether fence is older than the newest fencing token that the worker has received. If not, it records fence as
// the newest.
func (w *Worker) fenced(fence int64) bool {
	if fence < w.fence {
		return true
	}
	w.fence = fence
	return false
}

// extendLease extends the lease to until, but at most to maxLeaseMs from now. It never shortens the lease.
func (w *Worker) extendLease(until int64) {
	w.leaseUntilMs = max(w.leaseUntilMs, min(until, w.Clock()+w.maxLeaseMs))
}

// HasUnackedEnds reports whether a run has ended that the caller has not acknowledged.
func (w *Worker) HasUnackedEnds(lastSeen int64) bool { return w.lastEnd > max(lastSeen, w.ackedEnd) }

// Hold extends the lease, removes the ends that the caller acknowledges, and returns the active runs and the remaining ends.
func (w *Worker) Hold(c batch.PollCmd) batch.PolledMsg {
	if w.fenced(c.Fence) {
		return batch.PolledMsg{Worker: w.id, Born: w.bornMs, ClockMs: w.Clock(), Result: batch.Fenced}
	}
	w.extendLease(c.UntilMs)
	for _, e := range w.ended {
		if e.Number <= c.ForgetUpTo && e.Number > w.lapsedEnd && w.hooks.Acked != nil {
			w.hooks.Acked(w, e)
		}
	}
	w.ackedEnd = max(w.ackedEnd, c.ForgetUpTo)
	w.ended = slices.DeleteFunc(w.ended, func(e batch.EndedRun) bool { return e.Number <= w.ackedEnd })
	return w.Lists()
}

// Lists returns the active runs and the ended runs, as the answer to a call that the worker took earlier.
func (w *Worker) Lists() batch.PolledMsg {
	g := batch.PolledMsg{Worker: w.id, Born: w.bornMs, ClockMs: w.Clock()}
	for _, r := range w.runs {
		g.Running = append(g.Running, batch.ActiveRun{Task: r.Task, Run: r.Number, Percent: w.percentDone(r)})
	}
	g.Ended = slices.Clone(w.ended)
	return g
}

// startupMs is the time after which a lasting run has started up and reports 100 percent.
const startupMs = 300

func (w *Worker) percentDone(r *Run) int {
	span := max(r.workMs, 1)
	if r.EndMs == Never || r.Lasting {
		span = startupMs
	}
	return int(min(100*int64(r.done(w.nowMs))/span, 100))
}

// Start starts a run that behaves as p says.
func (w *Worker) Start(c batch.StartCmd, p Plan) batch.Result {
	n := c.Task.String()
	isActive := func(r *Run) bool { return r.Task == c.Task && r.Number == c.Run }
	if w.fenced(c.Fence) {
		return batch.Fenced
	}
	if c.UntilMs < w.Clock() {
		return batch.Expired
	}
	w.extendLease(c.UntilMs)
	switch {
	case slices.ContainsFunc(w.runs, isActive):
		return batch.OK
	case c.Run <= w.highestRun[n]:
		return batch.StaleRun
	case p.NoTicket:
		return batch.NoTicket
	case !w.unguarded && !p.Size.Fits(subtract(w.capacity, w.used)):
		return batch.NoRoom
	}
	r := &Run{
		Task: c.Task, Number: c.Run, StartMs: w.nowMs, EndMs: Never, Reason: p.Reason, Size: p.Size, Lasting: p.Lasting,
		workMs: p.RunMs, sinceMs: w.nowMs, slowness: w.slowness,
	}
	if p.RunMs != Never {
		r.EndMs = w.nowMs + int64(float64(p.RunMs)*w.slowness)
	}
	if p.CrashAfterMs > 0 {
		r.crashMs, r.outageMs = w.nowMs+p.CrashAfterMs, p.OutageMs
	}
	w.runs = append(w.runs, r)
	w.used = batch.Size{CPU: w.used.CPU + p.Size.CPU, MemMB: w.used.MemMB + p.Size.MemMB, GPU: w.used.GPU + p.Size.GPU}
	if w.hooks.Begun != nil {
		w.hooks.Begun(w, r)
	}
	return batch.OK
}

// Stop stops a run and the earlier ones of its task, and refuses to start any of them later.
func (w *Worker) Stop(c batch.StopCmd) batch.Result {
	if w.fenced(c.Fence) {
		return batch.Fenced
	}
	n := c.Task.String()
	w.highestRun[n] = max(w.highestRun[n], c.Run)
	for _, r := range slices.Clone(w.runs) {
		if r.Task == c.Task && r.Number <= c.Run {
			w.endRun(r, batch.EndStopped)
		}
	}
	return batch.OK
}

// Sorted returns the keys of m in ascending order.
func Sorted[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
