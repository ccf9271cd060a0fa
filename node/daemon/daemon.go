package daemon

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/flow/ledger"
	"burdockreach.dev/node/burn"
	"burdockreach.dev/node/entry"
	"burdockreach.dev/node/leader"
	"burdockreach.dev/node/oper"
	"burdockreach.dev/node/relay"
	"burdockreach.dev/node/setup"
	"burdockreach.dev/node/view"
	"burdockreach.dev/plat/conf"
	"burdockreach.dev/plat/hosts"
	"burdockreach.dev/plat/keyval"
	"burdockreach.dev/plat/lease"
)

const (
	leaveTimeout    = 5 * time.Second // for handing over the records at shutdown
	compactInterval = 5 * time.Second
	flushInterval   = time.Second
	addressInterval = 2 * time.Second
)

// Daemon is one entry process.
type Daemon struct {
	settings    setup.Settings
	log         zerolog.Logger
	store       *keyval.Client
	platform    *hosts.Client
	conf        *conf.Holder
	committer   *conf.Committer
	lease       *lease.Lease
	client      *relay.Client
	keyHolder   *relay.KeyHolder
	heartbeater *relay.Heartbeater
	views       *view.Holder
	gossip      *gossip
	entry       *entry.Entry
	loop        *leader.Loop
	burn        *burn.Meter
	jobs        *jobRunner
	slotLoans   *slotLoans
	self        ledger.Member
}

// New returns the process that the settings describe. It starts nothing.
func New(s setup.Settings, l zerolog.Logger) *Daemon {
	d := &Daemon{settings: s, log: l, views: view.NewHolder(), conf: conf.NewHolder()}
	d.store = keyval.New(s.PlatformAddr(), keyval.WithName(s.Name()), keyval.WithTimeout(s.PlatformTimeout()))
	d.platform = hosts.New(s.PlatformAddr(), hosts.WithName(s.Name()), hosts.WithTimeout(s.PlatformTimeout()))
	d.committer = conf.NewCommitter(d.store, d.conf, conf.WithCatchUp(d.catchUp))
	d.self = ledger.Member{Entry: s.Name(), Addr: s.PeerAddr(), Incarnation: time.Now().UnixNano()}
	d.burn = burn.NewMeter(s.Name(), s.DataCentre(), time.Now())
	d.lease = lease.New(d.store, leader.Key(s.DataCentre()), instanceName(d.self), lease.WithTTL(s.LeaderLease()))
	d.initRelay()
	d.initEntry()
	return d
}

// initRelay creates the parts that communicate with the other entries.
func (d *Daemon) initRelay() {
	s := d.settings
	d.client = relay.NewClient(relay.WithCallTimeout(s.PeerTimeout()))
	d.keyHolder = relay.NewKeyHolder(d.self, s.DataCentre(), s.DataCentres(), d.store, d.client, relay.WithLog(d.log),
		relay.WithBookOptions(ledger.WithRecords(s.MaxKeys()), ledger.WithAnswerBytes(maxKeptAnswerBytes)))
	d.gossip = newGossip(d)
	d.heartbeater = relay.NewHeartbeater(d.keyHolder, d.client, d.gossip, relay.WithInterval(s.HeartbeatInterval()), relay.WithLeader(d.gossip.leader), relay.WithOnBeat(d.gossip.receive))
}

// maxKeptAnswerBytes limits the answers kept with their idempotency keys. The oldest are evicted first.
const maxKeptAnswerBytes = 8 << 20

// initEntry creates the parts that serve callers, run the leader's loop and run jobs.
func (d *Daemon) initEntry() {
	s := d.settings
	d.slotLoans = &slotLoans{d: d}
	d.entry = entry.New(s, d.log, d.conf, d.views,
		entry.WithKeys(keyClaimer{d.keyHolder}), entry.WithShareName(instanceName(d.self)), entry.WithOutcomeCounter(d.burn), entry.WithReadyCheck(d.hasPlace),
		entry.WithLeaderCheck(d.gossip.hasLeader), entry.WithOnLeaving(d.heartbeater.BeatNow))
	d.loop = leader.New(s.DataCentre(), s.Name(), d.store, d.platform, d.lease, d.conf, d.gossip, d.views,
		leader.WithTick(s.LeaderTick()), leader.WithLogger(d.log), leader.WithOtherDataCentres(exclude(s.DataCentres(), s.DataCentre())),
		leader.WithOnEntriesGone(d.keyHolder.SetGone))
	d.jobs = newRunner(d)
}

// exclude returns l without x.
func exclude(l []string, x string) []string {
	var r []string
	for _, v := range l {
		if v != x {
			r = append(r, v)
		}
	}
	return r
}

// hasPlace reports whether the entry is in the roster of its data centre or stands in for a silent member of it.
func (d *Daemon) hasPlace() bool { return d.inRoster() || d.slotLoans.standingIn.Load() }

// inRoster reports whether this incarnation of the entry is in its data centre's roster.
func (d *Daemon) inRoster() bool {
	m, ok := d.keyHolder.Roster(d.settings.DataCentre()).Member(d.settings.Name())
	return ok && m.SameIncarnation(d.self)
}

// Run serves until ctx is cancelled, then finishes accepted requests, hands over its records and releases the leader's lease.
func (d *Daemon) Run(ctx context.Context) error {
	ls, err := d.listen(ctx)
	if err != nil {
		return err
	}
	// inner outlives ctx, so that the background work continues until accepted requests are finished and the records are handed over.
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, x := errgroup.WithContext(inner)
	d.background(x, g, ls)
	g.Go(func() error {
		defer cancel()
		serveCtx, stopServing := context.WithCancel(ctx)
		defer stopServing()
		defer context.AfterFunc(x, stopServing)()
		err := d.entry.Run(serveCtx, ls.callers)
		return errors.Join(err, d.leave(inner))
	})
	err = g.Wait()
	d.store.Close()
	d.platform.Close()
	d.jobs.close()
	d.client.Close()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// leave hands over the records within leaveTimeout. It logs a failure and returns nil.
func (d *Daemon) leave(ctx context.Context) error {
	x, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := d.keyHolder.Leave(x); err != nil {
		d.log.Warn().Str("step", "leave").Err(err).Msg("recordsNotHandedOver")
	}
	return nil
}

type listeners struct{ callers, peers, operators net.Listener }

// listen opens all listeners before anything starts.
func (d *Daemon) listen(ctx context.Context) (l listeners, err error) {
	for _, o := range []struct {
		listener *net.Listener
		addr     string
	}{{&l.callers, d.settings.CallerAddr()}, {&l.peers, d.settings.PeerAddr()}, {&l.operators, d.settings.OperatorAddr()}} {
		var c net.ListenConfig
		if *o.listener, err = c.Listen(ctx, "tcp", o.addr); err != nil {
			return l, eris.Wrapf(err, "step=listen peer=%s", o.addr)
		}
	}
	return l, nil
}

// background starts everything except the handling of callers' requests.
func (d *Daemon) background(ctx context.Context, g *errgroup.Group, l listeners) {
	follower := conf.NewFollower(d.store, d.conf, conf.WithLogger(d.log), conf.WithWatchTimeout(d.settings.MaxWatchWait()))
	server := relay.NewServer(relay.Service{KeyHolder: d.keyHolder, Heartbeater: d.heartbeater, Lender: d.slotLoans})
	api := oper.New(d.settings.Name(), d.settings.OperatorTokenDigests(), configAPI{d}, fleetAPI{d}, d.burn, oper.WithLogger(d.log), d.jobs.operOption())
	for _, f := range []func(context.Context) error{
		follower.Run, d.lease.Run, d.keyHolder.Run, d.heartbeater.Run, d.loop.Run, d.jobs.run, d.refreshAddresses, d.compact, d.flushBurnRates, d.kick, d.slotLoans.run,
		func(x context.Context) error { return server.Serve(x, l.peers) },
		func(x context.Context) error { return api.ServeListener(x, l.operators) },
	} {
		g.Go(func() error { return f(ctx) })
	}
}

// every calls f once per interval until ctx is cancelled.
func every(ctx context.Context, d time.Duration, f func(now time.Time)) error {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			f(now)
		}
	}
}

// refreshAddresses periodically updates the list of entries that beats are sent to.
func (d *Daemon) refreshAddresses(ctx context.Context) error {
	d.updateAddresses()
	return every(ctx, addressInterval, func(time.Time) { d.updateAddresses() })
}

// updateAddresses sets the list of entries that beats are sent to: the members of all rosters, and the peer addresses in the settings.
func (d *Daemon) updateAddresses() {
	var l []relay.Address
	for _, n := range d.settings.DataCentres() {
		for _, m := range d.keyHolder.Roster(n).Members() {
			l = append(l, relay.NewAddress(m.Entry, m.Addr, n))
		}
	}
	for _, a := range d.settings.PeerAddrs() {
		l = append(l, relay.NewAddress(a, a, d.settings.DataCentre()))
	}
	d.heartbeater.SetEntries(l)
}

// compact periodically writes configuration snapshots while this entry leads the first data centre in the settings.
func (d *Daemon) compact(ctx context.Context) error {
	c := conf.NewCompactor(d.store, d.conf)
	return every(ctx, compactInterval, func(time.Time) {
		if _, ok := d.lease.Held(); !ok || d.settings.DataCentre() != d.settings.DataCentres()[0] {
			return
		}
		if err := c.Step(ctx); err != nil {
			d.log.Warn().Str("step", "compact").Err(err).Msg("notCompacted")
		}
	})
}

// kick sends a beat at once after each change of the configuration or the view.
func (d *Daemon) kick(ctx context.Context) error {
	g, x := errgroup.WithContext(ctx)
	g.Go(func() error {
		s := d.conf.Subscribe(x)
		for {
			select {
			case <-x.Done():
				return nil
			case <-s:
				d.heartbeater.BeatNow()
			}
		}
	})
	g.Go(func() error {
		for {
			v := d.views.View().Version()
			if d.views.Wait(x, v) != nil {
				return nil
			}
			d.heartbeater.BeatNow()
		}
	})
	return g.Wait()
}
