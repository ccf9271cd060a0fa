package daemon

import (
	"context"
	"time"

	"burdockreach.dev/node/burn"
	"burdockreach.dev/plat/conf"
)

// flushBurnRates updates the burn rates once per second with the request counts and the leader's figures, and logs alerts.
func (d *Daemon) flushBurnRates(ctx context.Context) error {
	known := make(map[string]bool)
	return every(ctx, flushInterval, func(now time.Time) {
		doc := d.conf.Document()
		d.updateObjectives(doc, known)
		if fence, ok := d.lease.Held(); ok {
			d.burn.Update(d.leaderMsg(now, int64(fence), doc))
		}
		for _, c := range d.burn.Flush(now) {
			if a, ok := c.(burn.AlertCmd); ok {
				d.log.Warn().Str("step", "burn").Str("service", a.Key.Service).Str("class", a.Key.Class).
					Str("speed", string(a.Speed)).Float64("rate", a.Rate).Msg("budgetBurning")
			}
		}
	})
}

// updateObjectives passes the objective of each service to the burn meter and has it forget services that no longer exist.
// known holds the services passed so far.
func (d *Daemon) updateObjectives(doc *conf.Document, known map[string]bool) {
	for n := range known {
		if _, ok := doc.Service(n); !ok {
			d.burn.Update(burn.ForgetMsg{Service: n})
			delete(known, n)
		}
	}
	for _, s := range doc.Services() {
		known[s.Name] = true
		if p, ok := doc.Profile(s.Profile); ok {
			d.burn.Update(burn.ObjectiveMsg{Service: s.Name, Profile: p.Name, Objective: p.Objective})
		}
	}
}

// leaderMsg returns the members, spare pools and waves that the leader knows, for the burn meter.
func (d *Daemon) leaderMsg(now time.Time, fence int64, doc *conf.Document) burn.LeaderMsg {
	m := burn.LeaderMsg{Now: now, Term: fence}
	for _, v := range d.loop.Stats().Members() {
		m.Members = append(m.Members, burn.Member{VM: v.VM, Pool: v.Pool, FinishedWave: v.FinishedWave})
	}
	for _, p := range doc.Pools() {
		if p.Spare {
			m.Spares = append(m.Spares, p.Name)
		}
	}
	for _, w := range doc.Waves() {
		m.Waves = append(m.Waves, burn.Wave{ID: w.ID, Pools: w.Pools})
	}
	return m
}
