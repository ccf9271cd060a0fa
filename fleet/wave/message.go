package wave

import "burdockreach.dev/fleet/pool"

// ServiceRule is what the planner needs of a service and its profile.
type ServiceRule struct {
	Name         string
	Pool         string
	MaxOut       int   // VMs that may be out at once in all data centres, planned and unplanned together.
	DrainMillis  int64 // longest wait for requests in flight.
	RebootMillis int64 // longest wait for a VM to come back.
}

// Wave is one maintenance wave over pools.
type Wave struct {
	ID     string
	Pools  []string
	Paused bool
}

// Host is one line of the platform's lagging list.
type Host struct {
	Name  string
	Pool  string
	Rack  string
	State HostState
	Entry bool // runs an entry of the data centre instead of a target.
	Boot  int64
}

// HostState is what the platform's list says of a VM.
type HostState int

const (
	// Live means that the VM runs as far as the platform knows.
	Live HostState = iota
	// Leaving means that the VM is drained, restarting or about to stop.
	Leaving
	// Gone means that the VM has stopped for good.
	Gone
)

// Outcome is how a conditional write ended.
type Outcome int

const (
	// Applied means that the write took effect.
	Applied Outcome = iota
	// Conflict means that another revision was found and nothing was written.
	Conflict
	// Unknown means that no answer came: the write may have taken effect, or may yet.
	Unknown
)

// Msg is a message to the planner; every time is in Unix milliseconds.
type Msg interface{ isMsg() }

// TickMsg lets time pass: the planner looks the fleet over, repeats calls and checks its timeouts. One a second is meant.
type TickMsg struct{ At int64 }

// PolicyMsg replaces the services and the waves that are wanted; all of a data centre's services are in it.
type PolicyMsg struct {
	At       int64
	Services []ServiceRule
	Waves    []Wave
}

// ShardMsg is one shard as it was read at time At; revision 0 means that the service holds none.
type ShardMsg struct {
	At       int64
	Shard    pool.Shard
	Revision int64
}

// BudgetMsg is one service's budget as it was read at time At; revision 0 means that the service holds none.
type BudgetMsg struct {
	At       int64
	Service  string
	Budget   Budget
	Revision int64
}

// FreshMsg says that every document given so far is the newest as of time At, as a caught-up watch shows.
type FreshMsg struct{ At int64 }

// HostsMsg is the platform's list for this data centre, asked for at time At.
type HostsMsg struct {
	At    int64
	Hosts []Host
}

// HeardMsg is word from an entry of the data centre; Drained lists the VMs that it sees as draining and has nothing in flight to,
// and Numbers the versions of its view's shards, by which the planner knows a service that came back older.
type HeardMsg struct {
	At      int64
	Entry   string
	Drained []Drained
	Numbers []int64
}

// Drained says that the entry, whose view held version Number of the VM's shard, has nothing in flight to the VM.
type Drained struct {
	VM     string
	Number int64
}

// FailedMsg says that the entries find the VM dead.
type FailedMsg struct {
	At int64
	VM string
}

// RecoveredMsg says that the entries reach the VM again.
type RecoveredMsg struct {
	At int64
	VM string
}

// UnheardMsg replaces the list of other data centres that cannot be heard; while there is one, no planned stop starts.
type UnheardMsg struct {
	At          int64
	DataCentres []string
}

// MoveMsg asks for VMs to be moved between pools.
type MoveMsg struct {
	At    int64
	Moves []Move
}

// Move leads one VM from one pool to another.
type Move struct{ VM, From, To string }

// WroteShardMsg is how the write of a shard ended; Revision is the new one if it was applied.
type WroteShardMsg struct {
	At       int64
	Index    int
	Outcome  Outcome
	Revision int64
}

// WroteBudgetMsg is how the write of a budget ended; Revision is the new one if it was applied.
type WroteBudgetMsg struct {
	At       int64
	Service  string
	Outcome  Outcome
	Revision int64
}

// RebootedMsg says that the platform has accepted the reboot.
type RebootedMsg struct {
	At     int64
	VM, Op string
}

// AssignedMsg says that the platform has put the VM into the pool.
type AssignedMsg struct {
	At       int64
	VM, Pool string
}

func (TickMsg) isMsg()        {}
func (PolicyMsg) isMsg()      {}
func (ShardMsg) isMsg()       {}
func (BudgetMsg) isMsg()      {}
func (FreshMsg) isMsg()       {}
func (HostsMsg) isMsg()       {}
func (HeardMsg) isMsg()       {}
func (FailedMsg) isMsg()      {}
func (RecoveredMsg) isMsg()   {}
func (UnheardMsg) isMsg()     {}
func (MoveMsg) isMsg()        {}
func (WroteShardMsg) isMsg()  {}
func (WroteBudgetMsg) isMsg() {}
func (RebootedMsg) isMsg()    {}
func (AssignedMsg) isMsg()    {}

// Cmd is what the planner wants done.
type Cmd interface{ isCmd() }

// WriteShardCmd writes the shard if the service still holds Revision (0: if it holds none); a WroteShardMsg must follow.
type WriteShardCmd struct {
	Shard    pool.Shard
	Revision int64
}

// WriteBudgetCmd writes the budget if the service still holds Revision (0: if it holds none); a WroteBudgetMsg must follow.
type WriteBudgetCmd struct {
	Service  string
	Budget   Budget
	Revision int64
}

// ReadShardCmd reads the shard; a ShardMsg must follow once the service answers.
type ReadShardCmd struct{ Index int }

// ReadBudgetCmd reads the budget; a BudgetMsg must follow once the service answers.
type ReadBudgetCmd struct{ Service string }

// DrainCmd tells the platform that the VM is about to leave; it is repeated until the list shows it.
type DrainCmd struct{ VM string }

// UndrainCmd takes a drain back; it is repeated until the list shows it.
type UndrainCmd struct{ VM string }

// RebootCmd restarts the VM, at most once for each op; it is repeated until a RebootedMsg comes.
type RebootCmd struct{ VM, Op string }

// AssignCmd puts the VM into the pool on the platform's side; it is repeated until an AssignedMsg comes.
type AssignCmd struct{ VM, Pool string }

func (WriteShardCmd) isCmd()  {}
func (WriteBudgetCmd) isCmd() {}
func (ReadShardCmd) isCmd()   {}
func (ReadBudgetCmd) isCmd()  {}
func (DrainCmd) isCmd()       {}
func (UndrainCmd) isCmd()     {}
func (RebootCmd) isCmd()      {}
func (AssignCmd) isCmd()      {}
