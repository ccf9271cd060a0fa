package spare

import (
	"cmp"
	"math"
	"slices"
	"strings"
)

const (
	// DefaultReadyMillis is the default time in milliseconds from a move's start until the VM serves its new pool.
	DefaultReadyMillis = 30_000
	// DefaultPatienceMillis is the default time in milliseconds for which a pool that is not overloaded may be short of VMs
	// before it gets one.
	DefaultPatienceMillis = 600_000

	meanDecayMillis       = 180_000   // time constant of the mean demand.
	burstDecayMillis      = 3_600_000 // time constant with which the length of the longest burst decays.
	maxBurstMillis        = 600_000   // an overload that lasts longer is no burst.
	hourMillis            = 3_600_000
	overloadConfirmMillis = 60_000  // time for which the mean must overload the pool before it gets a VM.
	donorIdleMillis       = 600_000 // time for which a pool must have had idle VMs before another pool may take one.
	raiseMargin           = 0.1     // the need rises when the mean exceeds its capacity by more than this share.
	lowerMargin           = 0.15    // the need falls when the mean is below a smaller need's capacity by at least this share.
)

// Sizer estimates the need of each pool from its demand and decides on moves. It does no I/O: Update takes messages and
// returns commands.
type Sizer struct {
	readyMillis, patienceMillis int64
	rules                       []Rule
	ruleByPool                  map[string]Rule
	vms                         []VM
	pools                       map[string]*poolState
	layout                      *layout
	pendingMoves                map[string]pendingMove // recent moves by VM; the list of VMs may not show them yet.
	worstLoss                   rackLoss
}

// pendingMove is a move that was commanded.
type pendingMove struct {
	requestedMillis int64
	to              string
}

// poolState holds the averages of one pool's demand and its need; times are in Unix milliseconds.
type poolState struct {
	updatedMillis     int64
	meanSlots         float64 // average demand in slots.
	busySlotMillis    float64 // average per tick.
	answered          float64 // average number of requests per tick.
	overloadSince     int64   // start of the time in which demand has exceeded the slots; 0 if it does not.
	overloadFloor     float64 // least demand in slots since then.
	burstMillis       float64 // length of the longest burst, slowly decaying.
	shortSince        int64   // start of the time in which the pool has had fewer VMs than it needs; 0 if it has not.
	meanOverloadSince int64   // start of the time in which the mean has overloaded the pool; 0 if it does not.
	idleSince         int64   // start of the time in which the pool has had more VMs than it needs; 0 if it has not.
	need              int
}

// Option configures a Sizer.
type Option func(*Sizer)

// WithReady sets the time in milliseconds from a move's start until the VM serves its new pool.
func WithReady(millis int64) Option { return func(s *Sizer) { s.readyMillis = millis } }

// WithPatience sets the time in milliseconds for which a pool that is not overloaded may be short of VMs before it gets one.
func WithPatience(millis int64) Option { return func(s *Sizer) { s.patienceMillis = millis } }

// New returns a Sizer without pools and VMs.
func New(opts ...Option) *Sizer {
	s := &Sizer{
		readyMillis: DefaultReadyMillis, patienceMillis: DefaultPatienceMillis,
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

// RequiredSpares returns how many spare VMs are required to refill the pools after the worst loss of racks that their rules name.
func (s *Sizer) RequiredSpares() int {
	lost, _ := s.worstRackLoss()
	return lost
}

// Update handles one message and returns the moves that are worth their cost.
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

// rebuildLayout counts the VMs by pool and rack. A VM with a pending move counts for the pool that it moves to.
func (s *Sizer) rebuildLayout() {
	s.layout = newLayout(s.vms)
	s.worstLoss.valid = false
	for _, v := range s.vms {
		if a, ok := s.pendingMoves[v.Name]; ok && v.Pool != a.to && !v.Failed {
			s.layout.reassign(v, a.to)
		}
	}
}

// expirePendingMoves forgets moves that must have been made by now, or have failed.
func (s *Sizer) expirePendingMoves(nowMillis int64) {
	n := len(s.pendingMoves)
	for vm, a := range s.pendingMoves {
		if nowMillis-a.requestedMillis > 4*s.readyMillis {
			delete(s.pendingMoves, vm)
		}
	}
	if len(s.pendingMoves) < n {
		s.rebuildLayout()
	}
}

func (s *Sizer) tick(m TickMsg) []Cmd {
	s.expirePendingMoves(m.AtMillis)
	for _, r := range s.rules {
		if r.Spare {
			continue
		}
		p := s.pools[r.Pool]
		if p == nil {
			p = &poolState{updatedMillis: m.AtMillis}
			s.pools[r.Pool] = p
		}
		p.observe(r, m.Demand[r.Pool], s.layout.serving(r.Pool), m.AtMillis)
		need := p.need
		p.updateNeed(r, s.readyMillis, m.AtMillis)
		s.worstLoss.valid = s.worstLoss.valid && need == p.need
		p.updateShortage(r, s.layout.count(r.Pool), m.AtMillis)
	}
	return s.moves(m.AtMillis)
}

// observe updates the averages with one tick's demand; n is the number of VMs that serve the pool.
func (p *poolState) observe(r Rule, d Demand, n int, nowMillis int64) {
	dt := float64(max(nowMillis-p.updatedMillis, 0))
	x := p.offeredSlots(d, dt)
	p.meanSlots += (x - p.meanSlots) * (1 - math.Exp(-dt/meanDecayMillis))
	p.burstMillis *= math.Exp(-dt / burstDecayMillis)
	p.updatedMillis = nowMillis
	if x <= float64(n*r.Slots) {
		if l := float64(nowMillis - p.overloadSince); p.overloadSince > 0 && l < maxBurstMillis {
			p.burstMillis = max(p.burstMillis, l)
		}
		p.overloadSince = 0
		return
	}
	if p.overloadSince == 0 {
		p.overloadSince, p.overloadFloor = nowMillis, x
	}
	p.overloadFloor = min(p.overloadFloor, x)
}

// offeredSlots returns the slots that all arriving requests would keep busy: their rate times the mean time for which an
// answered one held its slot. A request that waits or was refused thus counts once.
func (p *poolState) offeredSlots(d Demand, dt float64) float64 {
	k := 1 - math.Exp(-dt/meanDecayMillis)
	p.busySlotMillis += (d.Busy*dt - p.busySlotMillis) * k
	p.answered += (d.Done - p.answered) * k
	if p.answered <= 0 || dt <= 0 {
		return d.Busy + d.Queued
	}
	return d.Arrivals / dt * p.busySlotMillis / p.answered
}

// updateNeed derives the need from the lasting demand, with hysteresis: the need stays while the mean is within
// raiseMargin and lowerMargin of its capacity.
func (p *poolState) updateNeed(r Rule, readyMillis, nowMillis int64) {
	perVM := float64(r.Slots) * targetUse(r)
	if p.overloadLasts(readyMillis, nowMillis) {
		p.meanSlots = max(p.meanSlots, p.overloadFloor)
	}
	x := p.meanSlots
	up, down := vmsFor(x/(1+raiseMargin), perVM), vmsFor(x/(1-lowerMargin), perVM)
	p.need = max(min(max(p.need, up), down), r.MinVMs, 1)
	if r.MaxVMs > 0 {
		p.need = min(p.need, r.MaxVMs)
	}
}

// vmsFor returns how many VMs are needed for the given number of slots if each provides perVM.
func vmsFor(slots, perVM float64) int { return int(math.Ceil(slots/perVM - 1e-9)) }

// overloadLasts reports whether the current overload has lasted as long as a VM takes to become ready and twice as long
// as the longest burst.
func (p *poolState) overloadLasts(readyMillis, nowMillis int64) bool {
	return p.overloadSince > 0 && float64(nowMillis-p.overloadSince) >= max(float64(readyMillis), 2*p.burstMillis)
}

// targetUse returns the rule's target use, or 1 if it is not valid.
func targetUse(r Rule) float64 {
	if r.TargetUse <= 0 || r.TargetUse > 1 {
		return 1
	}
	return r.TargetUse
}

// updateShortage records since when the pool has had too few or too many VMs.
func (p *poolState) updateShortage(r Rule, have int, nowMillis int64) {
	p.shortSince = updateSince(p.shortSince, have < p.need, nowMillis)
	p.idleSince = updateSince(p.idleSince, have > p.need, nowMillis)
	bound := float64(have*r.Slots) * (1 + targetUse(r)) / 2
	p.meanOverloadSince = updateSince(p.meanOverloadSince, p.meanSlots > bound, nowMillis)
}

// updateSince returns the time since when a condition holds: 0 if it does not hold, else the old time if there is one.
func updateSince(old int64, is bool, nowMillis int64) int64 {
	switch {
	case !is:
		return 0
	case old == 0:
		return nowMillis
	default:
		return old
	}
}

// isDue reports whether a shortage is worth a move now.
func (s *Sizer) isDue(p *poolState, nowMillis int64) bool {
	if p.shortSince == 0 {
		return false
	}
	return p.overloadLasts(s.readyMillis, nowMillis) || p.meanOverloadSince > 0 && nowMillis-p.meanOverloadSince >= overloadConfirmMillis || nowMillis-p.shortSince >= s.patienceMillis
}

// isIdleTooLong reports whether an idle VM has cost as much as two moves, away and back.
func isIdleTooLong(r Rule, p *poolState, nowMillis int64) bool {
	if p.idleSince == 0 || r.BufferWeight <= 0 {
		return false
	}
	return float64(nowMillis-p.idleSince)*r.BufferWeight >= 2*r.MoveWeight*hourMillis
}

// moves returns the moves that are worth their cost now: at most one for each pool, the pool with the largest shortfall
// first.
func (s *Sizer) moves(nowMillis int64) []Cmd {
	var l []Cmd
	for _, r := range s.byShortage() {
		p := s.pools[r.Pool]
		switch {
		case s.isDue(p, nowMillis):
			l = s.fill(l, r, nowMillis)
		case isIdleTooLong(r, p, nowMillis):
			l = s.returnIdle(l, r, nowMillis)
		}
	}
	if len(l) == 0 {
		l = s.spread(l, nowMillis)
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

// shortfall returns the share of its need that the pool lacks; it is negative if the pool has more than it needs.
func (s *Sizer) shortfall(r Rule) float64 {
	n := s.pools[r.Pool].need
	return float64(n-s.layout.count(r.Pool)) / float64(max(n, 1))
}

// fill moves one VM to the pool, from a spare pool if possible, otherwise from the pool with the most idle VMs.
func (s *Sizer) fill(l []Cmd, r Rule, nowMillis int64) []Cmd {
	why := Short
	if s.layout.failed[r.Pool] > 0 {
		why = Lost
	}
	for _, from := range s.donors(r, nowMillis) {
		if v, ok := s.layout.pickForPool(from, r.Pool, s.movable()); ok {
			return s.move(l, v, r.Pool, why, nowMillis)
		}
	}
	return l
}

// donors returns the pools that may give the pool a VM: the spare pools and, if the pool is overloaded, the pools that
// have had idle VMs for donorIdleMillis, those with the most idle VMs first.
func (s *Sizer) donors(to Rule, nowMillis int64) []string {
	overloaded := s.pools[to.Pool].meanOverloadSince > 0 || s.pools[to.Pool].overloadSince > 0
	var spares, others []string
	for _, r := range s.rules {
		switch {
		case r.Spare:
			spares = append(spares, r.Pool)
		case overloaded && r.Pool != to.Pool && s.pools[r.Pool].isDonor(nowMillis) && s.layout.count(r.Pool) > s.pools[r.Pool].need:
			others = append(others, r.Pool)
		}
	}
	slices.SortStableFunc(others, func(a, b string) int {
		return cmp.Compare(s.layout.count(b)-s.pools[b].need, s.layout.count(a)-s.pools[a].need)
	})
	return append(spares, others...)
}

// isDonor reports whether the pool has had idle VMs for long enough that another pool may take one.
func (p *poolState) isDonor(nowMillis int64) bool {
	return p.idleSince > 0 && nowMillis-p.idleSince >= donorIdleMillis
}

// returnIdle moves one VM of the pool to the spare pool.
func (s *Sizer) returnIdle(l []Cmd, r Rule, nowMillis int64) []Cmd {
	to, ok := s.sparePool()
	if !ok {
		return l
	}
	if v, ok := s.layout.pickFromFullestRack(r.Pool, s.movable()); ok {
		s.pools[r.Pool].idleSince = nowMillis
		return s.move(l, v, to, Idle, nowMillis)
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

// movable returns a predicate for healthy VMs in service without a current or pending move.
func (s *Sizer) movable() func(VM) bool {
	return func(v VM) bool {
		_, pending := s.pendingMoves[v.Name]
		return !v.Unavailable && !v.Failed && !v.Moving && !pending
	}
}

func (s *Sizer) move(l []Cmd, v VM, to string, why Reason, nowMillis int64) []Cmd {
	s.pendingMoves[v.Name] = pendingMove{requestedMillis: nowMillis, to: to}
	s.layout.reassign(v, to)
	s.worstLoss.valid = false
	return append(l, MoveCmd{VM: v.Name, From: v.Pool, To: to, Reason: why})
}
