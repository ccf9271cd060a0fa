package steer

import (
	"cmp"
	"time"

	"burdockreach.dev/fleet/pool"
	"burdockreach.dev/fleet/spare"
	"burdockreach.dev/fleet/wave"
	"burdockreach.dev/node/view"
	"burdockreach.dev/plat/conf"
	"burdockreach.dev/plat/hosts"
)

// publish puts a new view on the shelf when the targets have changed.
func (t *term) publish() {
	table := t.planner.Table()
	list := t.vmsByID()
	if table.Len() == 0 || len(list) == 0 {
		return
	}
	targets := make([]view.Target, 0, table.Len())
	for m := range table.All() {
		h, ok := list[m.VM]
		if !ok {
			continue
		}
		targets = append(targets, t.newTarget(m, h, table.Shard(table.Index(m.VM)).Number()))
	}
	t.version.Count++
	v := view.New(t.version, targets)
	if v.Same(t.views.View()) && t.views.View().Version().Fence == t.version.Fence {
		t.version.Count--
		return
	}
	for _, o := range targets {
		t.published[o.VM] = o
	}
	if err := t.views.Put(v); err != nil {
		t.log.Warn().Str("step", "publish").Err(err).Msg("viewRefused")
	}
}

// newTarget returns the line of one VM; its number stays while nothing else of the line changes.
func (t *term) newTarget(m pool.Member, h hosts.VM, number int64) view.Target {
	n := view.Target{
		VM: m.VM, Addr: h.Addr(), Rack: m.Rack, Pool: m.Pool, Number: number,
		Serving: m.State == pool.Serving && h.State() == hosts.Live,
	}
	o := t.published[m.VM]
	o.Number = n.Number
	if o == n {
		n.Number = t.published[m.VM].Number
	}
	return n
}

func (t *term) vmsByID() map[string]hosts.VM {
	if l := t.listedVMs.Load(); l != nil {
		return *l
	}
	return nil
}

// readPeerReports passes on the newest word of each entry.
func (t *term) readPeerReports() {
	failing := make(map[string]int)
	words := t.peers.Words()
	for _, w := range words {
		m := wave.HeardMsg{At: w.At.UnixMilli(), Entry: w.Entry, Numbers: w.Numbers}
		for _, q := range w.Quits {
			m.Drained = append(m.Drained, wave.Drained{VM: q.VM, Number: q.Number})
		}
		for _, vm := range w.Failing {
			failing[vm]++
		}
		t.feed(m)
	}
	t.updateFailedVMs(failing, len(words))
}

// updateFailedVMs holds a VM for dead when more than half of the entries that are heard find it failing everything.
func (t *term) updateFailedVMs(failing map[string]int, heard int) {
	at := nowMillis()
	for vm, n := range failing {
		if 2*n > heard && !t.failed[vm] {
			t.failed[vm] = true
			t.log.Warn().Str("step", "judge").Str("peer", vm).Int("entries", n).Msg("targetFailed")
			t.feed(wave.FailedMsg{At: at, VM: vm})
		}
	}
	for vm := range t.failed {
		if 2*failing[vm] <= heard {
			delete(t.failed, vm)
			t.log.Info().Str("step", "judge").Str("peer", vm).Msg("targetRecovered")
			t.feed(wave.RecoveredMsg{At: at, VM: vm})
		}
	}
}

// planMoves hands demand and fleet to the sizer and its moves to the planner.
func (t *term) planMoves(at time.Time) {
	if t.doc == nil {
		return
	}
	t.sizer.Update(t.fleetMsg())
	m := wave.MoveMsg{At: at.UnixMilli()}
	for _, c := range t.sizer.Update(spare.TickMsg{At: at.UnixMilli(), Demand: t.demandByPool()}) {
		if c, ok := c.(spare.MoveCmd); ok {
			t.log.Info().Str("step", "size").Str("peer", c.VM).Str("from", c.From).Str("to", c.To).Str("why", string(c.Why)).Msg("move")
			m.Moves = append(m.Moves, wave.Move{VM: c.VM, From: c.From, To: c.To})
		}
	}
	t.updateStats(len(m.Moves))
	if len(m.Moves) > 0 {
		t.feed(m)
	}
}

func (t *term) fleetMsg() spare.FleetMsg {
	var m spare.FleetMsg
	for v := range t.planner.Table().All() {
		m.VMs = append(m.VMs, spare.VM{
			Name: v.VM, Pool: cmp.Or(v.To, v.Pool), Rack: v.Rack, Moving: v.To != "",
			Out: v.State != pool.Serving && v.State != pool.Failed, Failed: v.State == pool.Failed,
		})
	}
	return m
}

// demandByPool sums the entries' words by pool.
func (t *term) demandByPool() map[string]spare.Demand {
	pools := make(map[string]string)
	for _, s := range t.doc.Services() {
		pools[s.Name] = s.Pool
	}
	sum := make(map[string]spare.Demand)
	for _, w := range t.peers.Words() {
		for _, l := range w.Loads {
			p := pools[l.Service]
			d := sum[p]
			d.Busy += l.Busy
			d.Queued += l.Queued
			d.Arrivals += l.Arrivals * t.tick.Seconds()
			d.Done += l.Done * t.tick.Seconds()
			sum[p] = d
		}
	}
	return sum
}

// sizingRules returns the pools' rules; counts of the whole fleet are shared out over its data centres.
func sizingRules(d *conf.Document, dataCentres int) spare.RulesMsg {
	var m spare.RulesMsg
	used := make(map[string]conf.ServiceSpec)
	for _, s := range d.Services() {
		used[s.Pool] = s
	}
	for _, p := range d.Pools() {
		r := spare.Rule{Pool: p.Name, Spare: p.Spare}
		if s, ok := used[p.Name]; ok {
			f, _ := d.Profile(s.Profile)
			r.Slots, r.TargetUse, r.SurviveRacks = s.Slots, f.TargetUse, f.SurviveRacks
			r.MinVMs = (f.MinVMs + dataCentres - 1) / dataCentres
			r.MaxVMs = (f.MaxVMs + dataCentres - 1) / dataCentres
			r.MoveWeight, r.BufferWeight = f.MoveWeight, f.BufferWeight
		}
		m.Rules = append(m.Rules, r)
	}
	return m
}
