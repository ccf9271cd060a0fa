package spare

// Rule holds the settings of a pool, and of its service's profile, that the sizer needs. All counts are for this data
// centre.
type Rule struct {
	Pool         string
	Spare        bool    // lends its VMs to other pools and has no demand of its own.
	Slots        int     // requests that one VM can run at once.
	MinVMs       int     // least number of VMs.
	MaxVMs       int     // greatest number of VMs; 0 means no limit.
	TargetUse    float64 // share of slots in use that sizing aims at, 0 to 1.
	SurviveRacks int     // number of racks whose loss must leave the pool with enough VMs for its demand.
	MoveWeight   float64 // cost of one VM move.
	BufferWeight float64 // cost of one spare VM for an hour.
}

// VM is one VM of the data centre. The Pool of a moving VM is the one that it moves to.
type VM struct {
	Name, Pool, Rack string
	Unavailable      bool // draining or rebooting: takes no new work now but will serve again.
	Failed           bool // down; it is not known whether it will serve again.
	Moving           bool // being moved to another pool.
}

// Demand is the load of one pool since the last tick, summed over the entries of the data centre.
type Demand struct {
	Busy     float64 // mean number of slots in use.
	Queued   float64 // waiting requests.
	Arrivals float64 // requests that arrived, including refused ones.
	Done     float64 // requests that were answered by a target.
}

// Msg is a message to the sizer.
type Msg interface{ isMsg() }

// RulesMsg replaces the pools' rules.
type RulesMsg struct{ Rules []Rule }

// FleetMsg replaces the list of VMs.
type FleetMsg struct{ VMs []VM }

// TickMsg reports the demand of each pool, at a time in Unix milliseconds, and has the sizer decide on moves.
type TickMsg struct {
	AtMillis int64
	Demand   map[string]Demand
}

func (RulesMsg) isMsg() {}
func (FleetMsg) isMsg() {}
func (TickMsg) isMsg()  {}

// Cmd is a command for the caller to carry out.
type Cmd interface{ isCmd() }

// MoveCmd drains the VM and moves it to another pool.
type MoveCmd struct {
	VM, From, To string
	Reason       Reason
}

// Reason is why a VM is moved.
type Reason string

const (
	// Short means that the pool has too few VMs for its lasting demand.
	Short Reason = "short"
	// Lost means that the pool has too few VMs because some of its own have failed.
	Lost Reason = "lost"
	// Spread means that the pool would not survive the loss of a rack.
	Spread Reason = "spread"
	// Idle means that the pool returns a VM that it no longer needs.
	Idle Reason = "idle"
)

func (MoveCmd) isCmd() {}
