package oper

import (
	"time"

	"burdockreach.dev/plat/conf"
)

// Outcome says whether a change or a job was accepted.
type Outcome string

const (
	// Accepted means that the change has a number and will come into force at every entry.
	Accepted Outcome = "accepted"
	// NotAccepted means that the change was certainly not accepted.
	NotAccepted Outcome = "notAccepted"
	// Unknown means that the change may have been accepted; GET /op/change with its op settles it.
	Unknown Outcome = "unknown"
)

// ChangeReply answers a change, or a query for an operation. Field, Value and Allowed name an input that is not valid.
type ChangeReply struct {
	Outcome Outcome     `json:"outcome"`
	Op      string      `json:"op"`
	Number  conf.Number `json:"n,omitempty"`
	Reason  string      `json:"reason,omitempty"`
	Field   string      `json:"field,omitempty"`
	Value   string      `json:"value,omitempty"`
	Allowed string      `json:"allowed,omitempty"`
}

// Refusal answers a request that the API refuses; Field, Value and Allowed name an input that is not valid.
type Refusal struct {
	Reason  string `json:"reason"`
	Field   string `json:"field,omitempty"`
	Value   string `json:"value,omitempty"`
	Allowed string `json:"allowed,omitempty"`
}

// Object is a configuration object with the number of its last change.
type Object[T any] struct {
	Spec    T           `json:"spec"`
	Changed conf.Number `json:"changed"`
}

// Objects is a list of the objects in force at the entry; Number is the newest change in force.
type Objects[T any] struct {
	Number conf.Number `json:"n"`
	Items  []Object[T] `json:"items"`
}

// VM is the state of a VM as the entry knows it.
type VM struct {
	ID         string `json:"id"`
	Addr       string `json:"addr"`
	DataCentre string `json:"dataCentre"`
	Rack       string `json:"rack"`
	Pool       string `json:"pool"`
	State      string `json:"state"`          // state in the membership: how burdockreach uses the VM
	Platform   string `json:"platform"`       // state in the platform's list: live, leaving or gone
	Wave       string `json:"wave,omitempty"` // the running wave, or else the last finished one
	Boot       int64  `json:"boot"`
}

// VMs is a list of VMs.
type VMs struct {
	Items []VM `json:"items"`
}

// Entry is the state of an entry as the asked entry knows it.
type Entry struct {
	Name             string      `json:"entry"`
	DataCentre       string      `json:"dataCentre"`
	PeerAddr         string      `json:"peerAddr"`
	Self             bool        `json:"self"`
	Reachable        bool        `json:"heard"`
	SinceHeartbeatMs int64       `json:"unheardMs"` // milliseconds since the last heartbeat
	Applied          conf.Number `json:"applied"`
	Roster           int64       `json:"roster"`
	Leader           bool        `json:"leader"`
	Leaving          bool        `json:"leaving"`
}

// Entries is a list of entries.
type Entries struct {
	Items []Entry `json:"items"`
}

// Applied says whether a change is in force at the asked entry and at all other entries that it knows.
type Applied struct {
	Entry     string      `json:"entry"`
	Number    conf.Number `json:"n"`       // the change in question; the newest one by default
	Newest    conf.Number `json:"newest"`  // the newest change in force at the asked entry
	InForce   bool        `json:"inForce"` // at every entry in Entries
	ChangedAt time.Time   `json:"at"`      // when the change was made; zero when the entry no longer stores the change
	AgeMs     int64       `json:"ageMs"`   // milliseconds since the change was made, by the asked entry's clock
	Entries   []Entry     `json:"entries"`
	Op        string      `json:"op,omitempty"`
	ChangedBy string      `json:"by,omitempty"`
}
