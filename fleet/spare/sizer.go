package spare

import (
	"cmp"
	"math"
	"slices"
	"strings"
)

const (
	// DefaultReady is the time in milliseconds from a move's start until the VM serves its new pool.
	DefaultReady = 30_000
	// DefaultPatience is how long in milliseconds a pool may be short of its target without being overloaded.
	DefaultPatience = 600_000

	meanDecayMillis       = 180_000   // time constant of the mean demand.
	burstDecayMillis      = 3_600_000 // time constant by which the longest burst is forgotten.
	maxBurstMillis        = 600_000   // longest overload that counts as a burst.
	hourMillis            = 3_600_000
	overloadConfirmMillis = 60_000  // time for which the mean must exceed an overload bound.
	donorIdleMillis       = 600_000 // time for which a pool must have had idle VMs before another may take one.
	raiseMargin           = 0.1     // of the need's capacity by which the mean must exceed it to raise the need.
	lowerMargin           = 0.15    // of a smaller need's capacity by which the mean must stay under it to lower the need.
)

// Sizer holds what was learned of each pool's demand.
type Sizer struct {
	readyMillis, patienceMillis int64
	rules                       []Rule
	ruleByPool                  map[string]Rule
	vms                         []VM
	pools                       map[string]*poolState
	layout                      *layout
	pendingMoves                map[string]pendingMove // the last moves, by VM, which may not show in the fleet yet.
	worstLoss                   rackLoss
}

// pendingMove is a move that was asked for.
type pendingMove struct {
	requestedMillis int64
	to              string
}

// poolState is what was learned of one pool.
type poolState struct {
	updatedMillis     int64
	meanSlots         float64 // slots asked for, averaged.
	busySlotMillis    float64 // slot milliseconds spent, averaged.
	answered          float64 // requests answered, averaged.
	overloadSince     int64   // since when demand has exceeded what the pool can run; 0 if it does not.
	overloadFloor     float64 // least demand since then.
	burstMillis       float64 // longest overload that ended, in milliseconds, slowly forgotten.
	shortSince        int64   // since when the pool has been short of its need; 0 if it is not.
	meanOverloadSince int64   // since when the mean has overloaded the pool; 0 if it does not.
	idleSince         int64   // since when the pool has had more than it needs; 0 if it has not.
	need              int
}

// Option changes a sizer's constants.
type Option func(*Sizer)

// WithReady sets the time in milliseconds from a move's start until the VM serves its new pool.
func WithReady(millis int64) Option { return func(s *Sizer) { s.readyMillis = millis } }

// WithPatience sets how long in milliseconds a pool may be short of its target without being overloaded.
func WithPatience(millis int64) Option { return func(s *Sizer) { s.patienceMillis = millis } }

// New returns a sizer that has learned nothing yet.
func New(opts ...Option) *Sizer {
	s := &Sizer{
		readyMillis: DefaultReady, patienceMillis: DefaultPatience,
		pools: map[string]*poolState{}, layout: newLayout(nil), pendingMoves: map[string]pendingMove{},
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Need returns how many VMs the pool needs here, as of the last tick.
func (s *Sizer) Need(pool string) int {
	if p := s.pools[pool]; p != nil {
		return p.need
	}
	return 0
}

// Held returns how many spare VMs must be held back to refill the pools after the worst loss of racks that their profiles name.
func (s *Sizer) Held() int {
	lost, _ := s.worstRackLoss()
	return lost
}

// Update takes one message in and returns the moves that pay.
func (s *Sizer) Update(msg Msg) []Cmd {
	switch m := msg.(type) {
	case RulesMsg:
		s.rules, s.ruleByPool, s.worstLoss.valid = slices.Clone(m.Rules), map[string]Rule{}, false
		for _, r := range m.Rules {
			s.ruleByPool[r.Pool] = r
		}
		slices.SortFunc(s.rules, func(a, b Rule) int { return strings.Compare(a.Pool, b.Pool) })
	case FleetMsg:
		s.vms = slices.Clone(m.VMs)
		s.rebuildLayout()
	case TickMsg:
		return s.tick(m)
	}
	return nil
}

// rebuildLayout counts the VMs by pool and rack, those whose move was asked for as where they go.
func (s *Sizer) rebuildLayout() {
	s.layout = newLayout(s.vms)
	s.worstLoss.valid = false
	for _, v := range s.vms {
		if a, ok := s.pendingMoves[v.Name]; ok && v.Pool != a.to && !v.Failed {
			s.layout.reassign(v, a.to)
		}
	}
}

// expirePendingMoves lets go of moves that are long made, or were not made.
func (s *Sizer) expirePendingMoves(at int64) {
	n := len(s.pendingMoves)
	for vm, a := range s.pendingMoves {
		if at-a.requestedMillis > 4*s.readyMillis {
			delete(s.pendingMoves, vm)
		}
	}
	if len(s.pendingMoves) < n {
		s.rebuildLayout()
	}
}

func (s *Sizer) tick(m TickMsg) []Cmd {
	s.expirePendingMoves(m.At)
	for _, r := range s.rules {
		if r.Spare {
			continue
		}
		p := s.pools[r.Pool]
		if p == nil {
			p = &poolState{updatedMillis: m.At}
			s.pools[r.Pool] = p
		}
		p.observe(r, m.Demand[r.Pool], s.layout.serving(r.Pool), m.At)
		need := p.need
		p.updateNeed(r, s.readyMillis, m.At)
		s.worstLoss.valid = s.worstLoss.valid && need == p.need
		p.updateShortage(r, s.layout.count(r.Pool), m.At)
	}
	return s.moves(m.At)
}

// observe takes one tick's demand in; n is the number of VMs that serve the pool.
func (p *poolState) observe(r Rule, d Demand, n int, at int64) {
	dt := float64(max(at-p.updatedMillis, 0))
	x := p.offeredSlots(d, dt)
	p.meanSlots += (x - p.meanSlots) * (1 - math.Exp(-dt/meanDecayMillis))
	p.burstMillis *= math.Exp(-dt / burstDecayMillis)
	p.updatedMillis = at
	if x <= float64(n*r.Slots) {
		if l := float64(at - p.overloadSince); p.overloadSince > 0 && l < maxBurstMillis {
			p.burstMillis = max(p.burstMillis, l)
		}
		p.overloadSince = 0
		return
	}
	if p.overloadSince == 0 {
		p.overloadSince, p.overloadFloor = at, x
	}
	p.overloadFloor = min(p.overloadFloor, x)
}

// offeredSlots returns the slots that the requests which came would keep busy: their rate times the mean time that an
// answered one held its slot, so that a request which waits or was turned away counts once.
func (p *poolState) offeredSlots(d Demand, dt float64) float64 {
	k := 1 - math.Exp(-dt/meanDecayMillis)
	p.busySlotMillis += (d.Busy*dt - p.busySlotMillis) * k
	p.answered += (d.Done - p.answered) * k
	if p.answered <= 0 || dt <= 0 {
		return d.Busy + d.Queued
	}
	return d.Arrivals / dt * p.busySlotMillis / p.answered
}

// updateNeed derives the need from the demand that lasts; it keeps the last need while the mean is near its bounds.
func (p *poolState) updateNeed(r Rule, ready, at int64) {
	one := float64(r.Slots) * targetUse(r)
	if p.overloadLasts(ready, at) {
		p.meanSlots = max(p.meanSlots, p.overloadFloor)
	}
	x := p.meanSlots
	up, down := vmsFor(x/(1+raiseMargin), one), vmsFor(x/(1-lowerMargin), one)
	p.need = max(min(max(p.need, up), down), r.MinVMs, 1)
	if r.MaxVMs > 0 {
		p.need = min(p.need, r.MaxVMs)
	}
}

// vmsFor returns how many VMs run x slots if each is to run one.
func vmsFor(x, one float64) int { return int(math.Ceil(x/one - 1e-9)) }

// overloadLasts tells whether the running overload has outlived the time a VM needs and the bursts seen before.
func (p *poolState) overloadLasts(ready, at int64) bool {
	return p.overloadSince > 0 && float64(at-p.overloadSince) >= max(float64(ready), 2*p.burstMillis)
}

func targetUse(r Rule) float64 {
	if r.TargetUse <= 0 || r.TargetUse > 1 {
		return 1
	}
	return r.TargetUse
}

// updateShortage notes since when the pool has had too few or too many VMs.
func (p *poolState) updateShortage(r Rule, have int, at int64) {
	p.shortSince = updateSince(p.shortSince, have < p.need, at)
	p.idleSince = updateSince(p.idleSince, have > p.need, at)
	bound := float64(have*r.Slots) * (1 + targetUse(r)) / 2
	p.meanOverloadSince = updateSince(p.meanOverloadSince, p.meanSlots > bound, at)
}

func updateSince(old int64, is bool, at int64) int64 {
	switch {
	case !is:
		return 0
	case old == 0:
		return at
	default:
		return old
	}
}

// isDue tells whether a shortage is worth a move now.
func (s *Sizer) isDue(p *poolState, at int64) bool {
	if p.shortSince == 0 {
		return false
	}
	return p.overloadLasts(s.readyMillis, at) || p.meanOverloadSince > 0 && at-p.meanOverloadSince >= overloadConfirmMillis || at-p.shortSince >= s.patienceMillis
}

// isIdleTooLong tells whether an idle VM has cost as much as giving it back and fetching it again.
func isIdleTooLong(r Rule, p *poolState, at int64) bool {
	if p.idleSince == 0 || r.BufferWeight <= 0 {
		return false
	}
	return float64(at-p.idleSince)*r.BufferWeight >= 2*r.MoveWeight*hourMillis
}

// moves returns the moves that pay now: one a pool and tick, the shortest pool first.
func (s *Sizer) moves(at int64) []Cmd {
	var l []Cmd
	for _, r := range s.byShortage() {
		p := s.pools[r.Pool]
		switch {
		case s.isDue(p, at):
			l = s.fill(l, r, at)
		case isIdleTooLong(r, p, at):
			l = s.returnIdle(l, r, at)
		}
	}
	if len(l) == 0 {
		l = s.spread(l, at)
	}
	return l
}

func (s *Sizer) byShortage() []Rule {
	var l []Rule
	for _, r := range s.rules {
		if !r.Spare {
			l = append(l, r)
		}
	}
	slices.SortStableFunc(l, func(a, b Rule) int {
		return cmp.Compare(s.shortfall(b), s.shortfall(a))
	})
	return l
}

// shortfall returns the share of its need that the pool is short of; negative when it has more.
func (s *Sizer) shortfall(r Rule) float64 {
	n := s.pools[r.Pool].need
	return float64(n-s.layout.count(r.Pool)) / float64(max(n, 1))
}

// fill brings one VM to the pool: from the spare pools, else from the pool with the most idle VMs.
func (s *Sizer) fill(l []Cmd, r Rule, at int64) []Cmd {
	why := Short
	if s.layout.failed[r.Pool] > 0 {
		why = Lost
	}
	for _, from := range s.donors(r, at) {
		if v, ok := s.layout.pickForPool(from, r.Pool, s.movable()); ok {
			return s.move(l, v, r.Pool, why, at)
		}
	}
	return l
}

// donors returns the spare pools, then, for a pool that is overloaded, pools that have had idle VMs for long, most
// idle first.
func (s *Sizer) donors(to Rule, at int64) []string {
	overloaded := s.pools[to.Pool].meanOverloadSince > 0 || s.pools[to.Pool].overloadSince > 0
	var spares, others []string
	for _, r := range s.rules {
		switch {
		case r.Spare:
			spares = append(spares, r.Pool)
		case overloaded && r.Pool != to.Pool && s.pools[r.Pool].isDonor(at) && s.layout.count(r.Pool) > s.pools[r.Pool].need:
			others = append(others, r.Pool)
		}
	}
	slices.SortStableFunc(others, func(a, b string) int {
		return cmp.Compare(s.layout.count(b)-s.pools[b].need, s.layout.count(a)-s.pools[a].need)
	})
	return append(spares, others...)
}

// isDonor tells whether the pool has had idle VMs for long enough that another may take one.
func (p *poolState) isDonor(at int64) bool {
	return p.idleSince > 0 && at-p.idleSince >= donorIdleMillis
}

func (s *Sizer) returnIdle(l []Cmd, r Rule, at int64) []Cmd {
	to, ok := s.sparePool()
	if !ok {
		return l
	}
	if v, ok := s.layout.pickFromFullestRack(r.Pool, s.movable()); ok {
		s.pools[r.Pool].idleSince = at
		return s.move(l, v, to, Idle, at)
	}
	return l
}

func (s *Sizer) sparePool() (string, bool) {
	for _, r := range s.rules {
		if r.Spare {
			return r.Pool, true
		}
	}
	return "", false
}

// movable returns a test for VMs that no recent move concerns.
func (s *Sizer) movable() func(VM) bool {
	return func(v VM) bool {
		_, asked := s.pendingMoves[v.Name]
		return !v.Out && !v.Failed && !v.Moving && !asked
	}
}

func (s *Sizer) move(l []Cmd, v VM, to string, why Why, at int64) []Cmd {
	s.pendingMoves[v.Name] = pendingMove{requestedMillis: at, to: to}
	s.layout.reassign(v, to)
	s.worstLoss.valid = false
	return append(l, MoveCmd{VM: v.Name, From: v.Pool, To: to, Why: why})
}
