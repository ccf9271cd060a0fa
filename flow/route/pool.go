package route

import (
	"math/bits"
	"time"
)

const (
	loadLevels        = 16 // steps of load, from idle to nearly full
	maxCandidates     = 4  // targets of one level that are compared by the load of their racks
	defaultMaxEjected = 0.5
	minBackoff        = time.Second
	maxBackoff        = time.Minute
	leavingTimeout    = 30 * time.Second // a leaving target that is still listed after this time is used again
	none              = -1
)

// Target describes one target to a Pool.
type Target struct {
	name, rack string
	slots      int
}

// NewTarget returns a target in a rack; slots is the number of requests that it may run at once.
func NewTarget(name, rack string, slots int) Target {
	return Target{name: name, rack: rack, slots: slots}
}

// targetState is the state that a Pool keeps of a target.
type targetState struct {
	Target
	rackID        int
	outstanding   int // requests that hold a slot, including lost ones
	lost          int // requests without an answer that may still be running
	openSlots     int // slots that may be used; fewer than slots after a refusal and during slow start
	listed        bool
	ejected       bool
	suspect       bool // due for ejection, but the ejected share is at its limit
	probing       bool
	leavingUntil  time.Duration // 0 unless the target is leaving
	failureStreak int           // consecutive failures
	backoff       time.Duration
	probeAt       time.Duration
	level         int // index of its list in heads and tails; none if it is in no list
	prev, next    int // neighbors in that list
}

// Pool holds the targets of one service at one entry. It is not safe for concurrent use.
//
// Targets with a free slot are kept in linked lists, one for each level of load.
type Pool struct {
	targets      []targetState
	indexByName  map[string]int
	freeIndexes  []int
	rackIDs      map[string]int
	rackLoad     []int // outstanding requests by rack
	heads        [loadLevels]int
	tails        [loadLevels]int
	nonEmpty     uint32 // bit set of the levels that are not empty
	listed       int
	ejected      int
	usable       int
	slots        int // of usable targets
	free         int // of usable targets
	busy         int // requests at targets, without lost ones
	nextProbe    time.Duration
	nextReadmit  time.Duration
	failureRate  float64 // average share of failed sends; of consecutive failures of a target only the first counts
	maxEjected   float64
	lostRequests []lostRequest
}

// Option configures a Pool.
type Option func(*Pool)

// WithMaxEjected sets the share of the targets that may be ejected at once.
func WithMaxEjected(f float64) Option { return func(p *Pool) { p.maxEjected = f } }

// New returns a Pool without targets.
func New(opts ...Option) *Pool {
	p := &Pool{
		indexByName: map[string]int{}, rackIDs: map[string]int{}, maxEjected: defaultMaxEjected,
		nextProbe: forever, nextReadmit: forever,
	}
	for i := range loadLevels {
		p.heads[i], p.tails[i] = none, none
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

const forever = time.Duration(1<<63 - 1)

// Free returns the number of free slots at usable targets.
func (p *Pool) Free() int { return p.free }

// Slots returns the number of slots, free or not, of usable targets.
func (p *Pool) Slots() int { return p.slots }

// Busy returns the number of requests at targets, without lost ones.
func (p *Pool) Busy() int { return p.busy }

// Taken sets in m the number of taken slots by target, including those of lost requests. It omits targets without any.
func (p *Pool) Taken(m map[string]int) {
	for i := range p.targets {
		if n := &p.targets[i]; n.outstanding > 0 {
			m[n.name] = n.outstanding
		}
	}
}

// Usable returns the number of targets that are listed, not ejected and not leaving.
func (p *Pool) Usable() int { return p.usable }

// Listed returns the number of targets in the current list.
func (p *Pool) Listed() int { return p.listed }

// Ready reports whether Pick may find a target.
func (p *Pool) Ready(now time.Duration) bool {
	return p.free > 0 || now >= p.nextProbe || now >= p.nextReadmit
}

// Ejected returns the number of ejected targets.
func (p *Pool) Ejected() int { return p.ejected }

// SetTargets replaces the list of targets. A target that stays keeps its state; one that is dropped is kept until its requests
// are done.
func (p *Pool) SetTargets(now time.Duration, targets []Target) {
	for i := range p.targets {
		if p.targets[i].listed {
			p.update(i, func(n *targetState) { n.listed = false })
		}
	}
	p.listed = 0
	for _, t := range targets {
		p.upsert(now, t)
	}
	for i := range p.targets {
		p.removeIfUnused(i)
	}
	p.limitEjected()
}

// upsert adds a target or updates the one of the same name, and marks it as listed.
func (p *Pool) upsert(now time.Duration, t Target) {
	i, ok := p.indexByName[t.name]
	if !ok {
		i = p.add(t)
	}
	if p.targets[i].listed {
		return
	}
	p.listed++
	p.update(i, func(n *targetState) {
		n.listed = true
		n.resize(t.slots)
		if n.leavingUntil > 0 && n.leavingUntil <= now {
			n.leavingUntil = 0
		}
	})
}

func (p *Pool) add(t Target) int {
	i := len(p.targets)
	if k := len(p.freeIndexes); k > 0 {
		i, p.freeIndexes = p.freeIndexes[k-1], p.freeIndexes[:k-1]
	} else {
		p.targets = append(p.targets, targetState{})
	}
	r, ok := p.rackIDs[t.rack]
	if !ok {
		r = len(p.rackLoad)
		p.rackIDs[t.rack] = r
		p.rackLoad = append(p.rackLoad, 0)
	}
	p.targets[i] = targetState{Target: t, openSlots: t.slots, rackID: r, level: none, prev: none, next: none}
	p.indexByName[t.name] = i
	return i
}

// removeIfUnused removes a target that is not listed and has no outstanding requests.
func (p *Pool) removeIfUnused(i int) {
	n := &p.targets[i]
	if n.listed || n.outstanding > 0 || n.name == "" {
		return
	}
	if n.ejected {
		p.ejected--
	}
	delete(p.indexByName, n.name)
	*n = targetState{level: none, prev: none, next: none}
	p.freeIndexes = append(p.freeIndexes, i)
}

// SetSlots changes the number of slots of one target. It does nothing if the target is unknown.
func (p *Pool) SetSlots(name string, slots int) {
	if i, ok := p.indexByName[name]; ok && p.targets[i].slots != slots {
		p.update(i, func(n *targetState) { n.resize(slots) })
	}
}

// resize changes the number of slots, and opens all of them unless the target is ejected or some of its slots are closed.
func (n *targetState) resize(slots int) {
	if n.openSlots >= n.slots && !n.ejected {
		n.openSlots = slots
	}
	n.slots = max(0, slots)
}

func (n *targetState) inUse() bool { return n.listed && !n.ejected && n.leavingUntil == 0 }

// limit returns the number of requests that the target may have: at least one while only some of its slots are open.
func (n *targetState) limit() int {
	if n.suspect || n.openSlots < n.slots {
		return min(n.slots, max(n.openSlots, 1))
	}
	return n.slots
}

// update applies f to a target and updates the totals and lists.
func (p *Pool) update(i int, f func(*targetState)) {
	n := &p.targets[i]
	p.addToTotals(n, -1)
	f(n)
	p.addToTotals(n, 1)
	p.relink(i)
}

// addToTotals adds the target to the totals if sign is 1, or subtracts it if sign is -1.
func (p *Pool) addToTotals(n *targetState, sign int) {
	if !n.inUse() {
		return
	}
	p.usable += sign
	p.slots += sign * n.slots
	p.free += sign * max(0, n.limit()-n.outstanding)
}

// relink moves a target to the end of the list of its level, or out of all lists if it can take no request. A suspect
// target goes to the last level, so that it is picked last.
func (p *Pool) relink(i int) {
	n := &p.targets[i]
	p.unlink(i)
	l := n.limit()
	if !n.inUse() || n.outstanding >= l {
		return
	}
	k := min(n.outstanding*loadLevels/l, loadLevels-1)
	if n.suspect {
		k = loadLevels - 1
	}
	n.level, n.prev, n.next = k, p.tails[k], none
	if n.prev == none {
		p.heads[k] = i
	} else {
		p.targets[n.prev].next = i
	}
	p.tails[k] = i
	p.nonEmpty |= 1 << k
}

func (p *Pool) unlink(i int) {
	n := &p.targets[i]
	if n.level == none {
		return
	}
	if n.prev == none {
		p.heads[n.level] = n.next
	} else {
		p.targets[n.prev].next = n.next
	}
	if n.next == none {
		p.tails[n.level] = n.prev
	} else {
		p.targets[n.next].prev = n.prev
	}
	if p.heads[n.level] == none {
		p.nonEmpty &^= 1 << n.level
	}
	n.level = none
}

// Pick takes a slot and returns its target. It skips the target named avoid while more than one target is usable.
// A request with delayProbe set becomes the probe of an ejected target only one backoff after the probe is due.
func (p *Pool) Pick(now time.Duration, avoid string, delayProbe bool) (string, bool) {
	if now >= p.nextReadmit {
		p.readmitLeaving(now)
	}
	if now >= p.nextProbe {
		if i := p.dueProbe(now, delayProbe); i != none {
			return p.takeSlot(i), true
		}
	}
	for f := p.nonEmpty; f != 0; f &= f - 1 {
		if i := p.leastLoadedRack(bits.TrailingZeros32(f), avoid); i != none {
			return p.takeSlot(i), true
		}
	}
	return "", false
}

// leastLoadedRack returns, of the first few targets of the level, the one whose rack has the least load.
func (p *Pool) leastLoadedRack(level int, avoid string) int {
	best := none
	for i, k := p.heads[level], 0; i != none && k < maxCandidates; i, k = p.targets[i].next, k+1 {
		n := &p.targets[i]
		if n.name == avoid && p.usable > 1 {
			k--
			continue
		}
		if best == none || p.rackLoad[n.rackID] < p.rackLoad[p.targets[best].rackID] {
			best = i
		}
	}
	return best
}

func (p *Pool) takeSlot(i int) string {
	n := &p.targets[i]
	if n.inUse() {
		p.free--
	}
	n.outstanding++
	p.busy++
	p.rackLoad[n.rackID]++
	p.relink(i)
	return n.name
}
