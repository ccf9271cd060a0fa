package wave

import "burdockreach.dev/fleet/pool"

// ServicePolicy holds the settings of a service and its profile that the planner needs.
type ServicePolicy struct {
	Name         string
	Pool         string
	MaxOut       int   // VMs that may be out at once in all data centres, planned and unplanned together.
	DrainMillis  int64 // drain timeout.
	RebootMillis int64 // timeout for a VM to come back from a reboot.
}

// Wave is a maintenance wave, which reboots every VM of its pools once.
type Wave struct {
	ID     string
	Pools  []string
	Paused bool
}

// Host is one VM of the platform's host list, which lags behind changes.
type Host struct {
	Name      string
	Pool      string
	Rack      string
	State     HostState
	RunsEntry bool  // runs an entry of the data centre instead of a target.
	Boot      int64 // boot number, which grows with each boot.
}

// HostState is the state of a VM in the platform's host list.
type HostState int

const (
	// Live means that the VM runs, as far as the platform knows.
	Live HostState = iota
	// Leaving means that the VM is drained, restarting or about to stop.
	Leaving
	// Gone means that the VM has stopped and does not come back.
	Gone
)

// Outcome is the result of a conditional write.
type Outcome int

const (
	// Applied means that the write took effect.
	Applied Outcome = iota
	// Conflict means that another revision was found and nothing was written.
	Conflict
	// Unknown means that no answer came: the write may have taken effect, or may do so later.
	Unknown
)

// Msg is a message to the planner; every time is in Unix milliseconds.
type Msg interface{ isMsg() }

// TickMsg advances the time: the planner scans the fleet, repeats calls and checks its timeouts. It is meant to come once a second.
type TickMsg struct{ At int64 }

// PolicyMsg replaces the services and the waves with those configured; it holds all services of the
// data centre.
type PolicyMsg struct {
	At       int64
	Services []ServicePolicy
	Waves    []Wave
}

// ShardMsg is one shard as read at time At; revision 0 means that the store holds none.
type ShardMsg struct {
	At       int64
	Shard    pool.Shard
	Revision int64
}

// BudgetMsg is one service's budget as read at time At; revision 0 means that the store holds none.
type BudgetMsg struct {
	At       int64
	Service  string
	Budget   Budget
	Revision int64
}

// DocumentsFreshMsg reports that every document delivered so far was the newest at time At, as a watch that has caught up shows.
type DocumentsFreshMsg struct{ At int64 }

// HostsMsg is the platform's host list for this data centre, requested at time At.
type HostsMsg struct {
	At    int64
	Hosts []Host
}

// EntryReportMsg is a report of an entry of the data centre. It lists the VMs that the entry sees as draining and has nothing in
// flight to, and the shard versions of its view, by which the planner detects a store that came back with older data.
type EntryReportMsg struct {
	At       int64
	Entry    string
	Drained  []Drained
	Versions []int64
}

// Drained reports that the entry has nothing in flight to the VM, and the version of the VM's shard in the entry's view.
type Drained struct {
	VM      string
	Version int64
}

// FailedMsg reports that the entries find the VM dead.
type FailedMsg struct {
	At int64
	VM string
}

// RecoveredMsg reports that the entries reach the VM again.
type RecoveredMsg struct {
	At int64
	VM string
}

// UnreachableMsg replaces the list of other data centres that cannot be reached. While there is one, no planned stop starts.
type UnreachableMsg struct {
	At          int64
	DataCentres []string
}

// MoveMsg requests moves of VMs between pools.
type MoveMsg struct {
	At    int64
	Moves []Move
}

// Move is the move of one VM from one pool to another.
type Move struct{ VM, From, To string }

// ShardWrittenMsg is the outcome of a shard write; Revision is the new revision if the write was applied.
type ShardWrittenMsg struct {
	At       int64
	Index    int
	Outcome  Outcome
	Revision int64
}

// BudgetWrittenMsg is the outcome of a budget write; Revision is the new revision if the write was applied.
type BudgetWrittenMsg struct {
	At       int64
	Service  string
	Outcome  Outcome
	Revision int64
}

// RebootedMsg reports that the platform has accepted the reboot.
type RebootedMsg struct {
	At     int64
	VM, Op string
}

// AssignedMsg reports that the platform has put the VM into the pool.
type AssignedMsg struct {
	At       int64
	VM, Pool string
}

func (TickMsg) isMsg()           {}
func (PolicyMsg) isMsg()         {}
func (ShardMsg) isMsg()          {}
func (BudgetMsg) isMsg()         {}
func (DocumentsFreshMsg) isMsg() {}
func (HostsMsg) isMsg()          {}
func (EntryReportMsg) isMsg()    {}
func (FailedMsg) isMsg()         {}
func (RecoveredMsg) isMsg()      {}
func (UnreachableMsg) isMsg()    {}
func (MoveMsg) isMsg()           {}
func (ShardWrittenMsg) isMsg()   {}
func (BudgetWrittenMsg) isMsg()  {}
func (RebootedMsg) isMsg()       {}
func (AssignedMsg) isMsg()       {}

// Cmd is a command of the planner to its caller.
type Cmd interface{ isCmd() }

// WriteShardCmd writes the shard if the store still holds Revision (0: if it holds none). The outcome
// must be sent to the planner.
type WriteShardCmd struct {
	Shard    pool.Shard
	Revision int64
}

// WriteBudgetCmd writes the budget if the store still holds Revision (0: if it holds none). The outcome
// must be sent to the planner.
type WriteBudgetCmd struct {
	Service  string
	Budget   Budget
	Revision int64
}

// ReadShardCmd reads the shard. A ShardMsg must follow once the store answers.
type ReadShardCmd struct{ Index int }

// ReadBudgetCmd reads the budget. A BudgetMsg must follow once the store answers.
type ReadBudgetCmd struct{ Service string }

// DrainCmd marks the VM as leaving on the platform. It is repeated until the host list shows it.
type DrainCmd struct{ VM string }

// UndrainCmd cancels a drain on the platform. It is repeated until the host list shows it.
type UndrainCmd struct{ VM string }

// RebootCmd restarts the VM, at most once for each op. It is repeated until a RebootedMsg comes.
type RebootCmd struct{ VM, Op string }

// AssignCmd puts the VM into the pool on the platform. It is repeated until an AssignedMsg comes.
type AssignCmd struct{ VM, Pool string }

func (WriteShardCmd) isCmd()  {}
func (WriteBudgetCmd) isCmd() {}
func (ReadShardCmd) isCmd()   {}
func (ReadBudgetCmd) isCmd()  {}
func (DrainCmd) isCmd()       {}
func (UndrainCmd) isCmd()     {}
func (RebootCmd) isCmd()      {}
func (AssignCmd) isCmd()      {}
