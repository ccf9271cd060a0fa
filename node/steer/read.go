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
	pageItems  = 100
	retryAfter = time.Second
)

// use takes one item in that was read at the given Unix milliseconds.
type use func(ctx context.Context, at int64, i keyval.Item)

// watch lists all keys under prefix, then follows their changes, until the context ends.
func (t *term) watch(ctx context.Context, prefix string, u use) error {
	for ctx.Err() == nil {
		rev, err := t.listAll(ctx, prefix, u)
		if err == nil {
			err = t.followFrom(ctx, prefix, rev, u)
		}
		if err != nil && !errors.Is(err, keyval.ErrReset) && ctx.Err() == nil {
			t.log.Warn().Str("step", "watch").Str("key", prefix).Err(err).Msg("watchFailed")
			pause(ctx, retryAfter)
		}
	}
	return nil
}

// listAll reads every key under prefix and returns the revision from which the first page was read.
func (t *term) listAll(ctx context.Context, prefix string, u use) (keyval.Revision, error) {
	var first keyval.Revision
	after := ""
	for {
		at := now()
		x, cancel := context.WithTimeout(ctx, actTimeout)
		items, rev, err := t.store.List(x, prefix, after, pageItems)
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
		if len(items) < pageItems {
			t.fresh(ctx, prefix, at)
			return first, nil
		}
	}
}

func (t *term) followFrom(ctx context.Context, prefix string, rev keyval.Revision, u use) error {
	for ctx.Err() == nil {
		at := now()
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
		t.fresh(ctx, prefix, at)
	}
	return nil
}

// watchWait keeps the documents fresher than the planner's bound.
func (t *term) watchWait() time.Duration { return 2 * t.tick }

// freshMsg is the loop's own note that all keys under a prefix were up to date at a time.
func (t *term) fresh(ctx context.Context, prefix string, at int64) {
	t.freshMu.Lock()
	t.freshAt[prefix] = at
	both := len(t.freshAt) == watches
	for _, o := range t.freshAt {
		at = min(at, o)
	}
	t.freshMu.Unlock()
	if both {
		t.send(ctx, wave.DocumentsFreshMsg{At: at})
	}
}

// watches is the number of prefixes that a term follows.
const watches = 2

// list asks for the platform's list once a tick.
func (t *term) list(ctx context.Context) error {
	k := time.NewTicker(t.tick)
	defer k.Stop()
	for {
		at := now()
		x, cancel := context.WithTimeout(ctx, actTimeout)
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
			Name: v.ID(), Pool: v.Pool(), Rack: v.Rack(), State: hostState(v.State()), RunsEntry: v.Kind() == hosts.Entry, Boot: v.Boot(),
		})
	}
	t.hostsNow.Store(&own)
	t.gone(gone)
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

// listen tells which other data centres have a leader, as their keys under a lease show.
func (t *term) listen(ctx context.Context) error {
	k := time.NewTicker(2 * t.tick)
	defer k.Stop()
	for {
		at := now()
		t.send(ctx, wave.UnreachableMsg{At: at, DataCentres: t.unheard(ctx)})
		select {
		case <-ctx.Done():
			return nil
		case <-k.C:
		}
	}
}

func (t *term) unheard(ctx context.Context) []string {
	var silent []string
	for _, n := range t.others {
		x, cancel := context.WithTimeout(ctx, actTimeout)
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

// policy hands the configuration to the planner and the sizer.
func (t *term) policy(at time.Time) {
	d := t.docs.Document()
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
	t.sizer.Update(spareRules(d, len(t.others)+1))
	t.feed(m)
	t.absent(d)
}

// absent asks once for each document that may not exist yet, since a list shows only those that do.
func (t *term) absent(d *conf.Document) {
	for i := range pool.ShardCount {
		if t.planner.Table().Revision(i) == 0 {
			t.pending = append(t.pending, wave.ReadShardCmd{Index: i})
		}
	}
	for _, s := range d.Services() {
		if !t.asked[s.Name] {
			t.asked[s.Name] = true
			t.pending = append(t.pending, wave.ReadBudgetCmd{Service: s.Name})
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	k := time.NewTimer(d)
	defer k.Stop()
	select {
	case <-ctx.Done():
	case <-k.C:
	}
}
