package lease

import (
	"time"

	"burdockreach.dev/plat/keyval"
)

// Msg is the outcome of a command. Each message carries the time at which it was made.
type Msg interface{ msg() }

// WakeMsg reports the end of a wait.
type WakeMsg struct{ Now time.Time }

// ReadMsg is the outcome of a ReadCmd.
type ReadMsg struct {
	Now  time.Time
	Item keyval.Item
	Err  error
}

// GrantMsg is the outcome of a GrantCmd that was sent at Sent.
type GrantMsg struct {
	Now, Sent time.Time
	Lease     keyval.LeaseID
	Err       error
}

// PutMsg is the outcome of a PutCmd.
type PutMsg struct {
	Now time.Time
	Rev keyval.Revision
	Err error
}

// RenewMsg is the outcome of a RenewCmd that was sent at Sent.
type RenewMsg struct {
	Now, Sent time.Time
	Err       error
}

// RevokeMsg is the outcome of a RevokeCmd.
type RevokeMsg struct {
	Now time.Time
	Err error
}

func (WakeMsg) msg()   {}
func (ReadMsg) msg()   {}
func (GrantMsg) msg()  {}
func (PutMsg) msg()    {}
func (RenewMsg) msg()  {}
func (RevokeMsg) msg() {}

// Cmd is a command to perform. Its outcome comes back as a message before the next command.
type Cmd interface{ cmd() }

// WaitCmd asks for a WakeMsg after the time For.
type WaitCmd struct{ For time.Duration }

// ReadCmd reads the key.
type ReadCmd struct{}

// GrantCmd asks the service for a lease.
type GrantCmd struct{ TTL time.Duration }

// PutCmd writes Value under the key if the key does not exist. The key is removed when Lease ends.
type PutCmd struct {
	Value []byte
	Lease keyval.LeaseID
}

// RenewCmd extends the lease.
type RenewCmd struct{ Lease keyval.LeaseID }

// RevokeCmd ends the lease and so removes its key.
type RevokeCmd struct{ Lease keyval.LeaseID }

func (WaitCmd) cmd()   {}
func (ReadCmd) cmd()   {}
func (GrantCmd) cmd()  {}
func (PutCmd) cmd()    {}
func (RenewCmd) cmd()  {}
func (RevokeCmd) cmd() {}
