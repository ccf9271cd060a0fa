package oper

import (
	"time"

	"burdockreach.dev/plat/conf"
)

// Outcome tells what became of a change.
type Outcome string

const (
	// Accepted means that the change has a number and comes into force everywhere.
	Accepted Outcome = "accepted"
	// NotAccepted means that the change certainly was not accepted.
	NotAccepted Outcome = "notAccepted"
	// Unknown means that the change may be accepted: ask again with its op.
	Unknown Outcome = "unknown"
)

// ChangeReply answers a change.
type ChangeReply struct {
	Outcome Outcome     `json:"outcome"`
	Op      string      `json:"op"`
	Number  conf.Number `json:"n,omitempty"`
	Reason  string      `json:"reason,omitempty"`
	Field   string      `json:"field,omitempty"`
	Value   string      `json:"value,omitempty"`
	Allowed string      `json:"allowed,omitempty"`
}

// Refusal answers a request that the API does not serve; Field, Value and Allowed name a bad input.
type Refusal struct {
	Reason  string `json:"reason"`
	Field   string `json:"field,omitempty"`
	Value   string `json:"value,omitempty"`
	Allowed string `json:"allowed,omitempty"`
}

// Object is one object of the configuration with the number of its last change.
type Object[T any] struct {
	Spec    T           `json:"spec"`
	Changed conf.Number `json:"changed"`
}

// Objects is a list of objects as the entry has them in force.
type Objects[T any] struct {
	Number conf.Number `json:"n"`
	Items  []Object[T] `json:"items"`
}

// VM is one VM as the entry sees it.
type VM struct {
	ID         string `json:"id"`
	Addr       string `json:"addr"`
	DataCentre string `json:"dataCentre"`
	Rack       string `json:"rack"`
	Pool       string `json:"pool"`
	State      string `json:"state"`    // of the membership: what the system does with the VM.
	Platform   string `json:"platform"` // of the platform's list: live, leaving or gone.
	Wave       string `json:"wave,omitempty"`
	Boot       int64  `json:"boot"`
}

// VMs is a list of VMs.
type VMs struct {
	Items []VM `json:"items"`
}

// Entry is one entry as the asked one knows it; UnheardMs is the time since its last beat in milliseconds.
type Entry struct {
	Entry      string      `json:"entry"`
	DataCentre string      `json:"dataCentre"`
	PeerAddr   string      `json:"peerAddr"`
	Self       bool        `json:"self"`
	Heard      bool        `json:"heard"`
	UnheardMs  int64       `json:"unheardMs"`
	Applied    conf.Number `json:"applied"`
	Roster     int64       `json:"roster"`
	Leader     bool        `json:"leader"`
	Leaving    bool        `json:"leaving"`
}

// Entries is a list of entries.
type Entries struct {
	Items []Entry `json:"items"`
}

// Applied tells whether a change is in force at the asked entry and at those that it hears.
type Applied struct {
	Entry    string      `json:"entry"`
	Number   conf.Number `json:"n"`       // the change that was asked for, or the newest one.
	Newest   conf.Number `json:"newest"`  // the newest change in force at the asked entry.
	InForce  bool        `json:"inForce"` // at every entry in Entries.
	At       time.Time   `json:"at"`      // when the change was made; zero when the entry keeps it no more.
	AgeMs    int64       `json:"ageMs"`   // milliseconds since At by the entry's clock.
	Entries  []Entry     `json:"entries"`
	Op       string      `json:"op,omitempty"`
	ByPerson string      `json:"by,omitempty"`
}
