package conf

import "time"

// Number is the position of a change in the log: each accepted change gets the next number.
type Number int64

// ExpectAbsent is the value of a change's Expect that requires that the object does not exist.
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

// ProfileSpec holds the settings of capacity, availability and maintenance for the services that use the profile.
type ProfileSpec struct {
	Name               string  `json:"name"`
	MinVMs             int     `json:"minVMs"`             // least number of VMs that the pool keeps, over all data centres.
	MaxVMs             int     `json:"maxVMs"`             // largest number of VMs that the pool has.
	MaxOut             int     `json:"maxOut"`             // VMs that may be out of service at once, planned and unplanned together.
	SurviveRacks       int     `json:"surviveRacks"`       // racks that a data centre may lose and still serve its demand.
	TargetUse          float64 `json:"targetUse"`          // share of slots in use that pool sizing aims for, 0 to 1.
	DrainSeconds       int     `json:"drainSeconds"`       // longest wait for requests in flight in a drain.
	RebootSeconds      int     `json:"rebootSeconds"`      // longest wait for a VM to come back.
	DeadlineMillis     int     `json:"deadlineMillis"`     // deadline of a request that names none.
	UrgentStartMillis  int     `json:"urgentStartMillis"`  // time within which urgent work must start.
	Objective          float64 `json:"objective"`          // share of requests answered in time, 0 to 1.
	MoveWeight         float64 `json:"moveWeight"`         // cost of one VM move.
	BufferWeight       float64 `json:"bufferWeight"`       // cost of one spare VM for an hour.
	RetryBudgetPercent int     `json:"retryBudgetPercent"` // retries allowed per hundred first sends.
}

// ServiceSpec assigns a profile and a pool to a service.
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
	QuotaPerSec int    `json:"quotaPerSec"` // requests per second over all data centres; 0 means no quota of its own.
}

// ApprovalSpec lets a team call a service.
type ApprovalSpec struct {
	Team    string `json:"team"`
	Service string `json:"service"`
}

// WaveSpec is one maintenance wave over a list of pools.
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
	// DropPool removes a pool that no service uses and no wave names.
	DropPool Kind = "dropPool"
	// PutTeam creates or replaces a team.
	PutTeam Kind = "putTeam"
	// DropTeam removes a team and its approvals.
	DropTeam Kind = "dropTeam"
	// Approve lets a team call a service.
	Approve Kind = "approve"
	// Withdraw removes an approval.
	Withdraw Kind = "withdraw"
	// PutWave starts, pauses or resumes a maintenance wave.
	PutWave Kind = "putWave"
	// DropWave ends a maintenance wave; VMs that are already out of service come back.
	DropWave Kind = "dropWave"
)

// Change is one edit in the log. Of the fields from Name to Wave, only the one that Kind requires is set.
type Change struct {
	Number   Number        `json:"n"`
	Op       string        `json:"op"`             // id of the operation; finds the change again after a lost answer.
	Prev     string        `json:"prev,omitempty"` // Document.Chain before the change; identifies the history that it belongs to.
	By       string        `json:"by"`             // the operator.
	At       time.Time     `json:"at"`
	Kind     Kind          `json:"kind"`
	Expect   Number        `json:"expect,omitempty"` // number that the object's last change must have; 0 allows any.
	Name     string        `json:"name,omitempty"`   // name of the object to drop.
	Profile  *ProfileSpec  `json:"profile,omitempty"`
	Service  *ServiceSpec  `json:"service,omitempty"`
	Pool     *PoolSpec     `json:"pool,omitempty"`
	Team     *TeamSpec     `json:"team,omitempty"`
	Approval *ApprovalSpec `json:"approval,omitempty"`
	Wave     *WaveSpec     `json:"wave,omitempty"`
}
