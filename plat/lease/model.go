package lease

import (
	"encoding/json"
	"errors"
	"time"

	"burdockreach.dev/plat/keyval"
)

// Parts of the time to live.
const (
	renewDivisor        = 3  // a renewal is begun ttl/3 after the last.
	retryDivisor        = 12 // after a failure the next try comes ttl/12 later.
	safetyMarginDivisor = 4  // a holder believes in its lease for 3/4 of ttl.
)

// Value is what the key holds.
type Value struct {
	Holder string         `json:"holder"`
	Lease  keyval.LeaseID `json:"lease"`
}

// ParseValue returns the value that the key holds.
func ParseValue(b []byte) (Value, error) {
	var v Value
	err := json.Unmarshal(b, &v)
	return v, err
}

// Model decides how to get and keep the key; it has one command under way at a time.
type Model struct {
	holder           string
	ttl              time.Duration
	claimDelay       func() time.Duration // nil for none.
	claimDelayPassed bool                 // the delay has passed since the key was found free.
	renewalGrace     time.Duration        // a lease that may have lapsed is asked to be renewed for so long.
	pollInterval     time.Duration        // between looks while another holds the key; 0 means a part of ttl.
	leaseID          keyval.LeaseID       // the lease that is open, 0 for none.
	renewalSentAt    time.Time            // when its last renewal that succeeded was begun.
	validUntil       time.Time            // end of the trust in it.
	fence            keyval.Revision
	leader           string
}

// NewModel returns a model of a holder that has nothing yet.
func NewModel(holder string, ttl time.Duration) *Model {
	return &Model{holder: holder, ttl: ttl}
}

// Start returns the first commands.
func (m *Model) Start() []Cmd { return []Cmd{ReadCmd{}} }

// Fence returns the revision of the key's write and the end of the trust in the lease; 0 when it is not held.
func (m *Model) Fence() (keyval.Revision, time.Time) { return m.fence, m.validUntil }

// Leader returns the holder that the key last named, empty when there was none.
func (m *Model) Leader() string { return m.leader }

// Update takes the message in and returns the next command.
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

func (m *Model) waitFraction(parts int) []Cmd {
	return []Cmd{WaitCmd{For: m.ttl / time.Duration(parts)}}
}

// renewWait waits until the next renewal is due, which may be at once when the service is slow.
func (m *Model) renewWait(now time.Time) []Cmd {
	return []Cmd{WaitCmd{For: max(0, m.renewalSentAt.Add(m.ttl/renewDivisor).Sub(now))}}
}

// handleWake goes on after a wait: renew what is held, settle what is open, look at the key else.
func (m *Model) handleWake(now time.Time) []Cmd {
	switch {
	case m.leaseID != 0 && !now.Before(m.validUntil) && !m.withinRenewalGrace(now):
		return m.revoke()
	case m.fence != 0:
		return []Cmd{RenewCmd{Lease: m.leaseID}}
	}
	return []Cmd{ReadCmd{}}
}

// withinRenewalGrace reports whether a holder whose trust has ended goes on asking for the renewal.
func (m *Model) withinRenewalGrace(now time.Time) bool {
	return m.fence != 0 && now.Before(m.renewalSentAt.Add(m.ttl+m.renewalGrace)) && m.renewalGrace > 0
}

// revoke ends the lease, so that nobody has to wait for it to lapse.
func (m *Model) revoke() []Cmd {
	m.fence = 0
	return []Cmd{RevokeCmd{Lease: m.leaseID}}
}

// handleRead looks whose the key is, also after a write whose answer was lost.
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

// remainingClaimDelay returns how long to leave a free key to others; 0 once that has been done.
func (m *Model) remainingClaimDelay() time.Duration {
	if m.claimDelay == nil || m.claimDelayPassed {
		return 0
	}
	return m.claimDelay()
}

// Yield gives the key up; with nothing to give up it looks at the key.
func (m *Model) Yield() []Cmd {
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

// markRenewed notes that the lease was granted or renewed by a call that was begun at sent.
func (m *Model) markRenewed(sent time.Time) {
	m.renewalSentAt, m.validUntil = sent, sent.Add(m.ttl-m.ttl/safetyMarginDivisor)
}

func (m *Model) handlePut(g PutMsg) []Cmd {
	switch {
	case !g.Now.Before(m.validUntil):
		return m.revoke()
	case g.Err != nil: // also a conflict, as an earlier write of this lease may have come late.
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
