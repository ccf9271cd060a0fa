package steer

import (
	"context"
	"errors"
	"time"

	"burdockreach.dev/fleet/pool"
	"burdockreach.dev/fleet/wave"
	"burdockreach.dev/plat/conf"
	"burdockreach.dev/plat/hosts"
	"burdockreach.dev/plat/keyval"
)

const (
	pageSize  = 100
	watchRetryDelay = time.Second
)

// itemFunc takes one item in that was read at the given Unix milliseconds.
type itemFunc func(ctx context.Context, at int64, i keyval.Item)

// watch lists all keys under prefix, then follows their changes, until the context ends.
func (t *term) watch(ctx context.Context, prefix string, u itemFunc) error {
	for ctx.Err() == nil {
		rev, err := t.listAll(ctx, prefix, u)
		if err == nil {
			err = t.followChanges(ctx, prefix, rev, u)
		}
		if err != nil && !errors.Is(err, keyval.ErrReset) && ctx.Err() == nil {
			t.log.Warn().Str("step", "watch").Str("key", prefix).Err(err).Msg("watchFailed")
			sleep(ctx, watchRetryDelay)
		}
	}
	return nil
}

// listAll reads every key under prefix and returns the revision from which the first page was read.
func (t *term) listAll(ctx context.Context, prefix string, u itemFunc) (keyval.Revision, error) {
	var first keyval.Revision
	after := ""
	for {
		at := nowMillis()
		x, cancel := context.WithTimeout(ctx, callTimeout)
		items, rev, err := t.store.List(x, prefix, after, pageSize)
		cancel()
		if err != nil {
			return 0, err
		}
		if after == "" {
			first = rev
		}
		for _, i := range items {
			u(ctx, at, i)
			after = i.Key()
		}
		if len(items) < pageSize {
			t.reportFresh(ctx, prefix, at)
			return first, nil
		}
	}
}

func (t *term) followChanges(ctx context.Context, prefix string, rev keyval.Revision, u itemFunc) error {
	for ctx.Err() == nil {
		at := nowMillis()
		events, next, err := t.store.Watch(ctx, prefix, rev, t.watchWait())
		if err != nil {
			return err
		}
		for _, e := range events {
			i := e.Item()
			if e.Deleted() {
				i = keyval.NewItem(i.Key(), nil, keyval.Absent)
			}
			u(ctx, at, i)
		}
		rev = next
		t.reportFresh(ctx, prefix, at)
	}
	return nil
}

// watchWait keeps the documents fresher than the planner's bound.
func (t *term) watchWait() time.Duration { return 2 * t.tick }

// freshMsg is the loop's own note that all keys under a prefix were up to date at a time.
func (t *term) reportFresh(ctx context.Context, prefix string, at int64) {
	t.freshnessMu.Lock()
	t.freshAtMillis[prefix] = at
	both := len(t.freshAtMillis) == watchedPrefixes
	for _, o := range t.freshAtMillis {
		at = min(at, o)
	}
	t.freshnessMu.Unlock()
	if both {
		t.send(ctx, wave.FreshMsg{At: at})
	}
}

// watchedPrefixes is the number of prefixes that a term follows.
const watchedPrefixes = 2

// list asks for the platform's list once a tick.
func (t *term) list(ctx context.Context) error {
	k := time.NewTicker(t.tick)
	defer k.Stop()
	for {
		at := nowMillis()
		x, cancel := context.WithTimeout(ctx, callTimeout)
		vms, err := t.platform.List(x)
		cancel()
		if err != nil {
			t.log.Warn().Str("step", "list").Err(err).Msg("platformList")
		} else {
			t.send(ctx, t.hostsMsg(at, vms))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-k.C:
		}
	}
}

// hostsMsg keeps the own data centre's lines.
func (t *term) hostsMsg(at int64, vms []hosts.VM) wave.Msg {
	m := wave.HostsMsg{At: at}
	var gone []string
	own := make(map[string]hosts.VM, len(vms))
	for _, v := range vms {
		if v.DataCentre() != t.dataCentre {
			continue
		}
		own[v.ID()] = v
		if v.Kind() == hosts.Entry && v.State() == hosts.Gone {
			gone = append(gone, v.ID())
		}
		m.Hosts = append(m.Hosts, wave.Host{
			Name: v.ID(), Pool: v.Pool(), Rack: v.Rack(), State: hostState(v.State()), Entry: v.Kind() == hosts.Entry, Boot: v.Boot(),
		})
	}
	t.listedVMs.Store(&own)
	t.onGone(gone)
	return m
}

func hostState(s hosts.State) wave.HostState {
	switch s {
	case hosts.Leaving:
		return wave.Leaving
	case hosts.Gone:
		return wave.Gone
	}
	return wave.Live
}

// pollLeaders tells which other data centres have a leader, as their keys under a lease show.
func (t *term) pollLeaders(ctx context.Context) error {
	k := time.NewTicker(2 * t.tick)
	defer k.Stop()
	for {
		at := nowMillis()
		t.send(ctx, wave.UnheardMsg{At: at, DataCentres: t.dataCentresWithoutLeader(ctx)})
		select {
		case <-ctx.Done():
			return nil
		case <-k.C:
		}
	}
}

func (t *term) dataCentresWithoutLeader(ctx context.Context) []string {
	var silent []string
	for _, n := range t.otherDataCentres {
		x, cancel := context.WithTimeout(ctx, callTimeout)
		i, err := t.store.Get(x, LeaderKey(n))
		cancel()
		if err != nil || !i.Found() {
			silent = append(silent, n)
		}
	}
	return silent
}

// LeaderKey returns the key under which the data centre's leader holds its lease.
func LeaderKey(dataCentre string) string { return "dc/" + dataCentre + "/leader" }

// updatePolicy hands the configuration to the planner and the sizer.
func (t *term) updatePolicy(at time.Time) {
	d := t.config.Document()
	if d == t.doc {
		return
	}
	t.doc = d
	m := wave.PolicyMsg{At: at.UnixMilli()}
	for _, s := range d.Services() {
		p, _ := d.Profile(s.Profile)
		m.Services = append(m.Services, wave.ServiceRule{
			Name: s.Name, Pool: s.Pool, MaxOut: p.MaxOut,
			DrainMillis: int64(p.DrainSeconds) * 1000, RebootMillis: int64(p.RebootSeconds) * 1000,
		})
	}
	for _, w := range d.Waves() {
		m.Waves = append(m.Waves, wave.Wave{ID: w.ID, Pools: w.Pools, Paused: w.Paused})
	}
	t.sizer.Update(sizingRules(d, len(t.otherDataCentres)+1))
	t.feed(m)
	t.readMissing(d)
}

// readMissing asks once for each document that may not exist yet, since a list shows only those that do.
func (t *term) readMissing(d *conf.Document) {
	for i := range pool.Count {
		if t.planner.Table().Revision(i) == 0 {
			t.pending = append(t.pending, wave.ReadShardCmd{Index: i})
		}
	}
	for _, s := range d.Services() {
		if !t.budgetsRequested[s.Name] {
			t.budgetsRequested[s.Name] = true
			t.pending = append(t.pending, wave.ReadBudgetCmd{Service: s.Name})
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	k := time.NewTimer(d)
	defer k.Stop()
	select {
	case <-ctx.Done():
	case <-k.C:
	}
}
