package admit

import "time"

const (
	defaultBurst  = time.Second // of a team's own rate, let in at once
	activeFor     = time.Second // after its last request a team's share is lent
	headroom      = 1.1         // of the capacity is let in, so that the queue does not run dry
	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	noQuotaRetry  = time.Second
)

// Verdict is what a Gate says of one request.
type Verdict uint8

const (
	// Within means that the request is within its team's share.
	Within Verdict = iota
	// Lent means that the request uses capacity that nobody else wants now.
	Lent
	// Over means that the team is over its rate and nothing is to be lent.
	Over
	// Crowded means that the service is overloaded and the team is over its part of the capacity.
	Crowded
)

// In reports whether the request is let in.
func (v Verdict) In() bool { return v <= Lent }

// Load is the state of the service that a request meets.
type Load struct {
	spare, tight bool
	capacity     float64
}

// NewLoad returns a load: spare if a slot is idle and nothing waits, tight if requests are being shed, and the capacity in requests a second, 0 if unknown.
func NewLoad(spare, tight bool, capacity float64) Load {
	return Load{spare: spare, tight: tight, capacity: capacity}
}

// team is one team's place in virtual time; it is in the list of active teams while it asks.
type team struct {
	rate       float64 // requests a second
	finish     float64 // virtual seconds
	invited    float64 // virtual seconds at which the next refused request is to come back
	seen       time.Duration
	active     bool
	prev, next *team
}

// Gate lets teams share capacity by weighted virtual time; the zero rate map lets everybody in.
type Gate struct {
	teams       map[string]*team
	limited     bool
	burst       float64 // virtual seconds
	now         time.Duration
	virtual     float64 // seconds, running faster than now by what is lent
	active      float64 // sum of the rates of active teams
	first, last *team   // active teams by their last request
}

// Option changes a Gate at its making.
type Option func(*Gate)

// WithBurst sets how much of its own rate a team may use at once.
func WithBurst(d time.Duration) Option { return func(g *Gate) { g.burst = d.Seconds() } }

// New returns a Gate that lets everybody in until rates are set.
func New(opts ...Option) *Gate {
	g := &Gate{teams: map[string]*team{}, burst: defaultBurst.Seconds()}
	for _, o := range opts {
		o(g)
	}
	return g
}

// SetRates replaces all teams' rates in requests a second; a team that is not named, or has rate 0, gets only what is lent.
// A nil map lets everybody in.
func (g *Gate) SetRates(rates map[string]float64) {
	g.limited = rates != nil
	for n, t := range g.teams {
		if rates[n] <= 0 {
			g.idle(t)
			delete(g.teams, n)
		}
	}
	for n, r := range rates {
		if r <= 0 {
			continue
		}
		t, ok := g.teams[n]
		if !ok {
			t = &team{}
			g.teams[n] = t
		}
		if t.active {
			g.active += r - t.rate
		}
		t.rate = r
	}
}

// Arrive decides on a request of the named team; it returns when to come back if the request is not let in.
func (g *Gate) Arrive(now time.Duration, name string, l Load) (Verdict, time.Duration) {
	if !g.limited {
		return Within, 0
	}
	t, ok := g.teams[name]
	if !ok {
		if l.spare {
			return Lent, 0
		}
		return Over, noQuotaRetry
	}
	g.touch(now, t)
	speed := g.speed(l)
	g.advance(now, speed)
	if t.finish <= g.virtual+g.burst {
		t.finish = max(t.finish, g.virtual) + 1/t.rate
		return Within, 0
	}
	if l.spare {
		return Lent, 0
	}
	wait := g.invite(t, speed)
	if speed < 1 {
		return Crowded, wait
	}
	return Over, wait
}

// invite returns when a refused request of the team is to come back: after those refused before it, at the team's rate.
func (g *Gate) invite(t *team, speed float64) time.Duration {
	at := max(t.finish-g.burst, t.invited)
	t.invited = min(at+1/t.rate, g.virtual+maxRetryAfter.Seconds())
	wait := time.Duration((at - g.virtual) / speed * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// speed returns how fast virtual time runs: at 1 each active team gets its own rate.
func (g *Gate) speed(l Load) float64 {
	if l.capacity <= 0 || g.active <= 0 {
		return 1
	}
	s := headroom * l.capacity / g.active
	if !l.tight {
		s = max(1, s)
	}
	return s
}

func (g *Gate) advance(now time.Duration, speed float64) {
	if d := now - g.now; d > 0 {
		g.virtual += min(d, activeFor).Seconds() * speed
		g.now = now
	}
}

// touch makes t the latest active team and drops those that have asked for nothing lately.
func (g *Gate) touch(now time.Duration, t *team) {
	g.idle(t)
	t.seen, t.active = now, true
	g.active += t.rate
	t.prev = g.last
	if g.last != nil {
		g.last.next = t
	} else {
		g.first = t
	}
	g.last = t
	for g.first != t && g.first.seen+activeFor < now {
		g.idle(g.first)
	}
}

func (g *Gate) idle(t *team) {
	if !t.active {
		return
	}
	g.active = max(0, g.active-t.rate)
	if t.prev != nil {
		t.prev.next = t.next
	} else {
		g.first = t.next
	}
	if t.next != nil {
		t.next.prev = t.prev
	} else {
		g.last = t.prev
	}
	t.prev, t.next, t.active = nil, nil, false
}
