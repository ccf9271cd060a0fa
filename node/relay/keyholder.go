package relay

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/flow/ledger"
	"burdockreach.dev/plat/keyval"
	"burdockreach.dev/plat/steady"
)

const (
	tickInterval    = 200 * time.Millisecond
	confirmBatchMax = 10_000 // claims that share one read
)

// KeyHolder runs package ledger for one entry: it holds records of its data centre's keys and claims keys for the entry's own
// requests.
type KeyHolder struct {
	self        ledger.Member
	dataCentre  string
	dataCentres []string
	store       keyval.Store
	client      *Client
	log         zerolog.Logger
	now         func() time.Time
	bookOptions []ledger.BookOption

	mu            sync.Mutex
	book          *ledger.Book
	membership    *ledger.Membership
	rosters       map[string]ledger.Roster
	storeRevision keyval.Revision // revision of the local roster's key at the last read
	storedNumber  int64           // number of the local roster that the platform's service held at the last read
	storeRead     bool            // whether storeRevision and storedNumber are up to date; false before the first read and after a write
	onChange      func()          // called after a change of the local roster or of its state

	rosterAdopted   chan struct{} // wakes pullLoop after a new local roster
	refreshRequests chan string   // data centres whose roster should be read soon
	outbox          *outbox
	// confirmBatchers combine concurrent confirmations of each data centre's roster into one read.
	confirmBatchers map[string]*batcher[struct{}, int64]
	lease           storeLease
}

// KeyHolderOption configures a KeyHolder.
type KeyHolderOption func(*KeyHolder)

// WithLog sets the logger; the default discards everything.
func WithLog(l zerolog.Logger) KeyHolderOption { return func(k *KeyHolder) { k.log = l } }

// WithBookOptions sets options of the entry's ledger.Book.
func WithBookOptions(o ...ledger.BookOption) KeyHolderOption {
	return func(k *KeyHolder) { k.bookOptions = append(k.bookOptions, o...) }
}

// NewKeyHolder returns the key holder of the entry self; dataCentres lists all data centres of the fleet.
func NewKeyHolder(self ledger.Member, dataCentre string, dataCentres []string, s keyval.Store, c *Client, o ...KeyHolderOption) *KeyHolder {
	k := &KeyHolder{
		self: self, dataCentre: dataCentre, dataCentres: dataCentres, store: s, client: c, log: zerolog.Nop(), now: time.Now,
		membership: ledger.NewMembership(self, dataCentre), rosters: map[string]ledger.Roster{},
		rosterAdopted: make(chan struct{}, 1), refreshRequests: make(chan string, len(dataCentres)), onChange: func() {},
	}
	for _, f := range o {
		f(k)
	}
	k.book = ledger.NewBook(self, k.bookOptions...)
	k.outbox = newOutbox(k)
	k.confirmBatchers = map[string]*batcher[struct{}, int64]{}
	for _, d := range dataCentres {
		k.confirmBatchers[d] = newBatcher[struct{}, int64](1, confirmBatchMax)
	}
	return k
}

// Run watches rosters, pulls records and delivers settlements until ctx ends.
func (k *KeyHolder) Run(ctx context.Context) error {
	g, c := errgroup.WithContext(ctx)
	g.Go(func() error { return k.watchLoop(c) })
	g.Go(func() error { return k.refreshLoop(c) })
	g.Go(func() error { return k.tickLoop(c) })
	g.Go(func() error { return k.pullLoop(c) })
	g.Go(func() error { return k.outbox.run(c) })
	return g.Wait()
}

// Roster returns the newest known roster of a data centre; its number is zero if none is known.
func (k *KeyHolder) Roster(dataCentre string) ledger.Roster {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.rosters[dataCentre]
}

// Holding returns the number of the newest roster that is in force at this entry, or zero.
func (k *KeyHolder) Holding() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.book.ActiveRoster()
}

// Size returns the number of records and the bytes of stored answers.
func (k *KeyHolder) Size() (records, answerBytes int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.book.Len(), k.book.AnswerBytes()
}

// SetGone sets the entries that have left the fleet according to the platform's list. The list is valid for 30 s. One entry that reads the
// list is enough, for example the leader, because beats carry the result to the others.
func (k *KeyHolder) SetGone(entries []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.membership.UpdateVMList(ledger.VMListMsg{Now: k.now(), Gone: entries})
}

// LearnRoster adopts a roster document if it is newer than the known roster of its data centre; an empty document is ignored.
func (k *KeyHolder) LearnRoster(doc []byte) error {
	if len(doc) == 0 {
		return nil
	}
	r, err := ledger.ParseRoster(doc)
	if err != nil {
		return wrapErr("roster", "", err)
	}
	k.adoptRoster(r)
	return nil
}

// adoptRoster stores r if it is newer than the known roster of its data centre.
func (k *KeyHolder) adoptRoster(r ledger.Roster) {
	k.mu.Lock()
	if r.Number() <= k.rosters[r.DataCentre()].Number() {
		k.mu.Unlock()
		return
	}
	k.rosters[r.DataCentre()] = r
	own := r.DataCentre() == k.dataCentre
	if own {
		m := ledger.RosterMsg{Now: k.now(), Roster: r}
		k.membership.Adopt(m)
		k.book.Adopt(m)
	}
	f := k.onChange
	k.mu.Unlock()
	if !own {
		return
	}
	k.log.Info().Str("step", "roster").Int64("number", r.Number()).Int("members", len(r.Members())).Msg("adopted")
	select {
	case k.rosterAdopted <- struct{}{}:
	default:
	}
	f()
}

// Claim implements Relay.
func (k *KeyHolder) Claim(_ context.Context, r *ClaimRequest) (*ClaimReply, error) {
	o := toReply(k.claimLocal(ledger.ClaimMsg{
		ID: ledger.NewID(r.GetKey()), Roster: r.GetRoster(), Attempt: ledger.NewAttempt(r.GetAttempt()), Digest: ledger.NewDigest(r.GetDigest()),
	}))
	own := k.Roster(k.dataCentre)
	o.Roster = own.Number()
	switch {
	case own.Number() > r.GetRoster():
		o.RosterDocument = own.Marshal()
	case own.Number() < r.GetRoster():
		k.requestRefresh(k.dataCentre)
	}
	return o, nil
}

func (k *KeyHolder) claimLocal(m ledger.ClaimMsg) ledger.ClaimReply {
	k.mu.Lock()
	defer k.mu.Unlock()
	m.Now = k.now()
	return k.book.Claim(m)
}

// Settle implements Relay.
func (k *KeyHolder) Settle(_ context.Context, r *SettleRequest) (*SettleReply, error) {
	k.settleLocal(ledger.Record{
		ID: ledger.NewID(r.GetKey()), Attempt: ledger.NewAttempt(r.GetAttempt()), Phase: fromPhase(r.GetPhase()),
		Status: int(r.GetStatus()), ContentType: r.GetContentType(), Answer: r.GetAnswer(), HasAnswer: r.GetKept(),
	})
	return &SettleReply{Roster: k.Roster(k.dataCentre).Number()}, nil
}

func (k *KeyHolder) settleLocal(r ledger.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.book.Settle(ledger.SettleMsg{Now: k.now(), Record: r})
}

// Batch implements Relay.
func (k *KeyHolder) Batch(ctx context.Context, r *BatchRequest) (*BatchReply, error) {
	o := &BatchReply{Claims: make([]*ClaimReply, 0, len(r.GetClaims()))}
	for _, c := range r.GetClaims() {
		a, err := k.Claim(ctx, c)
		if err != nil {
			return nil, err
		}
		o.Claims = append(o.Claims, a)
	}
	for _, s := range r.GetSettles() {
		if _, err := k.Settle(ctx, s); err != nil {
			return nil, err
		}
	}
	o.Roster = k.Roster(k.dataCentre).Number()
	return o, nil
}

// Records implements Relay.
func (k *KeyHolder) Records(_ context.Context, r *RecordsRequest) (*RecordsReply, error) {
	if err := k.LearnRoster(r.GetRosterDocument()); err != nil {
		return nil, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	p := k.book.Handover(ledger.HandoverMsg{
		Now: now, Entry: r.GetEntry(), Roster: r.GetRoster(), Newcomer: r.GetNewcomer(), After: r.GetAfter(),
	})
	o := toPage(p, now)
	o.Roster = k.rosters[k.dataCentre].Number()
	return o, nil
}

// Leave removes this entry from the roster. It returns when the others hold its records and its settlements are delivered, or
// with ctx's error.
func (k *KeyHolder) Leave(ctx context.Context) error {
	k.mu.Lock()
	k.membership.Leave()
	f := k.onChange
	k.mu.Unlock()
	f()
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for !k.handedOver() {
		select {
		case <-ctx.Done():
			return wrapErr("leave", k.self.Entry, ctx.Err())
		case <-t.C:
		}
	}
	return k.outbox.drain(ctx)
}

// handedOver reports whether no other entry needs this entry's records any more.
func (k *KeyHolder) handedOver() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	r := k.rosters[k.dataCentre]
	m := r.Members()
	if r.Number() == 0 || len(m) == 1 && m[0].SameIncarnation(k.self) {
		return true
	}
	_, in := r.Member(k.self.Entry)
	return !in && k.membership.ActiveEverywhere()
}

// recordBeat passes the beat of another entry of the data centre to the membership.
func (k *KeyHolder) recordBeat(m ledger.HeartbeatMsg) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.membership.Heartbeat(m)
}

// unheardAndGone returns the members that this entry has not heard, and those that are gone according to the platform's list.
func (k *KeyHolder) unheardAndGone() (unheard, gone []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	return k.membership.Unheard(now), k.membership.Gone(now, k.book.MissingMembers())
}

func (k *KeyHolder) stopping() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.membership.Leaving()
}

// WaitForRoster returns when a roster is in force at this entry, or when ctx ends.
func (k *KeyHolder) WaitForRoster(ctx context.Context) {
	for k.Holding() == 0 && ctx.Err() == nil {
		steady.Sleep(ctx, tickInterval/4)
	}
}
