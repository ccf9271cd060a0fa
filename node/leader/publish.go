package leader

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

// publish publishes a new view if the targets have changed, or if the current view is of another term.
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
		targets = append(targets, t.newTarget(m, h, table.Shard(table.Index(m.VM)).Version()))
	}
	t.version.Count++
	v := view.New(t.version, targets)
	if v.SameTargets(t.views.View()) && t.views.View().Version().Fence == t.version.Fence {
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

// newTarget returns the target for one VM. It keeps the number of the published target while nothing else in it changes.
func (t *term) newTarget(m pool.Member, h hosts.VM, number int64) view.Target {
	n := view.Target{
		VM: m.VM, Addr: h.Addr(), Rack: m.Rack, Pool: m.Pool, ShardVersion: number,
		Serving: m.State == pool.Serving && h.State() == hosts.Live,
	}
	o := t.published[m.VM]
	o.ShardVersion = n.ShardVersion
	if o == n {
		n.ShardVersion = t.published[m.VM].ShardVersion
	}
	return n
}

// vmsByID returns the data centre's VMs as the platform last listed them.
func (t *term) vmsByID() map[string]hosts.VM {
	if l := t.listedVMs.Load(); l != nil {
		return *l
	}
	return nil
}

// readPeerReports passes the newest report of each entry to the planner and updates the failed VMs.
func (t *term) readPeerReports() {
	failing := make(map[string]int)
	reports := t.peers.EntryReports()
	for _, w := range reports {
		m := wave.EntryReportMsg{At: w.ReceivedAt.UnixMilli(), Entry: w.Entry, Versions: w.ShardVersions}
		for _, q := range w.Drained {
			m.Drained = append(m.Drained, wave.Drained{VM: q.VM, Version: q.ShardVersion})
		}
		for _, vm := range w.Failing {
			failing[vm]++
		}
		t.feed(m)
	}
	t.updateFailedVMs(failing, len(reports))
}

// updateFailedVMs marks a VM as failed while more than half of the reporting entries find that it fails every request.
func (t *term) updateFailedVMs(failing map[string]int, reports int) {
	at := nowMillis()
	for vm, n := range failing {
		if 2*n > reports && !t.failed[vm] {
			t.failed[vm] = true
			t.log.Warn().Str("step", "judge").Str("peer", vm).Int("entries", n).Msg("targetFailed")
			t.feed(wave.FailedMsg{At: at, VM: vm})
		}
	}
	for vm := range t.failed {
		if 2*failing[vm] <= reports {
			delete(t.failed, vm)
			t.log.Info().Str("step", "judge").Str("peer", vm).Msg("targetRecovered")
			t.feed(wave.RecoveredMsg{At: at, VM: vm})
		}
	}
}

// planMoves passes the fleet and the demand to the sizer, and the moves that it returns to the planner.
func (t *term) planMoves(at time.Time) {
	if t.doc == nil {
		return
	}
	t.sizer.Update(t.fleetMsg())
	m := wave.MoveMsg{At: at.UnixMilli()}
	for _, c := range t.sizer.Update(spare.TickMsg{AtMillis: at.UnixMilli(), Demand: t.demandByPool()}) {
		if c, ok := c.(spare.MoveCmd); ok {
			t.log.Info().Str("step", "size").Str("peer", c.VM).Str("from", c.From).Str("to", c.To).Str("why", string(c.Reason)).Msg("move")
			m.Moves = append(m.Moves, wave.Move{VM: c.VM, From: c.From, To: c.To})
		}
	}
	t.updateStats(len(m.Moves))
	if len(m.Moves) > 0 {
		t.feed(m)
	}
}

// fleetMsg returns the data centre's VMs in the sizer's form.
func (t *term) fleetMsg() spare.FleetMsg {
	var m spare.FleetMsg
	for v := range t.planner.Table().All() {
		m.VMs = append(m.VMs, spare.VM{
			Name: v.VM, Pool: cmp.Or(v.MoveTo, v.Pool), Rack: v.Rack, Moving: v.MoveTo != "",
			Unavailable: v.State != pool.Serving && v.State != pool.Failed, Failed: v.State == pool.Failed,
		})
	}
	return m
}

// demandByPool sums the loads in the entries' reports by pool, with arrivals and answers counted per tick.
func (t *term) demandByPool() map[string]spare.Demand {
	pools := make(map[string]string)
	for _, s := range t.doc.Services() {
		pools[s.Name] = s.Pool
	}
	sum := make(map[string]spare.Demand)
	for _, w := range t.peers.EntryReports() {
		for _, l := range w.Loads {
			p := pools[l.Service]
			d := sum[p]
			d.Busy += l.Busy
			d.Queued += l.Queued
			d.Arrivals += l.ArrivalsPerSecond * t.tick.Seconds()
			d.Done += l.AnswersPerSecond * t.tick.Seconds()
			sum[p] = d
		}
	}
	return sum
}

// sizingRules returns the sizer's rules for the pools. Limits for the whole fleet are divided evenly among the data centres.
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
