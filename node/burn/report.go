package burn

import (
	"cmp"
	"slices"
	"time"
)

// Report is the service-level burn of one entry or of several merged ones; it is read and written as JSON.
type Report struct {
	At       time.Time       `json:"at"`
	Entries  []EntryReport   `json:"entries"`
	Services []ServiceReport `json:"services"`
	Spares   []SpareReport   `json:"spares"`
	Moves    []MoveReport    `json:"moves"`
	Waves    []WaveReport    `json:"waves"`
}

// EntryReport says since when an entry has counted.
type EntryReport struct {
	Entry      string    `json:"entry"`
	DataCentre string    `json:"dataCentre"`
	Since      time.Time `json:"since"`
	Unheard    string    `json:"unheard,omitempty"` // why the entry's report is missing.
}

// ServiceReport is the burn of one service and class.
type ServiceReport struct {
	Service   string   `json:"service"`
	Class     string   `json:"class"`
	Profile   string   `json:"profile"`
	Objective float64  `json:"objective"`
	Speed     Speed    `json:"speed"`
	Windows   []Window `json:"windows"`
	Hours     []Point  `json:"hours"`  // hours with requests within three days, oldest first.
	Recent    []Point  `json:"recent"` // half minutes with requests within an hour, oldest first.
}

// Window is the latest time of the given length, in seconds.
type Window struct {
	Seconds int64  `json:"seconds"`
	Counts  Counts `json:"counts"`
}

// Point is a step of time that begins at Start.
type Point struct {
	Start  time.Time `json:"start"`
	Counts Counts    `json:"counts"`
}

// SpareReport is the number of VMs of a spare pool in a data centre, and the VM hours of it.
type SpareReport struct {
	DataCentre string    `json:"dataCentre"`
	Pool       string    `json:"pool"`
	At         time.Time `json:"at"`
	VMs        int       `json:"vms"`
	VMHours    float64   `json:"vmHours"`
}

// Move names the pools between which a VM moved.
type Move struct {
	From string `json:"from"`
	To   string `json:"to"`
}

// MoveReport counts the moves between two pools.
type MoveReport struct {
	Move
	Count int64 `json:"count"`
}

// WaveReport is how far a maintenance wave has come in a data centre.
type WaveReport struct {
	ID         string    `json:"id"`
	DataCentre string    `json:"dataCentre"`
	At         time.Time `json:"at"`
	Done       int       `json:"done"`
	Total      int       `json:"total"`
	Started    time.Time `json:"started"`
	Ended      time.Time `json:"ended"`
}

// Spent returns the share of the longest window's error budget that is spent; 1 is all of it.
func (s ServiceReport) Spent() float64 {
	if len(s.Windows) == 0 {
		return 0
	}
	return s.Windows[len(s.Windows)-1].Counts.Rate(s.Objective)
}

// Worst returns up to n hours in which most requests missed the objective, worst first.
func (s ServiceReport) Worst(n int) []Point {
	ps := slices.DeleteFunc(slices.Clone(s.Hours), func(p Point) bool { return p.Counts.Bad() == 0 })
	slices.SortStableFunc(ps, func(a, b Point) int { return cmp.Compare(b.Counts.Bad(), a.Counts.Bad()) })
	return ps[:min(n, len(ps))]
}

// Report returns the figures up to the last tick.
func (b *Burn) Report() Report {
	r := Report{At: b.now, Entries: []EntryReport{{Entry: b.entry, DataCentre: b.dataCentre, Since: b.countingSince}}}
	for _, k := range b.keys() {
		s, g := b.series[k], b.objectives[k.Service]
		ws := s.allWindows()
		r.Services = append(r.Services, ServiceReport{
			Service: k.Service, Class: k.Class, Profile: g.Profile, Objective: g.Objective, Speed: speedOf(ws, g.Objective),
			Windows: ws, Hours: s.coarse.points(time.Hour), Recent: s.fine.points(fineStep),
		})
	}
	r.Spares, r.Moves, r.Waves = b.leader.spareReports(b.dataCentre), b.leader.moveReports(), b.leader.waveReports(b.dataCentre)
	return r
}

func compareMoves(a, b MoveReport) int {
	return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To))
}
