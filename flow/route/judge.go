package route

import (
	"math"
	"slices"
	"time"
)

// Outcome is the result of a send, as far as it concerns the target.
type Outcome uint8

const (
	// Good means that the target answered.
	Good Outcome = iota
	// Bad means that the target failed.
	Bad
	// Full means that the target refused because its slots were taken.
	Full
	// Lost means that no answer came; the target may still be running the request.
	Lost
	// Mute means that the result says nothing about the target.
	Mute
)

const (
	minStreak   = 3        // consecutive failures that eject a target of a healthy pool
	maxStreak   = 20       // the same for a pool with a high failure rate
	chance      = 1e-4     // probability of ejecting a target that fails no more than the others
	failingGain = 1.0 / 64 // weight of a new send in the average
	minFailing  = 0.02     // least failure rate assumed for the threshold
)

// Done ends a request and updates its target's state by the outcome. It releases the slot at once, except that a lost
// request keeps its slot for the time runOn, in which it may still be running.
func (p *Pool) Done(now time.Duration, name string, o Outcome, runOn time.Duration) {
	i, ok := p.names[name]
	if !ok || p.nodes[i].outstanding == p.nodes[i].lost {
		return
	}
	n := &p.nodes[i]
	p.busy--
	if o == Lost && runOn > 0 {
		n.lost++
		p.keep(now+runOn, i)
	} else {
		p.giveBack(i)
	}
	switch {
	case o == Good:
		p.good(i)
	case o == Bad || o == Lost:
		p.bad(now, i)
	case o == Full:
		p.full(now, i)
	case n.probing:
		n.probing = false
		p.nextProbe = min(p.nextProbe, n.probeAt)
	}
	p.collect(i)
}

// good ends an ejection and opens one more slot of a target in slow start.
func (p *Pool) good(i int) {
	n := &p.nodes[i]
	p.failing -= p.failing * failingGain
	n.streak, n.probing = 0, false
	if !n.ejected && !n.suspect && n.cap >= n.slots {
		n.backOff = 0
		return
	}
	p.change(i, func(n *node) {
		if n.ejected {
			n.ejected, n.cap = false, 0
			p.ejected--
		}
		n.suspect = false
		n.cap = min(n.slots, n.cap+1)
	})
}

// bad ejects a target after too many consecutive failures, or after one in the slow start that follows an ejection.
func (p *Pool) bad(now time.Duration, i int) {
	n := &p.nodes[i]
	n.streak++
	if n.streak == 1 {
		p.failing += (1 - p.failing) * failingGain
	}
	if n.ejected {
		if n.probing {
			n.probing = false
			p.postpone(now, n)
		}
		return
	}
	slowStart := n.cap < n.slots && n.backOff > 0
	if n.streak >= p.tolerated() || slowStart {
		p.eject(now, i)
	}
}

// giveBack releases one slot of a target.
func (p *Pool) giveBack(i int) {
	n := &p.nodes[i]
	p.count(n, -1)
	n.outstanding--
	p.rackLoad[n.rackID]--
	p.count(n, 1)
	p.relist(i)
}

// full limits a target that refused to the requests that it still has from this pool. If it has none, the refusal counts as a failure.
func (p *Pool) full(now time.Duration, i int) {
	if p.nodes[i].outstanding == 0 || p.nodes[i].ejected {
		p.bad(now, i)
		return
	}
	p.change(i, func(n *node) { n.cap = min(n.cap, n.outstanding) })
}

// running is a lost request that may still hold a slot.
type running struct {
	till time.Duration
	node int
}

// keep adds a lost request to the list, which is ordered by expiry.
func (p *Pool) keep(till time.Duration, i int) {
	k := len(p.lost)
	for k > 0 && p.lost[k-1].till > till {
		k--
	}
	p.lost = slices.Insert(p.lost, k, running{till, i})
}

// Pass releases the slots of lost requests whose time has run out by now.
func (p *Pool) Pass(now time.Duration) {
	k := 0
	for ; k < len(p.lost) && p.lost[k].till <= now; k++ {
		i := p.lost[k].node
		p.nodes[i].lost--
		p.giveBack(i)
		p.collect(i)
	}
	if k > 0 {
		p.lost = slices.Delete(p.lost, 0, k)
	}
}

// tolerated returns the number of consecutive failures that eject a target: at the pool's failure rate, a target that is
// no worse than the others reaches it with the probability chance.
func (p *Pool) tolerated() int {
	k := math.Log(chance) / math.Log(min(0.9, max(minFailing, p.failing)))
	return min(maxStreak, max(minStreak, int(math.Ceil(k))))
}

// eject ejects a target, or marks it as suspect if that would exceed the limit of ejected targets.
func (p *Pool) eject(now time.Duration, i int) {
	if float64(p.ejected+1) > p.maxShare*float64(p.usable+p.ejected) {
		p.change(i, func(n *node) { n.suspect = true })
		return
	}
	p.change(i, func(n *node) { n.ejected, n.suspect = true, false })
	p.ejected++
	p.postpone(now, &p.nodes[i])
}

// postpone doubles the backoff of an ejected target and schedules its next probe.
func (p *Pool) postpone(now time.Duration, n *node) {
	n.backOff = min(lastBackOff, max(firstBackOff, 2*n.backOff))
	n.probeAt = now + n.backOff
	p.nextProbe = min(p.nextProbe, n.probeAt)
}

// probe returns an ejected target that is due for a probe, or none, and finds the time of the next probe.
func (p *Pool) probe(now time.Duration, delayProbe bool) int {
	best, next := none, forever
	for i := range p.nodes {
		n := &p.nodes[i]
		if !n.ejected || n.probing || !n.listed || n.leavingTill != 0 || n.slots == 0 {
			continue
		}
		due := n.probeAt
		if delayProbe {
			due += n.backOff
		}
		if best == none && due <= now && n.outstanding == 0 {
			best = i
			continue
		}
		next = min(next, max(n.probeAt, now+minProbeGap))
	}
	p.nextProbe = next
	if best != none {
		p.nodes[best].probing = true
	}
	return best
}

const minProbeGap = 50 * time.Millisecond

// Leave stops new requests to a target that reported that it is leaving. It lasts until the target has been dropped from
// the list, or for a limited time if the target stays listed.
func (p *Pool) Leave(now time.Duration, name string) {
	if i, ok := p.names[name]; ok {
		p.change(i, func(n *node) { n.leavingTill = now + leavingHold })
		p.nextOpen = min(p.nextOpen, now+leavingHold)
		p.keepShare()
	}
}

// keepShare returns ejected targets to use, marked as suspect, while their share exceeds the limit.
func (p *Pool) keepShare() {
	for p.ejected > 0 && float64(p.ejected) > p.maxShare*float64(p.usable+p.ejected) {
		best := none
		for i := range p.nodes {
			n := &p.nodes[i]
			if n.ejected && n.listed && n.leavingTill == 0 && (best == none || n.probeAt < p.nodes[best].probeAt) {
				best = i
			}
		}
		if best == none {
			return
		}
		p.ejected--
		p.change(best, func(n *node) { n.ejected, n.probing, n.suspect, n.cap = false, false, true, n.slots })
	}
}

// reopen returns targets to use that reported long ago that they are leaving and are still listed.
func (p *Pool) reopen(now time.Duration) {
	p.nextOpen = forever
	for i := range p.nodes {
		n := &p.nodes[i]
		if n.leavingTill == 0 {
			continue
		}
		if n.leavingTill > now {
			p.nextOpen = min(p.nextOpen, n.leavingTill)
			continue
		}
		p.change(i, func(n *node) { n.leavingTill, n.cap = 0, 1 })
	}
}
