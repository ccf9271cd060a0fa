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

	meanMillis   = 180_000   // time constant of the mean demand.
	forgetMillis = 3_600_000 // time constant by which the longest burst is forgotten.
	longMillis   = 600_000   // longest overload that counts as a burst.
	hourMillis   = 3_600_000
	steadyMillis = 60_000  // time for which the mean must exceed an overload bound.
	giverMillis  = 600_000 // time for which a pool must have had idle VMs before another may take one.
	riseShare    = 0.1     // of the need's capacity by which the mean must exceed it to raise the need.
	fallShare    = 0.15    // of a smaller need's capacity by which the mean must stay under it to lower the need.
)

// Sizer holds what was learned of each pool's demand.
type Sizer struct {
	ready, patience int64
	rules           []Rule
	byName          map[string]Rule
	vms             []VM
	pools           map[string]*state
	racks           *layout
	asked           map[string]asking // the last moves, by VM, which may not show in the fleet yet.
	looked          lookout
}

// asking is a move that was asked for.
type asking struct {
	at int64
	to string
}

// state is what was learned of one pool.
type state struct {
	at      int64
	mean    float64 // slots asked for, averaged.
	busy    float64 // slot milliseconds spent, averaged.
	done    float64 // requests answered, averaged.
	over    int64   // since when demand has exceeded what the pool can run; 0 if it does not.
	floor   float64 // least demand since then.
	burst   float64 // longest overload that ended, in milliseconds, slowly forgotten.
	short   int64   // since when the pool has been short of its need; 0 if it is not.
	pressed int64   // since when the mean has overloaded the pool; 0 if it does not.
	idle    int64   // since when the pool has had more than it needs; 0 if it has not.
	need    int
}

// Option changes a sizer's constants.
type Option func(*Sizer)

// WithReady sets the time in milliseconds from a move's start until the VM serves its new pool.
func WithReady(millis int64) Option { return func(s *Sizer) { s.ready = millis } }

// WithPatience sets how long in milliseconds a pool may be short of its target without being overloaded.
func WithPatience(millis int64) Option { return func(s *Sizer) { s.patience = millis } }

// New returns a sizer that has learned nothing yet.
func New(opts ...Option) *Sizer {
	s := &Sizer{
		ready: DefaultReady, patience: DefaultPatience,
		pools: map[string]*state{}, racks: newLayout(nil), asked: map[string]asking{},
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
	lost, _ := s.worst()
	return lost
}

// Update takes one message in and returns the moves that pay.
func (s *Sizer) Update(msg Msg) []Cmd {
	switch m := msg.(type) {
	case RulesMsg:
		s.rules, s.byName, s.looked.done = slices.Clone(m.Rules), map[string]Rule{}, false
		for _, r := range m.Rules {
			s.byName[r.Pool] = r
		}
		slices.SortFunc(s.rules, func(a, b Rule) int { return strings.Compare(a.Pool, b.Pool) })
	case FleetMsg:
		s.vms = slices.Clone(m.VMs)
		s.lay()
	case TickMsg:
		return s.tick(m)
	}
	return nil
}

// lay counts the VMs by pool and rack, those whose move was asked for as where they go.
func (s *Sizer) lay() {
	s.racks = newLayout(s.vms)
	s.looked.done = false
	for _, v := range s.vms {
		if a, ok := s.asked[v.Name]; ok && v.Pool != a.to && !v.Failed {
			s.racks.shift(v, a.to)
		}
	}
}

// forget lets go of moves that are long made, or were not made.
func (s *Sizer) forget(at int64) {
	n := len(s.asked)
	for vm, a := range s.asked {
		if at-a.at > 4*s.ready {
			delete(s.asked, vm)
		}
	}
	if len(s.asked) < n {
		s.lay()
	}
}

func (s *Sizer) tick(m TickMsg) []Cmd {
	s.forget(m.At)
	for _, r := range s.rules {
		if r.Spare {
			continue
		}
		p := s.pools[r.Pool]
		if p == nil {
			p = &state{at: m.At}
			s.pools[r.Pool] = p
		}
		p.learn(r, m.Demand[r.Pool], s.racks.alive(r.Pool), m.At)
		need := p.need
		p.size(r, s.ready, m.At)
		s.looked.done = s.looked.done && need == p.need
		p.compare(r, s.racks.have(r.Pool), m.At)
	}
	return s.moves(m.At)
}

// learn takes one tick's demand in; n is the number of VMs that serve the pool.
func (p *state) learn(r Rule, d Demand, n int, at int64) {
	dt := float64(max(at-p.at, 0))
	x := p.offered(d, dt)
	p.mean += (x - p.mean) * (1 - math.Exp(-dt/meanMillis))
	p.burst *= math.Exp(-dt / forgetMillis)
	p.at = at
	if x <= float64(n*r.Slots) {
		if l := float64(at - p.over); p.over > 0 && l < longMillis {
			p.burst = max(p.burst, l)
		}
		p.over = 0
		return
	}
	if p.over == 0 {
		p.over, p.floor = at, x
	}
	p.floor = min(p.floor, x)
}

// offered returns the slots that the requests which came would keep busy: their rate times the mean time that an
// answered one held its slot, so that a request which waits or was turned away counts once.
func (p *state) offered(d Demand, dt float64) float64 {
	k := 1 - math.Exp(-dt/meanMillis)
	p.busy += (d.Busy*dt - p.busy) * k
	p.done += (d.Done - p.done) * k
	if p.done <= 0 || dt <= 0 {
		return d.Busy + d.Queued
	}
	return d.Arrivals / dt * p.busy / p.done
}

// size derives the need from the demand that lasts; it keeps the last need while the mean is near its bounds.
func (p *state) size(r Rule, ready, at int64) {
	one := float64(r.Slots) * use(r)
	if p.outlasts(ready, at) {
		p.mean = max(p.mean, p.floor)
	}
	x := p.mean
	up, down := vms(x/(1+riseShare), one), vms(x/(1-fallShare), one)
	p.need = max(min(max(p.need, up), down), r.MinVMs, 1)
	if r.MaxVMs > 0 {
		p.need = min(p.need, r.MaxVMs)
	}
}

// vms returns how many VMs run x slots if each is to run one.
func vms(x, one float64) int { return int(math.Ceil(x/one - 1e-9)) }

// outlasts tells whether the running overload has outlived the time a VM needs and the bursts seen before.
func (p *state) outlasts(ready, at int64) bool {
	return p.over > 0 && float64(at-p.over) >= max(float64(ready), 2*p.burst)
}

func use(r Rule) float64 {
	if r.TargetUse <= 0 || r.TargetUse > 1 {
		return 1
	}
	return r.TargetUse
}

// compare notes since when the pool has had too few or too many VMs.
func (p *state) compare(r Rule, have int, at int64) {
	p.short = since(p.short, have < p.need, at)
	p.idle = since(p.idle, have > p.need, at)
	bound := float64(have*r.Slots) * (1 + use(r)) / 2
	p.pressed = since(p.pressed, p.mean > bound, at)
}

func since(old int64, is bool, at int64) int64 {
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
func (s *Sizer) isDue(p *state, at int64) bool {
	if p.short == 0 {
		return false
	}
	return p.outlasts(s.ready, at) || p.pressed > 0 && at-p.pressed >= steadyMillis || at-p.short >= s.patience
}

// isIdle tells whether an idle VM has cost as much as giving it back and fetching it again.
func isIdle(r Rule, p *state, at int64) bool {
	if p.idle == 0 || r.BufferWeight <= 0 {
		return false
	}
	return float64(at-p.idle)*r.BufferWeight >= 2*r.MoveWeight*hourMillis
}

// moves returns the moves that pay now: one a pool and tick, the shortest pool first.
func (s *Sizer) moves(at int64) []Cmd {
	var l []Cmd
	for _, r := range s.byShortage() {
		p := s.pools[r.Pool]
		switch {
		case s.isDue(p, at):
			l = s.fill(l, r, at)
		case isIdle(r, p, at):
			l = s.giveBack(l, r, at)
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
		return cmp.Compare(s.lack(b), s.lack(a))
	})
	return l
}

// lack returns the share of its need that the pool is short of; negative when it has more.
func (s *Sizer) lack(r Rule) float64 {
	n := s.pools[r.Pool].need
	return float64(n-s.racks.have(r.Pool)) / float64(max(n, 1))
}

// fill brings one VM to the pool: from the spare pools, else from the pool with the most idle VMs.
func (s *Sizer) fill(l []Cmd, r Rule, at int64) []Cmd {
	why := Short
	if s.racks.failed[r.Pool] > 0 {
		why = Lost
	}
	for _, from := range s.donors(r, at) {
		if v, ok := s.racks.pick(from, r.Pool, s.isFree()); ok {
			return s.move(l, v, r.Pool, why, at)
		}
	}
	return l
}

// donors returns the spare pools, then, for a pool that is overloaded, pools that have had idle VMs for long, most
// idle first.
func (s *Sizer) donors(to Rule, at int64) []string {
	overloaded := s.pools[to.Pool].pressed > 0 || s.pools[to.Pool].over > 0
	var spares, others []string
	for _, r := range s.rules {
		switch {
		case r.Spare:
			spares = append(spares, r.Pool)
		case overloaded && r.Pool != to.Pool && s.pools[r.Pool].gives(at) && s.racks.have(r.Pool) > s.pools[r.Pool].need:
			others = append(others, r.Pool)
		}
	}
	slices.SortStableFunc(others, func(a, b string) int {
		return cmp.Compare(s.racks.have(b)-s.pools[b].need, s.racks.have(a)-s.pools[a].need)
	})
	return append(spares, others...)
}

// gives tells whether the pool has had idle VMs for long enough that another may take one.
func (p *state) gives(at int64) bool { return p.idle > 0 && at-p.idle >= giverMillis }

func (s *Sizer) giveBack(l []Cmd, r Rule, at int64) []Cmd {
	to, ok := s.sparePool()
	if !ok {
		return l
	}
	if v, ok := s.racks.crowded(r.Pool, s.isFree()); ok {
		s.pools[r.Pool].idle = at
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

// isFree returns a test for VMs that no recent move concerns.
func (s *Sizer) isFree() func(VM) bool {
	return func(v VM) bool {
		_, asked := s.asked[v.Name]
		return !v.Out && !v.Failed && !v.Moving && !asked
	}
}

func (s *Sizer) move(l []Cmd, v VM, to string, why Why, at int64) []Cmd {
	s.asked[v.Name] = asking{at: at, to: to}
	s.racks.shift(v, to)
	s.looked.done = false
	return append(l, MoveCmd{VM: v.Name, From: v.Pool, To: to, Why: why})
}
