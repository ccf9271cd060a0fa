// Package owner runs jobs while this process holds the claim, the key that names the owner of the jobs.
// batch.Model makes the decisions; this package carries out its commands and reports the results back to it.
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
	"burdockreach.dev/plat/steady"
)

// ClaimKey is the key of the claim. Its value names the owner of the jobs, and it is bound to a lease.
const ClaimKey = "own/all"

// ClaimPrefix is the prefix of the claim, of the term record and of the keys of live entries.
const ClaimPrefix = "own/"

// Timeouts and limits of an owner.
const (
	// ClaimTTL is the time to live of the claim without renewal. Another process may take the claim after it. The store grants
	// no less than 1 s.
	ClaimTTL = 1200 * time.Millisecond
	// ClaimGracePeriod is how long an owner that cannot reach the store keeps giving orders to workers. Most store outages are shorter.
	ClaimGracePeriod = 7 * time.Second
	maxWorkerLease   = 5500 * time.Millisecond                      // longest lease that an owner requests from a worker, as it lasts on a slow clock.
	maxOrderLifetime = ClaimGracePeriod + ClaimTTL + maxWorkerLease // of a former owner that may still run: until its last order, plus the lease in that order.
	retryInterval    = 100 * time.Millisecond
	// rejectedRetryInterval is the time between attempts to make a call that the platform rejects.
	rejectedRetryInterval = 5 * time.Second

	workerWatchTimeout = time.Second // timeout of one watch on the list of workers.
	maxQueuedMsgs      = 4096
	maxMsgsPerRound    = 256 // messages that the model gets before it is asked for commands.
	maxPendingRequests = 4096
)

// Store is the part of the platform's key-value store that an owner uses.
type Store interface {
	keyval.Lister
	Get(ctx context.Context, key string) (keyval.Item, error)
	Txn(ctx context.Context, t keyval.Txn) (keyval.Revision, error)
}

// Workers sends orders to workers, and asks the service at addr for advice. An error gives the reason for a result that is not OK. The int64
// is the worker's clock in ms.
type Workers interface {
	Start(ctx context.Context, c batch.StartCmd) (batch.Result, int64, error)
	Stop(ctx context.Context, c batch.StopCmd) (batch.Result, int64, error)
	Pace(ctx context.Context, c batch.PaceCmd) (batch.Result, int64, error)
	Hold(ctx context.Context, c batch.PollCmd) (batch.PolledMsg, error)
	Advise(ctx context.Context, addr string, c batch.AdviseCmd) (batch.AdvisedMsg, error)
}

// Machines lists the platform's machines and sends orders for them.
type Machines interface {
	List(ctx context.Context) ([]batch.Machine, error)
	Move(ctx context.Context, c batch.MoveCmd) (batch.OrderResult, error)
	Upkeep(ctx context.Context, c batch.UpkeepCmd) (batch.OrderResult, error)
}

// Format encodes and decodes the platform's documents.
type Format interface {
	Entry(i keyval.Item) (batch.WorkerEntry, error)
	WorkerID(key string) string
	WorkersPrefix() string
	WaveState(number int, completed bool) (string, []byte)
	IsCompleted(b []byte) bool
}

// Settings configures an owner.
type Settings struct {
	Model      batch.Config
	AdviceAddr string
	// HelperWorkers is the number of workers per helper. A helper is another entry that makes calls to workers for the owner.
	HelperWorkers int
}

// Owner runs the jobs whenever this process holds the claim.
type Owner struct {
	store    Store
	workers  Workers
	machines Machines
	format   Format
	board    *board.Board
	lease    *lease.Lease
	settings Settings
	log      zerolog.Logger
	stats    *stats.Registry

	peers *desk.Client
	*Carrier
	entries    HelperLister
	holder     string
	term       atomic.Pointer[term]
	started    time.Time
	yielding   atomic.Bool
	lastOrders atomic.Pointer[lastOrders]
	refusals   *batch.Refusals // used by the model of the present term alone.
}

// Dependencies holds what New needs to build an Owner.
type Dependencies struct {
	Store    Store
	Workers  Workers
	Machines Machines
	Format   Format
	Board    *board.Board
	Lease    *lease.Lease
	Log      zerolog.Logger
	Stats    *stats.Registry
	Peers    *desk.Client
	Carrier  *Carrier
	Entries  HelperLister
	Holder   string // unique to this run of the process; starts with its peer address and a slash.
}

// New returns an owner without a claim.
func New(p Dependencies, s Settings) *Owner {
	o := &Owner{
		store: p.Store, workers: p.Workers, machines: p.Machines, format: p.Format, board: p.Board, lease: p.Lease,
		settings: s, log: p.Log, stats: p.Stats, peers: p.Peers, Carrier: p.Carrier, entries: p.Entries, holder: p.Holder, started: time.Now(),
		refusals: batch.NewRefusals(),
	}
	o.lastOrders.Store(&lastOrders{})
	return o
}

// Yield ends the current term, if there is one, and releases the claim.
func (o *Owner) Yield() {
	if t := o.term.Load(); t != nil {
		o.yielding.Store(true)
		t.stop()
	}
}

// now returns the time in ms since New, on the monotonic clock.
func (o *Owner) now() int64 { return time.Since(o.started).Milliseconds() }

// Run runs the jobs each time this process gets the claim, until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		f, ok := o.lease.Retained()
		if !ok {
			select {
			case <-o.lease.Changed():
			case <-ctx.Done():
			}
			continue
		}
		if err := o.runTerm(ctx, f); err != nil && ctx.Err() == nil {
			o.log.Warn().Int64("fence", int64(f)).Str("reason", err.Error()).Msg("ownership ended")
		}
		if o.yielding.Swap(false) {
			o.lease.StepDown()
		}
		o.waitClaimLost(ctx, f)
	}
	return nil
}

// waitClaimLost returns once the claim with fence f has been given up.
func (o *Owner) waitClaimLost(ctx context.Context, f keyval.Revision) {
	for ctx.Err() == nil {
		if g, ok := o.lease.Retained(); !ok || g != f {
			return
		}
		o.lease.Wake()
		select {
		case <-o.lease.Changed():
		case <-time.After(retryInterval):
		case <-ctx.Done():
		}
	}
}

// errClaimLost ends a term because this process does not hold the claim any more.
var errClaimLost = errors.New("another owner has the claim")

// term is the period in which this process holds one claim.
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
	recordRev   atomic.Int64 // store revision of the term record; 0 until it is written.
	helpers     helpers
	formers     formerTerms
	workerCount atomic.Int64 // number of listed workers.
	stop        func()
}

// modelQuery asks runModel to call f with the model between two messages.
type modelQuery struct {
	f    func(*batch.Model)
	done chan struct{}
}

// runTerm runs the jobs under the claim with fence f until the claim is lost, the owner yields or ctx ends.
func (o *Owner) runTerm(ctx context.Context, f keyval.Revision) error {
	c := o.settings.Model
	c.Fence, c.Now, c.UnixMs, c.Refusals = int64(f), o.now(), time.Now().UnixMilli(), o.refusals
	t := &term{
		o: o, fence: f, model: batch.New(c), msgs: make(chan batch.Msg, maxQueuedMsgs),
		pending: map[uint64]chan batch.ReplyCmd{}, queries: make(chan modelQuery), calls: make(chan batch.Cmd, callGoroutines),
	}
	o.log.Info().Int64("fence", int64(f)).Msg("ownership begins")
	o.stats.Add("terms", 1)
	termCtx, stop := context.WithCancel(ctx)
	defer stop()
	t.stop = stop
	t.helpers.byAddr = map[string]*helper{}
	g, d := errgroup.WithContext(termCtx)
	t.group = g
	o.term.Store(t)
	defer o.term.CompareAndSwap(t, nil)
	g.Go(func() error { return t.watchClaim(d) })
	g.Go(func() error { return t.loadRecords(d) })
	g.Go(func() error { return t.watchWorkers(d) })
	g.Go(func() error { return t.watchBoard(d) })
	g.Go(func() error { return t.manageHelpers(d) })
	g.Go(func() error { return t.reportTeams(d) })
	for range callGoroutines {
		g.Go(func() error { return t.makeCalls(d) })
	}
	g.Go(func() error { return t.runModel(d) })
	err := g.Wait()
	o.lastOrders.Store(&lastOrders{recordedMs: o.now(), orders: t.model.Orders(o.now())})
	t.abandonPending()
	if termCtx.Err() != nil {
		t.recordHandover(ctx)
	}
	return err
}

// watchClaim ends the term once the claim has been given up.
func (t *term) watchClaim(ctx context.Context) error {
	k := time.NewTicker(ClaimTTL / 10)
	defer k.Stop()
	for {
		if f, ok := t.o.lease.Retained(); !ok || f != t.fence {
			return errClaimLost
		}
		select {
		case <-k.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// loadRecords writes this term's record, passes the stored jobs, runs and waves to the model, and then checks on the former owners.
func (t *term) loadRecords(ctx context.Context) error {
	for ctx.Err() == nil {
		former, err := t.recordStart(ctx)
		var m batch.LoadedMsg
		if err == nil {
			m, err = t.o.readRecords(ctx)
		}
		if err == nil {
			m.FormerFence, m.Rev = former.Fence, t.recordRev.Load()
			if d := former.orderLifetime(); d > 0 {
				m.BlindMs = d.Milliseconds() + t.o.settings.Model.LeaseExcessMs()
			}
			t.send(ctx, m)
			return t.probeFormers(ctx, former)
		}
		t.o.log.Warn().Str("step", "load").Str("reason", err.Error()).Msg("records not read")
		if errors.Is(err, errClaimLost) {
			return err
		}
		steady.Sleep(ctx, retryInterval)
	}
	return nil
}

// readRecords reads all jobs, runs and waves from the store. It logs and skips a value that cannot be decoded.
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
	orders, err := o.store.Get(ctx, batch.OrdersKey)
	if err != nil {
		return m, err
	}
	m.Orders.Rev = int64(orders.Rev())
	if orders.Found() {
		if err := json.Unmarshal(orders.Value(), &m.Orders); err != nil {
			o.log.Error().Str("key", batch.OrdersKey).Err(err).Msg("record cannot be read")
		}
	}
	late, err := o.store.Get(ctx, batch.LateStartsKey)
	if err != nil {
		return m, err
	}
	if late.Found() {
		if err := json.Unmarshal(late.Value(), &m.LateStarts); err != nil {
			o.log.Error().Str("key", batch.LateStartsKey).Err(err).Msg("record cannot be read")
		}
	}
	return m, nil
}

// send queues a message for the model.
func (t *term) send(ctx context.Context, m batch.Msg) {
	select {
	case t.msgs <- m:
	case <-ctx.Done():
	}
}

// minCheckedChangeMs is the time in ms by which the claim's last renewal must have moved on before the model gets an update.
const minCheckedChangeMs = 100

// runModel passes messages to the model and carries out its commands. No other goroutine uses the model while it runs.
func (t *term) runModel(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	claimHeld, wallSecs, lastCheckedMs := false, int64(0), int64(0)
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
		if t.o.lease.SinceRenewal() > ClaimTTL+ClaimGracePeriod {
			return errClaimLost // this process was paused, and a successor no longer waits for its orders.
		}
		_, ok := t.o.lease.Held()
		if checkedMs := t.o.now() - t.o.lease.SinceRenewal().Milliseconds(); ok != claimHeld || checkedMs-lastCheckedMs > minCheckedChangeMs {
			claimHeld, lastCheckedMs = ok, checkedMs
			t.model.Update(t.o.now(), batch.ClaimMsg{Fresh: ok, RenewedAt: checkedMs})
		}
		if n := time.Now().UnixMilli(); n/1000 != wallSecs {
			wallSecs = n / 1000
			t.model.Update(t.o.now(), batch.WallClockMsg{UnixMs: n})
		}
		cmds := t.model.Commands(t.o.now())
		t.workerCount.Store(int64(t.model.Workers()))
		for _, c := range cmds {
			if err := t.perform(ctx, c); err != nil {
				return err
			}
		}
		timer.Reset(time.Duration(t.model.Wake()) * time.Millisecond)
	}
}

// applyQueued passes queued messages to the model, up to maxMsgsPerRound.
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
