package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"burdockreach.dev/flow/ledger"
	"burdockreach.dev/plat/keyval"
)

const (
	rosterWatchTimeout    = 30 * time.Second
	rosterRetryDelay      = time.Second
	rosterRetryDelayMax   = 8 * time.Second
	rosterRefreshInterval = 60 * time.Second
	unreachableAfter      = 5 * time.Second
	pullInterval          = 100 * time.Millisecond
	pullConcurrency       = 8
	rosterStoreTimeout    = 2 * time.Second
)

func rosterKey(dataCentre string) string { return "dc/" + dataCentre + "/roster" }

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// requestRefresh wants a data centre's roster read from the service soon.
func (k *Keeper) requestRefresh(dataCentre string) {
	select {
	case k.refreshRequests <- dataCentre:
	default:
	}
}

// watchLoop follows the own roster in the platform's service, more slowly while the service is down.
func (k *Keeper) watchLoop(ctx context.Context) error {
	wait := rosterRetryDelay
	for ctx.Err() == nil {
		start := k.now()
		k.watchUntilError(ctx)
		if wait *= 2; k.now().Sub(start) > rosterRetryDelayMax {
			wait = rosterRetryDelay
		}
		wait = min(wait, rosterRetryDelayMax)
		sleep(ctx, wait/2+rand.N(wait/2))
	}
	return nil
}

// watchUntilError reads and watches the own roster until a call fails.
func (k *Keeper) watchUntilError(ctx context.Context) {
	key := rosterKey(k.dataCentre)
	_, rev, err := k.store.List(ctx, key, "", 1)
	if err == nil {
		err = k.refreshRoster(ctx, k.dataCentre)
	}
	for err == nil && ctx.Err() == nil {
		var e []keyval.Event
		if e, rev, err = k.store.Watch(ctx, key, rev, rosterWatchTimeout); err == nil && len(e) > 0 {
			err = k.refreshRoster(ctx, k.dataCentre)
		}
	}
}

// refreshRoster reads a data centre's roster from the service.
func (k *Keeper) refreshRoster(ctx context.Context, dataCentre string) error {
	t, end := context.WithTimeout(ctx, rosterStoreTimeout)
	defer end()
	i, err := k.store.Get(t, rosterKey(dataCentre))
	if err != nil {
		return err
	}
	var n int64
	if i.Found() {
		r, err := ledger.ParseRoster(i.Value())
		if err != nil {
			k.log.Error().Err(err).Str("step", "roster").Str("peer", "store").Msg("unreadable")
			return nil
		}
		n = r.Number()
		k.adoptRoster(r)
	}
	if dataCentre == k.dataCentre {
		k.mu.Lock()
		k.storeRevision, k.storedNumber, k.storeRead = i.Rev(), n, true
		k.mu.Unlock()
	}
	return nil
}

// refreshLoop reads the other data centres' rosters now and then, and any roster when it is asked for.
func (k *Keeper) refreshLoop(ctx context.Context) error {
	for _, d := range k.dataCentres {
		if d != k.dataCentre {
			_ = k.refreshRoster(ctx, d)
		}
	}
	t := time.NewTicker(rosterRefreshInterval + rand.N(rosterRefreshInterval/4))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case d := <-k.refreshRequests:
			_ = k.refreshRoster(ctx, d)
			sleep(ctx, rosterRetryDelay)
		case <-t.C:
			for _, d := range k.dataCentres {
				_ = k.refreshRoster(ctx, d)
			}
		}
	}
}

// tickLoop lets time pass for records and membership, and proposes rosters.
func (k *Keeper) tickLoop(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			k.tick(ctx)
		}
	}
}

func (k *Keeper) tick(ctx context.Context) {
	k.mu.Lock()
	now := k.now()
	k.book.Tick(ledger.TickMsg{Now: now})
	k.markGone(now)
	k.membership.Beat(k.ownBeat(now))
	var doc []byte
	r := k.rosters[k.dataCentre]
	switch {
	case !k.storeRead:
		k.requestRefresh(k.dataCentre)
	case k.storedNumber < r.Number():
		doc = r.Marshal() // the service came back older than this entry
	case k.storedNumber == r.Number():
		if p := k.membership.Tick(ledger.TickMsg{Now: now}); len(p) > 0 {
			doc = p[0].Roster.Marshal()
		}
	}
	rev := k.storeRevision
	k.mu.Unlock()
	if doc != nil {
		k.proposeRoster(ctx, doc, rev)
	}
}

func (k *Keeper) ownBeat(now time.Time) ledger.BeatMsg {
	return ledger.BeatMsg{
		Now: now, Member: k.self, Holding: k.book.Holding(), Stopping: k.membership.Stopping(), Unheard: k.membership.Unheard(now),
	}
}

// markGone tells the records which former holders are gone.
func (k *Keeper) markGone(now time.Time) {
	r := k.rosters[k.dataCentre]
	for _, l := range [][]ledger.Member{r.Previous(), k.book.Lost()} {
		for _, m := range l {
			if k.membership.Over(m, now) {
				k.book.Gone(ledger.GoneMsg{Now: now, Member: m})
			}
		}
	}
}

func (k *Keeper) proposeRoster(ctx context.Context, doc []byte, rev keyval.Revision) {
	t, end := context.WithTimeout(ctx, rosterStoreTimeout)
	defer end()
	_, err := k.store.Put(t, rosterKey(k.dataCentre), doc, rev, 0)
	if err != nil {
		k.log.Warn().Err(err).Str("step", "roster").Str("peer", "store").Msg("proposal not written")
	}
	k.mu.Lock()
	k.storeRead = false // the write's answer may be lost; what the service holds counts
	k.mu.Unlock()
	if k.refreshRoster(ctx, k.dataCentre) != nil {
		k.requestRefresh(k.dataCentre)
	}
}

// pullLoop fetches the records of keys that this entry now holds from those that held them before.
func (k *Keeper) pullLoop(ctx context.Context) error {
	pulledSince, rosterNumber := time.Time{}, int64(0)
	for {
		k.mu.Lock()
		cmds, now := k.book.Pulls(), k.now()
		if n := k.book.Roster().Number(); n != rosterNumber {
			rosterNumber, pulledSince = n, now
		}
		overdue := now.Sub(pulledSince) > unreachableAfter
		k.mu.Unlock()
		forEach(ctx, pullConcurrency, cmds, func(c context.Context, p ledger.PullCmd) { k.pullFrom(c, p, overdue) })
		d := pullInterval
		if len(cmds) == 0 {
			d = tickInterval * 10
		}
		t, end := context.WithTimeout(ctx, d)
		select {
		case <-t.Done():
		case <-k.rosterAdopted:
		}
		end()
		if ctx.Err() != nil {
			return nil
		}
	}
}

// pullFrom pulls every page from one source, or notes that it does not answer.
func (k *Keeper) pullFrom(ctx context.Context, p ledger.PullCmd, overdue bool) {
	q := &RecordsRequest{Entry: k.self.Entry, Roster: p.Roster, Newcomer: p.Newcomer, RosterDocument: k.Roster(k.dataCentre).Marshal()}
	for {
		a, err := k.client.Records(ctx, p.From.Addr, q)
		now := k.now()
		var g ledger.Page
		if err == nil {
			g, err = fromPage(a, now)
		}
		if err != nil || !g.Complete {
			if overdue {
				k.mu.Lock()
				k.book.Unreached(ledger.UnreachedMsg{Now: now, Roster: p.Roster, Entry: p.From.Entry})
				k.mu.Unlock()
			}
			return
		}
		if !k.applyPage(ledger.PulledMsg{Now: now, Roster: p.Roster, Entry: p.From.Entry, Page: g}) {
			return
		}
		q.After = g.After
	}
}

// applyPage hands a page to the book and reports whether there are more; when the roster comes into force peers are told.
func (k *Keeper) applyPage(m ledger.PulledMsg) bool {
	k.mu.Lock()
	before := k.book.Holding()
	k.book.Pulled(m)
	after, f := k.book.Holding(), k.onChange
	k.mu.Unlock()
	if after != before {
		k.log.Info().Str("step", "handover").Int64("number", after).Msg("in force")
		f()
	}
	return m.Page.More
}
