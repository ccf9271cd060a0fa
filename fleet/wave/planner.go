package wave

import (
	"slices"
	"strings"

	"burdockreach.dev/fleet/pool"
)

const (
	// DefaultMaxAge is the age in milliseconds above which a list or document starts no planned stop.
	DefaultMaxAge = 10_000
	// DefaultListLag is the time in milliseconds by which the platform's list may trail a change.
	DefaultListLag = 1_000
	// DefaultWreckLimit is how many VMs of a wave may fail to come back before the wave stops itself.
	DefaultWreckLimit = 2
	// DefaultCanary is how many VMs of a service a wave may take in a data centre before one of the wave has come back.
	DefaultCanary = 1
	// DefaultIdleOut is how many VMs of a pool that serves nothing may be out at once for maintenance.
	DefaultIdleOut = 4

	minCanaryBudget      = 4       // smaller budgets bound a bad wave as well by themselves, so canaries would only cost time.
	retryMillis          = 2_000   // between repeats of an unanswered call or read.
	retentionMillis      = 600_000 // before a VM that is gone leaves the membership.
	entryGraceMillis     = 60_000  // before an entry that was heard but never listed counts as gone.
	moveTimeoutMillis    = 120_000 // before a move that found no room is forgotten.
	lateDrainMillis      = 60_000  // after a planned stop during which a drain is taken for a late one of our own.
	leavingTimeoutMillis = 600_000 // after which a VM that the platform shows as leaving, but does not stop, is asked back.
	idleDrainMillis      = 30_000  // longest drain in a pool that serves nothing.
	idleRebootMillis     = 600_000 // longest reboot in a pool that serves nothing.
)

// Planner decides for one data centre's leader; a new one is made for each term, and the documents tell it where to go on.
type Planner struct {
	dataCentre string
	now        int64
	limits     limits

	table       pool.Table
	shards      []*document
	minVersions []int64 // highest number that each shard was known at.
	sentShards  []pool.Shard
	budgets     map[string]*budgetDocument
	allFreshAt  int64

	services        map[string][]ServiceRule // by pool, sorted by name.
	waves           []Wave
	hosts           map[string]Host
	listedAt        int64
	entries         []string // entries of the list that are not gone.
	reportedAt      map[string]int64
	drainedVersions map[string]map[string]int64 // by VM, then entry: the version at which the VM was drained.
	drainStarts     map[string]drainStart
	reportedDead    map[string]bool
	goneSince       map[string]int64
	unreachable     []string

	moveRequests     map[string]moveRequest
	backoffs         map[string]backoff
	calledAt         map[string]int64
	rebootAcceptedAt map[string]int64
	assignedPools    map[string]string
	queues           map[string][]queuedStop
	failing          map[string]bool
	canaryPassed     map[wavePool]bool // waves that some VM of the pool here has finished.

	newHosts    []string      // listed VMs that the membership lacks.
	lateDrains  []string      // serving VMs that a late drain of ours may have reached.
	misassigned []pool.Member // serving VMs that the platform holds in another pool.
}

// limits are the constants that options change.
type limits struct {
	maxAge, listLag                     int64
	failureLimit, maxIdleOut, canaryVMs int
}

// drainStart is when the planner first saw that a planned stop drains, and at which version.
type drainStart struct{ seq, seenAt, version int64 }

// wavePool is a wave's part in one pool.
type wavePool struct{ wave, pool string }

// moveRequest is a move that was asked for.
type moveRequest struct {
	Move
	requestedAt int64
}

// backoff keeps a VM whose drain did not end from being taken again at once.
type backoff struct{ until, waitMillis int64 }

// New returns a planner for the data centre that has read nothing yet; count is the number of membership shards.
func New(dataCentre string, count int, opts ...Option) *Planner {
	p := &Planner{
		dataCentre: dataCentre,
		limits: limits{
			maxAge: DefaultMaxAge, listLag: DefaultListLag,
			failureLimit: DefaultWreckLimit, maxIdleOut: DefaultIdleOut, canaryVMs: DefaultCanary,
		},
		table: pool.NewTable(count), shards: make([]*document, count),
		minVersions: make([]int64, count), sentShards: make([]pool.Shard, count),
		budgets: map[string]*budgetDocument{}, services: map[string][]ServiceRule{},
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

// Option changes a planner's constants.
type Option func(*Planner)

// WithMaxAge sets the age in milliseconds above which a list or document starts no planned stop.
func WithMaxAge(millis int64) Option { return func(p *Planner) { p.limits.maxAge = millis } }

// WithListLag sets the time in milliseconds by which the platform's list may trail a change.
func WithListLag(millis int64) Option { return func(p *Planner) { p.limits.listLag = millis } }

// WithWreckLimit sets how many VMs of a wave may fail to come back before the wave stops itself.
func WithWreckLimit(n int) Option { return func(p *Planner) { p.limits.failureLimit = n } }

// WithIdleOut sets how many VMs of a pool that serves nothing may be out at once for maintenance.
func WithIdleOut(n int) Option { return func(p *Planner) { p.limits.maxIdleOut = n } }

// WithCanary sets how many VMs of a service a wave may take in a data centre before one of the wave has come back; 0
// means no such bound. Budgets of fewer than four VMs have none.
func WithCanary(n int) Option { return func(p *Planner) { p.limits.canaryVMs = n } }

// Table returns the membership as the planner knows it to be written.
func (p *Planner) Table() pool.Table { return p.table }

// Budget returns the service's budget as the planner knows it to be written.
func (p *Planner) Budget(service string) Budget {
	if d := p.budgets[service]; d != nil {
		return d.budget
	}
	return Budget{}
}

// Update takes one message in and returns what is to be done.
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

// handle notes the message and tells whether the whole fleet must be looked over again.
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
	case FreshMsg:
		p.advanceClock(m.At)
		p.allFreshAt = max(p.allFreshAt, m.At)
	case HostsMsg:
		p.advanceClock(m.At)
		p.handleHosts(m)
	case HeardMsg:
		p.advanceClock(m.At)
		p.handleEntryReport(m)
	case WroteShardMsg:
		p.advanceClock(m.At)
		p.handleShardWritten(m)
	case WroteBudgetMsg:
		p.advanceClock(m.At)
		p.handleBudgetWritten(m)
	default:
		return p.handleEvent(msg)
	}
	return false
}

// handleEvent notes the short messages.
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
	case UnheardMsg:
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

func (p *Planner) advanceClock(at int64) { p.now = max(p.now, at) }

func (p *Planner) handlePolicy(m PolicyMsg) {
	p.waves = slices.Clone(m.Waves)
	p.services = map[string][]ServiceRule{}
	for _, s := range m.Services {
		p.services[s.Pool] = append(p.services[s.Pool], s)
		if p.budgets[s.Name] == nil {
			p.budgets[s.Name] = &budgetDocument{document: newDocument()}
		}
	}
	for _, l := range p.services {
		slices.SortFunc(l, func(a, b ServiceRule) int { return strings.Compare(a.Name, b.Name) })
	}
}

// pruneExpired lets go of what is too old to matter.
func (p *Planner) pruneExpired() {
	for k, at := range p.calledAt {
		if p.now-at > retentionMillis {
			delete(p.calledAt, k)
		}
	}
	for vm, s := range p.drainStarts {
		if m, ok := p.table.Find(vm); !ok || m.Seq != s.seq {
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
