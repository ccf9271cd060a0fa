package route

import (
	"math/bits"
	"time"
)

const (
	levels         = 16 // steps of load, from idle to nearly full
	look           = 4  // targets of one level that are compared by rack
	defaultEjected = 0.5
	firstBackOff   = time.Second
	lastBackOff    = time.Minute
	leavingHold    = 30 * time.Second // a leaving target that is still listed after it is tried again
	none           = -1
)

// Target describes one target to a Pool.
type Target struct {
	name, rack string
	slots      int
}

// NewTarget returns a target in a rack, with the number of requests that may be at it at once.
func NewTarget(name, rack string, slots int) Target {
	return Target{name: name, rack: rack, slots: slots}
}

// node is what a Pool knows of a target.
type node struct {
	Target
	rackID      int
	outstanding int // lost ones included
	lost        int
	cap         int // slots open to it while it starts slowly
	listed      bool
	ejected     bool
	suspect     bool // would be ejected if the pool were larger
	probing     bool
	leavingTill time.Duration
	streak      int
	backOff     time.Duration
	probeAt     time.Duration
	level       int // none if it is in no list
	prev, next  int
}

// Pool holds the targets of one service at one entry.
type Pool struct {
	nodes     []node
	names     map[string]int
	unused    []int
	racks     map[string]int
	rackLoad  []int
	heads     [levels]int
	tails     [levels]int
	filled    uint32 // levels that are not empty
	listed    int
	ejected   int
	usable    int
	slots     int // of usable targets
	free      int // of usable targets
	busy      int
	nextProbe time.Duration
	nextOpen  time.Duration
	failing   float64 // share of sends that fail by chance
	maxShare  float64
	lost      []running
}

// Option changes a Pool at its making.
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

// Free returns the number of slots that are free at targets in use.
func (p *Pool) Free() int { return p.free }

// Slots returns the number of slots, free or not, of targets in use.
func (p *Pool) Slots() int { return p.slots }

// Busy returns the number of requests at targets.
func (p *Pool) Busy() int { return p.busy }

// Taken sets in m the number of slots that are taken at each target, those of lost requests included.
func (p *Pool) Taken(m map[string]int) {
	for i := range p.nodes {
		if n := &p.nodes[i]; n.outstanding > 0 {
			m[n.name] = n.outstanding
		}
	}
}

// Usable returns the number of targets in use.
func (p *Pool) Usable() int { return p.usable }

// Listed returns the number of targets that were last set.
func (p *Pool) Listed() int { return p.listed }

// Ready reports whether a Pick may find a target.
func (p *Pool) Ready(now time.Duration) bool {
	return p.free > 0 || now >= p.nextProbe || now >= p.nextOpen
}

// Ejected returns the number of ejected targets.
func (p *Pool) Ejected() int { return p.ejected }

// Set replaces the targets; those that stay keep what is known of them, those that go keep their requests until done.
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

// collect forgets a target that is off the list and has no request.
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

// SetSlots replaces the slots of one target; it does nothing if the target is not known.
func (p *Pool) SetSlots(name string, slots int) {
	if i, ok := p.names[name]; ok && p.nodes[i].slots != slots {
		p.change(i, func(n *node) { n.resize(slots) })
	}
}

// resize opens all slots of a target that is not starting slowly.
func (n *node) resize(slots int) {
	if n.cap >= n.slots && !n.ejected {
		n.cap = slots
	}
	n.slots = max(0, slots)
}

func (n *node) inUse() bool { return n.listed && !n.ejected && n.leavingTill == 0 }

func (n *node) limit() int {
	if n.suspect || n.cap < n.slots {
		return min(n.slots, max(n.cap, 1))
	}
	return n.slots
}

// change applies f to a target and keeps sums and lists true.
func (p *Pool) change(i int, f func(*node)) {
	n := &p.nodes[i]
	p.count(n, -1)
	f(n)
	p.count(n, 1)
	p.relist(i)
}

func (p *Pool) count(n *node, sign int) {
	if !n.inUse() {
		return
	}
	p.usable += sign
	p.slots += sign * n.slots
	p.free += sign * max(0, n.limit()-n.outstanding)
}

// relist moves a target to the end of the list of its level.
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

// Pick takes a slot and returns its target. It passes over avoid while another target is in use.
// A careful request is only slowly made the trial of an ejected target.
func (p *Pool) Pick(now time.Duration, avoid string, careful bool) (string, bool) {
	if now >= p.nextOpen {
		p.reopen(now)
	}
	if now >= p.nextProbe {
		if i := p.probe(now, careful); i != none {
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

// least returns the target of the level whose rack has the least load, among the first few.
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
