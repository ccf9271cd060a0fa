package relay

import (
	"time"

	"burdockreach.dev/flow/ledger"
)

// Address is the address at which an entry listens to its peers.
type Address struct{ entry, addr, dataCentre string }

// NewAddress returns the address of an entry; addr is host:port.
func NewAddress(entry, addr, dataCentre string) Address {
	return Address{entry: entry, addr: addr, dataCentre: dataCentre}
}

// Entry returns the entry's id.
func (a Address) Entry() string { return a.entry }

// Addr returns the address as host:port.
func (a Address) Addr() string { return a.addr }

// DataCentre returns the entry's data centre.
func (a Address) DataCentre() string { return a.dataCentre }

// Peer is the state that another entry last reported.
type Peer struct {
	address                   Address
	incarnation               int64
	heardAt                   time.Time // last beat or reply
	applied, roster, holding  int64
	stopping                  bool
	loads                     []*ServiceLoad
	drained, leaving, failing []string
	unheard, gone             []string
	loadsReportedAt           time.Time // last beat with loads
}

// Address returns the id, the address and the data centre of the peer.
func (p Peer) Address() Address { return p.address }

// Incarnation returns the number of the peer's current start; a restarted entry has a higher one.
func (p Peer) Incarnation() int64 { return p.incarnation }

// HeardAt returns when the peer was last heard.
func (p Peer) HeardAt() time.Time { return p.heardAt }

// LoadsReportedAt returns when the peer last reported its loads.
func (p Peer) LoadsReportedAt() time.Time { return p.loadsReportedAt }

// Applied returns the number of the newest configuration change in force at the peer.
func (p Peer) Applied() int64 { return p.applied }

// Roster returns the number of the roster that the peer uses.
func (p Peer) Roster() int64 { return p.roster }

// Holding returns the number of the newest roster in force at the peer.
func (p Peer) Holding() int64 { return p.holding }

// Stopping reports whether the peer is about to stop.
func (p Peer) Stopping() bool { return p.stopping }

// Loads returns the use of each service's slots at the peer; callers must not modify it.
func (p Peer) Loads() []*ServiceLoad { return p.loads }

// Drained returns the VMs to which the peer sends nothing and has no requests in flight; callers must not modify it.
func (p Peer) Drained() []string { return p.drained }

// Leaving returns the VMs that are leaving as far as the peer knows; callers must not modify it.
func (p Peer) Leaving() []string { return p.leaving }

// Failing returns the VMs that fail every request of the peer; callers must not modify it.
func (p Peer) Failing() []string { return p.failing }

func (p Peer) member() ledger.Member {
	return ledger.Member{Entry: p.address.entry, Addr: p.address.addr, Incarnation: p.incarnation}
}

func (p Peer) beatMsg() ledger.HeartbeatMsg {
	return ledger.HeartbeatMsg{Now: p.heardAt, Member: p.member(), ActiveRoster: p.holding, Leaving: p.stopping, Unheard: p.unheard, Gone: p.gone}
}

func (p *Peer) fromRequest(r *BeatRequest) {
	p.applied, p.roster, p.holding, p.stopping = r.GetApplied(), r.GetRoster(), r.GetHolding(), r.GetStopping()
	p.unheard, p.gone, p.leaving = r.GetUnheard(), r.GetGone(), r.GetLeaving()
	p.drained, p.failing = r.GetDrained(), r.GetFailing()
	if !r.GetNoLoads() {
		p.loads, p.loadsReportedAt = r.GetLoads(), p.heardAt
	}
}

func (p *Peer) fromReply(r *BeatReply) {
	p.applied, p.roster, p.holding, p.stopping = r.GetApplied(), r.GetRoster(), r.GetHolding(), r.GetStopping()
	p.leaving = r.GetLeaving()
}
