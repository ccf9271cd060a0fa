package route

import (
	"math/bits"
	"time"
)

const (
	levels         = 16 // steps of load, from idle to nearly full
	look           = 4  // targets of one level that are compared by the load of their racks
	defaultEjected = 0.5
	firstBackOff   = time.Second
	lastBackOff    = time.Minute
	leavingHold    = 30 * time.Second // a leaving target that is still listed after this time is used again
	none           = -1
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

// node is the state that a Pool keeps of a target.
type node struct {
	Target
	rackID      int
	outstanding int // requests that hold a slot, including lost ones
	lost        int // requests without an answer that may still be running
	cap         int // slots that may be used; fewer than slots after a refusal and during slow start
	listed      bool
	ejected     bool
	suspect     bool // due for ejection, but the ejected share is at its limit
	probing     bool
	leavingTill time.Duration // 0 unless the target is leaving
	streak      int           // consecutive failures
	backOff     time.Duration
	probeAt     time.Duration
	level       int // index of its list in heads and tails; none if it is in no list
	prev, next  int // neighbors in that list
}

// Pool holds the targets of one service at one entry. It is not safe for concurrent use.
//
// Targets with a free slot are kept in linked lists, one for each level of load.
type Pool struct {
	nodes     []node
	names     map[string]int
	unused    []int
	racks     map[string]int
	rackLoad  []int // outstanding requests by rack
	heads     [levels]int
	tails     [levels]int
	filled    uint32 // bit set of the levels that are not empty
	listed    int
	ejected   int
	usable    int
	slots     int // of usable targets
	free      int // of usable targets
	busy      int // requests at targets, without lost ones
	nextProbe time.Duration
	nextOpen  time.Duration
	failing   float64 // average share of failed sends; of consecutive failures of a target only the first counts
	maxShare  float64
	lost      []running
}

// Option configures a Pool.
type Option func(*Pool)

// WithMaxEjected sets the share of the targets that may be ejected at once.
func WithMaxEjected(f float64) Option { return func(p *Pool) { p.maxShare = f } }

// New returns a Pool without targets.
func New(opts ...Option) *Pool {
	p := &Pool{
		names: map[string]int{}, racks: map[string]int{}, maxShare: defaultEjected,
		nextProbe: forever, nextOpen: forever,
	}
	for i := range levels {
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
	for i := range p.nodes {
		if n := &p.nodes[i]; n.outstanding > 0 {
			m[n.name] = n.outstanding
		}
	}
}

// Usable returns the number of targets that are listed, not ejected and not leaving.
func (p *Pool) Usable() int { return p.usable }

// Listed returns the number of targets in the last Set.
func (p *Pool) Listed() int { return p.listed }

// Ready reports whether Pick may find a target.
func (p *Pool) Ready(now time.Duration) bool {
	return p.free > 0 || now >= p.nextProbe || now >= p.nextOpen
}

// Ejected returns the number of ejected targets.
func (p *Pool) Ejected() int { return p.ejected }

// Set replaces the list of targets. A target that stays keeps its state; one that is dropped is kept until its requests
// are done.
func (p *Pool) Set(now time.Duration, targets []Target) {
	for i := range p.nodes {
		if p.nodes[i].listed {
			p.change(i, func(n *node) { n.listed = false })
		}
	}
	p.listed = 0
	for _, t := range targets {
		p.list(now, t)
	}
	for i := range p.nodes {
		p.collect(i)
	}
	p.keepShare()
}

// list adds a target or updates the one of the same name, and marks it as listed.
func (p *Pool) list(now time.Duration, t Target) {
	i, ok := p.names[t.name]
	if !ok {
		i = p.add(t)
	}
	if p.nodes[i].listed {
		return
	}
	p.listed++
	p.change(i, func(n *node) {
		n.listed = true
		n.resize(t.slots)
		if n.leavingTill > 0 && n.leavingTill <= now {
			n.leavingTill = 0
		}
	})
}

func (p *Pool) add(t Target) int {
	i := len(p.nodes)
	if k := len(p.unused); k > 0 {
		i, p.unused = p.unused[k-1], p.unused[:k-1]
	} else {
		p.nodes = append(p.nodes, node{})
	}
	r, ok := p.racks[t.rack]
	if !ok {
		r = len(p.rackLoad)
		p.racks[t.rack] = r
		p.rackLoad = append(p.rackLoad, 0)
	}
	p.nodes[i] = node{Target: t, cap: t.slots, rackID: r, level: none, prev: none, next: none}
	p.names[t.name] = i
	return i
}

// collect removes a target that is not listed and has no outstanding requests.
func (p *Pool) collect(i int) {
	n := &p.nodes[i]
	if n.listed || n.outstanding > 0 || n.name == "" {
		return
	}
	if n.ejected {
		p.ejected--
	}
	delete(p.names, n.name)
	*n = node{level: none, prev: none, next: none}
	p.unused = append(p.unused, i)
}

// SetSlots changes the number of slots of one target. It does nothing if the target is unknown.
func (p *Pool) SetSlots(name string, slots int) {
	if i, ok := p.names[name]; ok && p.nodes[i].slots != slots {
		p.change(i, func(n *node) { n.resize(slots) })
	}
}

// resize changes the number of slots, and opens all of them unless the target is ejected or some of its slots are closed.
func (n *node) resize(slots int) {
	if n.cap >= n.slots && !n.ejected {
		n.cap = slots
	}
	n.slots = max(0, slots)
}

func (n *node) inUse() bool { return n.listed && !n.ejected && n.leavingTill == 0 }

// limit returns the number of requests that the target may have: at least one while only some of its slots are open.
func (n *node) limit() int {
	if n.suspect || n.cap < n.slots {
		return min(n.slots, max(n.cap, 1))
	}
	return n.slots
}

// change applies f to a target and updates the totals and lists.
func (p *Pool) change(i int, f func(*node)) {
	n := &p.nodes[i]
	p.count(n, -1)
	f(n)
	p.count(n, 1)
	p.relist(i)
}

// count adds the target to the totals if sign is 1, or subtracts it if sign is -1.
func (p *Pool) count(n *node, sign int) {
	if !n.inUse() {
		return
	}
	p.usable += sign
	p.slots += sign * n.slots
	p.free += sign * max(0, n.limit()-n.outstanding)
}

// relist moves a target to the end of the list of its level, or out of all lists if it can take no request. A suspect
// target goes to the last level, so that it is picked last.
func (p *Pool) relist(i int) {
	n := &p.nodes[i]
	p.unlink(i)
	l := n.limit()
	if !n.inUse() || n.outstanding >= l {
		return
	}
	k := min(n.outstanding*levels/l, levels-1)
	if n.suspect {
		k = levels - 1
	}
	n.level, n.prev, n.next = k, p.tails[k], none
	if n.prev == none {
		p.heads[k] = i
	} else {
		p.nodes[n.prev].next = i
	}
	p.tails[k] = i
	p.filled |= 1 << k
}

func (p *Pool) unlink(i int) {
	n := &p.nodes[i]
	if n.level == none {
		return
	}
	if n.prev == none {
		p.heads[n.level] = n.next
	} else {
		p.nodes[n.prev].next = n.next
	}
	if n.next == none {
		p.tails[n.level] = n.prev
	} else {
		p.nodes[n.next].prev = n.prev
	}
	if p.heads[n.level] == none {
		p.filled &^= 1 << n.level
	}
	n.level = none
}

// Pick takes a slot and returns its target. It skips the target named avoid while more than one target is usable.
// A request with delayProbe set becomes the probe of an ejected target only one backoff after the probe is due.
func (p *Pool) Pick(now time.Duration, avoid string, delayProbe bool) (string, bool) {
	if now >= p.nextOpen {
		p.reopen(now)
	}
	if now >= p.nextProbe {
		if i := p.probe(now, delayProbe); i != none {
			return p.take(i), true
		}
	}
	for f := p.filled; f != 0; f &= f - 1 {
		if i := p.least(bits.TrailingZeros32(f), avoid); i != none {
			return p.take(i), true
		}
	}
	return "", false
}

// least returns, of the first few targets of the level, the one whose rack has the least load.
func (p *Pool) least(level int, avoid string) int {
	best := none
	for i, k := p.heads[level], 0; i != none && k < look; i, k = p.nodes[i].next, k+1 {
		n := &p.nodes[i]
		if n.name == avoid && p.usable > 1 {
			k--
			continue
		}
		if best == none || p.rackLoad[n.rackID] < p.rackLoad[p.nodes[best].rackID] {
			best = i
		}
	}
	return best
}

func (p *Pool) take(i int) string {
	n := &p.nodes[i]
	if n.inUse() {
		p.free--
	}
	n.outstanding++
	p.busy++
	p.rackLoad[n.rackID]++
	p.relist(i)
	return n.name
}
