package burn

import (
	"cmp"
	"slices"
	"time"
)

// Burn holds the service-level figures of one entry. Only Update changes it, and it takes the time from the messages.
type Burn struct {
	entry, dataCentre string
	countingSince     time.Time
	now               time.Time
	series            map[SeriesKey]*series
	objectives        map[string]ObjectiveMsg
	leader            leaderFigures
}

// New returns empty figures of the entry; counting starts at now.
func New(entry, dataCentre string, now time.Time) *Burn {
	return &Burn{
		entry: entry, dataCentre: dataCentre, countingSince: now, now: now,
		series: make(map[SeriesKey]*series), objectives: make(map[string]ObjectiveMsg),
		leader: newLeaderFigures(),
	}
}

// Update applies m and returns the resulting alerts.
func (b *Burn) Update(m Msg) []Cmd {
	switch m := m.(type) {
	case CountMsg:
		b.addCounts(m)
	case ObjectiveMsg:
		b.objectives[m.Service] = m
	case ForgetMsg:
		b.forget(m.Service)
	case LeaderMsg:
		b.leader.update(m)
	case TickMsg:
		return b.tick(m.Now)
	}
	return nil
}

func (b *Burn) addCounts(m CountMsg) {
	s, ok := b.series[m.Key]
	if !ok {
		s = newSeries()
		b.series[m.Key] = s
	}
	s.add(m.Now, m.Counts)
}

func (b *Burn) forget(service string) {
	delete(b.objectives, service)
	for k := range b.series {
		if k.Service == service {
			delete(b.series, k)
		}
	}
}

// tick drops counts outside the windows and returns an alert for each series whose speed has changed.
func (b *Burn) tick(now time.Time) []Cmd {
	b.now = now
	var cs []Cmd
	for _, k := range b.keys() {
		s := b.series[k]
		s.advance(now)
		ws, goal := s.allWindows(), b.objectives[k.Service].Objective
		if v := speedOf(ws, goal); v != s.speed {
			s.speed = v
			cs = append(cs, AlertCmd{Key: k, Speed: v, Rate: ws[1].Counts.Rate(goal)})
		}
	}
	return cs
}

// keys returns the sorted keys of all series.
func (b *Burn) keys() []SeriesKey {
	ks := make([]SeriesKey, 0, len(b.series))
	for k := range b.series {
		ks = append(ks, k)
	}
	slices.SortFunc(ks, compareKeys)
	return ks
}

func compareKeys(a, b SeriesKey) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Class, b.Class))
}
