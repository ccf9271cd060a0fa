package burn

import (
	"maps"
	"slices"
	"time"
)

// lead holds what this entry saw while it led its data centre.
type lead struct {
	term   int64
	pools  map[string]string // of each VM
	spares map[string]spare  // by pool
	moves  map[Move]int64
	waves  map[string]WaveReport
}

// spare is the number of VMs that a spare pool holds, and the VM seconds of it up to at.
type spare struct {
	at      time.Time
	vms     int
	seconds float64
}

func newLead() lead {
	return lead{
		pools: make(map[string]string), spares: make(map[string]spare),
		moves: make(map[Move]int64), waves: make(map[string]WaveReport),
	}
}

// update compares m with the last one of the same term.
func (l *lead) update(m LeadMsg) {
	if m.Term != l.term {
		l.term = m.Term
		clear(l.pools)
		for p, s := range l.spares {
			l.spares[p] = spare{at: m.Now, seconds: s.seconds}
		}
	}
	for _, v := range m.Members {
		if old, known := l.pools[v.VM]; known && old != v.Pool {
			l.moves[Move{From: old, To: v.Pool}]++
		}
		l.pools[v.VM] = v.Pool
	}
	l.count(m)
	l.maintain(m)
}

// count closes the time that the last numbers of spare VMs stood for.
func (l *lead) count(m LeadMsg) {
	n := make(map[string]int)
	for _, v := range m.Members {
		n[v.Pool]++
	}
	for p, s := range l.spares {
		s.seconds += float64(s.vms) * max(0, m.Now.Sub(s.at).Seconds())
		l.spares[p] = spare{at: m.Now, seconds: s.seconds}
	}
	for _, p := range m.Spares {
		l.spares[p] = spare{at: m.Now, vms: n[p], seconds: l.spares[p].seconds}
	}
}

// maintain follows the waves; one that is done, or no longer configured, has ended.
func (l *lead) maintain(m LeadMsg) {
	for _, w := range m.Waves {
		l.waves[w.ID] = l.waves[w.ID].follow(m, w)
	}
	for id, r := range l.waves {
		listed := slices.ContainsFunc(m.Waves, func(w Wave) bool { return w.ID == id })
		if !listed && r.Ended.IsZero() {
			r.At, r.Ended = m.Now, m.Now
			l.waves[id] = r
		}
	}
}

// follow returns the report after m.
func (r WaveReport) follow(m LeadMsg, w Wave) WaveReport {
	n := WaveReport{ID: w.ID, At: m.Now, Started: r.Started, Ended: r.Ended}
	if n.Started.IsZero() {
		n.Started = m.Now
	}
	for _, v := range m.Members {
		if !slices.Contains(w.Pools, v.Pool) {
			continue
		}
		n.Total++
		if v.Wave == w.ID {
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

func (l *lead) spareReports(dataCentre string) []SpareReport {
	var rs []SpareReport
	for _, p := range slices.Sorted(maps.Keys(l.spares)) {
		s := l.spares[p]
		rs = append(rs, SpareReport{DataCentre: dataCentre, Pool: p, At: s.at, VMs: s.vms, VMHours: s.seconds / time.Hour.Seconds()})
	}
	return rs
}

func (l *lead) moveReports() []MoveReport {
	var rs []MoveReport
	for m, n := range l.moves {
		rs = append(rs, MoveReport{Move: m, Count: n})
	}
	slices.SortFunc(rs, compareMoves)
	return rs
}

func (l *lead) waveReports(dataCentre string) []WaveReport {
	var rs []WaveReport
	for _, id := range slices.Sorted(maps.Keys(l.waves)) {
		r := l.waves[id]
		r.DataCentre = dataCentre
		rs = append(rs, r)
	}
	return rs
}
