package batch

import (
	"maps"
	"slices"
)

// Times in milliseconds.
const (
	workerLeaseMs    = 5_000 // lease at workers: outlives an owner's replacement, which takes about 3 s.
	startExpiryMs    = 2_500 // an unanswered start is not carried out later than this.
	maxPollWaitMs    = 2_000 // longest wait that workers take.
	pollRetryMs      = 300   // between calls to a worker that does not answer.
	callTimeoutMs    = 4_000 // a call takes 2.7 s at most; leases last a second longer than this.
	unsavedPollMs    = 250   // between looks while ends wait for the store.
	stopRetryMs      = 400   // between stops of one run.
	expirySlackMs    = 150   // added to a worker's lease before its runs count as lapsed.
	refusalBackoffMs = 300   // a worker that refused a start for want of room gets none for so long.
	acceptTimeoutMs  = 600   // a submission that the store certainly did not take for so long is refused.
	commitWindowMs   = 4     // writes of so long go into one transaction.
	commitRetryMs    = 60    // after a write that failed.
	sweepIntervalMs  = 50    // between two looks at what depends on time alone.
)

// minClockRate is the share of true time that the slowest allowed worker's clock counts.
const minClockRate = 0.98

// Limits of one transaction; the store takes 32 entries, one of which is the claim.
const (
	maxTxnEntries   = 31
	maxInFlightTxns = 4 // transactions
)

// Config is what a model is told when it begins.
type Config struct {
	Fence     int64 // of the owner's claim.
	Now       int64 // steady clock, ms.
	WallMs    int64 // Unix time at Now.
	LeaseMs   int64 // longest lease that workers grant.
	StatusMs  int64 // how long the state of an ended job can be asked for.
	DutyGapMs int64 // before orders to machines that another owner may have given orders to.
}

// Model is the owner's view of jobs and workers.
type Model struct {
	cfg            Config
	now            int64
	wallOffset     int64 // Unix time minus the steady clock.
	loaded         bool
	blindUntil     int64 // until then unreachable workers may run what a former owner started.
	claimFresh     bool  // the lease is certainly held.
	soleOwnerUntil int64 // until then this was the only owner: no other one had extended a lease.
	deferred       []Msg // messages that wait for the records of the former owner.

	services         map[string]Service
	pools            map[string]*pool
	workers          map[string]*worker
	workerList       []*worker // by id
	sweptAt          int64
	purgedAt         int64 // when ended jobs were last looked through.
	nextPollAt       int64 // when a worker is to be looked at next.
	placementPending bool  // a pool waits for its next placement.
	jobs             map[string]*job
	estimators       map[string]*estimator

	movesPlannedAt int64
	demandCounted  map[string]bool // ids of jobs whose work the demand has.
	commits        commits
	fleet          fleet
	cmds           []Cmd
}

// pool is the workers and the open jobs of one service.
type pool struct {
	name        string
	workers     []*worker // by id
	openJobs    map[string]*job
	readyStages []*stage // of the last placement.
	dirty       bool
	placedAt    int64   // when it was last placed.
	backlog     float64 // core-ms of accepted work that has not run.
	demand      demand
	counts      poolCounts
}

// New returns a model without workers or jobs.
func New(c Config) *Model {
	m := &Model{
		cfg: c, now: c.Now, wallOffset: c.WallMs - c.Now,
		services: map[string]Service{}, pools: map[string]*pool{}, workers: map[string]*worker{},
		jobs: map[string]*job{}, estimators: map[string]*estimator{}, demandCounted: map[string]bool{},
	}
	m.commits.start()
	m.fleet.start(c.Now + formerClaimMs)
	return m
}

// Update takes one message in at the steady time now; what follows from it is returned by Round.
func (m *Model) Update(now int64, msg Msg) {
	m.now = max(m.now, now)
	switch g := msg.(type) {
	case ServicesMsg:
		m.setServices(g.Services)
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
	case HeldMsg:
		m.pollAnswered(g)
	case StartedMsg:
		m.startAnswered(g)
	case StoppedMsg:
		m.stopAnswered(g)
	case CommittedMsg:
		m.committed(g)
	case LeaseMsg:
		m.claimFresh, m.soleOwnerUntil = g.Fresh, max(m.soleOwnerUntil, g.Checked)
	case WallMsg:
		m.wallOffset = g.UnixMs - m.now
	case PacedMsg:
		m.paceAnswered(g)
	case LostMsg:
		m.emit(DeposedCmd(g))
	case AdvisedMsg:
		m.adviceAnswered(g)
	case MachinesMsg:
		m.setMachines(g)
	case WaveMsg:
		m.setWave(g)
	case OrdersMsg:
		m.takeFormerOrders(g)
	case DutyDoneMsg:
		m.orderAnswered(g)
	}
}

// Round returns what is to be done after the messages so far; it is to be called again after Wake milliseconds at the latest.
func (m *Model) Round(now int64) []Cmd {
	m.now = max(m.now, now)
	if m.loaded {
		m.sweep()
		m.placeAll()
		m.flush()
	}
	m.pollWorkers()
	c := m.cmds
	m.cmds = nil
	return c
}

// sweep does what depends on time alone, not more often than needed.
func (m *Model) sweep() {
	if m.now-m.sweptAt < sweepIntervalMs {
		return
	}
	m.sweptAt = m.now
	m.openRounds()
	m.purge()
	m.checkRuns()
	m.evictFromDraining()
	m.paceWorkers()
	m.planMachineOrders()
	for _, p := range m.pools {
		p.dirty = true
	}
}

// Wake returns the milliseconds after which Round is to be called at the latest.
func (m *Model) Wake() int64 {
	if m.commits.waiting() || m.placementPending {
		return commitWindowMs
	}
	return min(max(m.nextPollAt-m.now, 1), sweepIntervalMs)
}

func (m *Model) emit(c Cmd) { m.cmds = append(m.cmds, c) }

func (m *Model) log(event, job string, fields ...any) {
	m.emit(LogCmd{Event: event, Job: job, Fields: fields})
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
	Queued    State = "queued"
	Underway  State = "running"
	Completed State = "completed"
	Broke     State = "failed"
	Canceled  State = "canceled"
	Absent    State = ""
)

// Ready reports whether the records of the former owner have been read.
func (m *Model) Ready() bool { return m.loaded }

// Workers returns the number of workers that are listed.
func (m *Model) Workers() int {
	n := 0
	for _, w := range m.workerList {
		if w.listed && !w.dead {
			n++
		}
	}
	return n
}

// State returns the state of a job, Absent when it was never accepted.
func (m *Model) State(id string) State {
	j := m.jobs[id]
	switch {
	case j == nil || j.phase == committing:
		return Absent
	case j.shownState != Absent:
		return j.shownState
	case j.started:
		return Underway
	}
	return Queued
}

// Pending returns for each queue the number of accepted jobs of which no task has started.
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
