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

	outcomes = 4
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
	return float64(c.Bad()) / float64(c.Total()) / max(1-objective, leastBudget)
}

// leastBudget is the share of bad requests that an objective of 1 is taken to allow.
const leastBudget = 1e-6

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

// SpareMsg says how many VMs of a pool the leader holds beyond the present demand, from now on.
type SpareMsg struct {
	Now  time.Time
	Pool string
	VMs  int
}

// MoveMsg says that the leader moved one VM from a pool to another.
type MoveMsg struct {
	Now      time.Time
	From, To string
}

// WaveMsg says how far a maintenance wave has come in the data centre; Ended is zero while it runs.
type WaveMsg struct {
	Now            time.Time
	ID             string
	Done, Total    int
	Started, Ended time.Time
}

// TickMsg lets time pass; it comes about once a second.
type TickMsg struct{ Now time.Time }

func (CountMsg) isMsg()     {}
func (ObjectiveMsg) isMsg() {}
func (ForgetMsg) isMsg()    {}
func (SpareMsg) isMsg()     {}
func (MoveMsg) isMsg()      {}
func (WaveMsg) isMsg()      {}
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
