package leader

import (
	"context"
	"errors"
	"time"

	"burdockreach.dev/fleet/pool"
	"burdockreach.dev/fleet/wave"
	"burdockreach.dev/plat/conf"
	"burdockreach.dev/plat/hosts"
	"burdockreach.dev/plat/keyval"
	"burdockreach.dev/plat/steady"
)

const (
	pageSize        = 100
	watchRetryDelay = time.Second
)

// itemFunc handles one item. readAt is the time before the read, in Unix milliseconds.
type itemFunc func(ctx context.Context, readAt int64, i keyval.Item)

// watch lists all keys under prefix and then follows their changes, until ctx is cancelled.
func (t *term) watch(ctx context.Context, prefix string, u itemFunc) error {
	for ctx.Err() == nil {
		rev, err := t.listAll(ctx, prefix, u)
		if err == nil {
			err = t.followChanges(ctx, prefix, rev, u)
		}
		if err != nil && !errors.Is(err, keyval.ErrReset) && ctx.Err() == nil {
			t.log.Warn().Str("step", "watch").Str("key", prefix).Err(err).Msg("watchFailed")
			steady.Sleep(ctx, watchRetryDelay)
		}
	}
	return nil
}

// listAll reads every key under prefix and returns the revision of the first page, from which to watch for changes.
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

// followChanges passes each change under prefix after rev to u. A deleted key becomes an item without a value.
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

// watchWait returns the longest wait of one watch. It is short enough to keep the documents fresher than the planner's maximum age.
func (t *term) watchWait() time.Duration { return 2 * t.tick }

// reportFresh records that all keys under prefix were up to date at the given Unix milliseconds. Once every prefix has such a time,
// it sends the earliest to the planner.
func (t *term) reportFresh(ctx context.Context, prefix string, at int64) {
	t.freshnessMu.Lock()
	t.freshAtMillis[prefix] = at
	all := len(t.freshAtMillis) == watchedPrefixes
	for _, o := range t.freshAtMillis {
		at = min(at, o)
	}
	t.freshnessMu.Unlock()
	if all {
		t.send(ctx, wave.DocumentsFreshMsg{At: at})
	}
}

// watchedPrefixes is the number of prefixes that a term watches: shards and budgets.
const watchedPrefixes = 2

// list reads the platform's list of VMs once per tick.
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

// hostsMsg returns the planner's message with the VMs of this data centre, stores them for publish and reports the entries that are gone.
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
			Name: v.ID(), Pool: v.Pool(), Rack: v.Rack(), State: hostState(v.State()), RunsEntry: v.Kind() == hosts.Entry, Boot: v.Boot(),
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

// pollLeaders reports to the planner, every two ticks, which other data centres have no leader key. The key is bound to the leader's lease.
func (t *term) pollLeaders(ctx context.Context) error {
	k := time.NewTicker(2 * t.tick)
	defer k.Stop()
	for {
		at := nowMillis()
		t.send(ctx, wave.UnreachableMsg{At: at, DataCentres: t.dataCentresWithoutLeader(ctx)})
		select {
		case <-ctx.Done():
			return nil
		case <-k.C:
		}
	}
}

// dataCentresWithoutLeader returns the other data centres whose leader key is absent or cannot be read.
func (t *term) dataCentresWithoutLeader(ctx context.Context) []string {
	var missing []string
	for _, n := range t.otherDataCentres {
		x, cancel := context.WithTimeout(ctx, callTimeout)
		i, err := t.store.Get(x, Key(n))
		cancel()
		if err != nil || !i.Found() {
			missing = append(missing, n)
		}
	}
	return missing
}

// Key returns the key under which the data centre's leader holds its lease.
func Key(dataCentre string) string { return "dc/" + dataCentre + "/leader" }

// updatePolicy passes a changed configuration to the planner and the sizer.
func (t *term) updatePolicy(at time.Time) {
	d := t.config.Document()
	if d == t.doc {
		return
	}
	t.doc = d
	m := wave.PolicyMsg{At: at.UnixMilli()}
	for _, s := range d.Services() {
		p, _ := d.Profile(s.Profile)
		m.Services = append(m.Services, wave.ServicePolicy{
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

// readMissing requests each document that may not exist yet, because a listing omits absent keys. It requests each budget once per term,
// and each shard without a revision after each change of the configuration.
func (t *term) readMissing(d *conf.Document) {
	for i := range pool.ShardCount {
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
