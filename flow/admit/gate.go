package admit

import "time"

const (
	defaultBurst     = time.Second // a team may use one second of its own rate at once
	activeWindow     = time.Second // a team without a request for this long lends its share to the others
	admissionFactor  = 1.1         // admits 110% of the capacity, so that the queue does not run empty
	minRetryAfter    = 10 * time.Millisecond
	maxRetryAfter    = 30 * time.Second
	noRateRetryAfter = time.Second // retry delay for a team without a rate
)

// Verdict is a Gate's decision on one request.
type Verdict uint8

const (
	// Within means that the request is admitted because its team is within its share.
	Within Verdict = iota
	// Lent means that the request is admitted on capacity that no other team uses now.
	Lent
	// OverRate means that the request is refused: the team is over its rate and there is no idle capacity to lend.
	OverRate
	// Overloaded means that the request is refused: the service is overloaded and the team is over its part of the capacity.
	Overloaded
)

// Admitted reports whether the request is admitted.
func (v Verdict) Admitted() bool { return v <= Lent }

// Load is the load of the service when a request arrives.
type Load struct {
	idleSlot, shedding bool
	capacity           float64
}

// NewLoad returns a Load. Set idleSlot if a slot is idle and no request waits, and shedding if requests are being shed; capacity
// is in requests per second, 0 if unknown.
func NewLoad(idleSlot, shedding bool, capacity float64) Load {
	return Load{idleSlot: idleSlot, shedding: shedding, capacity: capacity}
}

// team is the state of one team with a rate. It is in the list of active teams while it sends requests.
type team struct {
	rate        float64       // requests per second
	usedUntil   float64       // virtual time, in seconds, up to which the team's admitted requests have used its rate
	nextRetry   float64       // virtual time, in seconds, at which the next refused request should be retried
	lastRequest time.Duration // time of the last request
	active      bool
	prev, next  *team
}

// Gate shares the capacity of a service among teams by weighted virtual time. Without rates it admits every request.
type Gate struct {
	teams          map[string]*team
	limited        bool
	burst          float64       // virtual seconds
	now            time.Duration // real time up to which virtualNow has advanced
	virtualNow     float64       // virtual time in seconds
	activeRate     float64       // sum of the rates of active teams
	oldest, newest *team         // list of active teams, least recent request first
}

// Option configures a new Gate.
type Option func(*Gate)

// WithBurst sets how much of its own rate a team may use at once: the requests that the rate allows in d.
func WithBurst(d time.Duration) Option { return func(g *Gate) { g.burst = d.Seconds() } }

// New returns a Gate that admits every request until rates are set.
func New(opts ...Option) *Gate {
	g := &Gate{teams: map[string]*team{}, burst: defaultBurst.Seconds()}
	for _, o := range opts {
		o(g)
	}
	return g
}

// SetRates replaces the rates of all teams, in requests per second. A team that is not in the map, or has rate 0, gets only
// idle capacity. A nil map admits every request.
func (g *Gate) SetRates(rates map[string]float64) {
	g.limited = rates != nil
	for n, t := range g.teams {
		if rates[n] <= 0 {
			g.markIdle(t)
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
			g.activeRate += r - t.rate
		}
		t.rate = r
	}
}

// Arrive decides on a request of the named team. If it refuses the request, it also returns the time to wait before a retry.
func (g *Gate) Arrive(now time.Duration, name string, l Load) (Verdict, time.Duration) {
	if !g.limited {
		return Within, 0
	}
	t, ok := g.teams[name]
	if !ok {
		if l.idleSlot {
			return Lent, 0
		}
		return OverRate, noRateRetryAfter
	}
	g.markActive(now, t)
	speed := g.virtualSpeed(l)
	g.advance(now, speed)
	if t.usedUntil <= g.virtualNow+g.burst {
		t.usedUntil = max(t.usedUntil, g.virtualNow) + 1/t.rate
		return Within, 0
	}
	if l.idleSlot {
		return Lent, 0
	}
	wait := g.retryAfter(t, speed)
	if speed < 1 {
		return Overloaded, wait
	}
	return OverRate, wait
}

// retryAfter returns how long a refused request of the team should wait before a retry. It spaces retries at the team's rate,
// after those of requests that were refused earlier.
func (g *Gate) retryAfter(t *team, speed float64) time.Duration {
	retryAt := max(t.usedUntil-g.burst, t.nextRetry)
	t.nextRetry = min(retryAt+1/t.rate, g.virtualNow+maxRetryAfter.Seconds())
	wait := time.Duration((retryAt - g.virtualNow) / speed * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// virtualSpeed returns how fast virtual time runs relative to real time. At 1 each active team gets exactly its
// own rate, above 1 it also gets capacity that idle teams lend, and below 1 the service is overloaded and each team gets less.
func (g *Gate) virtualSpeed(l Load) float64 {
	if l.capacity <= 0 || g.activeRate <= 0 {
		return 1
	}
	s := admissionFactor * l.capacity / g.activeRate
	if !l.shedding {
		s = max(1, s)
	}
	return s
}

func (g *Gate) advance(now time.Duration, speed float64) {
	if d := now - g.now; d > 0 {
		g.virtualNow += min(d, activeWindow).Seconds() * speed
		g.now = now
	}
}

// markActive moves t to the end of the list of active teams, and removes the teams without a request within activeWindow.
func (g *Gate) markActive(now time.Duration, t *team) {
	g.markIdle(t)
	t.lastRequest, t.active = now, true
	g.activeRate += t.rate
	t.prev = g.newest
	if g.newest != nil {
		g.newest.next = t
	} else {
		g.oldest = t
	}
	g.newest = t
	for g.oldest != t && g.oldest.lastRequest+activeWindow < now {
		g.markIdle(g.oldest)
	}
}

func (g *Gate) markIdle(t *team) {
	if !t.active {
		return
	}
	g.activeRate = max(0, g.activeRate-t.rate)
	if t.prev != nil {
		t.prev.next = t.next
	} else {
		g.oldest = t.next
	}
	if t.next != nil {
		t.next.prev = t.prev
	} else {
		g.newest = t.prev
	}
	t.prev, t.next, t.active = nil, nil, false
}
