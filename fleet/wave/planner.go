package wave

import (
	"slices"
	"strings"

	"burdockreach.dev/fleet/pool"
)

const (
	// DefaultMaxAge is the age in milliseconds above which no planned stop starts from a host list or document.
	DefaultMaxAge = 10_000
	// DefaultListLag is the time in milliseconds by which the platform's host list may lag behind a change.
	DefaultListLag = 1_000
	// DefaultFailureLimit is the number of VMs that do not come back from a wave's reboot at which the wave stops.
	DefaultFailureLimit = 2
	// DefaultCanaryVMs is the number of VMs of a pool that a wave may reserve in a data centre until the first has finished.
	DefaultCanaryVMs = 1
	// DefaultMaxIdleOut is the number of VMs of an idle pool, one without services, that may be out at once for a wave.
	DefaultMaxIdleOut = 4

	minCanaryBudget      = 4       // smaller budgets limit a bad wave as well by themselves, so canaries would only cost time.
	retryMillis          = 2_000   // interval between repeats of an unanswered call or read.
	retentionMillis      = 600_000 // time after which a VM that is gone leaves the membership; also the longest backoff.
	entryGraceMillis     = 60_000  // time after its last report at which an unlisted entry counts as gone.
	moveTimeoutMillis    = 120_000 // time after which a move that has not started is dropped.
	lateDrainMillis      = 60_000  // time after a wave's stop in which a drain counts as a late call of this planner.
	leavingTimeoutMillis = 600_000 // time after which a VM that is shown as leaving, but does not stop, is undrained.
	idleDrainMillis      = 30_000  // drain timeout in an idle pool.
	idleRebootMillis     = 600_000 // reboot timeout in an idle pool.
)

// Planner plans the maintenance and moves of one data centre for its leader. Each term of the leader has a new planner,
// which continues from the documents in the store. All times are in Unix milliseconds.
type Planner struct {
	dataCentre string
	now        int64
	limits     limits

	table       pool.Table
	shards      []*document
	minVersions []int64      // highest version seen of each shard.
	sentShards  []pool.Shard // content of the last write of each shard.
	budgets     map[string]*budgetDocument
	allFreshAt  int64 // last time at which all known documents were the newest.

	services        map[string][]ServicePolicy // by pool, sorted by name.
	waves           []Wave
	hosts           map[string]Host             // the platform's host list, by name.
	listedAt        int64                       // request time of the host list; 0 before the first.
	entries         []string                    // entries of the host list that are not gone.
	reportedAt      map[string]int64            // by entry: time of its last report.
	drainedVersions map[string]map[string]int64 // by VM, then entry: shard version at which nothing was in flight to the VM.
	drainStarts     map[string]drainStart       // by VM.
	reportedDead    map[string]bool             // VMs that the entries find dead.
	goneSince       map[string]int64            // by VM: when a scan first found it gone.
	unreachable     []string                    // other data centres that cannot be reached.

	moveRequests     map[string]moveRequest  // by VM.
	backoffs         map[string]backoff      // by VM.
	calledAt         map[string]int64        // by call: when it was last made.
	rebootAcceptedAt map[string]int64        // by op: when the platform accepted the reboot.
	assignedPools    map[string]string       // by VM: the pool that the platform has put it into.
	queues           map[string][]queuedStop // by pool.
	failing          map[string]bool         // serving members that are dead or that the platform is about to stop.
	canaryPassed     map[wavePool]bool       // set once a VM of the pool in this data centre has finished the wave.

	newHosts    []string      // VMs of the host list that the membership lacks.
	lateDrains  []string      // serving VMs that a late drain call of this planner may have reached.
	misassigned []pool.Member // serving VMs that the platform has in another pool.
}

// limits holds the settings that options change; times are in milliseconds.
type limits struct {
	maxAge, listLag                     int64
	failureLimit, maxIdleOut, canaryVMs int
}

// drainStart records when the planner first saw the drain of the VM's stop number seq, and at which shard version.
type drainStart struct{ seq, seenAt, version int64 }

// wavePool identifies the part of a wave in one pool.
type wavePool struct{ wave, pool string }

// moveRequest is a requested move that has not ended.
type moveRequest struct {
	Move
	requestedAt int64
}

// backoff delays the next stop of a VM whose drain timed out: none starts before until.
type backoff struct{ until, waitMillis int64 }

// New returns a planner for the data centre that has read no documents yet; count is the number of membership shards.
func New(dataCentre string, count int, opts ...Option) *Planner {
	p := &Planner{
		dataCentre: dataCentre,
		limits: limits{
			maxAge: DefaultMaxAge, listLag: DefaultListLag,
			failureLimit: DefaultFailureLimit, maxIdleOut: DefaultMaxIdleOut, canaryVMs: DefaultCanaryVMs,
		},
		table: pool.NewTable(count), shards: make([]*document, count),
		minVersions: make([]int64, count), sentShards: make([]pool.Shard, count),
		budgets: map[string]*budgetDocument{}, services: map[string][]ServicePolicy{},
		hosts: map[string]Host{}, reportedAt: map[string]int64{},
		drainedVersions: map[string]map[string]int64{}, drainStarts: map[string]drainStart{},
		reportedDead: map[string]bool{}, goneSince: map[string]int64{},
		moveRequests: map[string]moveRequest{}, backoffs: map[string]backoff{}, calledAt: map[string]int64{},
		rebootAcceptedAt: map[string]int64{}, assignedPools: map[string]string{},
		queues: map[string][]queuedStop{}, failing: map[string]bool{}, canaryPassed: map[wavePool]bool{},
	}
	for i := range p.shards {
		p.shards[i] = newDocument()
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Option changes a default setting of a planner.
type Option func(*Planner)

// WithMaxAge sets the age in milliseconds above which no planned stop starts from a host list or document.
func WithMaxAge(millis int64) Option { return func(p *Planner) { p.limits.maxAge = millis } }

// WithListLag sets the time in milliseconds by which the platform's host list may lag behind a change.
func WithListLag(millis int64) Option { return func(p *Planner) { p.limits.listLag = millis } }

// WithFailureLimit sets the number of VMs that do not come back from a wave's reboot at which the wave stops.
func WithFailureLimit(n int) Option { return func(p *Planner) { p.limits.failureLimit = n } }

// WithMaxIdleOut sets the number of VMs of an idle pool, one without services, that may be out at once for a wave.
func WithMaxIdleOut(n int) Option { return func(p *Planner) { p.limits.maxIdleOut = n } }

// WithCanaryVMs sets the number of VMs of a pool that a wave may reserve in a data centre until the first has finished; 0
// means no limit. Budgets of fewer than four VMs have no such limit.
func WithCanaryVMs(n int) Option { return func(p *Planner) { p.limits.canaryVMs = n } }

// Table returns the newest membership that the planner knows to be in the store.
func (p *Planner) Table() pool.Table { return p.table }

// Budget returns the newest budget of the service that the planner knows to be in the store.
func (p *Planner) Budget(service string) Budget {
	if d := p.budgets[service]; d != nil {
		return d.budget
	}
	return Budget{}
}

// Update handles one message and returns the commands to perform.
func (p *Planner) Update(msg Msg) []Cmd {
	if p.handle(msg) {
		p.scan()
	}
	var l []Cmd
	l = append(l, p.readCommands()...)
	l = append(l, p.writeBudgets()...)
	l = append(l, p.writeShards()...)
	return append(l, p.platformCalls()...)
}

// handle updates the state from the message and reports whether the fleet must be scanned again.
func (p *Planner) handle(msg Msg) bool {
	switch m := msg.(type) {
	case TickMsg:
		p.advanceClock(m.At)
		p.pruneExpired()
		return true
	case PolicyMsg:
		p.advanceClock(m.At)
		p.handlePolicy(m)
		return true
	case ShardMsg:
		p.advanceClock(m.At)
		return p.handleShard(m)
	case BudgetMsg:
		p.advanceClock(m.At)
		p.handleBudget(m)
	case DocumentsFreshMsg:
		p.advanceClock(m.At)
		p.allFreshAt = max(p.allFreshAt, m.At)
	case HostsMsg:
		p.advanceClock(m.At)
		p.handleHosts(m)
	case EntryReportMsg:
		p.advanceClock(m.At)
		p.handleEntryReport(m)
	case ShardWrittenMsg:
		p.advanceClock(m.At)
		p.handleShardWritten(m)
	case BudgetWrittenMsg:
		p.advanceClock(m.At)
		p.handleBudgetWritten(m)
	default:
		return p.handleEvent(msg)
	}
	return false
}

// handleEvent handles the messages that change a single VM, list or request.
func (p *Planner) handleEvent(msg Msg) bool {
	switch m := msg.(type) {
	case FailedMsg:
		p.advanceClock(m.At)
		was := p.reportedDead[m.VM]
		p.reportedDead[m.VM] = true
		return !was
	case RecoveredMsg:
		p.advanceClock(m.At)
		was := p.reportedDead[m.VM]
		delete(p.reportedDead, m.VM)
		return was
	case UnreachableMsg:
		p.advanceClock(m.At)
		p.unreachable = slices.Clone(m.DataCentres)
	case MoveMsg:
		p.advanceClock(m.At)
		for _, v := range m.Moves {
			p.moveRequests[v.VM] = moveRequest{Move: v, requestedAt: m.At}
		}
		return true
	case RebootedMsg:
		p.advanceClock(m.At)
		p.rebootAcceptedAt[m.Op] = m.At
	case AssignedMsg:
		p.advanceClock(m.At)
		p.assignedPools[m.VM] = m.Pool
	}
	return false
}

// advanceClock sets the planner's time to that of the message; time never goes back.
func (p *Planner) advanceClock(at int64) { p.now = max(p.now, at) }

// handlePolicy replaces services and waves, and adds a document for each new service's budget.
func (p *Planner) handlePolicy(m PolicyMsg) {
	p.waves = slices.Clone(m.Waves)
	p.services = map[string][]ServicePolicy{}
	for _, s := range m.Services {
		p.services[s.Pool] = append(p.services[s.Pool], s)
		if p.budgets[s.Name] == nil {
			p.budgets[s.Name] = &budgetDocument{document: newDocument()}
		}
	}
	for _, l := range p.services {
		slices.SortFunc(l, func(a, b ServicePolicy) int { return strings.Compare(a.Name, b.Name) })
	}
}

// pruneExpired removes old call times and reboots, and the records of drains that have ended.
func (p *Planner) pruneExpired() {
	for k, at := range p.calledAt {
		if p.now-at > retentionMillis {
			delete(p.calledAt, k)
		}
	}
	for vm, s := range p.drainStarts {
		if m, ok := p.table.Find(vm); !ok || m.EndedStops != s.seq {
			delete(p.drainStarts, vm)
			delete(p.drainedVersions, vm)
		}
	}
	for op, at := range p.rebootAcceptedAt {
		if p.now-at > 2*retentionMillis {
			delete(p.rebootAcceptedAt, op)
		}
	}
}
