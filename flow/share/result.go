package share

import (
	"fmt"
	"slices"
	"time"

	"burdockreach.dev/flow/sched"
)

const (
	sliceLength    = 100 * time.Millisecond // in which work is counted
	recoveryWindow = 10 * time.Second       // after a turn, in which the recovery is looked for
)

// Result is what came of a trace under a policy.
type Result struct {
	trace             Trace
	lastEventSeq      int
	arrived           [3]int
	inTime            [3]int
	latency           [3][]time.Duration
	ended             map[sched.Reason]int
	slotSeconds       []float64 // slot seconds of answers in time, in each slice
	sends             int
	recovery          time.Duration
	refused, messages int
}

func newResult(t Trace) Result {
	return Result{trace: t, ended: map[sched.Reason]int{}, slotSeconds: make([]float64, int((t.end+2*drainTime)/sliceLength)+1)}
}

// addRun counts a run that is answered in time.
func (r *Result) addRun(from, to time.Duration) {
	for k := int(from / sliceLength); k < len(r.slotSeconds) && time.Duration(k)*sliceLength < to; k++ {
		a, b := time.Duration(k)*sliceLength, time.Duration(k+1)*sliceLength
		r.slotSeconds[k] += (min(b, to) - max(a, from)).Seconds()
	}
}

func (r *Result) addAnswer(q Request, at time.Duration) {
	r.inTime[q.class]++
	r.latency[q.class] = append(r.latency[q.class], at-q.arrivesAt)
}

// addLoss counts a request that ended without an answer.
func (r *Result) addLoss(now time.Duration) {
	for _, b := range r.trace.bursts {
		if now >= b.to && now < b.to+recoveryWindow {
			r.recovery = max(r.recovery, now-b.to)
		}
	}
}

// Recovery returns the longest time after a turn in which a request still ended without an answer.
func (r *Result) Recovery() time.Duration { return r.recovery }

// Goodput returns the work that was answered in time as a share of the capacity, over the turns.
func (r *Result) Goodput() float64 {
	sum, capacity := 0.0, 0.0
	for _, b := range r.trace.bursts {
		for k := int(b.from / sliceLength); k < int(b.to/sliceLength); k++ {
			sum += r.slotSeconds[k]
			capacity += sliceLength.Seconds() * float64(r.trace.targets*r.trace.slots)
		}
	}
	return sum / capacity
}

// InTime returns the share of the requests of class c that were answered in time.
func (r *Result) InTime(c sched.Class) float64 {
	if r.arrived[c] == 0 {
		return 1
	}
	return float64(r.inTime[c]) / float64(r.arrived[c])
}

// Quantile returns the latency within which the share f of the answers of class c came.
func (r *Result) Quantile(c sched.Class, f float64) time.Duration {
	l := slices.Sorted(slices.Values(r.latency[c]))
	if len(l) == 0 {
		return 0
	}
	return l[min(len(l)-1, int(f*float64(len(l))))]
}

// Ended returns the number of requests that ended for the reason.
func (r *Result) Ended(reason sched.Reason) int { return r.ended[reason] }

// Refused returns the number of sends that a target refused because its slots were taken.
func (r *Result) Refused() int { return r.refused }

// Messages returns the number of messages between entries.
func (r *Result) Messages() int { return r.messages }

// String returns the figures in one line.
func (r *Result) String() string {
	return fmt.Sprintf("goodput=%.4f urgentInTime=%.5f normalInTime=%.4f backgroundInTime=%.4f urgentP99=%s normalP99=%s recovery=%s refusedSends=%d messages=%d ended=%v",
		r.Goodput(), r.InTime(sched.Urgent), r.InTime(sched.Normal), r.InTime(sched.Background),
		r.Quantile(sched.Urgent, 0.99), r.Quantile(sched.Normal, 0.99), r.recovery, r.refused, r.messages, r.ended)
}
