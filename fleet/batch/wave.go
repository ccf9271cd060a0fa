package batch

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
)

// poolShare is the share of a pool's workers that is taken out for upkeep at once.
const poolShare = 0.34

// idleShare is the load below which a worker counts as idle, lasting tasks aside.
const idleShare = 0.05

// wave is one order of the operator to maintain machines.
type wave struct {
	WaveMsg
	begin    int64
	begun    map[string]bool // the upkeep was or may have been ordered.
	finished map[string]bool
	reported bool
	over     bool

	version, stored int
	rev             int64
}

func (m *Model) setWave(g WaveMsg) {
	d := &m.duty
	w := d.waves[g.Number]
	if g.Gone {
		if w != nil {
			m.endWave(w)
			delete(d.waves, g.Number)
		}
		return
	}
	if w == nil {
		w = &wave{begin: m.now, begun: map[string]bool{}, finished: map[string]bool{}}
		d.waves[g.Number] = w
		m.log("wave ordered", "", "wave", g.Number, "machines", len(g.Machines), "most", g.Most, "durationMs", g.DurationMs)
	}
	w.WaveMsg = g
	w.over = w.over || g.Completed
}

// endWave gives the machines back that have not begun.
func (m *Model) endWave(w *wave) {
	for _, k := range m.duty.list {
		if k.wave == w && !w.begun[k.Name] {
			m.release(k)
		}
	}
}

func (m *Model) loadWaves(l []StoredWave) {
	for _, s := range l {
		w := m.duty.waves[s.Number]
		if w == nil {
			w = &wave{begin: m.now, finished: map[string]bool{}, begun: map[string]bool{}, WaveMsg: WaveMsg{Number: s.Number, Gone: true}}
			m.duty.waves[s.Number] = w
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
	l := make([]int, 0, len(m.duty.waves))
	for n := range m.duty.waves {
		l = append(l, n)
	}
	slices.Sort(l)
	return l
}

// runWave takes the next steps of one wave.
func (m *Model) runWave(w *wave) {
	if w.over || w.Gone {
		return
	}
	if !w.reported {
		w.reported = true
		m.do(ReportCmd{Wave: w.Number})
	}
	left, out := m.progressOf(w)
	if len(left) == 0 && out == 0 {
		w.over = true
		m.log("wave completed", "", "wave", w.Number, "tookMs", m.now-w.begin)
		m.do(ReportCmd{Wave: w.Number, Completed: true})
		return
	}
	if !m.mayOrder() {
		return
	}
	m.pick(w, left, out)
	for _, k := range m.duty.list {
		if k.wave == w {
			m.prepare(w, k)
		}
	}
}

// progressOf returns the machines whose upkeep has not been taken up, and the number that are or may be out.
func (m *Model) progressOf(w *wave) ([]*machine, int) {
	var left []*machine
	out := 0
	for _, n := range w.Machines {
		k := m.duty.machines[n]
		switch {
		case k == nil || w.finished[n]:
		case k.wave == w:
			out++
		case w.begun[n]: // a former owner may have ordered it: order it again to learn that it is done.
			m.takeOut(w, k)
			k.again = true
			out++
		case k.wave == nil && k.target == "":
			left = append(left, k)
		default:
			out++ // busy otherwise.
		}
	}
	return left, out
}

// pick takes machines out for the wave: idle ones at any time, busy ones when the time that is left asks for it.
func (m *Model) pick(w *wave, left []*machine, out int) {
	span := max(w.begin+w.DurationMs-waveMarginMs-m.now, upkeepSpanMs)
	need := int(math.Ceil(float64((len(left)+out)*upkeepSpanMs) / float64(span)))
	slices.SortStableFunc(left, func(a, b *machine) int { return cmp.Compare(m.busyShare(a), m.busyShare(b)) })
	for _, k := range left {
		if out >= w.Most {
			return
		}
		if k.State != Up || !m.poolSpares(k) || !m.mayOrderTo(k) {
			continue
		}
		if o := m.workerOf(k); o != nil && !m.read(o) || out >= need && !m.idle(k) {
			continue
		}
		m.takeOut(w, k)
		out++
		m.log("machine taken out", "", "machine", k.Name, "wave", w.Number, "pool", k.Pool, "worker", k.Worker, "load", m.busyShare(k))
	}
}

// takeOut begins to empty a machine for its upkeep.
func (m *Model) takeOut(w *wave, k *machine) {
	k.wave, k.since, k.oldWorker = w, m.now, k.Worker
	m.pool(k.Pool).tally.upkeep++
	if o := m.workerOf(k); o != nil {
		o.cordoned = true
	}
}

// busyShare is the share of the machine's CPU that short tasks hold.
func (m *Model) busyShare(k *machine) float64 {
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
	return share(n, w.Room.CPU)
}

// idle reports whether the machine's pool can do without it now.
func (m *Model) idle(k *machine) bool {
	p := m.pool(k.Pool)
	return m.busyShare(k) <= idleShare && m.now-p.demand.lastFull > quietMs
}

// poolSpares reports whether few enough machines of the pool are out for upkeep.
func (m *Model) poolSpares(k *machine) bool {
	t := m.pool(k.Pool).tally
	return float64(t.upkeep+1) <= max(1, poolShare*float64(t.machines))
}

// prepare empties a machine and then orders its upkeep.
func (m *Model) prepare(w *wave, k *machine) {
	if k.done != 0 {
		if m.now-k.done > comingMs && k.State == Up && m.duty.listSent > k.done {
			m.finish(w, k.Name) // its worker did not change its id.
			m.release(k)
		}
		return
	}
	if k.ordered != 0 && m.now-k.ordered < dutyRetryMs {
		return
	}
	if k.ordered == 0 && !m.emptied(k) || !m.mayOrderTo(k) {
		return
	}
	if !w.begun[k.Name] {
		w.begun[k.Name] = true
		m.saveWave(w)
	}
	if w.version > w.stored {
		return // the order follows the record of it.
	}
	m.noteOrder(k)
	m.do(UpkeepCmd{Machine: k.Name, Wave: w.Number, Fence: m.cfg.Fence})
}

// emptied reports whether nothing runs at the machine any more, and moves lasting tasks away.
func (m *Model) emptied(k *machine) bool {
	o := m.workerOf(k)
	if o == nil || o.over {
		return m.now >= m.blind
	}
	o.cordoned = true
	if !m.read(o) {
		return false
	}
	for _, r := range o.all() {
		m.evict(r, m.now-k.since > emptyWaitMs)
	}
	return len(o.runs) == 0
}

// read reports whether the owner knows what runs at the worker.
func (m *Model) read(w *worker) bool { return w.synced && w.silent == 0 }

// evict stops a run where that is allowed: a lasting task when another worker has room, a short one only when it is urgent.
func (m *Model) evict(r *run, urgent bool) {
	if r.state != running {
		return
	}
	s := r.task.stage
	switch {
	case s.Lasting && m.mayLeave(r) && m.choose(m.pool(s.job.Service), r.task, nil) != nil:
	case !s.Lasting && urgent:
	default:
		return
	}
	m.log("run evicted", s.job.ID, "task", r.task.name().String(), "run", r.number, "worker", r.worker.ID)
	r.evicted = true
	m.stop(r)
}

// sendWave adds the progress of one wave to a transaction.
func (m *Model) sendWave(f *flight, rows *[]Row) bool {
	for n, w := range m.commits.waves {
		b, err := json.Marshal(StoredWave{Number: n, Begun: sortedKeys(w.begun), Done: sortedKeys(w.finished)})
		if err != nil {
			panic(fmt.Sprintf("batch: wave %d cannot be encoded: %v", n, err))
		}
		*rows = append(*rows, Row{Key: WavePrefix + strconv.Itoa(n), Value: b, Rev: w.rev, Guarded: true})
		f.wave, f.waveVer = w, w.version
		delete(m.commits.waves, n)
		return true
	}
	return false
}

// leaveDraining moves tasks away from workers that are about to leave, those that would not end in time.
func (m *Model) leaveDraining() {
	for _, w := range m.list {
		if !w.Draining || w.silent != 0 || w.over {
			continue
		}
		for _, r := range w.all() {
			s := r.task.stage
			if r.state == running && (s.Lasting || s.Checkpoints) && m.choose(m.pool(s.job.Service), r.task, nil) != nil {
				m.log("run evicted", s.job.ID, "task", r.task.name().String(), "run", r.number, "worker", w.ID, "draining", true)
				r.evicted = true
				m.stop(r)
			}
		}
	}
}
