// Package owner runs the jobs while this process holds the claim: it carries out what batch.Model decides.
package owner

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"burdockreach.dev/fleet/batch"
	"burdockreach.dev/node/board"
	"burdockreach.dev/node/desk"
	"burdockreach.dev/node/stats"
	"burdockreach.dev/plat/keyval"
	"burdockreach.dev/plat/lease"
)

// ClaimKey names the owner of the jobs, under a lease.
const ClaimKey = "own/all"

// ClaimPrefix precedes the keys of claims.
const ClaimPrefix = "own/"

// Times of an owner.
const (
	// ClaimTTL is how soon another process may take the claim of a silent owner; the store grants no less than 1 s.
	ClaimTTL = 1200 * time.Millisecond
	// ClaimPatience is how long an owner that cannot reach the store goes on driving workers: store outages are mostly shorter.
	ClaimPatience      = 7 * time.Second
	maxWorkerLease     = 5500 * time.Millisecond                   // the longest lease that an owner asks of workers, on a slow clock.
	maxOrderLifetime   = ClaimPatience + ClaimTTL + maxWorkerLease // after a former owner that may go on: its last order, and that lease.
	retryInterval      = 100 * time.Millisecond
	workerWatchTimeout = time.Second // of one watch.
	maxQueuedMsgs      = 4096
	maxMsgsPerRound    = 256 // messages taken in before the model is asked what follows.
	maxPendingRequests = 4096
)

// Store is what an owner needs of the platform's store.
type Store interface {
	keyval.Lister
	Get(ctx context.Context, key string) (keyval.Item, error)
	Txn(ctx context.Context, t keyval.Txn) (keyval.Revision, error)
}

// Workers gives orders to workers; an error says why the result is not OK.
type Workers interface {
	Start(ctx context.Context, c batch.StartCmd) (batch.Result, int64, error)
	Stop(ctx context.Context, c batch.StopCmd) (batch.Result, int64, error)
	Pace(ctx context.Context, c batch.PaceCmd) (batch.Result, int64, error)
	Hold(ctx context.Context, c batch.HoldCmd) (batch.HeldMsg, error)
	Advise(ctx context.Context, addr, step string, workers []string, wait time.Duration) (map[string]string, int64, error)
}

// Machines lists machines and gives them orders.
type Machines interface {
	List(ctx context.Context) ([]batch.Machine, error)
	Move(ctx context.Context, c batch.MoveCmd) (batch.DutyResult, error)
	Upkeep(ctx context.Context, c batch.UpkeepCmd) (batch.DutyResult, error)
}

// Format reads and writes the platform's documents.
type Format interface {
	Entry(i keyval.Item) (batch.Entry, error)
	WorkerID(key string) string
	WorkersPrefix() string
	WaveState(number int, completed bool) (string, []byte)
	IsCompleted(b []byte) bool
}

// Settings are the figures that an owner works with.
type Settings struct {
	Model      batch.Config
	AdviceAddr string
	// HelperWorkers is the number of workers for which one more entry makes the owner's calls.
	HelperWorkers int
}

// Owner takes the jobs over whenever this process holds the claim.
type Owner struct {
	store    Store
	workers  Workers
	machines Machines
	format   Format
	board    *board.Board
	lease    *lease.Lease
	settings Settings
	log      zerolog.Logger
	stats    *stats.Set

	peers *desk.Client
	*Carrier
	entries    Entries
	holder     string
	term       atomic.Pointer[term]
	started    time.Time
	yielding   atomic.Bool
	lastOrders atomic.Pointer[lastOrders]
}

// Parts are what an owner is made of.
type Parts struct {
	Store    Store
	Workers  Workers
	Machines Machines
	Format   Format
	Board    *board.Board
	Lease    *lease.Lease
	Log      zerolog.Logger
	Stats    *stats.Set
	Peers    *desk.Client
	Carrier  *Carrier
	Entries  Entries
	Holder   string // names this run of the process, and begins with its address for peers and a slash.
}

// New returns an owner that holds nothing.
func New(p Parts, s Settings) *Owner {
	o := &Owner{
		store: p.Store, workers: p.Workers, machines: p.Machines, format: p.Format, board: p.Board, lease: p.Lease,
		settings: s, log: p.Log, stats: p.Stats, peers: p.Peers, Carrier: p.Carrier, entries: p.Entries, holder: p.Holder, started: time.Now(),
	}
	o.lastOrders.Store(&lastOrders{})
	return o
}

// Yield ends the term, if there is one, and gives the claim up.
func (o *Owner) Yield() {
	if t := o.term.Load(); t != nil {
		o.yielding.Store(true)
		t.stop()
	}
}

// now is the steady time in ms.
func (o *Owner) now() int64 { return time.Since(o.started).Milliseconds() }

// Run takes the jobs over each time the claim is held, until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		f, ok := o.lease.Kept()
		if !ok {
			select {
			case <-o.lease.Moved():
			case <-ctx.Done():
			}
			continue
		}
		if err := o.runTerm(ctx, f); err != nil && ctx.Err() == nil {
			o.log.Warn().Int64("fence", int64(f)).Str("reason", err.Error()).Msg("ownership ended")
		}
		if o.yielding.Swap(false) {
			o.lease.Yield()
		}
		o.waitClaimLost(ctx, f)
	}
	return nil
}

// waitClaimLost returns once the claim of fence f is not kept any more.
func (o *Owner) waitClaimLost(ctx context.Context, f keyval.Revision) {
	for ctx.Err() == nil {
		if g, ok := o.lease.Kept(); !ok || g != f {
			return
		}
		o.lease.Nudge()
		select {
		case <-o.lease.Moved():
		case <-time.After(retryInterval):
		case <-ctx.Done():
		}
	}
}

// errClaimLost ends a term.
var errClaimLost = errors.New("another owner has the claim")

// term is the time during which this process holds one claim.
type term struct {
	o     *Owner
	fence keyval.Revision
	model *batch.Model
	msgs  chan batch.Msg
	calls chan batch.Cmd
	group *errgroup.Group

	mu          sync.Mutex
	lastRef     uint64
	pending     map[uint64]chan batch.ReplyCmd
	queries     chan modelQuery
	recordRev   atomic.Int64 // of the term's record.
	helpers     helpers
	workerCount atomic.Int64 // that are listed.
	stop        func()
}

// modelQuery has f called with the model between two messages.
type modelQuery struct {
	f    func(*batch.Model)
	done chan struct{}
}

func (o *Owner) runTerm(ctx context.Context, f keyval.Revision) error {
	c := o.settings.Model
	c.Fence, c.Now, c.WallMs = int64(f), o.now(), time.Now().UnixMilli()
	t := &term{
		o: o, fence: f, model: batch.New(c), msgs: make(chan batch.Msg, maxQueuedMsgs),
		pending: map[uint64]chan batch.ReplyCmd{}, queries: make(chan modelQuery), calls: make(chan batch.Cmd, callGoroutines),
	}
	o.log.Info().Int64("fence", int64(f)).Msg("ownership begins")
	o.stats.Add("terms", 1)
	own, stop := context.WithCancel(ctx)
	defer stop()
	t.stop = stop
	t.helpers.byAddr = map[string]*helper{}
	g, d := errgroup.WithContext(own)
	t.group = g
	o.term.Store(t)
	defer o.term.CompareAndSwap(t, nil)
	g.Go(func() error { return t.watchClaim(d) })
	g.Go(func() error { return t.loadRecords(d) })
	g.Go(func() error { return t.watchWorkers(d) })
	g.Go(func() error { return t.watchBoard(d) })
	g.Go(func() error { return t.manageHelpers(d) })
	for range callGoroutines {
		g.Go(func() error { return t.makeCalls(d) })
	}
	g.Go(func() error { return t.runModel(d) })
	err := g.Wait()
	o.lastOrders.Store(&lastOrders{recordedMs: o.now(), orders: t.model.Orders(o.now())})
	t.abandonPending()
	if own.Err() != nil {
		t.recordHandover(ctx)
	}
	return err
}

// watchClaim ends the term when the claim is given up.
func (t *term) watchClaim(ctx context.Context) error {
	k := time.NewTicker(ClaimTTL / 10)
	defer k.Stop()
	for {
		if f, ok := t.o.lease.Kept(); !ok || f != t.fence {
			return errClaimLost
		}
		select {
		case <-k.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// loadRecords reads the records of the former owner.
func (t *term) loadRecords(ctx context.Context) error {
	for ctx.Err() == nil {
		former, err := t.recordStart(ctx)
		var m batch.LoadedMsg
		if err == nil {
			m, err = t.o.readRecords(ctx)
		}
		if err == nil {
			m.BlindMs = former.orderLifetime().Milliseconds()
			t.send(ctx, m)
			return t.probeFormer(ctx, former)
		}
		t.o.log.Warn().Str("step", "load").Str("reason", err.Error()).Msg("records not read")
		if errors.Is(err, errClaimLost) {
			return err
		}
		t.sleep(ctx, retryInterval)
	}
	return nil
}

func (t *term) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (o *Owner) readRecords(ctx context.Context) (batch.LoadedMsg, error) {
	m := batch.LoadedMsg{}
	jobs, _, err := o.store.All(ctx, batch.JobPrefix)
	if err != nil {
		return m, err
	}
	for _, i := range jobs {
		var s batch.StoredJob
		if err := json.Unmarshal(i.Value(), &s); err != nil {
			o.log.Error().Str("key", i.Key()).Err(err).Msg("record cannot be read")
			continue
		}
		m.Jobs = append(m.Jobs, s)
	}
	runs, _, err := o.store.All(ctx, batch.RunPrefix)
	if err != nil {
		return m, err
	}
	for _, i := range runs {
		s := batch.StoredRun{ID: strings.TrimPrefix(i.Key(), batch.RunPrefix), Rev: int64(i.Rev())}
		if err := json.Unmarshal(i.Value(), &s); err != nil {
			o.log.Error().Str("key", i.Key()).Err(err).Msg("record cannot be read")
			continue
		}
		m.Runs = append(m.Runs, s)
	}
	waves, _, err := o.store.All(ctx, batch.WavePrefix)
	if err != nil {
		return m, err
	}
	for _, i := range waves {
		s := batch.StoredWave{Rev: int64(i.Rev())}
		if err := json.Unmarshal(i.Value(), &s); err != nil {
			o.log.Error().Str("key", i.Key()).Err(err).Msg("record cannot be read")
			continue
		}
		m.Waves = append(m.Waves, s)
	}
	return m, nil
}

// send hands a message to the loop.
func (t *term) send(ctx context.Context, m batch.Msg) {
	select {
	case t.msgs <- m:
	case <-ctx.Done():
	}
}

// minCheckedChangeMs is the change in ms of the claim's last renewal that the model is told.
const minCheckedChangeMs = 100

// runModel is the only user of the model.
func (t *term) runModel(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	fresh, wall, checked := false, int64(0), int64(0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-t.msgs:
			t.model.Update(t.o.now(), m)
			t.applyQueued()
		case a := <-t.queries:
			a.f(t.model)
			close(a.done)
			continue
		case <-timer.C:
		}
		_, ok := t.o.lease.Held()
		if at := t.o.now() - t.o.lease.Checked().Milliseconds(); ok != fresh || at-checked > minCheckedChangeMs {
			fresh, checked = ok, at
			t.model.Update(t.o.now(), batch.LeaseMsg{Fresh: ok, Checked: at})
		}
		if n := time.Now().UnixMilli(); n/1000 != wall {
			wall = n / 1000
			t.model.Update(t.o.now(), batch.WallMsg{UnixMs: n})
		}
		cmds := t.model.Round(t.o.now())
		t.workerCount.Store(int64(t.model.Workers()))
		for _, c := range cmds {
			if err := t.perform(ctx, c); err != nil {
				return err
			}
		}
		timer.Reset(time.Duration(t.model.Wake()) * time.Millisecond)
	}
}

// applyQueued takes in the messages that wait.
func (t *term) applyQueued() {
	for range maxMsgsPerRound {
		select {
		case m := <-t.msgs:
			t.model.Update(t.o.now(), m)
		default:
			return
		}
	}
}
