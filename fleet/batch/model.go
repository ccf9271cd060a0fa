package batch

import (
	"maps"
	"slices"
)

// Times in milliseconds.
const (
	leaseMs       = 5_000 // lease at workers: outlives an owner's replacement, which takes about 3 s.
	startLeaseMs  = 2_500 // an unanswered start is not carried out later than this.
	holdWaitMs    = 2_000 // longest wait that workers take.
	holdRetryMs   = 300   // between calls to a worker that does not answer.
	overdueMs     = 4_000 // a call takes 2.7 s at most; leases last a second longer than this.
	endRetryMs    = 250   // between looks while ends wait for the store.
	stopRetryMs   = 400   // between stops of one run.
	lapseSlackMs  = 150   // added to a worker's lease before its runs count as lapsed.
	noRoomMs      = 300   // a worker that refused a start for want of room gets none for so long.
	refusalMs     = 600   // a submission that the store certainly did not take for so long is refused.
	commitWaitMs  = 4     // writes of so long go into one transaction.
	commitRetryMs = 60    // after a write that failed.
	sweepMs       = 50    // between two looks at what depends on time alone.
)

// slowClock is the share of true time that the slowest allowed worker's clock counts.
const slowClock = 0.98

// Limits of one transaction; the store takes 32 entries, one of which is the claim.
const (
	txnEntries  = 31
	maxInFlight = 4 // transactions
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
	cfg     Config
	now     int64
	wall    int64 // Unix time minus the steady clock.
	loaded  bool
	blind   int64 // until then unreachable workers may run what a former owner started.
	fresh   bool  // the lease is certainly held.
	checked int64 // until then this was the only owner: no other one had extended a lease.
	early   []Msg // messages that wait for the records of the former owner.

	services map[string]Service
	pools    map[string]*pool
	workers  map[string]*worker
	list     []*worker // by id
	swept    int64
	purged   int64 // when ended jobs were last looked through.
	nextHold int64 // when a worker is to be looked at next.
	unplaced bool  // a pool waits for its next placement.
	jobs     map[string]*job
	queues   map[string]*queue

	movedAt int64
	asked   map[string]bool // ids of jobs whose work the demand has.
	commits commits
	duty    duty
	cmds    []Cmd
}

// pool is the workers and the open jobs of one service.
type pool struct {
	name    string
	workers []*worker // by id
	open    map[string]*job
	ready   []*stage // of the last placement.
	dirty   bool
	placed  int64   // when it was last placed.
	backlog float64 // core-ms of accepted work that has not run.
	demand  demand
	tally   tally
}

// New returns a model without workers or jobs.
func New(c Config) *Model {
	m := &Model{
		cfg: c, now: c.Now, wall: c.WallMs - c.Now,
		services: map[string]Service{}, pools: map[string]*pool{}, workers: map[string]*worker{},
		jobs: map[string]*job{}, queues: map[string]*queue{}, asked: map[string]bool{},
	}
	m.commits.start()
	m.duty.start(c.Now + claimEndMs)
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
		m.load(g)
	case BlindMsg:
		m.blind = min(m.blind, m.now+g.ForMs)
	case SubmitMsg:
		m.submit(g)
	case CancelMsg:
		m.cancel(g)
	case HeldMsg:
		m.held(g)
	case StartedMsg:
		m.startAnswered(g)
	case StoppedMsg:
		m.stopAnswered(g)
	case CommittedMsg:
		m.committed(g)
	case LeaseMsg:
		m.fresh, m.checked = g.Fresh, max(m.checked, g.Checked)
	case WallMsg:
		m.wall = g.UnixMs - m.now
	case PacedMsg:
		m.paced(g)
	case LostMsg:
		m.do(DeposedCmd(g))
	case AdvisedMsg:
		m.advised(g)
	case MachinesMsg:
		m.setMachines(g)
	case WaveMsg:
		m.setWave(g)
	case OrdersMsg:
		m.formerOrders(g)
	case DutyDoneMsg:
		m.dutyDone(g)
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
	m.holdWorkers()
	c := m.cmds
	m.cmds = nil
	return c
}

// sweep does what depends on time alone, not more often than needed.
func (m *Model) sweep() {
	if m.now-m.swept < sweepMs {
		return
	}
	m.swept = m.now
	m.openRounds()
	m.purge()
	m.watchWorkers()
	m.leaveDraining()
	m.paceWorkers()
	m.planDuties()
	for _, p := range m.pools {
		p.dirty = true
	}
}

// Wake returns the milliseconds after which Round is to be called at the latest.
func (m *Model) Wake() int64 {
	if m.commits.waiting() || m.unplaced {
		return commitWaitMs
	}
	return min(max(m.nextHold-m.now, 1), sweepMs)
}

func (m *Model) do(c Cmd) { m.cmds = append(m.cmds, c) }

func (m *Model) log(event, job string, fields ...any) {
	m.do(LogCmd{Event: event, Job: job, Fields: fields})
}

func (m *Model) pool(service string) *pool {
	p := m.pools[service]
	if p == nil {
		p = &pool{name: service, open: map[string]*job{}}
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
	for _, w := range m.list {
		if w.listed && !w.over {
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
	case j.shown != Absent:
		return j.shown
	case j.started:
		return Underway
	}
	return Queued
}

// Pending returns for each queue the number of accepted jobs of which no task has started.
func (m *Model) Pending() map[string]int {
	n := map[string]int{}
	for _, p := range m.pools {
		for _, j := range p.open {
			if !j.started {
				n[j.Queue]++
			}
		}
	}
	return n
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
