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
	defaultTick           = 500 * time.Millisecond
	stepTimeout           = 3 * time.Second  // limits the reads of one step together, and each command and record write.
	maxConcurrentCommands = 16               // commands or record writes executed concurrently.
	maxWritesPerStep      = 50               // starts in one step, and as many other record writes.
	maxConflicts          = 5                // consecutive conflicts of a job's writes, after which all records are read again.
	taskLeaseTTL          = time.Minute      // tasks keep running without a leader for this long.
	renewInterval         = 10 * time.Second // between renewals of the tasks' leases, and between prunings of ended records.
	auditInterval         = 20 * time.Second // between listings of all records.
	endedRetention        = time.Hour        // how long the record of an ended job is kept.
)

// Leadership reports whether this entry leads its data centre, and the fencing token of its term.
type Leadership interface {
	Held() (keyval.Revision, bool)
}

// Hosts returns the platform's list of VMs.
type Hosts interface {
	List(ctx context.Context) ([]hosts.VM, error)
}

// Runner runs the jobs of one data centre while its entry leads.
type Runner struct {
	dataCentre string
	store      keyval.Store
	platform   tasks.Platform
	hosts      Hosts
	leadership Leadership
	log        zerolog.Logger
	tick       time.Duration
}

// Option configures a Runner.
type Option func(*Runner)

// WithTick sets the interval between steps.
func WithTick(d time.Duration) Option { return func(r *Runner) { r.tick = d } }

// WithLogger sets the logger.
func WithLogger(l zerolog.Logger) Option { return func(r *Runner) { r.log = l } }

// New returns a runner of the data centre's jobs.
func New(dataCentre string, s keyval.Store, p tasks.Platform, h Hosts, l Leadership, opts ...Option) *Runner {
	r := &Runner{dataCentre: dataCentre, store: s, platform: p, hosts: h, leadership: l, log: zerolog.Nop(), tick: defaultTick}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Run runs jobs whenever the entry holds the leader's lease, until ctx is cancelled.
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

// errTermOver ends the term: the lease is lost, another leader has written records, or the records must be read again.
var errTermOver = eris.New("jobs: leader term is over: lease lost or records must be read again")

// term runs one term until the lease is lost, the records must be read again, or ctx is cancelled.
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

// term is one term of leadership. One goroutine at a time uses it, except that commands and record writes run concurrently.
type term struct {
	*Runner
	fence          keyval.Revision
	watchRevision  keyval.Revision // from which changes of records are watched.
	taskLease      keyval.LeaseID  // lease under which new tasks run.
	renewedAt      time.Time
	prunedAt       time.Time
	auditedAt      time.Time
	jobs           map[string]*job
	ended          map[string]endedJob
	placers        map[string]*place.Placer // by pool.
	workersByPool  map[string][]place.Worker
	leavingWorkers map[string]bool // workers that the platform will stop soon.
	pending        []command
}

// job is a job that has not ended, as this term knows it.
type job struct {
	record         Record
	recordRevision keyval.Revision // of the record as last read or written.
	attemptOffset  int             // recorded attempts that the placer does not count.
	liveTaskID     string          // task id of the recorded attempt; empty when none can be running.
	retry          place.Cmd       // stop or checkpoint to repeat because its call failed.
	dirty          bool            // the record has changed and must be written.
	throttled      bool            // the task should be throttled.
	conflicts      int             // consecutive conflicts of the record's writes.
}

// endedJob is the record of an ended job, kept for endedRetention.
type endedJob struct {
	rev           keyval.Revision
	endedAtMillis int64
}

// command is a command of a pool's placer.
type command struct {
	pool string
	place.Cmd
}

func nowMillis() int64 { return time.Now().UnixMilli() }

// held reports whether the entry still holds the lease of this term.
func (t *term) held() bool {
	f, ok := t.leadership.Held()
	return ok && f == t.fence
}

// placer returns the pool's placer, creating it if needed.
func (t *term) placer(pool string) *place.Placer {
	p := t.placers[pool]
	if p == nil {
		p = place.New()
		p.Update(place.WorkersMsg{Workers: t.workersByPool[pool]})
		t.placers[pool] = p
	}
	return p
}

// feed passes a message to the pool's placer and queues the commands that it returns.
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
	j.record.State, j.record.Reason, j.record.EndedMillis, j.dirty = GivenUp, string(c.Reason), nowMillis(), true
	t.log.Info().Str("step", "runJobs").Str("job", c.Job).Str("reason", string(c.Reason)).Msg("jobGivenUp")
}
