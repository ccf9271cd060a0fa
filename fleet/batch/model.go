package batch

import (
	"maps"
	"slices"

	"burdockreach.dev/fleet/quota"
)

// Times in milliseconds.
const (
	workerLeaseMs    = 5_000 // lease of a worker; replacing an owner takes about 3 s, so runs survive it.
	startExpiryMs    = 2_500 // a worker does not carry out a start that arrives later than this.
	maxPollWaitMs    = 2_000 // longest long poll that workers accept.
	pollRetryMs      = 300   // between polls of a worker that does not answer.
	overdueCallMs    = 4_000 // then an unanswered call is given up: it takes at most 2.4 s, and leases last 1 s longer.
	unsavedPollMs    = 250   // between polls while ended runs wait to be stored or starts to be confirmed.
	stopRetryMs      = 400   // between stop commands for one run.
	expirySlackMs    = 150   // added to a worker's lease before its runs count as lapsed.
	refusalBackoffMs = 300   // a worker that lacks room gets no start for this long; also after requests for advice that failed.
	acceptTimeoutMs  = 600   // a submission that the store has certainly not taken is refused after this.
	commitWindowMs   = 4     // writes that arrive within this time share a transaction.
	commitRetryMs    = 60    // after a write that failed.
	sweepIntervalMs  = 50    // between runs of the time-driven work in sweep.
)

// minClockRate is the rate of the slowest worker clock that is allowed, relative to true time.
const minClockRate = 0.98

// formerPollMs is how long a worker that has just seen this owner's fence may still hold a poll of a former owner: maxPollWaitMs on the
// slowest clock, and a margin for its timer.
const formerPollMs = 2_100

// Limits of the store transactions. The store takes 32 entries per transaction, one of which is the guard of the claim.
const (
	maxTxnEntries   = 31
	maxTxnBytes     = 256 << 10 // of the encoded request: 1.1 s over a link of 2 Mbit/s, and a call has 1.5 s.
	minTxnBytes     = 64 << 10  // the limit is not lowered below this when large transactions are not answered.
	maxInFlightTxns = 32
	maxPartialTxns  = 4 // with more in flight, only full transactions are sent, and none after a write that failed.
)

// Config holds the settings of a model.
type Config struct {
	Fence      int64 // fencing number of the owner's claim.
	Now        int64 // steady clock, ms.
	UnixMs     int64 // Unix time in ms at Now.
	LeaseMs    int64 // longest lease that workers grant.
	StatusMs   int64 // how long callers can query the state of an ended job.
	OrderGapMs int64 // wait before an order to a machine that another owner may have ordered.

	WorkerSpeed  bool    // learn the speeds of workers from the progress of their runs.
	OrdersPerSec float64 // orders to machines that the platform takes per second; 0 means DefaultOrdersPerSec.

	LookAhead bool // room is reserved and used by the expected ends of runs.

	Refusals *Refusals // of this process's terms; nil means that none are known.
}

// Model is the owner's view of jobs, workers and machines.
type Model struct {
	cfg            Config
	now            int64
	wallOffset     int64 // Unix time minus the steady clock, ms.
	loaded         bool
	blindUntil     int64 // until then, unreachable workers may run what a former owner started; see blind.
	claimFresh     bool  // this owner certainly holds its claim.
	soleOwnerUntil int64 // until then this was the only owner, so no other one can have extended a lease.
	deferred       []Msg // messages to handle once the former owner's records are loaded.

	services         map[string]Service
	teams            map[string]Team
	teamsKnown       bool // a TeamsMsg has come.
	ledger           *quota.Ledger
	teamUses         map[string]*teamUse
	limitedTeams     []*teamUse // by name
	runsKnown        bool       // see updateRunsKnown.
	uncountedAt      int64      // when what may run uncounted was last computed.
	limitLogs        limitLogs
	pools            map[string]*pool
	workers          map[string]*worker
	workerList       []*worker                  // by ID
	forgottenWorkers map[string]forgottenWorker // by ID
	sweptAt          int64
	purgedAt         int64 // when purge last checked the ended jobs.
	nextPollAt       int64 // when the next poll of any worker is due.
	placementPending bool  // a pool has changed and waits for its next placement.
	jobs             map[string]*job
	estimators       map[string]*estimator

	movesPlannedAt int64
	demandCounted  map[string]bool // IDs of the jobs whose work the demand includes.
	commits        commits
	advice         adviceLine
	fleet          fleet
	cmds           []Cmd
}

// pool holds the workers and the open jobs of one service.
type pool struct {
	name        string
	workers     []*worker // by ID
	openJobs    map[string]*job
	readyStages []*stage // of the last placement; its memory is reused.
	dirty       bool
	placedAt    int64   // time of the last placement.
	backlog     float64 // accepted work that is not done, in thousandths of a core times ms, as far as teams' limits matter (see setBacklog).
	demand      demand

	runnableBacklog float64 // the part of the backlog for which machines are wanted.
	counts          poolCounts

	crashCount   int     // crashes of its workers so far.
	trialCrashes []int64 // when trials crashed their workers, within the last trialPauseMs.
}

// New returns a model without workers or jobs.
func New(c Config) *Model {
	m := &Model{
		cfg: c, now: c.Now, wallOffset: c.UnixMs - c.Now,
		services: map[string]Service{}, teams: map[string]Team{}, ledger: quota.New(), teamUses: map[string]*teamUse{}, pools: map[string]*pool{}, workers: map[string]*worker{}, forgottenWorkers: map[string]forgottenWorker{},
		jobs: map[string]*job{}, estimators: map[string]*estimator{}, demandCounted: map[string]bool{},
	}
	if m.cfg.Refusals == nil {
		m.cfg.Refusals = NewRefusals()
	}
	m.commits.start()
	m.advice.start()
	m.fleet.start(c.Now + formerClaimMs)
	m.fleet.pace = newOrderPace(c.OrdersPerSec, c.Now)
	return m
}

// Update handles one message at the steady time now. [Model.Commands] returns the resulting commands.
func (m *Model) Update(now int64, msg Msg) {
	m.now = max(m.now, now)
	switch g := msg.(type) {
	case ServicesMsg:
		m.setServices(g.Services)
	case AdviceMsg:
		m.setAdvice(g.Queues)
	case TeamsMsg:
		m.setTeams(g.Teams)
	case WorkersMsg:
		m.setWorkers(g)
	case LoadedMsg:
		m.loadRecords(g)
	case BlindMsg:
		m.blindUntil = min(m.blindUntil, m.now+g.ForMs)
	case SubmitMsg:
		m.submit(g)
	case CancelMsg:
		m.cancel(g)
	case PolledMsg:
		m.pollAnswered(g)
	case StartedMsg:
		m.startAnswered(g)
	case StoppedMsg:
		m.stopAnswered(g)
	case CommittedMsg:
		m.committed(g)
	case ClaimMsg:
		m.claimFresh, m.soleOwnerUntil = g.Fresh, max(m.soleOwnerUntil, g.RenewedAt)
	case WallClockMsg:
		m.wallOffset = g.UnixMs - m.now
	case PacedMsg:
		m.paceAnswered(g)
	case ClaimLostMsg:
		m.emit(DeposedCmd(g))
	case AdvisedMsg:
		m.adviceAnswered(g)
	case MachinesMsg:
		m.setMachines(g)
	case WaveMsg:
		m.setWave(g)
	case OrdersMsg:
		m.takeFormerOrders(g)
	case OrderDoneMsg:
		m.orderAnswered(g)
	}
}

// Commands returns the commands that follow from the messages so far. The caller must call it again within Wake
// milliseconds.
func (m *Model) Commands(now int64) []Cmd {
	m.now = max(m.now, now)
	if m.loaded {
		m.sweep()
		m.placeAll()
		m.sendAdvice()
		m.flush()
	}
	m.pollWorkers()
	c := m.cmds
	m.cmds = nil
	return c
}

// sweep does the work that depends only on time, at most once per sweepIntervalMs.
func (m *Model) sweep() {
	if m.now-m.sweptAt < sweepIntervalMs {
		return
	}
	m.sweptAt = m.now
	m.openRounds()
	m.purge()
	m.measureTeams()
	m.logTeams()
	m.measureAdvice()
	m.checkRuns()
	m.planLateStarts()
	m.logUnstoredLateStarts()
	m.evictFromDraining()
	m.paceWorkers()
	m.planMachineOrders()
	for _, p := range m.pools {
		p.dirty = true
	}
}

// Wake returns the number of milliseconds within which [Model.Commands] must be called again.
func (m *Model) Wake() int64 {
	if m.commits.waiting() || m.placementPending {
		return commitWindowMs
	}
	return min(max(m.nextPollAt-m.now, 1), sweepIntervalMs)
}

// blind reports whether workers that this owner has not read may still run what a former owner started. The wait is over only for an
// owner that held the claim all the while: otherwise a successor may have taken these runs over and extended their leases.
func (m *Model) blind() bool { return m.soleOwnerUntil < m.blindUntil }

func (m *Model) emit(c Cmd) { m.cmds = append(m.cmds, c) }

func (m *Model) log(event, job string, fields ...any) {
	m.emit(LogCmd{Event: event, Job: job, Fields: fields})
}

// logError logs an event that an operator has to look at.
func (m *Model) logError(event, job string, fields ...any) {
	m.emit(LogCmd{Event: event, Error: true, Job: job, Fields: fields})
}

func (m *Model) pool(service string) *pool {
	p := m.pools[service]
	if p == nil {
		p = &pool{name: service, openJobs: map[string]*job{}}
		m.pools[service] = p
	}
	return p
}

func (m *Model) setServices(l []Service) {
	clear(m.services)
	for _, s := range l {
		m.services[s.Name] = s
		m.pool(s.Name).dirty = true
	}
}

// State is the state of a job as callers see it.
type State string

// The states of a job.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCanceled  State = "canceled"
	StateAbsent    State = ""
)

// Ready reports whether the former owner's records have been loaded.
func (m *Model) Ready() bool { return m.loaded }

// Workers returns the number of listed workers.
func (m *Model) Workers() int {
	n := 0
	for _, w := range m.workerList {
		if w.listed && !w.dead {
			n++
		}
	}
	return n
}

// State returns the state of a job, or [StateAbsent] if it was never accepted.
func (m *Model) State(id string) State {
	j := m.jobs[id]
	switch {
	case j == nil || j.phase == committing:
		return StateAbsent
	case j.shownState != StateAbsent:
		return j.shownState
	case j.started:
		return StateRunning
	}
	return StateQueued
}

// Pending returns the number of accepted jobs per queue of which no task has started.
func (m *Model) Pending() map[string]int {
	n := map[string]int{}
	for _, p := range m.pools {
		for _, j := range p.openJobs {
			if !j.started {
				n[j.Queue]++
			}
		}
	}
	return n
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
