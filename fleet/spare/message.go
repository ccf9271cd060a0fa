package spare

// Rule is what the sizer needs of a pool and the profile of its service; all counts are of this data centre.
type Rule struct {
	Pool         string
	Spare        bool    // lends its VMs; no demand of its own.
	Slots        int     // requests that one VM runs at once.
	MinVMs       int     // VMs that the pool keeps here.
	MaxVMs       int     // VMs that the pool never exceeds here; 0 means no bound.
	TargetUse    float64 // share of slots in use that sizing aims at, 0 to 1.
	SurviveRacks int     // racks of this data centre whose loss demand must survive.
	MoveWeight   float64 // cost of one VM move.
	BufferWeight float64 // cost of one spare VM for an hour.
}

// VM is one VM of the data centre; the pool of one that moves is the one that it moves to.
type VM struct {
	Name, Pool, Rack string
	Out              bool // takes no new work but comes back: draining or rebooting.
	Failed           bool // dead, not known to come back.
	Moving           bool // on its way to another pool.
}

// Demand is what one pool was asked for since the last tick, summed over the entries of the data centre.
type Demand struct {
	Busy     float64 // slots in use, the mean over the tick.
	Queued   float64 // requests that wait.
	Arrivals float64 // requests that came, those turned away included.
	Done     float64 // requests that were answered by a target.
}

// Msg is a message to the sizer.
type Msg interface{ isMsg() }

// RulesMsg replaces the pools' rules.
type RulesMsg struct{ Rules []Rule }

// FleetMsg replaces the list of VMs.
type FleetMsg struct{ VMs []VM }

// TickMsg is one look at the demand of each pool; At is in Unix milliseconds.
type TickMsg struct {
	At     int64
	Demand map[string]Demand
}

func (RulesMsg) isMsg() {}
func (FleetMsg) isMsg() {}
func (TickMsg) isMsg()  {}

// Cmd is what the sizer wants done.
type Cmd interface{ isCmd() }

// MoveCmd moves the VM between pools by way of a drain.
type MoveCmd struct {
	VM, From, To string
	Why          Why
}

// Why is the reason of a move.
type Why string

const (
	// Short means that the pool lacks VMs for the demand that it has learned.
	Short Why = "short"
	// Lost means that the pool lacks VMs since some of its own are out.
	Lost Why = "lost"
	// Spread means that the pool would not survive the loss of a rack.
	Spread Why = "spread"
	// Idle means that the pool gives back what it no longer needs.
	Idle Why = "idle"
)

func (MoveCmd) isCmd() {}
