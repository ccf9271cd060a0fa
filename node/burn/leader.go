package burn

import (
	"maps"
	"slices"
	"time"
)

// leaderFigures holds the figures that this entry gathered while it led its data centre.
type leaderFigures struct {
	term        int64
	poolOfVM    map[string]string // the pool of each VM in the current term
	spareByPool map[string]spareUsage
	moves       map[Move]int64
	waves       map[string]WaveReport
}

// spareUsage is the number of VMs in a spare pool, and the VM seconds that the pool has accumulated up to countedAt.
type spareUsage struct {
	countedAt time.Time
	vms       int
	seconds   float64
}

func newLeaderFigures() leaderFigures {
	return leaderFigures{
		poolOfVM: make(map[string]string), spareByPool: make(map[string]spareUsage),
		moves: make(map[Move]int64), waves: make(map[string]WaveReport),
	}
}

// update applies m. VM moves and spare time are derived only between messages of the same term.
func (l *leaderFigures) update(m LeaderMsg) {
	if m.Term != l.term {
		l.term = m.Term
		clear(l.poolOfVM)
		for p, s := range l.spareByPool {
			l.spareByPool[p] = spareUsage{countedAt: m.Now, seconds: s.seconds}
		}
	}
	for _, v := range m.Members {
		if old, known := l.poolOfVM[v.VM]; known && old != v.Pool {
			l.moves[Move{From: old, To: v.Pool}]++
		}
		l.poolOfVM[v.VM] = v.Pool
	}
	l.countSpares(m)
	l.updateWaves(m)
}

// countSpares adds the VM seconds since the last message and records the present number of VMs of each spare pool.
func (l *leaderFigures) countSpares(m LeaderMsg) {
	n := make(map[string]int)
	for _, v := range m.Members {
		n[v.Pool]++
	}
	for p, s := range l.spareByPool {
		s.seconds += float64(s.vms) * max(0, m.Now.Sub(s.countedAt).Seconds())
		l.spareByPool[p] = spareUsage{countedAt: m.Now, seconds: s.seconds}
	}
	for _, p := range m.Spares {
		l.spareByPool[p] = spareUsage{countedAt: m.Now, vms: n[p], seconds: l.spareByPool[p].seconds}
	}
}

// updateWaves updates the progress of the waves. A wave has ended when it is done or no longer configured.
func (l *leaderFigures) updateWaves(m LeaderMsg) {
	for _, w := range m.Waves {
		l.waves[w.ID] = l.waves[w.ID].updated(m, w)
	}
	for id, r := range l.waves {
		listed := slices.ContainsFunc(m.Waves, func(w Wave) bool { return w.ID == id })
		if !listed && r.Ended.IsZero() {
			r.UpdatedAt, r.Ended = m.Now, m.Now
			l.waves[id] = r
		}
	}
}

// updated returns the wave's report after m.
func (r WaveReport) updated(m LeaderMsg, w Wave) WaveReport {
	n := WaveReport{ID: w.ID, UpdatedAt: m.Now, Started: r.Started, Ended: r.Ended}
	if n.Started.IsZero() {
		n.Started = m.Now
	}
	for _, v := range m.Members {
		if !slices.Contains(w.Pools, v.Pool) {
			continue
		}
		n.Total++
		if v.FinishedWave == w.ID {
			n.Done++
		}
	}
	switch {
	case n.Done < n.Total:
		n.Ended = time.Time{}
	case n.Ended.IsZero():
		n.Ended = m.Now
	}
	return n
}

func (l *leaderFigures) spareReports(dataCentre string) []SpareReport {
	var rs []SpareReport
	for _, p := range slices.Sorted(maps.Keys(l.spareByPool)) {
		s := l.spareByPool[p]
		rs = append(rs, SpareReport{DataCentre: dataCentre, Pool: p, CountedAt: s.countedAt, VMs: s.vms, VMHours: s.seconds / time.Hour.Seconds()})
	}
	return rs
}

func (l *leaderFigures) moveReports() []MoveReport {
	var rs []MoveReport
	for m, n := range l.moves {
		rs = append(rs, MoveReport{Move: m, Count: n})
	}
	slices.SortFunc(rs, compareMoves)
	return rs
}

func (l *leaderFigures) waveReports(dataCentre string) []WaveReport {
	var rs []WaveReport
	for _, id := range slices.Sorted(maps.Keys(l.waves)) {
		r := l.waves[id]
		r.DataCentre = dataCentre
		rs = append(rs, r)
	}
	return rs
}
