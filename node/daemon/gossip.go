package daemon

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"burdockreach.dev/fleet/pool"
	"burdockreach.dev/flow/sched"
	"burdockreach.dev/node/entry"
	"burdockreach.dev/node/leader"
	"burdockreach.dev/node/relay"
	"burdockreach.dev/node/view"
	"burdockreach.dev/plat/conf"
)

const (
	changesPerBeat = 200
	// followerDeltaDelay is how long an entry that does not lead leaves it to the leader to send deltas of a new view.
	followerDeltaDelay = time.Second
	// reportMaxAge is the age after which a report of another entry is ignored.
	reportMaxAge = 3 * time.Second
)

// peerReport is an entry's report about targets to the other entries of its data centre.
type peerReport struct {
	Version       view.Version      `json:"v"`
	Leading       bool              `json:"lead,omitempty"`
	Drained       []entry.DrainedVM `json:"quits,omitempty"`
	Leaving       []entry.LeavingVM `json:"leaving,omitempty"`
	Delta         *view.Delta       `json:"delta,omitempty"`
	SettledRoster int64             `json:"shares,omitempty"`  // number of the roster that all services of the entry follow in sharing slots
	ShardVersions []int64           `json:"numbers,omitempty"` // version of each membership shard in the entry's view
}

// gossip exchanges configuration changes, view deltas and reports with the other entries.
// Changes go to all data centres, the rest to this one alone. mu guards the fields below it.
type gossip struct {
	d *Daemon

	mu            sync.Mutex
	received      map[string]receivedReport
	viewChangedAt time.Time // when this entry's view last changed
	viewVersion   view.Version
}

// receivedReport is a report of another entry with the time at which it was received.
type receivedReport struct {
	peerReport
	receivedAt time.Time
}

func newGossip(d *Daemon) *gossip { return &gossip{d: d, received: make(map[string]receivedReport)} }

// Applied implements relay.EntryState.
func (n *gossip) Applied() int64 { return int64(n.d.conf.Document().Number()) }

// ChangesSince implements relay.EntryState.
func (n *gossip) ChangesSince(after int64) (changes [][]byte, snapshot []byte) {
	l, doc := n.d.conf.Since(conf.Number(after), changesPerBeat)
	if doc != nil {
		b, err := doc.Marshal()
		if err != nil {
			n.d.log.Error().Str("step", "relay").Err(err).Msg("cannotEncode")
		}
		return nil, b
	}
	for _, c := range l {
		if b, err := json.Marshal(c); err == nil {
			changes = append(changes, b)
		}
	}
	return changes, nil
}

// Offer implements relay.EntryState.
func (n *gossip) Offer(changes [][]byte, snapshot []byte) {
	if len(snapshot) > 0 {
		doc, err := conf.ParseDocument(snapshot)
		if err != nil {
			n.d.log.Warn().Str("step", "relay").Err(err).Msg("malformed")
			return
		}
		n.d.conf.OfferDocument(doc)
	}
	l := make([]conf.Change, 0, len(changes))
	for _, b := range changes {
		var c conf.Change
		if err := json.Unmarshal(b, &c); err != nil {
			n.d.log.Warn().Str("step", "relay").Err(err).Msg("malformed")
			return
		}
		l = append(l, c)
	}
	if _, err := n.d.conf.Offer(l...); err != nil {
		n.d.log.Warn().Str("step", "relay").Err(err).Msg("changesRefused")
	}
}

// Report implements relay.EntryState.
func (n *gossip) Report() relay.Report {
	b, err := json.Marshal(n.peerReport())
	if err != nil {
		n.d.log.Error().Str("step", "relay").Err(err).Msg("cannotEncode")
	}
	r := relay.Report{Members: b, Failing: n.failing()}
	for s, l := range n.d.entry.Loads() {
		r.Loads = append(r.Loads, &relay.ServiceLoad{
			Service: s, Busy: int32(l.Busy()), Queued: int32(queued(l)), Idle: int32(l.Idle()), Arrivals: l.Arrivals(), Done: l.Goodput(),
		})
	}
	return r
}

func queued(s sched.Stats) int {
	return s.Queued(sched.Urgent) + s.Queued(sched.Normal) + s.Queued(sched.Background)
}

// failing returns the VMs that fail every request of this entry.
func (n *gossip) failing() []string { return n.d.entry.Failing() }

// peerReport returns this entry's report. If another entry is behind, the report carries the delta from the oldest version in use.
// An entry that does not lead adds it only when its view has not changed for followerDeltaDelay.
func (n *gossip) peerReport() peerReport {
	now := time.Now()
	_, lead := n.d.lease.Held()
	b := peerReport{Version: n.d.views.View().Version(), Leading: lead, Drained: n.d.entry.DrainedVMs(), Leaving: n.d.entry.LeavingVMs(), SettledRoster: n.d.entry.SettledRoster(), ShardVersions: shardVersions(n.d.views.View())}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.viewVersion != b.Version {
		n.viewVersion, n.viewChangedAt = b.Version, now
	}
	if !lead && now.Sub(n.viewChangedAt) < followerDeltaDelay {
		return b
	}
	if oldest, ok := n.oldestVersion(now, b.Version); ok {
		if d, ok := n.d.views.DeltaSince(oldest); ok {
			b.Delta = &d
		}
	}
	return b
}

// oldestVersion returns the oldest view version that another entry reports; ok is false if none is behind own. It drops expired reports.
// The caller holds n.mu.
func (n *gossip) oldestVersion(now time.Time, own view.Version) (v view.Version, ok bool) {
	v = own
	for e, h := range n.received {
		if now.Sub(h.receivedAt) > reportMaxAge {
			delete(n.received, e)
			continue
		}
		if v.After(h.Version) {
			v, ok = h.Version, true
		}
	}
	return v, ok
}

// receive handles a report of another entry. It ignores entries of other data centres.
func (n *gossip) receive(p relay.Peer, raw []byte) {
	if len(raw) == 0 || p.Address().DataCentre() != n.d.settings.DataCentre() {
		return
	}
	var b peerReport
	if err := json.Unmarshal(raw, &b); err != nil {
		n.d.log.Warn().Str("step", "relay").Str("peer", p.Address().Entry()).Err(err).Msg("malformed")
		return
	}
	n.mu.Lock()
	n.received[p.Address().Entry()] = receivedReport{peerReport: b, receivedAt: time.Now()}
	n.mu.Unlock()
	if b.Delta != nil {
		n.applyDelta(*b.Delta)
	}
	n.d.entry.MergeLeaving(b.Leaving)
	n.d.slotLoans.rosterSettled(p, b.SettledRoster)
	n.d.loop.Wake()
}

// applyDelta applies a delta to the view. It ignores deltas that are old or do not apply.
func (n *gossip) applyDelta(d view.Delta) {
	if err := n.d.views.Offer(d); err == nil {
		n.d.log.Debug().Str("step", "view").Int64("fence", d.To.Fence).Int64("count", d.To.Count).Msg("viewTaken")
	}
}

// leader returns the entry that leads the data centre according to this entry's lease and the reports, or an empty string.
func (n *gossip) leader() string {
	if _, ok := n.d.lease.Held(); ok {
		return n.d.settings.Name()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for e, h := range n.received {
		if h.Leading && time.Since(h.receivedAt) < reportMaxAge {
			return e
		}
	}
	return ""
}

// hasLeader reports whether leader finds an entry that leads the data centre.
func (n *gossip) hasLeader() bool { return n.leader() != "" }

// EntryReports implements leader.Peers.
func (n *gossip) EntryReports() []leader.EntryReport {
	now := time.Now()
	l := []leader.EntryReport{{Entry: n.d.settings.Name(), ReceivedAt: now, Drained: drainedVMs(n.d.entry.DrainedVMs()), Failing: n.failing(), Loads: n.ownLoads(), ShardVersions: shardVersions(n.d.views.View())}}
	for _, p := range n.d.heartbeater.Peers() {
		e := p.Address().Entry()
		n.mu.Lock()
		h, ok := n.received[e]
		n.mu.Unlock()
		if !ok || now.Sub(h.receivedAt) > reportMaxAge {
			continue
		}
		w := leader.EntryReport{Entry: e, ReceivedAt: h.receivedAt, Drained: drainedVMs(h.Drained), Failing: p.Failing(), ShardVersions: h.ShardVersions}
		for _, s := range p.Loads() {
			w.Loads = append(w.Loads, leader.Load{
				Service: s.GetService(), Busy: float64(s.GetBusy()), Queued: float64(s.GetQueued()), ArrivalsPerSecond: s.GetArrivals(), AnswersPerSecond: s.GetDone(),
			})
		}
		l = append(l, w)
	}
	return l
}

// ownLoads returns this entry's loads in the leader's form.
func (n *gossip) ownLoads() []leader.Load {
	var l []leader.Load
	for s, o := range n.d.entry.Loads() {
		l = append(l, leader.Load{Service: s, Busy: float64(o.Busy()), Queued: float64(queued(o)), ArrivalsPerSecond: o.Arrivals(), AnswersPerSecond: o.Goodput()})
	}
	return l
}

// drainedVMs converts the entry's list of drained VMs to the leader's form.
func drainedVMs(l []entry.DrainedVM) []leader.DrainedVM {
	r := make([]leader.DrainedVM, 0, len(l))
	for _, q := range l {
		r = append(r, leader.DrainedVM{VM: q.VM, ShardVersion: q.ShardVersion})
	}
	return slices.Clip(r)
}

// shardVersions returns the version of each membership shard, taken from the targets of the view.
func shardVersions(v *view.View) []int64 {
	l := make([]int64, pool.ShardCount)
	for _, t := range v.Targets() {
		i := pool.Index(t.VM, pool.ShardCount)
		l[i] = max(l[i], t.ShardVersion)
	}
	return l
}
