package route

import (
	"math"
	"slices"
	"time"
)

// Outcome is the result of a send, as far as it concerns the target.
type Outcome uint8

const (
	// Succeeded means that the target answered.
	Succeeded Outcome = iota
	// Failed means that the target failed.
	Failed
	// Refused means that the target refused because its slots were taken.
	Refused
	// Lost means that no answer came; the target may still be running the request.
	Lost
	// Inconclusive means that the result says nothing about the target.
	Inconclusive
)

const (
	minFailureStreak  = 3        // consecutive failures that eject a target of a healthy pool
	maxFailureStreak  = 20       // the same for a pool with a high failure rate
	falseEjectionRate = 1e-4     // probability of ejecting a target that fails no more than the others
	failureRateWeight = 1.0 / 64 // weight of a new send in the average
	minFailureRate    = 0.02     // least failure rate assumed for the threshold
)

// Done ends a request and updates its target's state by the outcome. It releases the slot at once, except that a lost
// request keeps its slot for the time runOn, in which it may still be running.
func (p *Pool) Done(now time.Duration, name string, o Outcome, runOn time.Duration) {
	i, ok := p.indexByName[name]
	if !ok || p.targets[i].outstanding == p.targets[i].lost {
		return
	}
	n := &p.targets[i]
	p.busy--
	if o == Lost && runOn > 0 {
		n.lost++
		p.addLost(now+runOn, i)
	} else {
		p.releaseSlot(i)
	}
	switch {
	case o == Succeeded:
		p.recordSuccess(i)
	case o == Failed || o == Lost:
		p.recordFailure(now, i)
	case o == Refused:
		p.recordRefusal(now, i)
	case n.probing:
		n.probing = false
		p.nextProbe = min(p.nextProbe, n.probeAt)
	}
	p.removeIfUnused(i)
}

// recordSuccess ends an ejection and opens one more slot of a target in slow start.
func (p *Pool) recordSuccess(i int) {
	n := &p.targets[i]
	p.failureRate -= p.failureRate * failureRateWeight
	n.failureStreak, n.probing = 0, false
	if !n.ejected && !n.suspect && n.openSlots >= n.slots {
		n.backoff = 0
		return
	}
	p.update(i, func(n *targetState) {
		if n.ejected {
			n.ejected, n.openSlots = false, 0
			p.ejected--
		}
		n.suspect = false
		n.openSlots = min(n.slots, n.openSlots+1)
	})
}

// recordFailure ejects a target after too many consecutive failures, or after one failure in the slow start that follows
// an ejection.
func (p *Pool) recordFailure(now time.Duration, i int) {
	n := &p.targets[i]
	n.failureStreak++
	if n.failureStreak == 1 {
		p.failureRate += (1 - p.failureRate) * failureRateWeight
	}
	if n.ejected {
		if n.probing {
			n.probing = false
			p.scheduleProbe(now, n)
		}
		return
	}
	slowStart := n.openSlots < n.slots && n.backoff > 0
	if n.failureStreak >= p.ejectionThreshold() || slowStart {
		p.eject(now, i)
	}
}

// releaseSlot releases one slot of a target.
func (p *Pool) releaseSlot(i int) {
	n := &p.targets[i]
	p.addToTotals(n, -1)
	n.outstanding--
	p.rackLoad[n.rackID]--
	p.addToTotals(n, 1)
	p.relink(i)
}

// recordRefusal limits a target that refused to the number of requests that it still has from this pool. If it has none,
// the refusal counts as a failure.
func (p *Pool) recordRefusal(now time.Duration, i int) {
	if p.targets[i].outstanding == 0 || p.targets[i].ejected {
		p.recordFailure(now, i)
		return
	}
	p.update(i, func(n *targetState) { n.openSlots = min(n.openSlots, n.outstanding) })
}

// lostRequest is a request without an answer that holds a slot until the given time.
type lostRequest struct {
	until  time.Duration
	target int
}

// addLost adds a lost request to the list, which is ordered by expiry.
func (p *Pool) addLost(till time.Duration, i int) {
	k := len(p.lostRequests)
	for k > 0 && p.lostRequests[k-1].until > till {
		k--
	}
	p.lostRequests = slices.Insert(p.lostRequests, k, lostRequest{till, i})
}

// Advance releases the slots of lost requests whose time has run out by now.
func (p *Pool) Advance(now time.Duration) {
	k := 0
	for ; k < len(p.lostRequests) && p.lostRequests[k].until <= now; k++ {
		i := p.lostRequests[k].target
		p.targets[i].lost--
		p.releaseSlot(i)
		p.removeIfUnused(i)
	}
	if k > 0 {
		p.lostRequests = slices.Delete(p.lostRequests, 0, k)
	}
}

// ejectionThreshold returns the number of consecutive failures that eject a target. At the pool's failure rate, a target
// that is no worse than the others reaches it with the probability falseEjectionRate. The result is at least
// minFailureStreak and at most maxFailureStreak.
func (p *Pool) ejectionThreshold() int {
	k := math.Log(falseEjectionRate) / math.Log(min(0.9, max(minFailureRate, p.failureRate)))
	return min(maxFailureStreak, max(minFailureStreak, int(math.Ceil(k))))
}

// eject ejects a target, or marks it as suspect if that would exceed the limit of ejected targets.
func (p *Pool) eject(now time.Duration, i int) {
	if float64(p.ejected+1) > p.maxEjected*float64(p.usable+p.ejected) {
		p.update(i, func(n *targetState) { n.suspect = true })
		return
	}
	p.update(i, func(n *targetState) { n.ejected, n.suspect = true, false })
	p.ejected++
	p.scheduleProbe(now, &p.targets[i])
}

// scheduleProbe doubles the backoff of an ejected target and schedules its next probe.
func (p *Pool) scheduleProbe(now time.Duration, n *targetState) {
	n.backoff = min(maxBackoff, max(minBackoff, 2*n.backoff))
	n.probeAt = now + n.backoff
	p.nextProbe = min(p.nextProbe, n.probeAt)
}

// dueProbe returns an ejected target that is due for a probe, or none, and finds the time of the next probe.
func (p *Pool) dueProbe(now time.Duration, delayProbe bool) int {
	best, next := none, forever
	for i := range p.targets {
		n := &p.targets[i]
		if !n.ejected || n.probing || !n.listed || n.leavingUntil != 0 || n.slots == 0 {
			continue
		}
		due := n.probeAt
		if delayProbe {
			due += n.backoff
		}
		if best == none && due <= now && n.outstanding == 0 {
			best = i
			continue
		}
		next = min(next, max(n.probeAt, now+minProbeInterval))
	}
	p.nextProbe = next
	if best != none {
		p.targets[best].probing = true
	}
	return best
}

const minProbeInterval = 50 * time.Millisecond

// MarkLeaving stops new requests to a target that reported that it is leaving. It lasts until the target has been dropped from
// the list, or for a limited time if the target stays listed.
func (p *Pool) MarkLeaving(now time.Duration, name string) {
	if i, ok := p.indexByName[name]; ok {
		p.update(i, func(n *targetState) { n.leavingUntil = now + leavingTimeout })
		p.nextReadmit = min(p.nextReadmit, now+leavingTimeout)
		p.limitEjected()
	}
}

// limitEjected returns ejected targets to use, marked as suspect, while their share exceeds the limit.
func (p *Pool) limitEjected() {
	for p.ejected > 0 && float64(p.ejected) > p.maxEjected*float64(p.usable+p.ejected) {
		best := none
		for i := range p.targets {
			n := &p.targets[i]
			if n.ejected && n.listed && n.leavingUntil == 0 && (best == none || n.probeAt < p.targets[best].probeAt) {
				best = i
			}
		}
		if best == none {
			return
		}
		p.ejected--
		p.update(best, func(n *targetState) { n.ejected, n.probing, n.suspect, n.openSlots = false, false, true, n.slots })
	}
}

// readmitLeaving returns targets to use that reported long ago that they are leaving and are still listed.
func (p *Pool) readmitLeaving(now time.Duration) {
	p.nextReadmit = forever
	for i := range p.targets {
		n := &p.targets[i]
		if n.leavingUntil == 0 {
			continue
		}
		if n.leavingUntil > now {
			p.nextReadmit = min(p.nextReadmit, n.leavingUntil)
			continue
		}
		p.update(i, func(n *targetState) { n.leavingUntil, n.openSlots = 0, 1 })
	}
}
