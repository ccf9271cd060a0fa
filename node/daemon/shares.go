package daemon

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockreach.dev/flow/ledger"
	"burdockreach.dev/flow/share"
	"burdockreach.dev/node/entry"
	"burdockreach.dev/node/relay"
	"burdockreach.dev/node/steer"
	"burdockreach.dev/plat/conf"
)

const (
	rosterInterval = 100 * time.Millisecond // between looks at the roster
	probeInterval  = 2 * time.Second
	maxConcurrentBorrows   = 4 // requests for slots that are under way at once
)

// slotLoans carries slot loans between the entries of the data centre.
type slotLoans struct {
	d      *Daemon
	platformDown atomic.Bool // the platform cannot be reached
	standingIn atomic.Bool // this entry has the place of a silent one
}

// instanceName names one instanceName of an entry; a restarted one has lost its loans and is another.
func instanceName(m ledger.Member) string { return m.Entry + "@" + strconv.FormatInt(m.Incarnation, 36) }

// run follows the roster and sends this entry's requests for slots.
func (s *slotLoans) run(ctx context.Context) error {
	g, x := errgroup.WithContext(ctx)
	g.Go(func() error {
		var last int64
		var q quotaInputs
		return every(x, rosterInterval, func(now time.Time) {
			last = s.followRoster(now, last)
			q = s.updateQuotas(now, q)
		})
	})
	g.Go(func() error { return s.probe(x) })
	for range maxConcurrentBorrows {
		g.Go(func() error { return s.borrowLoop(x) })
	}
	return g.Wait()
}

// followRoster passes a new roster on and returns its number.
func (s *slotLoans) followRoster(now time.Time, last int64) int64 {
	r := s.d.keeper.Roster(s.d.settings.DataCentre())
	if r.Number() <= last {
		return last
	}
	names := instanceNames(r)
	if !s.d.inRoster() {
		if names = s.standIn(now, r); names == nil {
			return last
		}
	}
	s.d.entry.SetRoster(now, r.Number(), names)
	s.d.beater.Kick()
	return r.Number()
}

func instanceNames(r ledger.Roster) []string {
	var l []string
	for _, m := range r.Members() {
		l = append(l, instanceName(m))
	}
	return l
}

// standIn returns the roster's lives with this entry in the place of a member that nobody hears, while the platform cannot
// be reached to write a new roster; nil if there is no place. Each newcomer takes another place, in order of their names.
func (s *slotLoans) standIn(now time.Time, r ledger.Roster) []string {
	if !s.platformDown.Load() {
		return nil
	}
	heard := make(map[string]bool)
	place := 0
	for _, p := range s.d.beater.Heard() {
		e := p.Address().Entry()
		if now.Sub(p.At()) > ledger.UnheardAfter || p.Address().DataCentre() != s.d.settings.DataCentre() {
			continue
		}
		_, in := r.Member(e)
		if in && p.Incarnation() == incarnation(r, e) {
			heard[e] = true
		} else if e < s.d.settings.Name() {
			place++
		}
	}
	names := instanceNames(r)
	for k, m := range r.Members() {
		if heard[m.Entry] {
			continue
		}
		if place == 0 {
			names[k] = instanceName(s.d.self)
			s.standingIn.Store(true)
			s.d.log.Warn().Str("step", "share").Str("peer", m.Entry).Msg("standsInForSilentEntry")
			return names
		}
		place--
	}
	return nil
}

func incarnation(r ledger.Roster, entry string) int64 {
	m, _ := r.Member(entry)
	return m.Incarnation
}

// probe finds out whether the platform can be reached while this entry is in no roster.
func (s *slotLoans) probe(ctx context.Context) error {
	return every(ctx, probeInterval, func(time.Time) {
		if s.d.inRoster() {
			s.platformDown.Store(false)
			return
		}
		x, cancel := context.WithTimeout(ctx, probeInterval)
		defer cancel()
		_, err := s.d.store.Get(x, steer.LeaderKey(s.d.settings.DataCentre()))
		s.platformDown.Store(err != nil)
	})
}

// quotaInputs is what the teams' rates at this entry follow from.
type quotaInputs struct {
	doc     *conf.Document
	entries int
}

// updateQuotas gives this entry an equal part of each team's rate when the configuration or the number of entries has changed.
func (s *slotLoans) updateQuotas(now time.Time, old quotaInputs) quotaInputs {
	b := quotaInputs{doc: s.d.conf.Document()}
	for _, n := range s.d.settings.DataCentres() {
		b.entries += len(s.d.keeper.Roster(n).Members())
	}
	if b == old || b.entries == 0 {
		return old
	}
	var rates map[string]float64 // nil, which lets everybody in, until a team has a quota
	for _, t := range b.doc.Teams() {
		if t.QuotaPerSec == 0 {
			continue
		}
		if rates == nil {
			rates = make(map[string]float64)
		}
		rates[t.Name] = float64(t.QuotaPerSec) / float64(b.entries)
	}
	s.d.entry.SetQuotas(now, rates)
	return b
}

// rosterSettled passes on that another entry keeps to a roster.
func (s *slotLoans) rosterSettled(p relay.Peer, number int64) {
	if number > 0 {
		s.d.entry.SetSettled(time.Now(), instanceName(ledger.Member{Entry: p.Address().Entry(), Incarnation: p.Incarnation()}), number)
	}
}

// borrowLoop sends requests for slots one after the other.
func (s *slotLoans) borrowLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case a := <-s.d.entry.Asks():
			s.requestSlots(ctx, a)
		}
	}
}

func (s *slotLoans) requestSlots(ctx context.Context, a entry.Ask) {
	var to ledger.Member
	for _, m := range s.d.keeper.Roster(s.d.settings.DataCentre()).Members() {
		if instanceName(m) == a.To {
			to = m
		}
	}
	if to.Addr == "" {
		return
	}
	r, err := s.d.client.Borrow(ctx, to.Addr, &relay.BorrowRequest{
		Entry: s.d.self.Entry, Incarnation: s.d.self.Incarnation, Service: a.Service, Slots: int32(a.Want), Number: a.Number, Holding: a.Holding,
	})
	if err != nil {
		return
	}
	m := share.LentMsg{Now: time.Now(), From: a.To, Number: r.GetNumber(), Recalled: r.GetRecalled(), Busy: r.GetBusy()}
	for _, g := range r.GetGrants() {
		m.Grants = append(m.Grants, share.Grant{ID: g.GetId(), Target: g.GetTarget()})
	}
	s.d.entry.Lent(a.Service, m)
}

// Borrow implements relay.Lender.
func (s *slotLoans) Borrow(_ context.Context, r *relay.BorrowRequest) (*relay.BorrowReply, error) {
	c, ok := s.d.entry.Lend(r.GetService(), share.BorrowMsg{
		Now: time.Now(), From: instanceName(ledger.Member{Entry: r.GetEntry(), Incarnation: r.GetIncarnation()}),
		Number: r.GetNumber(), Want: int(r.GetSlots()), Holding: r.GetHolding(),
	})
	o := &relay.BorrowReply{Number: c.Number, Recalled: c.Recalled, Busy: c.Busy}
	if !ok {
		return o, nil
	}
	for _, g := range c.Grants {
		o.Grants = append(o.Grants, &relay.Grant{Target: g.Target, Id: g.ID, Slots: 1})
	}
	return o, nil
}

// Return implements relay.Lender; slots are given back by the next request's list of what is held.
func (s *slotLoans) Return(context.Context, *relay.ReturnRequest) (*relay.ReturnReply, error) {
	return &relay.ReturnReply{}, nil
}
