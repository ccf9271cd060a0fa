package steer

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/fleet/pool"
	"burdockreach.dev/fleet/spare"
	"burdockreach.dev/fleet/wave"
	"burdockreach.dev/node/view"
	"burdockreach.dev/plat/conf"
	"burdockreach.dev/plat/hosts"
	"burdockreach.dev/plat/keyval"
)

const (
	defaultTick = time.Second
	maxConcurrentCommands     = 8   // commands that are performed at once
	inboxCapacity   = 256 // messages that wait for the loop
	callTimeout  = 3 * time.Second
)

// Leadership tells whether this entry leads its data centre, and the fence of its term.
type Leadership interface {
	Held() (keyval.Revision, bool)
}

// Documents gives the operators' configuration in force.
type Documents interface {
	Document() *conf.Document
}

// Peers gives the newest word of each entry of the data centre, the own one included.
type Peers interface {
	Words() []Word
}

// Word is what one entry last said.
type Word struct {
	Entry   string
	At      time.Time
	Quits   []Quit
	Failing []string
	Loads   []Load
	Numbers []int64 // versions of the membership's shards in the entry's view
}

// Quit is a VM that the entry sends nothing to and has nothing in flight at.
type Quit struct {
	VM     string
	Number int64
}

// Load is the use of one service's slots at the entry.
type Load struct {
	Service  string
	Busy     float64
	Queued   float64
	Arrivals float64 // requests a second
	Done     float64 // answers a second
}

// Loop is the leader's loop of one entry.
type Loop struct {
	dataCentre string
	otherDataCentres     []string
	store      keyval.Store
	platform   hosts.Platform
	leadership       Leadership
	config       Documents
	peers      Peers
	views      *view.Shelf
	log        zerolog.Logger
	tick       time.Duration
	entry      string

	onGone func(entries []string)

	wake  chan struct{}
	stats atomic.Pointer[Stats]
}

// Option changes a Loop when it is made.
type Option func(*Loop)

// WithTick sets the interval of the loop.
func WithTick(d time.Duration) Option { return func(l *Loop) { l.tick = d } }

// WithLogger sets where events are logged.
func WithLogger(z zerolog.Logger) Option { return func(l *Loop) { l.log = z } }

// WithGone sets what is told of the entries whose VMs are gone, at each look at the platform's list.
func WithGone(f func(entries []string)) Option { return func(l *Loop) { l.onGone = f } }

// WithOthers names the other data centres, whose leaders' keys tell whether they are heard.
func WithOthers(names []string) Option { return func(l *Loop) { l.otherDataCentres = names } }

// New returns the loop of the entry in the data centre.
func New(dataCentre, entry string, s keyval.Store, p hosts.Platform, a Leadership, d Documents, w Peers, v *view.Shelf, opts ...Option) *Loop {
	l := &Loop{
		dataCentre: dataCentre, entry: entry, store: s, platform: p, leadership: a, config: d, peers: w, views: v,
		log: zerolog.Nop(), tick: defaultTick, onGone: func([]string) {}, wake: make(chan struct{}, 1),
	}
	l.stats.Store(&Stats{})
	for _, o := range opts {
		o(l)
	}
	return l
}

// Wake makes the loop look at its peers' words at once.
func (l *Loop) Wake() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run leads whenever the entry holds the lease, until the context ends.
func (l *Loop) Run(ctx context.Context) error {
	t := time.NewTicker(l.tick)
	defer t.Stop()
	for {
		if f, ok := l.leadership.Held(); ok {
			if err := l.term(ctx, f); err != nil && ctx.Err() == nil {
				l.log.Warn().Str("step", "lead").Err(err).Msg("termEnded")
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// term is one term of leadership; its goroutines end with it.
type term struct {
	*Loop
	fence   keyval.Revision
	planner *wave.Planner
	sizer   *spare.Sizer
	inbox   chan wave.Msg
	commands    chan wave.Cmd
	pending []wave.Cmd             // commands that wait for an actor
	published   map[string]view.Target // the last published line of each VM
	failed    map[string]bool        // VMs that most entries find failing
	budgetsRequested   map[string]bool        // services whose budget was asked for, since a list shows only those that exist
	version view.Version
	doc     *conf.Document

	listedVMs atomic.Pointer[map[string]hosts.VM]

	freshnessMu sync.Mutex
	freshAtMillis map[string]int64 // Unix milliseconds, by prefix
}

func (l *Loop) term(ctx context.Context, fence keyval.Revision) error {
	t := &term{
		Loop: l, fence: fence, planner: wave.New(l.dataCentre, pool.Count), sizer: spare.New(),
		inbox: make(chan wave.Msg, inboxCapacity), commands: make(chan wave.Cmd, inboxCapacity),
		published: make(map[string]view.Target), failed: make(map[string]bool), budgetsRequested: make(map[string]bool), freshAtMillis: make(map[string]int64),
	}
	t.version = view.Version{Fence: max(int64(fence), l.views.View().Version().Fence+1)}
	for _, o := range l.views.View().Targets() {
		t.published[o.VM] = o
	}
	l.log.Info().Str("step", "lead").Int64("fence", int64(fence)).Msg("termBegan")
	g, x := errgroup.WithContext(ctx)
	for range maxConcurrentCommands {
		g.Go(func() error { return t.executor(x) })
	}
	g.Go(func() error { return t.watch(x, t.shardPrefix(), t.readShard) })
	g.Go(func() error { return t.watch(x, budgetPrefix, t.readBudget) })
	g.Go(func() error { return t.list(x) })
	g.Go(func() error { return t.pollLeaders(x) })
	g.Go(func() error { return t.decide(x) })
	defer l.stats.Store(&Stats{})
	return g.Wait()
}

// errTermOver ends a term whose lease is lost.
var errTermOver = eris.New("steer: lease lost")

// decide is the only goroutine that touches the planner and the sizer.
func (t *term) decide(ctx context.Context) error {
	k := time.NewTicker(t.tick)
	defer k.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-t.inbox:
			t.feed(m)
		case t.commandsIfPending() <- t.nextCommand():
			t.pending = t.pending[1:]
		case <-t.wake:
			t.readPeerReports()
		case now := <-k.C:
			if f, ok := t.leadership.Held(); !ok || f != t.fence {
				return errTermOver
			}
			t.updatePolicy(now)
			t.readPeerReports()
			t.planMoves(now)
			t.feed(wave.TickMsg{At: now.UnixMilli()})
		}
	}
}

// feed hands one message to the planner, its commands to the actors, and publishes what has changed.
func (t *term) feed(m wave.Msg) {
	before := t.planner.Table()
	for _, c := range t.planner.Update(m) {
		t.log.Debug().Str("step", "plan").Str("command", fmt.Sprintf("%T", c)).Msg("planned")
		t.pending = append(t.pending, c)
	}
	_, list := m.(wave.HostsMsg)
	if list || shardsChanged(before, t.planner.Table()) {
		t.publish()
	}
}

// commandsIfPending returns the actors' channel while a command waits for them; the loop never blocks on it.
func (t *term) commandsIfPending() chan<- wave.Cmd {
	if len(t.pending) == 0 {
		return nil
	}
	return t.commands
}

// nextCommand returns the command that waits longest.
func (t *term) nextCommand() wave.Cmd {
	if len(t.pending) == 0 {
		return nil
	}
	return t.pending[0]
}

func shardsChanged(a, b pool.Table) bool {
	for i, n := range a.Numbers() {
		if b.Shard(i).Number() != n {
			return true
		}
	}
	return false
}

// send puts a message into the inbox.
func (t *term) send(ctx context.Context, m wave.Msg) {
	select {
	case t.inbox <- m:
	case <-ctx.Done():
	}
}
