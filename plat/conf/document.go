package conf

import "time"

// Number orders changes: each accepted change has the next number.
type Number int64

// ExpectAbsent as a change's Expect demands that the object does not exist.
const ExpectAbsent Number = -1

// Class is the urgency of a request.
type Class string

const (
	// Urgent requests go first.
	Urgent Class = "urgent"
	// Normal requests go after urgent ones.
	Normal Class = "normal"
	// Background requests go last, but before their finish-by time.
	Background Class = "background"
)

// ProfileSpec describes a level of capacity, availability and maintenance behaviour.
type ProfileSpec struct {
	Name               string  `json:"name"`
	MinVMs             int     `json:"minVMs"`             // VMs that the pool keeps in all data centres together.
	MaxVMs             int     `json:"maxVMs"`             // VMs that the pool never exceeds.
	MaxOut             int     `json:"maxOut"`             // VMs that may be out at once, planned and unplanned together.
	SurviveRacks       int     `json:"surviveRacks"`       // racks of a data centre whose loss demand must survive.
	TargetUse          float64 `json:"targetUse"`          // share of slots in use that sizing aims at, 0 to 1.
	DrainSeconds       int     `json:"drainSeconds"`       // longest wait for requests in flight.
	RebootSeconds      int     `json:"rebootSeconds"`      // longest wait for a VM to come back.
	DeadlineMillis     int     `json:"deadlineMillis"`     // deadline of a request that names none.
	UrgentStartMillis  int     `json:"urgentStartMillis"`  // time within which urgent work starts.
	Objective          float64 `json:"objective"`          // share of requests answered in time, 0 to 1.
	MoveWeight         float64 `json:"moveWeight"`         // cost of one VM move.
	BufferWeight       float64 `json:"bufferWeight"`       // cost of one spare VM for an hour.
	RetryBudgetPercent int     `json:"retryBudgetPercent"` // retries per hundred first sends.
}

// ServiceSpec puts a service under a profile and names its pool.
type ServiceSpec struct {
	Name    string `json:"name"`
	Profile string `json:"profile"`
	Pool    string `json:"pool"`
	Slots   int    `json:"slots"` // requests that one target runs at once.
	Conns   int    `json:"conns"` // connections that one target accepts.
}

// PoolSpec names a pool; a spare pool lends its VMs to the others.
type PoolSpec struct {
	Name  string `json:"name"`
	Spare bool   `json:"spare"`
}

// TeamSpec names a calling team, the SHA-256 digest of its token in hex, and its quota.
type TeamSpec struct {
	Name        string `json:"name"`
	TokenDigest string `json:"tokenDigest"`
	QuotaPerSec int    `json:"quotaPerSec"` // requests a second in all data centres; 0 means none of its own.
}

// ApprovalSpec lets a team call a service.
type ApprovalSpec struct {
	Team    string `json:"team"`
	Service string `json:"service"`
}

// WaveSpec is one maintenance wave over pools.
type WaveSpec struct {
	ID     string   `json:"id"`
	Pools  []string `json:"pools"`
	Paused bool     `json:"paused"`
}

// Kind names what a change does.
type Kind string

const (
	// PutProfile creates or replaces a profile.
	PutProfile Kind = "putProfile"
	// DropProfile removes a profile that no service uses.
	DropProfile Kind = "dropProfile"
	// PutService creates or replaces a service.
	PutService Kind = "putService"
	// DropService removes a service.
	DropService Kind = "dropService"
	// PutPool creates or replaces a pool.
	PutPool Kind = "putPool"
	// DropPool removes a pool that no service uses.
	DropPool Kind = "dropPool"
	// PutTeam creates or replaces a team.
	PutTeam Kind = "putTeam"
	// DropTeam removes a team and its approvals.
	DropTeam Kind = "dropTeam"
	// Approve lets a team call a service.
	Approve Kind = "approve"
	// Withdraw takes an approval back.
	Withdraw Kind = "withdraw"
	// PutWave starts, pauses or resumes a maintenance wave.
	PutWave Kind = "putWave"
	// DropWave ends a maintenance wave; VMs already out come back.
	DropWave Kind = "dropWave"
)

// Change is one entry of the log; exactly the body that Kind names is set.
type Change struct {
	Number   Number        `json:"n"`
	Op       string        `json:"op"`             // the operation's id, by which a lost answer is settled.
	Prev     string        `json:"prev,omitempty"` // Document.Chain before the change; binds it to its history.
	By       string        `json:"by"`             // the operator.
	At       time.Time     `json:"at"`
	Kind     Kind          `json:"kind"`
	Expect   Number        `json:"expect,omitempty"` // the number at which the object must have last changed; 0 means any, ExpectAbsent none.
	Name     string        `json:"name,omitempty"`   // for drops.
	Profile  *ProfileSpec  `json:"profile,omitempty"`
	Service  *ServiceSpec  `json:"service,omitempty"`
	Pool     *PoolSpec     `json:"pool,omitempty"`
	Team     *TeamSpec     `json:"team,omitempty"`
	Approval *ApprovalSpec `json:"approval,omitempty"`
	Wave     *WaveSpec     `json:"wave,omitempty"`
}
