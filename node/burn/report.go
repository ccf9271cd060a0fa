package burn

import (
	"cmp"
	"slices"
	"time"
)

// Report is the service-level burn of one entry or of several merged entries. It is exchanged as JSON.
type Report struct {
	At       time.Time       `json:"at"`
	Entries  []EntryReport   `json:"entries"`
	Services []ServiceReport `json:"services"`
	Spares   []SpareReport   `json:"spares"`
	Moves    []MoveReport    `json:"moves"`
	Waves    []WaveReport    `json:"waves"`
}

// EntryReport gives the time since which an entry has counted, or the reason why its report is missing.
type EntryReport struct {
	Entry         string    `json:"entry"`
	DataCentre    string    `json:"dataCentre"`
	CountingSince time.Time `json:"since"`
	MissingReason string    `json:"unheard,omitempty"` // why the entry's report is missing
}

// ServiceReport is the burn of one series: a service and a request class.
type ServiceReport struct {
	Service   string   `json:"service"`
	Class     string   `json:"class"`
	Profile   string   `json:"profile"`
	Objective float64  `json:"objective"`
	Speed     Speed    `json:"speed"`
	Windows   []Window `json:"windows"`
	Hours     []Point  `json:"hours"`  // the hours of the last three days that have requests, oldest first
	Recent    []Point  `json:"recent"` // the half minutes of the last hour that have requests, oldest first
}

// Window holds the counts of the last Seconds seconds.
type Window struct {
	Seconds int64  `json:"seconds"`
	Counts  Counts `json:"counts"`
}

// Point holds the counts of an hour or half minute that begins at Start.
type Point struct {
	Start  time.Time `json:"start"`
	Counts Counts    `json:"counts"`
}

// SpareReport is the number of VMs of a spare pool in a data centre, and the VM hours that it has accumulated.
type SpareReport struct {
	DataCentre string    `json:"dataCentre"`
	Pool       string    `json:"pool"`
	CountedAt  time.Time `json:"at"`
	VMs        int       `json:"vms"`
	VMHours    float64   `json:"vmHours"`
}

// Move names the two pools of a VM's move.
type Move struct {
	From string `json:"from"`
	To   string `json:"to"`
}

// MoveReport counts the moves between two pools.
type MoveReport struct {
	Move
	Count int64 `json:"count"`
}

// WaveReport is the progress of a maintenance wave in a data centre. Ended is zero while the wave runs.
type WaveReport struct {
	ID         string    `json:"id"`
	DataCentre string    `json:"dataCentre"`
	UpdatedAt  time.Time `json:"at"`
	Done       int       `json:"done"`
	Total      int       `json:"total"`
	Started    time.Time `json:"started"`
	Ended      time.Time `json:"ended"`
}

// BudgetSpent returns the spent share of the error budget of the longest window; 1 is all of it.
func (s ServiceReport) BudgetSpent() float64 {
	if len(s.Windows) == 0 {
		return 0
	}
	return s.Windows[len(s.Windows)-1].Counts.Rate(s.Objective)
}

// WorstHours returns up to n hours, those with the most requests that missed the objective first.
func (s ServiceReport) WorstHours(n int) []Point {
	ps := slices.DeleteFunc(slices.Clone(s.Hours), func(p Point) bool { return p.Counts.Missed() == 0 })
	slices.SortStableFunc(ps, func(a, b Point) int { return cmp.Compare(b.Counts.Missed(), a.Counts.Missed()) })
	return ps[:min(n, len(ps))]
}

// Report returns the figures as of the last tick.
func (b *Burn) Report() Report {
	r := Report{At: b.now, Entries: []EntryReport{{Entry: b.entry, DataCentre: b.dataCentre, CountingSince: b.countingSince}}}
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
