package jobs

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"burdockreach.dev/fleet/place"
	"burdockreach.dev/plat/hosts"
	"burdockreach.dev/plat/keyval"
	"burdockreach.dev/plat/tasks"
)

const (
	defaultTick = 500 * time.Millisecond
	stepTimeout = 3 * time.Second  // of one call to the platform.
	maxConcurrentCommands     = 16               // commands that are performed at once.
	maxWritesPerStep   = 50               // starts, and further records, that are written in one step.
	maxConflicts     = 5                // conflicts in succession, after which the records are read anew.
	taskLeaseTTL    = time.Minute      // tasks run on without a leader for so long.
	renewInterval  = 10 * time.Second // renewals of the tasks' leases.
	auditInterval  = 20 * time.Second // listings of all records.
	endedRetention   = time.Hour        // for which the record of a job that has ended is kept.
)

// Leadership tells whether this entry leads its data centre, and the fence of its term.
type Leadership interface {
	Held() (keyval.Revision, bool)
}

// Hosts gives the platform's list of VMs.
type Hosts interface {
	List(ctx context.Context) ([]hosts.VM, error)
}

// Runner runs the jobs of one data centre while its entry leads.
type Runner struct {
	dataCentre string
	store      keyval.Store
	platform   tasks.Platform
	hosts      Hosts
	leadership       Leadership
	log        zerolog.Logger
	tick       time.Duration
}

// Option adjusts a runner.
type Option func(*Runner)

// WithTick sets the interval of the steps.
func WithTick(d time.Duration) Option { return func(r *Runner) { r.tick = d } }

// WithLogger sets where events are logged.
func WithLogger(l zerolog.Logger) Option { return func(r *Runner) { r.log = l } }

// New returns the runner of the data centre's jobs.
func New(dataCentre string, s keyval.Store, p tasks.Platform, h Hosts, l Leadership, opts ...Option) *Runner {
	r := &Runner{dataCentre: dataCentre, store: s, platform: p, hosts: h, leadership: l, log: zerolog.Nop(), tick: defaultTick}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Run runs jobs whenever the entry holds the lease, until the context ends.
func (r *Runner) Run(ctx context.Context) error {
	k := time.NewTicker(r.tick)
	defer k.Stop()
	for {
		if f, ok := r.leadership.Held(); ok {
			if err := r.term(ctx, f, k.C); err != nil && ctx.Err() == nil {
				r.log.Warn().Str("step", "runJobs").Err(err).Msg("jobTermEnded")
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-k.C:
		}
	}
}

// errTermOver ends a term whose lease is lost or that another leader has followed.
var errTermOver = eris.New("jobs: term is over")

// term leads until the lease is lost, the records have to be read anew, or the context ends.
func (r *Runner) term(ctx context.Context, fence keyval.Revision, tick <-chan time.Time) error {
	t := &term{Runner: r, fence: fence, auditedAt: time.Now(), jobs: map[string]*job{}, ended: map[string]endedJob{}, placers: map[string]*place.Placer{}}
	if err := t.takeOver(ctx); err != nil {
		return err
	}
	for {
		if err := t.step(ctx); err != nil {
			if errors.Is(err, errTermOver) || errors.Is(err, keyval.ErrReset) {
				return err
			}
			r.log.Warn().Str("step", "runJobs").Err(err).Msg("jobStepFailed")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick:
		}
	}
}

// term is one term of leadership; one goroutine touches it.
type term struct {
	*Runner
	fence   keyval.Revision
	watchRevision     keyval.Revision // from which changes of records are followed.
	taskLease   keyval.LeaseID  // under which new tasks run.
	renewedAt time.Time
	prunedAt  time.Time
	auditedAt time.Time
	jobs    map[string]*job
	ended   map[string]endedJob
	placers map[string]*place.Placer // by pool.
	workersByPool   map[string][]place.Worker
	leavingWorkers map[string]bool // workers that are about to stop.
	pending []command
}

// job is a job that has not ended, as this term knows it.
type job struct {
	record   Record
	recordRevision   keyval.Revision // of the record that was last read or written.
	attemptOffset  int             // attempts before those of the placer.
	liveTaskID  string          // id of the recorded task; empty when none can be running.
	retry place.Cmd       // stop or checkpoint that has not succeeded yet.
	dirty bool            // the record is to be written.
	throttled  bool            // the task is to be throttled.
	conflicts  int             // conflicts of its writes in succession.
}

// endedJob is a record that is kept for some time.
type endedJob struct {
	rev keyval.Revision
	endedAtMillis  int64
}

// command is one of a pool's placer.
type command struct {
	pool string
	place.Cmd
}

func nowMillis() int64 { return time.Now().UnixMilli() }

func (t *term) held() bool {
	f, ok := t.leadership.Held()
	return ok && f == t.fence
}

func (t *term) placer(pool string) *place.Placer {
	p := t.placers[pool]
	if p == nil {
		p = place.New()
		p.Update(place.WorkersMsg{Workers: t.workersByPool[pool]})
		t.placers[pool] = p
	}
	return p
}

// feed hands a message to the pool's placer and keeps its commands.
func (t *term) feed(pool string, m place.Msg) {
	for _, c := range t.placer(pool).Update(m) {
		if g, ok := c.(place.GiveUpCmd); ok {
			t.giveUp(g)
			continue
		}
		t.pending = append(t.pending, command{pool: pool, Cmd: c})
	}
}

func (t *term) giveUp(c place.GiveUpCmd) {
	j := t.jobs[c.Job]
	if j == nil {
		return
	}
	j.record.State, j.record.Reason, j.record.Ended, j.dirty = GivenUp, string(c.Reason), nowMillis(), true
	t.log.Info().Str("step", "runJobs").Str("job", c.Job).Str("reason", string(c.Reason)).Msg("jobGivenUp")
}
