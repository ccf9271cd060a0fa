package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"burdockreach.dev/flow/ledger"
	"burdockreach.dev/plat/keyval"
)

const (
	rosterWatchFor   = 30 * time.Second
	rosterAgain      = time.Second
	rosterAgainMax   = 8 * time.Second
	othersEvery      = 60 * time.Second
	unreachedAfter   = 5 * time.Second
	pullEvery        = 100 * time.Millisecond
	pullTasks        = 8
	storeCallsWithin = 2 * time.Second
)

func rosterKey(dataCentre string) string { return "dc/" + dataCentre + "/roster" }

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// ask wants a data centre's roster read from the service soon.
func (k *Keeper) ask(dataCentre string) {
	select {
	case k.asks <- dataCentre:
	default:
	}
}

// watch follows the own roster in the platform's service, more slowly while the service is down.
func (k *Keeper) watch(ctx context.Context) error {
	wait := rosterAgain
	for ctx.Err() == nil {
		start := k.now()
		k.follow(ctx)
		if wait *= 2; k.now().Sub(start) > rosterAgainMax {
			wait = rosterAgain
		}
		wait = min(wait, rosterAgainMax)
		pause(ctx, wait/2+rand.N(wait/2))
	}
	return nil
}

// follow reads and watches the own roster until a call fails.
func (k *Keeper) follow(ctx context.Context) {
	key := rosterKey(k.dataCentre)
	_, rev, err := k.store.List(ctx, key, "", 1)
	if err == nil {
		err = k.refresh(ctx, k.dataCentre)
	}
	for err == nil && ctx.Err() == nil {
		var e []keyval.Event
		if e, rev, err = k.store.Watch(ctx, key, rev, rosterWatchFor); err == nil && len(e) > 0 {
			err = k.refresh(ctx, k.dataCentre)
		}
	}
}

// refresh reads a data centre's roster from the service.
func (k *Keeper) refresh(ctx context.Context, dataCentre string) error {
	t, end := context.WithTimeout(ctx, storeCallsWithin)
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
		k.adopt(r)
	}
	if dataCentre == k.dataCentre {
		k.mu.Lock()
		k.written, k.stored, k.read = i.Rev(), n, true
		k.mu.Unlock()
	}
	return nil
}

// readOthers reads the other data centres' rosters now and then, and any roster when it is asked for.
func (k *Keeper) readOthers(ctx context.Context) error {
	for _, d := range k.dataCentres {
		if d != k.dataCentre {
			_ = k.refresh(ctx, d)
		}
	}
	t := time.NewTicker(othersEvery + rand.N(othersEvery/4))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case d := <-k.asks:
			_ = k.refresh(ctx, d)
			pause(ctx, rosterAgain)
		case <-t.C:
			for _, d := range k.dataCentres {
				_ = k.refresh(ctx, d)
			}
		}
	}
}

// tick lets time pass for records and membership, and proposes rosters.
func (k *Keeper) tick(ctx context.Context) error {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			k.step(ctx)
		}
	}
}

func (k *Keeper) step(ctx context.Context) {
	k.mu.Lock()
	now := k.now()
	k.book.Tick(ledger.TickMsg{Now: now})
	k.tellGone(now)
	k.membership.Heartbeat(k.ownBeat(now))
	var doc []byte
	r := k.rosters[k.dataCentre]
	switch {
	case !k.read:
		k.ask(k.dataCentre)
	case k.stored < r.Number():
		doc = r.Marshal() // the service came back older than this entry
	case k.stored == r.Number():
		if p := k.membership.Tick(ledger.TickMsg{Now: now}); len(p) > 0 {
			doc = p[0].Roster.Marshal()
		}
	}
	rev := k.written
	k.mu.Unlock()
	if doc != nil {
		k.propose(ctx, doc, rev)
	}
}

func (k *Keeper) ownBeat(now time.Time) ledger.HeartbeatMsg {
	return ledger.HeartbeatMsg{
		Now: now, Member: k.self, ActiveRoster: k.book.ActiveRoster(), Leaving: k.membership.Leaving(), Unheard: k.membership.Unheard(now),
	}
}

// tellGone tells the records which former holders are gone.
func (k *Keeper) tellGone(now time.Time) {
	r := k.rosters[k.dataCentre]
	for _, l := range [][]ledger.Member{r.Previous(), k.book.MissingMembers()} {
		for _, m := range l {
			if k.membership.Ended(m, now) {
				k.book.Gone(ledger.GoneMsg{Now: now, Member: m})
			}
		}
	}
}

func (k *Keeper) propose(ctx context.Context, doc []byte, rev keyval.Revision) {
	t, end := context.WithTimeout(ctx, storeCallsWithin)
	defer end()
	_, err := k.store.Put(t, rosterKey(k.dataCentre), doc, rev, 0)
	if err != nil {
		k.log.Warn().Err(err).Str("step", "roster").Str("peer", "store").Msg("proposal not written")
	}
	k.mu.Lock()
	k.read = false // the write's answer may be lost; what the service holds counts
	k.mu.Unlock()
	if k.refresh(ctx, k.dataCentre) != nil {
		k.ask(k.dataCentre)
	}
}

// pull fetches the records of keys that this entry now holds from those that held them before.
func (k *Keeper) pull(ctx context.Context) error {
	since, number := time.Time{}, int64(0)
	for {
		k.mu.Lock()
		cmds, now := k.book.Pulls(), k.now()
		if n := k.book.Roster().Number(); n != number {
			number, since = n, now
		}
		late := now.Sub(since) > unreachedAfter
		k.mu.Unlock()
		each(ctx, pullTasks, cmds, func(c context.Context, p ledger.PullCmd) { k.pullFrom(c, p, late) })
		d := pullEvery
		if len(cmds) == 0 {
			d = tickEvery * 10
		}
		t, end := context.WithTimeout(ctx, d)
		select {
		case <-t.Done():
		case <-k.adopted:
		}
		end()
		if ctx.Err() != nil {
			return nil
		}
	}
}

// pullFrom pulls every page from one source, or notes that it does not answer.
func (k *Keeper) pullFrom(ctx context.Context, p ledger.PullCmd, late bool) {
	q := &RecordsRequest{Entry: k.self.Entry, Roster: p.Roster, Newcomer: p.Newcomer, RosterDocument: k.Roster(k.dataCentre).Marshal()}
	for {
		a, err := k.client.Records(ctx, p.From.Addr, q)
		now := k.now()
		var g ledger.Page
		if err == nil {
			g, err = fromPage(a, now)
		}
		if err != nil || !g.Complete {
			if late {
				k.mu.Lock()
				k.book.PullFailed(ledger.PullFailedMsg{Now: now, Roster: p.Roster, Entry: p.From.Entry})
				k.mu.Unlock()
			}
			return
		}
		if !k.take(ledger.PageMsg{Now: now, Roster: p.Roster, Entry: p.From.Entry, Page: g}) {
			return
		}
		q.After = g.After
	}
}

// take hands a page to the book and reports whether there are more; when the roster comes into force peers are told.
func (k *Keeper) take(m ledger.PageMsg) bool {
	k.mu.Lock()
	was := k.book.ActiveRoster()
	k.book.AddPage(m)
	is, f := k.book.ActiveRoster(), k.changed
	k.mu.Unlock()
	if is != was {
		k.log.Info().Str("step", "handover").Int64("number", is).Msg("in force")
		f()
	}
	return m.Page.More
}
