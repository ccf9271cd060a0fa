package daemon

import (
	"cmp"
	"context"
	"time"

	"github.com/rotisserie/eris"

	"burdockreach.dev/fleet/pool"
	"burdockreach.dev/node/oper"
	"burdockreach.dev/plat/conf"
)

// configAPI implements oper.Config.
type configAPI struct{ d *Daemon }

// Document implements oper.Config.
func (c configAPI) Document() *conf.Document { return c.d.conf.Document() }

// ChangeAt implements oper.Config.
func (c configAPI) ChangeAt(n conf.Number) (conf.Change, bool) { return c.d.conf.ChangeAt(n) }

// Commit implements oper.Config.
func (c configAPI) Commit(ctx context.Context, h conf.Change) (conf.Number, error) {
	return c.d.committer.Commit(ctx, h)
}

// Settle implements oper.Config. An operation that is not in the log yet may still be written, so its outcome stays unknown.
func (c configAPI) Settle(ctx context.Context, op string) (conf.Number, error) {
	n, err := c.d.committer.Find(ctx, op)
	if err == nil && n == 0 {
		err = eris.New("not in the log now; a write that is under way may bring it there")
	}
	if err != nil {
		return 0, eris.Wrapf(conf.ErrUnsettled, "step=settle op=%s: %v", op, err)
	}
	return n, nil
}

const (
	catchUpTimeout  = 2 * time.Second
	catchUpInterval = 20 * time.Millisecond
)

// catchUp waits until this entry has all changes that its peers have applied. If its roster has other members, it also waits for the
// first beat of a peer. Otherwise a new entry could build on a store that was restored to an older state.
func (d *Daemon) catchUp(ctx context.Context) error {
	x, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	for !d.caughtUp() {
		select {
		case <-x.Done():
			return eris.Wrap(x.Err(), "step=catchUp")
		case <-time.After(catchUpInterval):
		}
	}
	return nil
}

// caughtUp reports whether no peer has applied a newer change. Without a beat of any peer, it reports whether the roster has fewer
// than two members.
func (d *Daemon) caughtUp() bool {
	peers := d.heartbeater.Peers()
	if len(peers) == 0 {
		return len(d.keyHolder.Roster(d.settings.DataCentre()).Members()) < 2
	}
	for _, p := range peers {
		if conf.Number(p.Applied()) > d.conf.Document().Number() {
			return false
		}
	}
	return true
}

// fleetAPI implements oper.Fleet.
type fleetAPI struct{ d *Daemon }

// VMs implements oper.Fleet.
func (f fleetAPI) VMs() []oper.VM {
	d := f.d
	members := make(map[string]pool.Member)
	for _, m := range d.loop.Stats().Members() {
		members[m.VM] = m
	}
	var l []oper.VM
	for _, t := range d.views.View().Targets() {
		v := oper.VM{ID: t.VM, Addr: t.Addr, DataCentre: d.settings.DataCentre(), Rack: t.Rack, Pool: t.Pool, State: "out"}
		if t.Serving {
			v.State = pool.Serving.String()
		}
		if m, ok := members[t.VM]; ok {
			v.State, v.Wave = m.State.String(), cmp.Or(m.RunningWave, m.FinishedWave)
		}
		if h, ok := d.loop.Host(t.VM); ok {
			v.Platform, v.Boot = string(h.State()), h.Boot()
		}
		l = append(l, v)
	}
	return l
}

// Entries implements oper.Fleet.
func (f fleetAPI) Entries() []oper.Entry {
	d := f.d
	_, lead := d.lease.Held()
	l := []oper.Entry{{
		Name: d.settings.Name(), DataCentre: d.settings.DataCentre(), PeerAddr: d.settings.PeerAddr(), Self: true, Reachable: true,
		Applied: d.conf.Document().Number(), Roster: d.keyHolder.Roster(d.settings.DataCentre()).Number(), Leader: lead,
	}}
	now := time.Now()
	for _, p := range d.heartbeater.Peers() {
		silent := now.Sub(p.HeardAt())
		l = append(l, oper.Entry{
			Name: p.Address().Entry(), DataCentre: p.Address().DataCentre(), PeerAddr: p.Address().Addr(),
			Reachable: silent < d.settings.HeartbeatTimeout(), SinceHeartbeatMs: silent.Milliseconds(), Applied: conf.Number(p.Applied()),
			Roster: p.Roster(), Leaving: p.Stopping(),
		})
	}
	return l
}
