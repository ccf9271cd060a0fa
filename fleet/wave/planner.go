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

	canaryRoom       = 4       // smaller budgets bound a bad wave as well by themselves, so canaries would only cost time.
	repeatMillis     = 2_000   // between repeats of an unanswered call or read.
	forgetMillis     = 600_000 // before a VM that is gone leaves the membership.
	entryGraceMillis = 60_000  // before an entry that was heard but never listed counts as gone.
	wishMillis       = 120_000 // before a move that found no room is forgotten.
	strayMillis      = 60_000  // after a planned stop during which a drain is taken for a late one of our own.
	outMillis        = 600_000 // after which a VM that the platform shows as leaving, but does not stop, is asked back.
	idleDrainMillis  = 30_000  // longest drain in a pool that serves nothing.
	idleRebootMillis = 600_000 // longest reboot in a pool that serves nothing.
)

// Planner decides for one data centre's leader; a new one is made for each term, and the documents tell it where to go on.
type Planner struct {
	dataCentre string
	now        int64
	limits     limits

	table   pool.Table
	shards  []*document
	floors  []int64 // highest number that each shard was known at.
	sent    []pool.Shard
	budgets map[string]*budgetDocument
	fresh   int64

	services map[string][]ServiceRule // by pool, sorted by name.
	waves    []Wave
	hosts    map[string]Host
	hostsAt  int64
	entries  []string // entries of the list that are not gone.
	heard    map[string]int64
	said     map[string]map[string]int64 // by VM, then entry: the version at which the VM was drained.
	draining map[string]sight
	dead     map[string]bool
	goneAt   map[string]int64
	unheard  []string

	moves    map[string]wish
	holds    map[string]hold
	called   map[string]int64
	rebooted map[string]int64
	assigned map[string]string
	queues   map[string][]task
	failing  map[string]bool
	finished map[stage]bool // waves that some VM of the pool here has finished.

	newcomers []string      // listed VMs that the membership lacks.
	strays    []string      // serving VMs that a late drain of ours may have reached.
	astray    []pool.Member // serving VMs that the platform holds in another pool.
}

// limits are the constants that options change.
type limits struct {
	maxAge, listLag             int64
	wreckLimit, idleOut, canary int
}

// sight is when the planner first saw that a planned stop drains, and at which version.
type sight struct{ seq, at, number int64 }

// stage is a wave's part in one pool.
type stage struct{ wave, pool string }

// wish is a move that was asked for.
type wish struct {
	Move
	at int64
}

// hold keeps a VM whose drain did not end from being taken again at once.
type hold struct{ until, wait int64 }

// New returns a planner for the data centre that has read nothing yet; count is the number of membership shards.
func New(dataCentre string, count int, opts ...Option) *Planner {
	p := &Planner{
		dataCentre: dataCentre,
		limits: limits{
			maxAge: DefaultMaxAge, listLag: DefaultListLag,
			wreckLimit: DefaultWreckLimit, idleOut: DefaultIdleOut, canary: DefaultCanary,
		},
		table: pool.NewTable(count), shards: make([]*document, count),
		floors: make([]int64, count), sent: make([]pool.Shard, count),
		budgets: map[string]*budgetDocument{}, services: map[string][]ServiceRule{},
		hosts: map[string]Host{}, heard: map[string]int64{},
		said: map[string]map[string]int64{}, draining: map[string]sight{},
		dead: map[string]bool{}, goneAt: map[string]int64{},
		moves: map[string]wish{}, holds: map[string]hold{}, called: map[string]int64{},
		rebooted: map[string]int64{}, assigned: map[string]string{},
		queues: map[string][]task{}, failing: map[string]bool{}, finished: map[stage]bool{},
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
func WithWreckLimit(n int) Option { return func(p *Planner) { p.limits.wreckLimit = n } }

// WithIdleOut sets how many VMs of a pool that serves nothing may be out at once for maintenance.
func WithIdleOut(n int) Option { return func(p *Planner) { p.limits.idleOut = n } }

// WithCanary sets how many VMs of a service a wave may take in a data centre before one of the wave has come back; 0
// means no such bound. Budgets of fewer than four VMs have none.
func WithCanary(n int) Option { return func(p *Planner) { p.limits.canary = n } }

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
	if p.take(msg) {
		p.survey()
	}
	var l []Cmd
	l = append(l, p.reads()...)
	l = append(l, p.writeBudgets()...)
	l = append(l, p.writeShards()...)
	return append(l, p.calls()...)
}

// take notes the message and tells whether the whole fleet must be looked over again.
func (p *Planner) take(msg Msg) bool {
	switch m := msg.(type) {
	case TickMsg:
		p.pass(m.At)
		p.forget()
		return true
	case PolicyMsg:
		p.pass(m.At)
		p.takePolicy(m)
		return true
	case ShardMsg:
		p.pass(m.At)
		return p.takeShard(m)
	case BudgetMsg:
		p.pass(m.At)
		p.takeBudget(m)
	case FreshMsg:
		p.pass(m.At)
		p.fresh = max(p.fresh, m.At)
	case HostsMsg:
		p.pass(m.At)
		p.takeHosts(m)
	case HeardMsg:
		p.pass(m.At)
		p.takeHeard(m)
	case WroteShardMsg:
		p.pass(m.At)
		p.wroteShard(m)
	case WroteBudgetMsg:
		p.pass(m.At)
		p.wroteBudget(m)
	default:
		return p.takeWord(msg)
	}
	return false
}

// takeWord notes the short messages.
func (p *Planner) takeWord(msg Msg) bool {
	switch m := msg.(type) {
	case FailedMsg:
		p.pass(m.At)
		was := p.dead[m.VM]
		p.dead[m.VM] = true
		return !was
	case RecoveredMsg:
		p.pass(m.At)
		was := p.dead[m.VM]
		delete(p.dead, m.VM)
		return was
	case UnheardMsg:
		p.pass(m.At)
		p.unheard = slices.Clone(m.DataCentres)
	case MoveMsg:
		p.pass(m.At)
		for _, v := range m.Moves {
			p.moves[v.VM] = wish{Move: v, at: m.At}
		}
		return true
	case RebootedMsg:
		p.pass(m.At)
		p.rebooted[m.Op] = m.At
	case AssignedMsg:
		p.pass(m.At)
		p.assigned[m.VM] = m.Pool
	}
	return false
}

func (p *Planner) pass(at int64) { p.now = max(p.now, at) }

func (p *Planner) takePolicy(m PolicyMsg) {
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

// forget lets go of what is too old to matter.
func (p *Planner) forget() {
	for k, at := range p.called {
		if p.now-at > forgetMillis {
			delete(p.called, k)
		}
	}
	for vm, s := range p.draining {
		if m, ok := p.table.Find(vm); !ok || m.Seq != s.seq {
			delete(p.draining, vm)
			delete(p.said, vm)
		}
	}
	for op, at := range p.rebooted {
		if p.now-at > 2*forgetMillis {
			delete(p.rebooted, op)
		}
	}
}
