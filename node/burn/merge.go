package burn

import (
	"cmp"
	"slices"
	"time"
)

// Merge combines the reports of different entries. Counts, moves and spare VM hours are added up; the number of spare VMs and
// the progress of waves come from the latest report of the data centre.
func Merge(rs ...Report) Report {
	m := Report{}
	services := make(map[SeriesKey]ServiceReport)
	for _, r := range rs {
		if r.At.After(m.At) {
			m.At = r.At
		}
		m.Entries = append(m.Entries, r.Entries...)
		for _, s := range r.Services {
			k := SeriesKey{s.Service, s.Class}
			services[k] = mergeService(services[k], s)
		}
	}
	for _, s := range services {
		s.Speed = speedOf(s.Windows, s.Objective)
		m.Services = append(m.Services, s)
	}
	m.Spares, m.Moves, m.Waves = mergeSpares(rs), mergeMoves(rs), mergeWaves(rs)
	slices.SortFunc(m.Entries, func(a, b EntryReport) int { return cmp.Compare(a.Entry, b.Entry) })
	slices.SortFunc(m.Services, func(a, b ServiceReport) int {
		return compareKeys(SeriesKey{a.Service, a.Class}, SeriesKey{b.Service, b.Class})
	})
	return m
}

// mergeService adds the counts of a and b; profile and objective are b's unless b has none.
func mergeService(a, b ServiceReport) ServiceReport {
	if b.Profile == "" {
		b.Profile, b.Objective = a.Profile, a.Objective
	}
	b.Windows = mergeWindows(a.Windows, b.Windows)
	b.Hours = mergePoints(a.Hours, b.Hours)
	b.Recent = mergePoints(a.Recent, b.Recent)
	return b
}

func mergeWindows(a, b []Window) []Window {
	ws := slices.Clone(b)
	for _, w := range a {
		i := slices.IndexFunc(ws, func(x Window) bool { return x.Seconds == w.Seconds })
		if i < 0 {
			ws = append(ws, w)
			continue
		}
		ws[i].Counts = ws[i].Counts.Plus(w.Counts)
	}
	slices.SortFunc(ws, func(x, y Window) int { return cmp.Compare(x.Seconds, y.Seconds) })
	return ws
}

func mergePoints(a, b []Point) []Point {
	at := make(map[time.Time]Counts, len(a)+len(b))
	for _, p := range slices.Concat(a, b) {
		at[p.Start.UTC()] = at[p.Start.UTC()].Plus(p.Counts)
	}
	ps := make([]Point, 0, len(at))
	for t, c := range at {
		ps = append(ps, Point{Start: t, Counts: c})
	}
	slices.SortFunc(ps, func(x, y Point) int { return x.Start.Compare(y.Start) })
	return ps
}

func mergeSpares(rs []Report) []SpareReport {
	var out []SpareReport
	for _, r := range rs {
		for _, s := range r.Spares {
			i := slices.IndexFunc(out, func(o SpareReport) bool { return o.DataCentre == s.DataCentre && o.Pool == s.Pool })
			if i < 0 {
				out = append(out, s)
				continue
			}
			hours := out[i].VMHours + s.VMHours
			if s.CountedAt.After(out[i].CountedAt) {
				out[i] = s
			}
			out[i].VMHours = hours
		}
	}
	slices.SortFunc(out, func(a, b SpareReport) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Pool, b.Pool))
	})
	return out
}

func mergeMoves(rs []Report) []MoveReport {
	n := make(map[Move]int64)
	for _, r := range rs {
		for _, m := range r.Moves {
			n[m.Move] += m.Count
		}
	}
	return (&leaderFigures{moves: n}).moveReports()
}

func mergeWaves(rs []Report) []WaveReport {
	var out []WaveReport
	for _, r := range rs {
		for _, w := range r.Waves {
			i := slices.IndexFunc(out, func(o WaveReport) bool { return o.DataCentre == w.DataCentre && o.ID == w.ID })
			switch {
			case i < 0:
				out = append(out, w)
			case w.UpdatedAt.After(out[i].UpdatedAt):
				out[i] = w
			}
		}
	}
	slices.SortFunc(out, func(a, b WaveReport) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	return out
}
