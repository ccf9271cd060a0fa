package lease

import (
	"encoding/json"
	"errors"
	"time"

	"burdockreach.dev/plat/keyval"
)

// Divisors of the TTL.
const (
	renewDivisor        = 3  // a renewal begins ttl/3 after the last one
	retryDivisor        = 12 // a failed call is retried after ttl/12
	safetyMarginDivisor = 4  // a holder trusts its lease for ttl - ttl/4
)

// Value is the value of the key.
type Value struct {
	Holder string         `json:"holder"`
	Lease  keyval.LeaseID `json:"lease"`
}

// ParseValue decodes the value of the key.
func ParseValue(b []byte) (Value, error) {
	var v Value
	err := json.Unmarshal(b, &v)
	return v, err
}

// Model decides how to acquire and hold the key. One command is in progress at a time.
type Model struct {
	holder           string
	ttl              time.Duration
	claimDelay       func() time.Duration // nil means none
	claimDelayPassed bool                 // the claim delay has passed since the key was found free
	renewalGrace     time.Duration        // how long renewals are retried after the TTL
	pollInterval     time.Duration        // between reads while another process holds the key; 0 means ttl/3
	leaseID          keyval.LeaseID       // the open lease, 0 if there is none
	renewalSentAt    time.Time            // when the grant or the last successful renewal of the lease was sent
	validUntil       time.Time            // when the lease stops being trusted
	fence            keyval.Revision
	leader           string
}

// NewModel returns a model for holder, without a lease.
func NewModel(holder string, ttl time.Duration) *Model {
	return &Model{holder: holder, ttl: ttl}
}

// Start returns the first command.
func (m *Model) Start() []Cmd { return []Cmd{ReadCmd{}} }

// Fence returns the fencing token, which is the revision of the key's write and 0 if the key is not held, and the time until which
// the lease is trusted.
func (m *Model) Fence() (keyval.Revision, time.Time) { return m.fence, m.validUntil }

// Leader returns the holder that the key named when it was last read, empty if there was none.
func (m *Model) Leader() string { return m.leader }

// Update handles the outcome of the last command and returns the next command.
func (m *Model) Update(msg Msg) []Cmd {
	switch g := msg.(type) {
	case WakeMsg:
		return m.handleWake(g.Now)
	case ReadMsg:
		return m.handleRead(g)
	case GrantMsg:
		return m.handleGrant(g)
	case PutMsg:
		return m.handlePut(g)
	case RenewMsg:
		return m.handleRenew(g)
	case RevokeMsg:
		m.leaseID = 0
		return m.waitFraction(renewDivisor)
	}
	return nil
}

func (m *Model) waitFraction(divisor int) []Cmd {
	return []Cmd{WaitCmd{For: m.ttl / time.Duration(divisor)}}
}

// renewWait waits until the next renewal is due. That may be at once if the service is slow.
func (m *Model) renewWait(now time.Time) []Cmd {
	return []Cmd{WaitCmd{For: max(0, m.renewalSentAt.Add(m.ttl/renewDivisor).Sub(now))}}
}

// handleWake acts after a wait. It revokes a lease that is no longer trusted and past its renewal grace, renews a lease whose key
// is held, and reads the key otherwise.
func (m *Model) handleWake(now time.Time) []Cmd {
	switch {
	case m.leaseID != 0 && !now.Before(m.validUntil) && !m.withinRenewalGrace(now):
		return m.revoke()
	case m.fence != 0:
		return []Cmd{RenewCmd{Lease: m.leaseID}}
	}
	return []Cmd{ReadCmd{}}
}

// withinRenewalGrace reports whether a holder keeps retrying the renewal of a lease that is no longer trusted.
func (m *Model) withinRenewalGrace(now time.Time) bool {
	return m.fence != 0 && now.Before(m.renewalSentAt.Add(m.ttl+m.renewalGrace)) && m.renewalGrace > 0
}

// revoke ends the lease, so that other candidates need not wait until it expires.
func (m *Model) revoke() []Cmd {
	m.fence = 0
	return []Cmd{RevokeCmd{Lease: m.leaseID}}
}

// handleRead acts on the item at the key. The key may be free, held by another process, or written by an earlier put of this
// process whose response was lost.
func (m *Model) handleRead(g ReadMsg) []Cmd {
	if m.leaseID != 0 && !g.Now.Before(m.validUntil) {
		return m.revoke()
	}
	if g.Err != nil {
		return m.waitFraction(retryDivisor)
	}
	v, err := ParseValue(g.Item.Value())
	m.leader = ""
	if g.Item.Found() {
		m.claimDelayPassed = false
	}
	if g.Item.Found() && err == nil {
		m.leader = v.Holder
	}
	switch {
	case !g.Item.Found() && m.leaseID == 0:
		if d := m.remainingClaimDelay(); d > 0 {
			m.claimDelayPassed = true
			return []Cmd{WaitCmd{For: d}}
		}
		return []Cmd{GrantCmd{TTL: m.ttl}}
	case !g.Item.Found():
		return m.claim()
	case m.leaseID != 0 && v == m.ownValue():
		m.fence = g.Item.Rev()
		return m.renewWait(g.Now)
	case m.leaseID != 0:
		return m.revoke()
	}
	if m.pollInterval > 0 {
		return []Cmd{WaitCmd{For: m.pollInterval}}
	}
	return m.waitFraction(renewDivisor)
}

// remainingClaimDelay returns how long to leave a free key to other candidates; 0 once the delay has passed.
func (m *Model) remainingClaimDelay() time.Duration {
	if m.claimDelay == nil || m.claimDelayPassed {
		return 0
	}
	return m.claimDelay()
}

// StepDown revokes the lease if there is one, and reads the key otherwise.
func (m *Model) StepDown() []Cmd {
	m.claimDelayPassed = false
	if m.leaseID == 0 {
		return []Cmd{ReadCmd{}}
	}
	return m.revoke()
}

func (m *Model) ownValue() Value { return Value{Holder: m.holder, Lease: m.leaseID} }

func (m *Model) claim() []Cmd {
	b, err := json.Marshal(m.ownValue())
	if err != nil {
		return m.revoke()
	}
	return []Cmd{PutCmd{Value: b, Lease: m.leaseID}}
}

func (m *Model) handleGrant(g GrantMsg) []Cmd {
	if g.Err != nil {
		return m.waitFraction(retryDivisor)
	}
	m.leaseID = g.Lease
	m.markRenewed(g.Sent)
	return m.claim()
}

// markRenewed records that the lease was granted or renewed by a call that was sent at sent.
func (m *Model) markRenewed(sent time.Time) {
	m.renewalSentAt, m.validUntil = sent, sent.Add(m.ttl-m.ttl/safetyMarginDivisor)
}

func (m *Model) handlePut(g PutMsg) []Cmd {
	switch {
	case !g.Now.Before(m.validUntil):
		return m.revoke()
	case g.Err != nil: // also after a conflict: an earlier write of this lease may have been applied late
		return []Cmd{ReadCmd{}}
	}
	m.fence, m.leader = g.Rev, m.holder
	return m.renewWait(g.Now)
}

func (m *Model) handleRenew(g RenewMsg) []Cmd {
	switch {
	case errors.Is(g.Err, keyval.ErrConflict):
		m.leaseID, m.fence = 0, 0
		return []Cmd{ReadCmd{}}
	case g.Err != nil:
		return m.waitFraction(retryDivisor)
	}
	m.markRenewed(g.Sent)
	return m.renewWait(g.Now)
}
