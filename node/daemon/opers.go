package daemon

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"burdockreach.dev/node/oper"
	"burdockreach.dev/plat/conf"
	"burdockreach.dev/plat/hosts"
)

// configAPI is the configuration as operators' API needs it.
type configAPI struct{ d *Daemon }

// Document implements oper.Config.
func (c configAPI) Document() *conf.Document { return c.d.conf.Document() }

// At implements oper.Config.
func (c configAPI) At(n conf.Number) (conf.Change, bool) { return c.d.conf.At(n) }

// Commit implements oper.Config.
func (c configAPI) Commit(ctx context.Context, h conf.Change) (conf.Number, error) {
	n, err := c.d.commit.Commit(ctx, h)
	e := c.d.log.Info()
	if err != nil {
		e = c.d.log.Warn().Err(err)
	}
	e.Str("step", "commit").Str("op", h.Op).Str("by", h.By).Str("kind", string(h.Kind)).Int64("number", int64(n)).Msg("change")
	return n, err
}

// Settle implements oper.Config.
func (c configAPI) Settle(_ context.Context, op string) (conf.Number, error) {
	if n, ok := c.d.conf.FindOp(op); ok {
		return n, nil
	}
	return 0, eris.Wrapf(conf.ErrUnsettled, "step=settle op=%s", op)
}

// fleetAPI is the entry's knowledge of VMs and entries as operators' API needs it.
type fleetAPI struct{ d *Daemon }

// VMs implements oper.Fleet.
func (f fleetAPI) VMs() []oper.VM {
	d := f.d
	states := make(map[string]oper.VM)
	for _, m := range d.loop.Stats().Members() {
		states[m.VM] = oper.VM{State: m.State.String(), Wave: m.Wave}
	}
	var l []oper.VM
	for _, t := range d.shelf.View().Targets() {
		v := oper.VM{ID: t.VM, Addr: t.Addr, DataCentre: d.set.DataCentre(), Rack: t.Rack, Pool: t.Pool, State: "out", Platform: string(hosts.Live)}
		if t.Serving {
			v.State = "serving"
		}
		if s, ok := states[t.VM]; ok {
			v.State, v.Wave = s.State, s.Wave
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
		Entry: d.set.Name(), DataCentre: d.set.DataCentre(), PeerAddr: d.set.PeerAddr(), Self: true, Heard: true,
		Applied: d.conf.Document().Number(), Roster: d.keeper.Roster(d.set.DataCentre()).Number(), Leader: lead,
	}}
	now := time.Now()
	for _, p := range d.beater.Heard() {
		since := now.Sub(p.At())
		l = append(l, oper.Entry{
			Entry: p.Address().Entry(), DataCentre: p.Address().DataCentre(), PeerAddr: p.Address().Addr(),
			Heard: since < d.set.EntryUnheard(), UnheardMs: since.Milliseconds(), Applied: conf.Number(p.Applied()),
			Roster: p.Roster(), Leaving: p.Stopping(),
		})
	}
	return l
}
