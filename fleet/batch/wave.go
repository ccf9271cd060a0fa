package batch

import (
	"cmp"
	"math"
	"slices"
	"strconv"
)

// maxUpkeepShare is the largest share of a pool's machines that may be out for upkeep at once.
const maxUpkeepShare = 0.34

// maxIdleLoad is the largest CPU share of short tasks at which a machine counts as idle.
const maxIdleLoad = 0.05

// wave is one order of the operator to maintain machines.
type wave struct {
	WaveMsg
	beganAt  int64
	begun    map[string]bool // machines whose upkeep was or may have been ordered.
	finished map[string]bool
	reported bool
	done     bool

	version, storedVersion int
	writing                bool // a transaction with its record is in flight.
	rev                    int64
}

func (m *Model) setWave(g WaveMsg) {
	d := &m.fleet
	w := d.waves[g.Number]
	if g.Withdrawn {
		if w != nil {
			m.releaseUnbegun(w)
			delete(d.waves, g.Number)
		}
		return
	}
	if w == nil {
		w = &wave{beganAt: m.now, begun: map[string]bool{}, finished: map[string]bool{}}
		d.waves[g.Number] = w
		m.log("wave ordered", "", "wave", g.Number, "machines", len(g.Machines), "most", g.MaxDown, "durationMs", g.DurationMs)
	}
	w.WaveMsg = g
	w.done = w.done || g.Completed
}

// releaseUnbegun releases the machines whose upkeep has not begun.
func (m *Model) releaseUnbegun(w *wave) {
	for _, k := range m.fleet.list {
		if k.wave == w && !w.begun[k.Name] {
			m.releaseMachine(k)
		}
	}
}

func (m *Model) loadWaves(l []StoredWave) {
	for _, s := range l {
		w := m.fleet.waves[s.Number]
		if w == nil {
			w = &wave{beganAt: m.now, finished: map[string]bool{}, begun: map[string]bool{}, WaveMsg: WaveMsg{Number: s.Number, Withdrawn: true}}
			m.fleet.waves[s.Number] = w
		}
		w.rev = s.Rev
		for _, n := range s.Begun {
			w.begun[n] = true
		}
		for _, n := range s.Done {
			w.finished[n] = true
		}
	}
}

func (m *Model) waveNumbers() []int {
	l := make([]int, 0, len(m.fleet.waves))
	for n := range m.fleet.waves {
		l = append(l, n)
	}
	slices.Sort(l)
	return l
}

// advanceWave takes the next steps of one wave.
func (m *Model) advanceWave(w *wave) {
	if w.done || w.Withdrawn {
		return
	}
	if !w.reported {
		w.reported = true
		m.emit(ReportCmd{Wave: w.Number})
	}
	left, out := m.waveProgress(w)
	if len(left) == 0 && out == 0 {
		w.done = true
		m.log("wave completed", "", "wave", w.Number, "tookMs", m.now-w.beganAt)
		m.emit(ReportCmd{Wave: w.Number, Completed: true})
		return
	}
	if !m.mayOrder() {
		return
	}
	m.takeOutMachines(w, left, out)
	for _, k := range m.fleet.list {
		if k.wave == w {
			m.prepare(w, k)
		}
	}
}

// waveProgress returns the machines whose upkeep is still to start, and the number of those that are or may be out.
func (m *Model) waveProgress(w *wave) ([]*machine, int) {
	var left []*machine
	out := 0
	for _, n := range w.Machines {
		k := m.fleet.machines[n]
		switch {
		case k == nil || w.finished[n]:
		case k.wave == w:
			out++
		case w.begun[n]: // a former owner may have ordered it; ordering it again shows whether it is done.
			m.takeOut(w, k)
			k.maybeRepeated = true
			out++
		case k.wave == nil && k.targetPool == "":
			left = append(left, k)
		default:
			out++ // in use for another wave or a move.
		}
	}
	return left, out
}

// takeOutMachines takes machines out for the wave: idle ones at any time, busy ones if the time left requires it.
func (m *Model) takeOutMachines(w *wave, left []*machine, out int) {
	span := max(w.beganAt+w.DurationMs-waveMarginMs-m.now, upkeepDurationMs)
	need := int(math.Ceil(float64((len(left)+out)*upkeepDurationMs) / float64(span)))
	slices.SortStableFunc(left, func(a, b *machine) int { return cmp.Compare(m.shortTaskShare(a), m.shortTaskShare(b)) })
	for _, k := range left {
		if out >= w.MaxDown {
			return
		}
		if k.State != MachineUp || !m.belowUpkeepLimit(k) || !m.mayOrderTo(k) {
			continue
		}
		if o := m.workerOf(k); o != nil && !m.knowsRuns(o) || out >= need && !m.canTakeNow(k) {
			continue
		}
		m.takeOut(w, k)
		out++
		m.log("machine taken out", "", "machine", k.Name, "wave", w.Number, "pool", k.Pool, "worker", k.Worker, "load", m.shortTaskShare(k))
	}
}

// takeOut begins to empty a machine for its upkeep.
func (m *Model) takeOut(w *wave, k *machine) {
	k.wave, k.preparingSince, k.oldWorkerID = w, m.now, k.Worker
	m.pool(k.Pool).counts.upkeep++
	if o := m.workerOf(k); o != nil {
		o.cordoned = true
	}
}

// shortTaskShare returns the share of the machine's CPU that short tasks hold.
func (m *Model) shortTaskShare(k *machine) float64 {
	w := m.workerOf(k)
	if w == nil {
		return 0
	}
	n := int64(0)
	for _, r := range w.runs {
		if !r.task.stage.Lasting {
			n += r.task.stage.size().CPU
		}
	}
	return ratio(n, w.Room.CPU)
}

// canTakeNow reports whether the machine is idle and no task of its pool has waited for room lately.
func (m *Model) canTakeNow(k *machine) bool {
	p := m.pool(k.Pool)
	return m.shortTaskShare(k) <= maxIdleLoad && m.now-p.demand.lastWaitingAt > quietAfterMs
}

// belowUpkeepLimit reports whether one more machine of the pool may be out for upkeep.
func (m *Model) belowUpkeepLimit(k *machine) bool {
	t := m.pool(k.Pool).counts
	return float64(t.upkeep+1) <= max(1, maxUpkeepShare*float64(t.machines))
}

// prepare empties a machine and then orders its upkeep.
func (m *Model) prepare(w *wave, k *machine) {
	if k.ackedAt != 0 {
		if m.now-k.ackedAt > arrivalTimeoutMs && k.State == MachineUp && m.fleet.listSentAt > k.ackedAt {
			m.markMaintained(w, k.Name) // the machine is back with the same worker ID.
			m.releaseMachine(k)
		}
		return
	}
	if k.unsentVersion != 0 || k.orderedAt != 0 && m.now-k.orderedAt < upkeepRetryMs {
		return
	}
	if !m.evacuate(k) || !m.mayOrderTo(k) { // also before an order is repeated: the worker may have been replaced.
		return
	}
	if !w.begun[k.Name] {
		w.begun[k.Name] = true
		m.saveWave(w)
	}
	if w.version > w.storedVersion {
		return // the order is sent only after its record is stored.
	}
	if !m.takeOrder() {
		return
	}
	if !k.maybeRepeated {
		k.oldWorkerID = k.Worker // it may have been replaced since the machine was taken out.
	}
	m.sendOrder(k)
}

// evacuate moves lasting tasks off the machine, and reports whether nothing runs there any more.
func (m *Model) evacuate(k *machine) bool {
	o := m.workerOf(k)
	switch {
	case k.unsureSince != 0:
		return false // the worker that is listed may have ended.
	case k.State != MachineUp:
		return !m.mayHaveNewWorker(k)
	case o == nil || o.dead:
		return !m.blind() && !m.mayHaveNewWorker(k)
	}
	o.cordoned = true
	if !m.knowsRuns(o) {
		return false
	}
	for _, r := range o.runsCopy() {
		m.evict(r, m.now-k.preparingSince > shortTaskGraceMs)
	}
	return len(o.runs) == 0
}

// knowsRuns reports whether the owner knows what runs at the worker.
func (m *Model) knowsRuns(w *worker) bool { return w.synced && w.silentSince == 0 }

// evict stops a run if that is allowed: a lasting task if another worker has room for it, and its team's limit too unless urgent is set; a
// short task only if urgent is set.
func (m *Model) evict(r *run, urgent bool) {
	if r.state != running {
		return
	}
	s := r.task.stage
	switch {
	case s.Lasting && (urgent || m.teamAllowsRestart(s)) && m.mayStopLasting(r) && m.hasWorkerFor(r.task):
	case !s.Lasting && urgent:
	default:
		return
	}
	m.log("run evicted", s.job.ID, "task", r.task.name().String(), "run", r.number, "worker", r.worker.ID)
	r.evicted = true
	m.stopRun(r)
}

// row returns the row that stores the progress of the wave.
func (w *wave) row() Row {
	b := encode(StoredWave{Number: w.Number, Begun: sortedKeys(w.begun), Done: sortedKeys(w.finished)})
	return Row{Key: WavePrefix + strconv.Itoa(w.Number), Value: b, Rev: w.rev, Guarded: true}
}

// evictFromDraining stops the tasks at draining workers that would not end in time, lasting ones and those with
// checkpoints, if another worker has room for them.
func (m *Model) evictFromDraining() {
	for _, w := range m.workerList {
		if !w.Draining || w.silentSince != 0 || w.dead {
			continue
		}
		for _, r := range w.runsCopy() {
			s := r.task.stage
			if r.state == running && (s.Lasting || s.Checkpoints) && m.teamAllowsRestart(s) && m.hasWorkerFor(r.task) {
				m.log("run evicted", s.job.ID, "task", r.task.name().String(), "run", r.number, "worker", w.ID, "draining", true)
				r.evicted = true
				m.stopRun(r)
			}
		}
	}
}
