package spare

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
)

const (
	replayTickMillis = 1_000
	dayMillis        = 24 * hourMillis
	burstTurnMillis  = 8_000 // length of one burst; the pools take turns.
	burstFactor      = 5.0   // demand of a pool in its turn, as a multiple of its mean.
	quietFactor      = 1.0 / 20
	maxWaitSeconds   = 30 // requests that would wait longer count as late.
)

// PoolTrace is one pool's demand over a day.
type PoolTrace struct {
	Rule  Rule
	Hours [24]float64 // mean demand in slots in each hour.
	VMs   int         // VMs at the start of the day.
}

// Failure is the outage of one VM, or of all VMs of a rack, for a span of time.
type Failure struct {
	VM, Rack                string
	FromMillis, UntilMillis int64
}

// Trace is the demand and the failures of one data centre over a day.
type Trace struct {
	Pools             []PoolTrace
	VMs               []VM
	Failures          []Failure
	AlternatingBursts bool // the pools take turns with bursts of demand and have little demand otherwise.
	Seed              int64
}

// Policy decides on moves in a replay.
type Policy interface {
	Update(msg Msg) []Cmd
}

// Result holds the measurements of a replay.
type Result struct {
	Moves         int
	LateShare     float64 // share of the demand that the pools could not run in time.
	ExcessHours   float64 // VM hours in pools beyond the need for the hour's mean demand.
	PlanMoves     int     // moves of the plan of least cost in hindsight.
	PlanIdleHours float64 // VM hours beyond the need in that plan.
	MovesByReason map[Reason]int
}

// DayTrace returns a random day of one deployment: five pools and a spare pool in one of three data centres. With strike,
// the first pool has four times its demand from 6 to 12 h; without it, the first two pools have 2.5 times theirs from 7
// to 11 h. In both, the fourth pool has 2.5 times its demand until 5 h; otherwise all
// have 0.3 times theirs from 20 to 6 h.
func DayTrace(seed int64, strike bool) Trace {
	r := rand.New(rand.NewSource(seed))
	t := Trace{AlternatingBursts: true, Seed: seed}
	names := []string{"orders", "routes", "batches", "ledgers", "checks"}
	for i, n := range names {
		p := PoolTrace{VMs: 3 + i%2, Rule: Rule{
			Pool: n, Slots: 8, MinVMs: 1, MaxVMs: 8, TargetUse: 0.7, SurviveRacks: 1,
			MoveWeight: 1, BufferWeight: 1,
		}}
		if strike {
			p.Rule.MoveWeight = 4
		}
		base := 6 + 4*r.Float64()
		for h := range p.Hours {
			p.Hours[h] = base * dayShape(i, h, strike)
		}
		t.Pools = append(t.Pools, p)
	}
	t.Pools = append(t.Pools, PoolTrace{VMs: 3, Rule: Rule{Pool: "office", Spare: true}})
	t.place()
	t.fail(r)
	return t
}

// dayShape returns the demand of pool i in hour h as a multiple of its base demand.
func dayShape(i, h int, strike bool) float64 {
	switch {
	case strike && i == 0 && h >= 6 && h < 12:
		return 4
	case !strike && i < 2 && h >= 7 && h < 11:
		return 2.5
	case i == 3 && h < 5:
		return 2.5
	case h < 6 || h >= 20:
		return 0.3
	default:
		return 1
	}
}

// place assigns the VMs to racks of four and spreads each pool over the racks.
func (t *Trace) place() {
	n := 0
	for _, p := range t.Pools {
		n += p.VMs
	}
	racks, k := (n+3)/4, 0
	for _, p := range t.Pools {
		for i := range p.VMs {
			t.VMs = append(t.VMs, VM{Name: fmt.Sprintf("%s-%d", p.Rule.Pool, i), Pool: p.Rule.Pool, Rack: fmt.Sprintf("r%d", k%racks)})
			k++
		}
	}
}

// fail adds random failures: three of single VMs and one of a rack.
func (t *Trace) fail(r *rand.Rand) {
	for range 3 {
		at := r.Int63n(dayMillis)
		t.Failures = append(t.Failures, Failure{VM: t.VMs[r.Intn(len(t.VMs))].Name, FromMillis: at, UntilMillis: at + 120_000 + r.Int63n(1_200_000)})
	}
	at := 8*hourMillis + r.Int63n(8*hourMillis)
	t.Failures = append(t.Failures, Failure{Rack: t.VMs[r.Intn(len(t.VMs))].Rack, FromMillis: at, UntilMillis: at + hourMillis})
}

// Demand returns the demand of pool i in slots at a time of the day in milliseconds.
func (t Trace) Demand(i int, at int64) float64 {
	n := 0
	for _, p := range t.Pools {
		if !p.Rule.Spare {
			n++
		}
	}
	if t.Pools[i].Rule.Spare {
		return 0
	}
	m := t.Pools[i].Hours[at/hourMillis%24]
	switch {
	case !t.AlternatingBursts:
		return m
	case int(at/burstTurnMillis)%n == i:
		return m * burstFactor
	default:
		return m * quietFactor
	}
}

// replay is the state of a replay, in virtual time.
type replay struct {
	trace        Trace
	vms          []VM
	moving       map[string]arrival
	queued       []float64
	result       Result
	offeredSlots float64
	lateSlots    float64
}

// arrival is the time at which a moving VM starts to serve its new pool.
type arrival struct {
	readyMillis int64
	pool        string
}

// Replay runs the trace under the policy and returns what it measured. A moving VM serves no pool until it is ready.
func Replay(t Trace, p Policy) Result {
	r := &replay{
		trace: t, vms: slices.Clone(t.VMs), moving: map[string]arrival{}, queued: make([]float64, len(t.Pools)),
		result: Result{MovesByReason: map[Reason]int{}},
	}
	rules := make([]Rule, len(t.Pools))
	for i, q := range t.Pools {
		rules[i] = q.Rule
	}
	p.Update(RulesMsg{Rules: rules})
	var seen []VM
	for at := int64(replayTickMillis); at < dayMillis; at += replayTickMillis {
		r.advance(at)
		if !slices.Equal(r.vms, seen) {
			seen = slices.Clone(r.vms)
			p.Update(FleetMsg{VMs: seen})
		}
		for _, c := range p.Update(TickMsg{AtMillis: at, Demand: r.serve(at)}) {
			r.move(c.(MoveCmd), at)
		}
	}
	r.result.LateShare = r.lateSlots / r.offeredSlots
	r.result.PlanMoves, r.result.PlanIdleHours = t.leastCostPlan()
	return r.result
}

// advance completes moves that are due, and begins and ends failures.
func (r *replay) advance(at int64) {
	for i := range r.vms {
		v := &r.vms[i]
		v.Failed = slices.ContainsFunc(r.trace.Failures, func(f Failure) bool {
			return (f.VM == v.Name || f.Rack == v.Rack) && at >= f.FromMillis && at < f.UntilMillis
		})
		if a, ok := r.moving[v.Name]; ok && at >= a.readyMillis {
			delete(r.moving, v.Name)
			v.Pool, v.Moving, v.Unavailable = a.pool, false, false
		}
	}
}

// serve runs one tick of demand and returns the load of each pool.
func (r *replay) serve(at int64) map[string]Demand {
	d := make(map[string]Demand, len(r.trace.Pools))
	for i, p := range r.trace.Pools {
		if p.Rule.Spare {
			continue
		}
		n, have := 0, 0
		for _, v := range r.vms {
			if v.Pool == p.Rule.Pool && !v.Failed && !v.Moving {
				n++
			}
			if v.Pool == p.Rule.Pool {
				have++
			}
		}
		x, room := r.trace.Demand(i, at), float64(n*p.Rule.Slots)
		total := x + r.queued[i]
		busy := min(total, room)
		r.queued[i] = min(total-busy, maxWaitSeconds*room)
		r.offeredSlots += x
		r.lateSlots += total - busy - r.queued[i]
		r.result.ExcessHours += float64(max(0, have-p.needAt(at))) * replayTickMillis / hourMillis
		d[p.Rule.Pool] = Demand{Busy: busy, Queued: r.queued[i], Arrivals: x, Done: busy}
	}
	return d
}

func (r *replay) move(c MoveCmd, at int64) {
	i := slices.IndexFunc(r.vms, func(v VM) bool { return v.Name == c.VM })
	if i < 0 || r.vms[i].Moving || r.vms[i].Pool != c.From {
		return
	}
	r.vms[i].Moving, r.vms[i].Unavailable = true, true
	r.vms[i].Pool = c.To
	r.moving[c.VM] = arrival{readyMillis: at + DefaultReadyMillis, pool: c.To}
	r.result.Moves++
	r.result.MovesByReason[c.Reason]++
}

// needAt returns how many VMs the mean demand of the hour needs.
func (p PoolTrace) needAt(at int64) int {
	if p.Rule.Spare {
		return 0
	}
	n := int(math.Ceil(p.Hours[at/hourMillis%24]/(float64(p.Rule.Slots)*targetUse(p.Rule)) - 1e-9))
	return max(n, p.Rule.MinVMs)
}

// leastCostPlan returns the moves and idle VM hours of the cheapest plan for the needs of each hour in hindsight. It plans
// each pool alone and ignores failures, so no plan costs less.
func (t Trace) leastCostPlan() (int, float64) {
	moves, hours := 0, 0.0
	for _, p := range t.Pools {
		if !p.Rule.Spare {
			m, h := p.leastCostPlan()
			moves, hours = moves+m, hours+h
		}
	}
	return moves, hours
}

// planStep is the cheapest way to have a certain number of VMs at a certain hour.
type planStep struct {
	cost  float64
	moves int
	hours float64
}

// leastCostPlan returns the pool's moves and idle VM hours in the cheapest plan.
func (p PoolTrace) leastCostPlan() (int, float64) {
	now := make([]planStep, p.Rule.MaxVMs+1)
	for n := range now {
		d := n - p.VMs
		now[n] = planStep{cost: float64(max(d, -d)) * p.Rule.MoveWeight, moves: max(d, -d)}
	}
	for h := range int64(24) {
		next := make([]planStep, len(now))
		for n := range next {
			next[n] = p.cheapestHour(now, n, p.needAt(h*hourMillis))
		}
		now = next
	}
	b := slices.MinFunc(now, func(a, b planStep) int {
		if a.cost < b.cost {
			return -1
		}
		return 1
	})
	return b.moves, b.hours
}

// cheapestHour returns the cheapest way to have n VMs in the next hour; now has the ways to this hour by number of VMs.
func (p PoolTrace) cheapestHour(now []planStep, n, need int) planStep {
	b := planStep{cost: math.Inf(1)}
	if n < need {
		return b
	}
	for m, s := range now {
		d := max(n-m, m-n)
		s.cost += float64(d)*p.Rule.MoveWeight + float64(n-need)*p.Rule.BufferWeight
		s.moves += d
		s.hours += float64(n - need)
		if s.cost < b.cost {
			b = s
		}
	}
	return b
}
