package relay

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
)

const (
	beatInterval = 500 * time.Millisecond
	// beatFanoutMin is the least number of peers of the local data centre that receive a beat in one round.
	beatFanoutMin = 2
	// beatRotationRounds is the number of rounds after which every peer of the local data centre has received a beat, however many
	// there are; the fanout grows with their number.
	beatRotationRounds = 10
	remoteBeatRounds   = 2 // rounds between beats to other data centres
	loadReportRounds   = 4 // rounds between reports of loads to the leader
	openCircuitRounds  = 4 // rounds between beats to a peer whose circuit is open
	beatConcurrency    = 16
	// unlistedPeerTTL is how long a peer is remembered after its last beat; entries that are listed still receive beats.
	unlistedPeerTTL = 30 * time.Second
)

// Report is the part of a beat that goes only to entries of the local data centre: the state of services and VMs.
type Report struct {
	Loads                     []*ServiceLoad
	Drained, Leaving, Failing []string
	Members                   []byte // delta of the membership document, from the leader
}

// EntryState provides the local state that beats send, and takes configuration changes from peers.
type EntryState interface {
	// Applied returns the number of the newest configuration change in force.
	Applied() int64
	// ChangesSince returns the changes after change n in order, few enough for one beat, or a whole document when those changes are no
	// longer held.
	ChangesSince(n int64) (changes [][]byte, snapshot []byte)
	// Offer passes on changes, or a whole document, received from a peer.
	Offer(changes [][]byte, snapshot []byte)
	// Report returns the state to send to entries of the local data centre.
	Report() Report
}

// Heartbeater exchanges heartbeats with the other entries and remembers what each one last reported.
type Heartbeater struct {
	keyHolder *KeyHolder
	client    *Client
	state     EntryState
	interval  time.Duration
	leader    func() string
	onBeat    func(Peer, []byte)

	mu      sync.Mutex
	entries []Address
	peers   map[string]Peer // by entry id
	round   int

	beatRequests chan struct{} // requests to beat to the local data centre at once
	aheadPeers   chan Address  // peers with newer configuration changes; a beat to them returns the changes
}

// HeartbeaterOption configures a Heartbeater.
type HeartbeaterOption func(*Heartbeater)

// WithInterval sets the time between rounds of beats.
func WithInterval(d time.Duration) HeartbeaterOption { return func(b *Heartbeater) { b.interval = d } }

// WithLeader sets how the leader of the local data centre is found. Loads go to the leader alone, every fourth round, and to all
// local entries while f returns an empty name.
func WithLeader(f func() string) HeartbeaterOption { return func(b *Heartbeater) { b.leader = f } }

// WithOnBeat sets a function that is called after each received beat, with the sender and its delta of the membership document. It
// must not block.
func WithOnBeat(f func(p Peer, members []byte)) HeartbeaterOption {
	return func(b *Heartbeater) { b.onBeat = f }
}

// NewHeartbeater returns the heartbeater of the key holder's entry. It beats at once when the key holder's roster or state changes.
func NewHeartbeater(k *KeyHolder, c *Client, r EntryState, o ...HeartbeaterOption) *Heartbeater {
	b := &Heartbeater{
		keyHolder: k, client: c, state: r, interval: beatInterval, leader: func() string { return "" }, onBeat: func(Peer, []byte) {},
		peers: map[string]Peer{}, beatRequests: make(chan struct{}, 1), aheadPeers: make(chan Address, 8),
	}
	for _, f := range o {
		f(b)
	}
	k.mu.Lock()
	k.onChange = b.BeatNow
	k.mu.Unlock()
	return b
}

// SetEntries replaces the list of known entries of all data centres.
func (b *Heartbeater) SetEntries(l []Address) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = slices.Clone(l)
}

// BeatNow sends a beat to the entries of the local data centre at once, because the state to report has changed. It does not block.
func (b *Heartbeater) BeatNow() {
	select {
	case b.beatRequests <- struct{}{}:
	default:
	}
}

// Peers returns what the other entries last reported, sorted by their ids.
func (b *Heartbeater) Peers() []Peer {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := make([]Peer, 0, len(b.peers))
	for _, p := range b.peers {
		l = append(l, p)
	}
	slices.SortFunc(l, func(x, y Peer) int { return strings.Compare(x.address.entry, y.address.entry) })
	return l
}

// Run sends beats until ctx ends.
func (b *Heartbeater) Run(ctx context.Context) error {
	t := time.NewTicker(b.interval)
	defer t.Stop()
	for {
		var l []Address
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			l = b.nextTargets()
		case <-b.beatRequests:
			l = b.localPeers()
		case a := <-b.aheadPeers:
			l = []Address{a}
		}
		b.send(ctx, l)
	}
}

// send sends a beat to each of l. The entries of the local data centre share one request; a second one with loads goes to those that are
// due for them.
func (b *Heartbeater) send(ctx context.Context, l []Address) {
	leader := b.leader()
	full := b.localRequest()
	withoutLoads := full
	if leader != "" {
		withoutLoads = proto.CloneOf(full)
		withoutLoads.Loads, withoutLoads.NoLoads = nil, true
	}
	forEach(ctx, beatConcurrency, l, func(c context.Context, a Address) {
		switch {
		case a.dataCentre != b.keyHolder.dataCentre:
			b.beat(c, a, b.request(a.dataCentre))
		case a.entry == leader && b.loadsDue():
			b.beat(c, a, full)
		default:
			b.beat(c, a, withoutLoads)
		}
	})
}

// loadsDue reports whether the leader gets a report of loads in this round.
func (b *Heartbeater) loadsDue() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.round%loadReportRounds == 0
}

// Beat implements Relay.
func (b *Heartbeater) Beat(_ context.Context, r *BeatRequest) (*BeatReply, error) {
	p := b.recordPeer(NewAddress(r.GetEntry(), r.GetAddr(), r.GetDataCentre()), r.GetIncarnation(), func(p *Peer) { p.fromRequest(r) })
	k := b.keyHolder
	own := k.Roster(k.dataCentre)
	if r.GetDataCentre() == k.dataCentre && r.GetRoster() > own.Number() {
		k.requestRefresh(k.dataCentre)
	}
	o := &BeatReply{
		Entry: k.self.Entry, DataCentre: k.dataCentre, Incarnation: k.self.Incarnation, Applied: b.state.Applied(), Roster: own.Number(),
		Holding: k.Holding(), Stopping: k.stopping(), Leaving: b.state.Report().Leaving,
	}
	if own.Number() > r.GetPeerRoster() {
		o.RosterDocument = own.Marshal()
	}
	switch {
	case o.Applied > r.GetApplied():
		o.Changes, o.Snapshot = b.state.ChangesSince(r.GetApplied())
	case o.Applied < r.GetApplied():
		select {
		case b.aheadPeers <- p.address:
		default:
		}
	}
	b.onBeat(p, r.GetMembers())
	return o, nil
}

// beat sends q to one entry and applies its reply; a failed call is ignored.
func (b *Heartbeater) beat(ctx context.Context, a Address, q *BeatRequest) {
	o, err := b.client.Beat(ctx, a.addr, q)
	if err != nil {
		return
	}
	b.recordPeer(NewAddress(o.GetEntry(), a.addr, o.GetDataCentre()), o.GetIncarnation(), func(p *Peer) { p.fromReply(o) })
	if len(o.GetChanges()) > 0 || len(o.GetSnapshot()) > 0 {
		b.state.Offer(o.GetChanges(), o.GetSnapshot())
	}
	if err := b.keyHolder.LearnRoster(o.GetRosterDocument()); err != nil {
		b.keyHolder.log.Warn().Err(err).Str("step", "beat").Str("peer", a.entry).Msg("roster unreadable")
	}
}

// request returns the part of a beat that goes to entries of every data centre.
func (b *Heartbeater) request(dataCentre string) *BeatRequest {
	k := b.keyHolder
	return &BeatRequest{
		Entry: k.self.Entry, DataCentre: k.dataCentre, Incarnation: k.self.Incarnation, Addr: k.self.Addr,
		Applied: b.state.Applied(), Roster: k.Roster(k.dataCentre).Number(), Holding: k.Holding(),
		PeerRoster: k.Roster(dataCentre).Number(), Stopping: k.stopping(),
	}
}

// localRequest returns the beat for entries of the local data centre.
func (b *Heartbeater) localRequest() *BeatRequest {
	q, r := b.request(b.keyHolder.dataCentre), b.state.Report()
	q.Loads, q.Drained, q.Leaving, q.Failing, q.Members = r.Loads, r.Drained, r.Leaving, r.Failing, r.Members
	q.Unheard, q.Gone = b.keyHolder.unheardAndGone()
	return q
}

// recordPeer stores what a peer reported; a report from an earlier incarnation than the newest known one is dropped.
func (b *Heartbeater) recordPeer(a Address, incarnation int64, f func(*Peer)) Peer {
	k := b.keyHolder
	now := k.now()
	b.mu.Lock()
	p := b.peers[a.entry]
	if p.incarnation > incarnation || a.entry == "" || a.entry == k.self.Entry {
		b.mu.Unlock()
		return p
	}
	if p.incarnation != incarnation {
		p = Peer{}
	}
	p.address, p.incarnation, p.heardAt = a, incarnation, now
	f(&p)
	b.peers[a.entry] = p
	b.mu.Unlock()
	if a.dataCentre == k.dataCentre {
		k.recordBeat(p.beatMsg())
	}
	return p
}

// localPeers returns every other entry of the local data centre, each address once, and forgets peers that were not heard for long.
func (b *Heartbeater) localPeers() []Address {
	k := b.keyHolder
	all := map[string]Address{}
	r := k.Roster(k.dataCentre)
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range b.entries {
		if a.dataCentre == k.dataCentre {
			all[a.addr] = a
		}
	}
	for _, m := range r.Members() {
		all[m.Addr] = NewAddress(m.Entry, m.Addr, k.dataCentre)
	}
	now := k.now()
	for e, p := range b.peers {
		if now.Sub(p.heardAt) > unlistedPeerTTL {
			delete(b.peers, e)
		} else if p.address.dataCentre == k.dataCentre {
			all[p.address.addr] = p.address
		}
	}
	delete(all, k.self.Addr)
	return sortedByAddr(all)
}

// sortedByAddr returns the addresses of m in order.
func sortedByAddr(m map[string]Address) []Address {
	l := slices.Collect(maps.Values(m))
	slices.SortFunc(l, func(x, y Address) int { return strings.Compare(x.addr, y.addr) })
	return l
}

// nextTargets returns the entries that the next round beats: some of the local data centre, the leader when a report of loads is due,
// and every second round one of another data centre.
func (b *Heartbeater) nextTargets() []Address {
	local, leader := b.localPeers(), b.leader()
	b.mu.Lock()
	b.round++
	n := b.round
	remote := map[string][]Address{}
	for _, a := range b.entries {
		if a.dataCentre != b.keyHolder.dataCentre {
			remote[a.dataCentre] = append(remote[a.dataCentre], a)
		}
	}
	b.mu.Unlock()
	l := rotate(local, n, max(beatFanoutMin, (len(local)+beatRotationRounds-1)/beatRotationRounds))
	isLeader := func(a Address) bool { return a.entry == leader }
	if i := slices.IndexFunc(local, isLeader); i >= 0 && n%loadReportRounds == 0 && !slices.ContainsFunc(l, isLeader) {
		l = append(l, local[i])
	}
	if n%remoteBeatRounds == 0 && len(remote) > 0 {
		k := n / remoteBeatRounds
		d := slices.Sorted(maps.Keys(remote))
		l = append(l, rotate(remote[d[k%len(d)]], k/len(d), 1)...)
	}
	return slices.DeleteFunc(l, func(a Address) bool { return n%openCircuitRounds != 0 && b.client.CircuitOpen(a.addr) })
}

// rotate returns the n-th group of k elements of l, wrapping around at its end.
func rotate(l []Address, n, k int) []Address {
	if len(l) <= k {
		return slices.Clone(l)
	}
	o := make([]Address, 0, k)
	for i := range k {
		o = append(o, l[(n*k+i)%len(l)])
	}
	return o
}
