package burn

import "time"

// Outcome classifies a request for its objective. Refusals that the caller caused are not counted.
type Outcome uint8

const (
	// Good is a complete answer by the deadline.
	Good Outcome = iota
	// Late is a complete answer after the deadline.
	Late
	// Failed is a 5xx answer of the target or an unknown outcome.
	Failed
	// Refused is a request that was not run for lack of capacity.
	Refused

	outcomeCount = 4
)

// Counts holds the numbers of requests by outcome.
type Counts struct {
	Good    int64 `json:"good"`
	Late    int64 `json:"late"`
	Failed  int64 `json:"failed"`
	Refused int64 `json:"refused"`
}

// Total returns the number of requests of all outcomes.
func (c Counts) Total() int64 { return c.Good + c.Missed() }

// Missed returns the number of requests that missed the objective.
func (c Counts) Missed() int64 { return c.Late + c.Failed + c.Refused }

// Plus returns the sum of c and d.
func (c Counts) Plus(d Counts) Counts {
	return Counts{c.Good + d.Good, c.Late + d.Late, c.Failed + d.Failed, c.Refused + d.Refused}
}

// Rate returns the burn rate: 1 spends the objective's error budget exactly. Without requests it is 0.
func (c Counts) Rate(objective float64) float64 {
	if c.Total() == 0 {
		return 0
	}
	return float64(c.Missed()) / float64(c.Total()) / max(1-objective, minBudget)
}

// minBudget is the smallest error budget, as a share of requests, that Rate divides by: an objective of 1 allows no bad requests.
const minBudget = 1e-6

// SeriesKey identifies a series by service and request class.
type SeriesKey struct {
	Service string
	Class   string
}

// Msg is an input of Burn.Update.
type Msg interface{ isMsg() }

// CountMsg adds the requests of a series that ended since the last CountMsg.
type CountMsg struct {
	Now    time.Time
	Key    SeriesKey
	Counts Counts
}

// ObjectiveMsg sets the profile of a service and its objective, a share from 0 to 1.
type ObjectiveMsg struct {
	Service   string
	Profile   string
	Objective float64
}

// ForgetMsg removes a service that is no longer configured.
type ForgetMsg struct{ Service string }

// LeaderMsg carries the membership and the waves of the data centre. It is sent about once a second while this entry leads.
type LeaderMsg struct {
	Now     time.Time
	Term    int64 // fence of the leader's term; figures of different terms are not compared
	Members []Member
	Spares  []string // names of the spare pools
	Waves   []Wave   // configured waves; a wave that is missing has ended
}

// Member is one VM of the data centre, with its pool and the last wave that it has finished.
type Member struct {
	VM, Pool, FinishedWave string
}

// Wave is a maintenance wave over the VMs of the named pools.
type Wave struct {
	ID    string
	Pools []string
}

// TickMsg advances the time. It is sent about once a second.
type TickMsg struct{ Now time.Time }

func (CountMsg) isMsg()     {}
func (ObjectiveMsg) isMsg() {}
func (ForgetMsg) isMsg()    {}
func (LeaderMsg) isMsg()    {}
func (TickMsg) isMsg()      {}

// Cmd is an output of Burn.Update, which the caller executes.
type Cmd interface{ isCmd() }

// AlertCmd reports that the speed at which a series spends its error budget has changed. Rate is the burn rate of the last hour.
type AlertCmd struct {
	Key   SeriesKey
	Speed Speed
	Rate  float64
}

func (AlertCmd) isCmd() {}
