package burn

import "time"

// Outcome is what became of a request that the system had to serve; refusals for the caller's own fault are not counted.
type Outcome uint8

const (
	// Good is a whole answer in time.
	Good Outcome = iota
	// Late is a whole answer after the deadline, or none by then.
	Late
	// Failed is a failure of the target or an unknown outcome.
	Failed
	// Refused is a request that was not run for want of capacity.
	Refused

	outcomeCount = 4
)

// Counts holds numbers of requests by outcome.
type Counts struct {
	Good    int64 `json:"good"`
	Late    int64 `json:"late"`
	Failed  int64 `json:"failed"`
	Refused int64 `json:"refused"`
}

// Total returns the number of all requests.
func (c Counts) Total() int64 { return c.Good + c.Bad() }

// Bad returns the number of requests that missed the objective.
func (c Counts) Bad() int64 { return c.Late + c.Failed + c.Refused }

// Plus returns the sum of c and d.
func (c Counts) Plus(d Counts) Counts {
	return Counts{c.Good + d.Good, c.Late + d.Late, c.Failed + d.Failed, c.Refused + d.Refused}
}

// Rate returns the burn rate: 1 spends the budget of the objective exactly; 0 without requests.
func (c Counts) Rate(objective float64) float64 {
	if c.Total() == 0 {
		return 0
	}
	return float64(c.Bad()) / float64(c.Total()) / max(1-objective, minBudget)
}

// minBudget is the share of bad requests that an objective of 1 is taken to allow.
const minBudget = 1e-6

// Key names one series: a service and the class of its requests.
type Key struct {
	Service string
	Class   string
}

// Msg is anything that changes a Burn.
type Msg interface{ isMsg() }

// CountMsg adds the requests that ended since the last one.
type CountMsg struct {
	Now    time.Time
	Key    Key
	Counts Counts
}

// ObjectiveMsg sets the objective of a service, a share from 0 to 1, as its profile gives it.
type ObjectiveMsg struct {
	Service   string
	Profile   string
	Objective float64
}

// ForgetMsg drops a service that the configuration no longer has.
type ForgetMsg struct{ Service string }

// LeadMsg is what the leader of the data centre knows of its VMs; it comes about once a second while this entry leads.
type LeadMsg struct {
	Now     time.Time
	Term    int64 // number of the term of leadership; figures of different terms are not compared.
	Members []Member
	Spares  []string // names of the spare pools.
	Waves   []Wave   // waves of the configuration; one that is missing has ended.
}

// Member is one VM of the data centre; Wave is the last wave that it has finished.
type Member struct {
	VM, Pool, Wave string
}

// Wave is one maintenance wave over pools.
type Wave struct {
	ID    string
	Pools []string
}

// TickMsg lets time pass; it comes about once a second.
type TickMsg struct{ Now time.Time }

func (CountMsg) isMsg()     {}
func (ObjectiveMsg) isMsg() {}
func (ForgetMsg) isMsg()    {}
func (LeadMsg) isMsg()      {}
func (TickMsg) isMsg()      {}

// Cmd is something that the runner does for a Burn.
type Cmd interface{ isCmd() }

// AlertCmd says that the speed at which a series spends its budget has changed.
type AlertCmd struct {
	Key   Key
	Speed Speed
	Rate  float64
}

func (AlertCmd) isCmd() {}
