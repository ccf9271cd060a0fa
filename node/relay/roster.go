package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"burdockreach.dev/flow/ledger"
	"burdockreach.dev/plat/keyval"
	"burdockreach.dev/plat/steady"
)

const (
	// rosterWatchTimeout bounds one watch of the local roster.
	rosterWatchTimeout = 30 * time.Second
	// rosterRetryDelay is the base delay before the local roster is watched again after an error, and the pause between
	// reads that were requested.
	rosterRetryDelay    = time.Second
	rosterRetryDelayMax = 8 * time.Second
	// rosterRefreshInterval is the time between reads of all rosters; up to a quarter is added at random.
	rosterRefreshInterval = 60 * time.Second
	// unreachableAfter is how long records are pulled under a roster before a source that does not answer counts as unreachable.
	unreachableAfter = 5 * time.Second
	pullInterval     = 100 * time.Millisecond
	pullConcurrency  = 8
	// rosterStoreTimeout bounds one read or write of a roster.
	rosterStoreTimeout = 2 * time.Second
)

func rosterKey(dataCentre string) string { return "dc/" + dataCentre + "/roster" }

// requestRefresh asks refreshLoop to read a data centre's roster soon; it does not block and drops the request when too many wait.
func (k *KeyHolder) requestRefresh(dataCentre string) {
	select {
	case k.refreshRequests <- dataCentre:
	default:
	}
}

// watchLoop watches the local roster in the platform's service until ctx ends, with a growing, random delay while the service is down.
func (k *KeyHolder) watchLoop(ctx context.Context) error {
	wait := rosterRetryDelay
	for ctx.Err() == nil {
		start := k.now()
		k.watchUntilError(ctx)
		if wait *= 2; k.now().Sub(start) > rosterRetryDelayMax {
			wait = rosterRetryDelay
		}
		wait = min(wait, rosterRetryDelayMax)
		steady.Sleep(ctx, wait/2+rand.N(wait/2))
	}
	return nil
}

// watchUntilError reads the local roster and watches it until a call fails.
func (k *KeyHolder) watchUntilError(ctx context.Context) {
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

// refreshRoster reads a data centre's roster from the platform's service and adopts it if it is newer.
func (k *KeyHolder) refreshRoster(ctx context.Context, dataCentre string) error {
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

// refreshLoop reads the other data centres' rosters at the start, all rosters periodically, and any roster on request.
func (k *KeyHolder) refreshLoop(ctx context.Context) error {
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
			steady.Sleep(ctx, rosterRetryDelay)
		case <-t.C:
			for _, d := range k.dataCentres {
				_ = k.refreshRoster(ctx, d)
			}
		}
	}
}

// tickLoop calls tick periodically until ctx ends.
func (k *KeyHolder) tickLoop(ctx context.Context) error {
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

// tick advances records and membership to the present, and proposes a roster when the membership wants a change or the
// service holds an older roster than this entry.
func (k *KeyHolder) tick(ctx context.Context) {
	k.mu.Lock()
	now := k.now()
	k.book.Tick(ledger.TickMsg{Now: now})
	k.markGone(now)
	k.membership.Heartbeat(k.ownBeat(now))
	var doc []byte
	r := k.rosters[k.dataCentre]
	switch {
	case !k.storeRead:
		k.requestRefresh(k.dataCentre)
	case k.storedNumber < r.Number():
		doc = r.Marshal() // the service was restored to an older state: write the newer roster back
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

// ownBeat returns what this entry reports of itself to its own membership.
func (k *KeyHolder) ownBeat(now time.Time) ledger.HeartbeatMsg {
	return ledger.HeartbeatMsg{
		Now: now, Member: k.self, ActiveRoster: k.book.ActiveRoster(), Leaving: k.membership.Leaving(), Unheard: k.membership.Unheard(now),
	}
}

// markGone marks former holders in the records as gone once the membership is certain of it.
func (k *KeyHolder) markGone(now time.Time) {
	r := k.rosters[k.dataCentre]
	for _, l := range [][]ledger.Member{r.Previous(), k.book.MissingMembers()} {
		for _, m := range l {
			if k.membership.Ended(m, now) {
				k.book.Gone(ledger.GoneMsg{Now: now, Member: m})
			}
		}
	}
}

// proposeRoster writes the roster document if the stored one still has the revision rev, and then reads the roster back.
func (k *KeyHolder) proposeRoster(ctx context.Context, doc []byte, rev keyval.Revision) {
	t, end := context.WithTimeout(ctx, rosterStoreTimeout)
	defer end()
	_, err := k.store.Put(t, rosterKey(k.dataCentre), doc, rev, 0)
	if err != nil {
		k.log.Warn().Err(err).Str("step", "roster").Str("peer", "store").Msg("roster proposal not written")
	}
	k.mu.Lock()
	k.storeRead = false // the answer may be lost although the write took effect, so read the roster again
	k.mu.Unlock()
	if k.refreshRoster(ctx, k.dataCentre) != nil {
		k.requestRefresh(k.dataCentre)
	}
}

// pullLoop pulls the records of keys that this entry holds under a new roster from their former holders.
func (k *KeyHolder) pullLoop(ctx context.Context) error {
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

// pullFrom pulls all pages from one source. If that fails and overdue is set, it marks the source as unreachable.
func (k *KeyHolder) pullFrom(ctx context.Context, p ledger.PullCmd, overdue bool) {
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
				k.book.PullFailed(ledger.PullFailedMsg{Now: now, Roster: p.Roster, Entry: p.From.Entry})
				k.mu.Unlock()
			}
			return
		}
		if !k.applyPage(ledger.PageMsg{Now: now, Roster: p.Roster, Entry: p.From.Entry, Page: g}) {
			return
		}
		q.After = g.After
	}
}

// applyPage adds a page to the records and reports whether more pages follow. If that brings the roster into force, peers are
// notified.
func (k *KeyHolder) applyPage(m ledger.PageMsg) bool {
	k.mu.Lock()
	before := k.book.ActiveRoster()
	k.book.AddPage(m)
	after, f := k.book.ActiveRoster(), k.onChange
	k.mu.Unlock()
	if after != before {
		k.log.Info().Str("step", "handover").Int64("number", after).Msg("roster in force")
		f()
	}
	return m.Page.More
}
