package leader

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
	defaultTick           = time.Second
	maxConcurrentCommands = 8   // commands executed concurrently
	inboxCapacity         = 256 // messages queued for the loop
	callTimeout           = 3 * time.Second
)

// Leadership reports whether this entry leads its data centre, and the fencing token of its term.
type Leadership interface {
	Held() (keyval.Revision, bool)
}

// ConfigSource returns the operators' configuration that is in force.
type ConfigSource interface {
	Document() *conf.Document
}

// Peers returns the newest report of each entry of the data centre, including this one.
type Peers interface {
	EntryReports() []EntryReport
}

// EntryReport is the last report of one entry.
type EntryReport struct {
	Entry         string
	ReceivedAt    time.Time // when the report was received
	Drained       []DrainedVM
	Failing       []string // VMs that fail every request of the entry
	Loads         []Load
	ShardVersions []int64 // version of each membership shard in the entry's view
}

// DrainedVM is a VM to which the entry sends no requests and has none in flight.
type DrainedVM struct {
	VM           string
	ShardVersion int64 // version of the membership shard that made the entry stop sending
}

// Load is the use of one service's slots at one entry.
type Load struct {
	Service           string
	Busy              float64
	Queued            float64
	ArrivalsPerSecond float64 // requests per second
	AnswersPerSecond  float64 // answers per second
}

// Loop is the control loop that an entry runs while it leads its data centre.
type Loop struct {
	dataCentre       string
	otherDataCentres []string
	store            keyval.Store
	platform         hosts.Platform
	leadership       Leadership
	config           ConfigSource
	peers            Peers
	views            *view.Holder
	log              zerolog.Logger
	tick             time.Duration
	entry            string

	onGone func(entries []string)

	wake  chan struct{}
	stats atomic.Pointer[Stats]
}

// Option configures a Loop.
type Option func(*Loop)

// WithTick sets the interval of the loop.
func WithTick(d time.Duration) Option { return func(l *Loop) { l.tick = d } }

// WithLogger sets the logger.
func WithLogger(z zerolog.Logger) Option { return func(l *Loop) { l.log = z } }

// WithOnEntriesGone sets the function that receives the entries whose VMs are gone, after each read of the platform's list.
func WithOnEntriesGone(f func(entries []string)) Option { return func(l *Loop) { l.onGone = f } }

// WithOtherDataCentres names the other data centres. The loop reads their leader keys to find out whether they have a leader.
func WithOtherDataCentres(names []string) Option { return func(l *Loop) { l.otherDataCentres = names } }

// New returns the control loop of the entry in the data centre.
func New(dataCentre, entry string, s keyval.Store, p hosts.Platform, a Leadership, d ConfigSource, w Peers, v *view.Holder, opts ...Option) *Loop {
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

// Wake makes the loop read the entries' reports without waiting for the next tick.
func (l *Loop) Wake() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run runs a term whenever the entry holds the leader's lease, until ctx is cancelled.
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

// term is one term of leadership. Its goroutines end with it.
type term struct {
	*Loop
	fence            keyval.Revision
	planner          *wave.Planner
	sizer            *spare.Sizer
	inbox            chan wave.Msg
	commands         chan wave.Cmd
	pending          []wave.Cmd             // commands waiting for a free executor
	published        map[string]view.Target // the last published target of each VM
	failed           map[string]bool        // VMs reported as failing by more than half of the entries
	budgetsRequested map[string]bool        // services whose budget was requested by key, because a listing omits absent keys
	version          view.Version
	doc              *conf.Document

	listedVMs atomic.Pointer[map[string]hosts.VM]

	freshnessMu   sync.Mutex
	freshAtMillis map[string]int64 // by prefix: Unix milliseconds at which all its keys were last up to date
}

func (l *Loop) term(ctx context.Context, fence keyval.Revision) error {
	t := &term{
		Loop: l, fence: fence, planner: wave.New(l.dataCentre, pool.ShardCount), sizer: spare.New(),
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

// errTermOver ends the term after the leader's lease is lost.
var errTermOver = eris.New("leader: lease lost")

// decide runs the term's main loop. Only its goroutine uses the planner and the sizer.
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

// feed passes a message to the planner and queues the commands that it returns.
// It publishes a new view if a shard has changed or the message is a list of hosts.
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

// commandsIfPending returns the executors' channel if a command is pending, and otherwise nil, which disables that case of the select.
// The loop therefore never blocks on a send.
func (t *term) commandsIfPending() chan<- wave.Cmd {
	if len(t.pending) == 0 {
		return nil
	}
	return t.commands
}

// nextCommand returns the oldest pending command, or nil.
func (t *term) nextCommand() wave.Cmd {
	if len(t.pending) == 0 {
		return nil
	}
	return t.pending[0]
}

// shardsChanged reports whether any shard of the two tables has a different number.
func shardsChanged(a, b pool.Table) bool {
	for i, n := range a.Versions() {
		if b.Shard(i).Version() != n {
			return true
		}
	}
	return false
}

// send puts a message into the inbox, unless ctx is cancelled first.
func (t *term) send(ctx context.Context, m wave.Msg) {
	select {
	case t.inbox <- m:
	case <-ctx.Done():
	}
}
