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
	beatEvery = 500 * time.Millisecond
	// beatFan is the least number of peers of the own data centre that one round beats; rounds take turns.
	beatFan = 2
	// beatTurns is the number of rounds in which every peer of the own data centre has had its turn, whatever their number.
	beatTurns    = 10
	farRounds    = 2 // rounds between beats to another data centre
	reportRounds = 4 // rounds between reports of loads to a leader
	openRounds   = 4 // rounds between beats to a peer whose circuit is open
	beatTasks    = 16
	// heardFor is how long a peer that no list names is remembered.
	heardFor = 30 * time.Second
)

// Report is what an entry says of its services and VMs in a beat to its own data centre.
type Report struct {
	Loads                     []*ServiceLoad
	Drained, Leaving, Failing []string
	Members                   []byte // delta of the membership document, from the leader
}

// Carrier is the entry's side of beats.
type Carrier interface {
	// Applied returns the newest configuration change in force.
	Applied() int64
	// Since returns the changes after n in order, or a whole document when they are no longer held; few enough for one beat.
	Since(n int64) (changes [][]byte, snapshot []byte)
	// Offer takes changes or a document from a peer.
	Offer(changes [][]byte, snapshot []byte)
	// Report returns what to tell entries of the own data centre.
	Report() Report
}

// Beater tells the other entries what this one knows and remembers what they say.
type Beater struct {
	keeper  *Keeper
	client  *Client
	carrier Carrier
	every   time.Duration
	leader  func() string
	onBeat  func(Peer, []byte)

	mu    sync.Mutex
	known []Address
	heard map[string]Peer
	round int

	kicks chan struct{}
	backs chan Address // peers that have newer changes
}

// BeaterOption changes a new Beater.
type BeaterOption func(*Beater)

// WithEvery sets the time between rounds of beats.
func WithEvery(d time.Duration) BeaterOption { return func(b *Beater) { b.every = d } }

// WithLeader names the entry that leads the data centre; loads then go to it alone, every fourth round, and to all while the name is empty.
func WithLeader(f func() string) BeaterOption { return func(b *Beater) { b.leader = f } }

// OnBeat is called after each beat that comes in, with the sender and its delta of the membership document; it must not block.
func OnBeat(f func(p Peer, members []byte)) BeaterOption { return func(b *Beater) { b.onBeat = f } }

// NewBeater returns the beater of the keeper's entry.
func NewBeater(k *Keeper, c *Client, r Carrier, o ...BeaterOption) *Beater {
	b := &Beater{
		keeper: k, client: c, carrier: r, every: beatEvery, leader: func() string { return "" }, onBeat: func(Peer, []byte) {},
		heard: map[string]Peer{}, kicks: make(chan struct{}, 1), backs: make(chan Address, 8),
	}
	for _, f := range o {
		f(b)
	}
	k.mu.Lock()
	k.changed = b.Kick
	k.mu.Unlock()
	return b
}

// Know replaces the list of entries of all data centres, as the platform gives it.
func (b *Beater) Know(l []Address) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.known = slices.Clone(l)
}

// Kick beats to the own data centre at once, because something has changed.
func (b *Beater) Kick() {
	select {
	case b.kicks <- struct{}{}:
	default:
	}
}

// Heard returns what the other entries last said, in order of their ids.
func (b *Beater) Heard() []Peer {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := make([]Peer, 0, len(b.heard))
	for _, p := range b.heard {
		l = append(l, p)
	}
	slices.SortFunc(l, func(x, y Peer) int { return strings.Compare(x.address.entry, y.address.entry) })
	return l
}

// Run beats until ctx ends.
func (b *Beater) Run(ctx context.Context) error {
	t := time.NewTicker(b.every)
	defer t.Stop()
	for {
		var l []Address
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			l = b.targets()
		case <-b.kicks:
			l = b.near()
		case a := <-b.backs:
			l = []Address{a}
		}
		b.send(ctx, l)
	}
}

// send beats each of l, with one request for all of the own data centre, and one with loads for those that need them.
func (b *Beater) send(ctx context.Context, l []Address) {
	lead := b.leader()
	full := b.nearRequest()
	near := full
	if lead != "" {
		near = proto.CloneOf(full)
		near.Loads, near.NoLoads = nil, true
	}
	each(ctx, beatTasks, l, func(c context.Context, a Address) {
		switch {
		case a.dataCentre != b.keeper.dataCentre:
			b.beat(c, a, b.request(a.dataCentre))
		case a.entry == lead && b.reports():
			b.beat(c, a, full)
		default:
			b.beat(c, a, near)
		}
	})
}

// reports reports whether a leader is told loads in this round.
func (b *Beater) reports() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.round%reportRounds == 0
}

// Beat implements Relay.
func (b *Beater) Beat(_ context.Context, r *BeatRequest) (*BeatReply, error) {
	p := b.note(NewAddress(r.GetEntry(), r.GetAddr(), r.GetDataCentre()), r.GetIncarnation(), func(p *Peer) { p.fromRequest(r) })
	k := b.keeper
	own := k.Roster(k.dataCentre)
	if r.GetDataCentre() == k.dataCentre && r.GetRoster() > own.Number() {
		k.ask(k.dataCentre)
	}
	o := &BeatReply{
		Entry: k.self.Entry, DataCentre: k.dataCentre, Incarnation: k.self.Incarnation, Applied: b.carrier.Applied(), Roster: own.Number(),
		Holding: k.Holding(), Stopping: k.stopping(), Leaving: b.carrier.Report().Leaving,
	}
	if own.Number() > r.GetPeerRoster() {
		o.RosterDocument = own.Marshal()
	}
	switch {
	case o.Applied > r.GetApplied():
		o.Changes, o.Snapshot = b.carrier.Since(r.GetApplied())
	case o.Applied < r.GetApplied():
		select {
		case b.backs <- p.address:
		default:
		}
	}
	b.onBeat(p, r.GetMembers())
	return o, nil
}

func (b *Beater) beat(ctx context.Context, a Address, q *BeatRequest) {
	o, err := b.client.Beat(ctx, a.addr, q)
	if err != nil {
		return
	}
	b.note(NewAddress(o.GetEntry(), a.addr, o.GetDataCentre()), o.GetIncarnation(), func(p *Peer) { p.fromReply(o) })
	if len(o.GetChanges()) > 0 || len(o.GetSnapshot()) > 0 {
		b.carrier.Offer(o.GetChanges(), o.GetSnapshot())
	}
	if err := b.keeper.Learn(o.GetRosterDocument()); err != nil {
		b.keeper.log.Warn().Err(err).Str("step", "beat").Str("peer", a.entry).Msg("roster unreadable")
	}
}

// request returns what an entry of any data centre is told.
func (b *Beater) request(dataCentre string) *BeatRequest {
	k := b.keeper
	return &BeatRequest{
		Entry: k.self.Entry, DataCentre: k.dataCentre, Incarnation: k.self.Incarnation, Addr: k.self.Addr,
		Applied: b.carrier.Applied(), Roster: k.Roster(k.dataCentre).Number(), Holding: k.Holding(),
		PeerRoster: k.Roster(dataCentre).Number(), Stopping: k.stopping(),
	}
}

// nearRequest returns what the entries of the own data centre are told.
func (b *Beater) nearRequest() *BeatRequest {
	q, r := b.request(b.keeper.dataCentre), b.carrier.Report()
	q.Loads, q.Drained, q.Leaving, q.Failing, q.Members = r.Loads, r.Drained, r.Leaving, r.Failing, r.Members
	q.Unheard, q.Gone = b.keeper.missing()
	return q
}

// note remembers what a peer said; word of an earlier life than the newest known is dropped.
func (b *Beater) note(a Address, incarnation int64, f func(*Peer)) Peer {
	k := b.keeper
	now := k.now()
	b.mu.Lock()
	p := b.heard[a.entry]
	if p.incarnation > incarnation || a.entry == "" || a.entry == k.self.Entry {
		b.mu.Unlock()
		return p
	}
	if p.incarnation != incarnation {
		p = Peer{}
	}
	p.address, p.incarnation, p.at = a, incarnation, now
	f(&p)
	b.heard[a.entry] = p
	b.mu.Unlock()
	if a.dataCentre == k.dataCentre {
		k.hear(p.beatMsg())
	}
	return p
}

// near returns every other entry of the own data centre, each address once.
func (b *Beater) near() []Address {
	k := b.keeper
	all := map[string]Address{}
	r := k.Roster(k.dataCentre)
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range b.known {
		if a.dataCentre == k.dataCentre {
			all[a.addr] = a
		}
	}
	for _, m := range r.Members() {
		all[m.Addr] = NewAddress(m.Entry, m.Addr, k.dataCentre)
	}
	now := k.now()
	for e, p := range b.heard {
		if now.Sub(p.at) > heardFor {
			delete(b.heard, e)
		} else if p.address.dataCentre == k.dataCentre {
			all[p.address.addr] = p.address
		}
	}
	delete(all, k.self.Addr)
	return ordered(all)
}

func ordered(m map[string]Address) []Address {
	l := slices.Collect(maps.Values(m))
	slices.SortFunc(l, func(x, y Address) int { return strings.Compare(x.addr, y.addr) })
	return l
}

// targets returns whom the next round beats: some of the own data centre, the leader when it is due, and one other data centre's entry.
func (b *Beater) targets() []Address {
	near, lead := b.near(), b.leader()
	b.mu.Lock()
	b.round++
	n := b.round
	far := map[string][]Address{}
	for _, a := range b.known {
		if a.dataCentre != b.keeper.dataCentre {
			far[a.dataCentre] = append(far[a.dataCentre], a)
		}
	}
	b.mu.Unlock()
	l := turn(near, n, max(beatFan, (len(near)+beatTurns-1)/beatTurns))
	due := func(a Address) bool { return a.entry == lead }
	if i := slices.IndexFunc(near, due); i >= 0 && n%reportRounds == 0 && !slices.ContainsFunc(l, due) {
		l = append(l, near[i])
	}
	if n%farRounds == 0 && len(far) > 0 {
		k := n / farRounds
		d := slices.Sorted(maps.Keys(far))
		l = append(l, turn(far[d[k%len(d)]], k/len(d), 1)...)
	}
	return slices.DeleteFunc(l, func(a Address) bool { return n%openRounds != 0 && b.client.Open(a.addr) })
}

// turn returns the n-th group of k of l.
func turn(l []Address, n, k int) []Address {
	if len(l) <= k {
		return slices.Clone(l)
	}
	o := make([]Address, 0, k)
	for i := range k {
		o = append(o, l[(n*k+i)%len(l)])
	}
	return o
}
