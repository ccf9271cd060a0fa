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
	"burdockreach.dev/node/leader"
	"burdockreach.dev/node/relay"
	"burdockreach.dev/plat/conf"
)

const (
	rosterInterval       = 100 * time.Millisecond // between reads of the roster
	probeInterval        = 2 * time.Second
	maxConcurrentBorrows = 4 // concurrent requests for slots
)

// slotLoans exchanges slot loans with the other entries of the data centre and sets the teams' quotas at this entry.
type slotLoans struct {
	d            *Daemon
	platformDown atomic.Bool // the platform was unreachable at the last probe
	standingIn   atomic.Bool // this entry has taken the place of a silent member
}

// instanceName names one incarnation of an entry. An entry that restarts has lost its loans and therefore gets a new name.
func instanceName(m ledger.Member) string {
	return m.Entry + "@" + strconv.FormatInt(m.Incarnation, 36)
}

// run follows the roster, updates the quotas and sends this entry's requests for slots.
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

// followRoster applies a roster that is newer than last, and returns the number of the roster in use.
func (s *slotLoans) followRoster(now time.Time, last int64) int64 {
	r := s.d.keyHolder.Roster(s.d.settings.DataCentre())
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
	s.d.heartbeater.BeatNow()
	return r.Number()
}

// instanceNames returns the instance name of each member of the roster.
func instanceNames(r ledger.Roster) []string {
	var l []string
	for _, m := range r.Members() {
		l = append(l, instanceName(m))
	}
	return l
}

// standIn returns the roster's instance names with this entry in the place of a silent member, while the platform cannot be reached to
// write a new roster. It returns nil if there is no such place. New entries take different places, in the order of their names.
func (s *slotLoans) standIn(now time.Time, r ledger.Roster) []string {
	if !s.platformDown.Load() {
		return nil
	}
	reported := make(map[string]bool)
	place := 0 // silent members left to other new entries whose names sort first
	for _, p := range s.d.heartbeater.Peers() {
		e := p.Address().Entry()
		if now.Sub(p.HeardAt()) > ledger.HeartbeatTimeout || p.Address().DataCentre() != s.d.settings.DataCentre() {
			continue
		}
		_, in := r.Member(e)
		if in && p.Incarnation() == incarnation(r, e) {
			reported[e] = true
		} else if e < s.d.settings.Name() {
			place++
		}
	}
	names := instanceNames(r)
	for k, m := range r.Members() {
		if reported[m.Entry] {
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

// incarnation returns the incarnation of the entry in the roster, or 0.
func incarnation(r ledger.Roster, entry string) int64 {
	m, _ := r.Member(entry)
	return m.Incarnation
}

// probe checks whether the platform can be reached while this entry is not in its roster.
func (s *slotLoans) probe(ctx context.Context) error {
	return every(ctx, probeInterval, func(time.Time) {
		if s.d.inRoster() {
			s.platformDown.Store(false)
			return
		}
		x, cancel := context.WithTimeout(ctx, probeInterval)
		defer cancel()
		_, err := s.d.store.Get(x, leader.Key(s.d.settings.DataCentre()))
		s.platformDown.Store(err != nil)
	})
}

// quotaInputs holds what the teams' rates at this entry are computed from.
type quotaInputs struct {
	doc     *conf.Document
	entries int // in the rosters of all data centres
}

// updateQuotas gives this entry an equal part of each team's rate. It does so when the configuration or the number of entries has changed.
func (s *slotLoans) updateQuotas(now time.Time, old quotaInputs) quotaInputs {
	b := quotaInputs{doc: s.d.conf.Document()}
	for _, n := range s.d.settings.DataCentres() {
		b.entries += len(s.d.keyHolder.Roster(n).Members())
	}
	if b == old || b.entries == 0 {
		return old
	}
	var rates map[string]float64 // nil, which admits every team, unless some team has a quota
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

// rosterSettled records the number of the roster that another entry follows.
func (s *slotLoans) rosterSettled(p relay.Peer, number int64) {
	if number > 0 {
		s.d.entry.SetPeerSettled(time.Now(), instanceName(ledger.Member{Entry: p.Address().Entry(), Incarnation: p.Incarnation()}), number)
	}
}

// borrowLoop sends requests for slots one at a time.
func (s *slotLoans) borrowLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case a := <-s.d.entry.BorrowRequests():
			s.requestSlots(ctx, a)
		}
	}
}

// requestSlots asks another entry for slots and passes its reply to this entry. It drops the request if that entry is no longer in the
// roster or does not reply.
func (s *slotLoans) requestSlots(ctx context.Context, a entry.BorrowRequest) {
	var to ledger.Member
	for _, m := range s.d.keyHolder.Roster(s.d.settings.DataCentre()).Members() {
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
	m := share.LentMsg{Now: time.Now(), From: a.To, Number: r.GetNumber(), Recalled: r.GetRecalled(), Exhausted: r.GetBusy()}
	for _, g := range r.GetGrants() {
		m.Grants = append(m.Grants, share.Grant{ID: g.GetId(), Target: g.GetTarget()})
	}
	s.d.entry.HandleBorrowReply(a.Service, m)
}

// Borrow implements relay.Lender.
func (s *slotLoans) Borrow(_ context.Context, r *relay.BorrowRequest) (*relay.BorrowReply, error) {
	c, ok := s.d.entry.Lend(r.GetService(), share.BorrowMsg{
		Now: time.Now(), From: instanceName(ledger.Member{Entry: r.GetEntry(), Incarnation: r.GetIncarnation()}),
		Number: r.GetNumber(), Want: int(r.GetSlots()), Holding: r.GetHolding(),
	})
	o := &relay.BorrowReply{Number: c.Number, Recalled: c.Recalled, Busy: c.Exhausted}
	if !ok {
		return o, nil
	}
	for _, g := range c.Grants {
		o.Grants = append(o.Grants, &relay.Grant{Target: g.Target, Id: g.ID, Slots: 1})
	}
	return o, nil
}

// Return implements relay.Lender. It does nothing, because the list of held slots in the next request returns all others.
func (s *slotLoans) Return(context.Context, *relay.ReturnRequest) (*relay.ReturnReply, error) {
	return &relay.ReturnReply{}, nil
}
