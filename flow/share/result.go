package share

import (
	"fmt"
	"slices"
	"time"

	"burdockreach.dev/flow/sched"
)

const (
	sliceLength    = 100 * time.Millisecond // work is counted in slices of time of this length
	recoveryWindow = 10 * time.Second       // requests lost within this time after a burst count towards the recovery
)

// Result holds the outcome of a trace under a policy.
type Result struct {
	trace             Trace
	lastEventSeq      int // sequence number of the replay's latest event
	arrived           [3]int
	inTime            [3]int
	latency           [3][]time.Duration
	ended             map[sched.Reason]int
	slotSeconds       []float64 // spent on requests that were answered in time, per slice
	sends             int
	recovery          time.Duration
	refused, messages int
}

func newResult(t Trace) Result {
	return Result{trace: t, ended: map[sched.Reason]int{}, slotSeconds: make([]float64, int((t.end+2*drainTime)/sliceLength)+1)}
}

// addRun adds the slot time of a request that was answered in time.
func (r *Result) addRun(from, to time.Duration) {
	for k := int(from / sliceLength); k < len(r.slotSeconds) && time.Duration(k)*sliceLength < to; k++ {
		a, b := time.Duration(k)*sliceLength, time.Duration(k+1)*sliceLength
		r.slotSeconds[k] += (min(b, to) - max(a, from)).Seconds()
	}
}

// addAnswer counts a request that was answered in time.
func (r *Result) addAnswer(q Request, at time.Duration) {
	r.inTime[q.class]++
	r.latency[q.class] = append(r.latency[q.class], at-q.arrivesAt)
}

// addLoss records that a request, or one of its sends, ended without an answer.
func (r *Result) addLoss(now time.Duration) {
	for _, b := range r.trace.bursts {
		if now >= b.to && now < b.to+recoveryWindow {
			r.recovery = max(r.recovery, now-b.to)
		}
	}
}

// Recovery returns the time from the end of a burst to the last request that still ended without an answer; the longest of
// all bursts counts.
func (r *Result) Recovery() time.Duration { return r.recovery }

// Goodput returns the slot time spent on requests that were answered in time, as a share of the capacity during bursts.
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

// InTime returns the share of the requests of class c that were answered in time, 1 if there were none.
func (r *Result) InTime(c sched.Class) float64 {
	if r.arrived[c] == 0 {
		return 1
	}
	return float64(r.inTime[c]) / float64(r.arrived[c])
}

// Quantile returns the f-quantile of the latency of the requests of class c that were answered in time, 0 if there were none.
func (r *Result) Quantile(c sched.Class, f float64) time.Duration {
	l := slices.Sorted(slices.Values(r.latency[c]))
	if len(l) == 0 {
		return 0
	}
	return l[min(len(l)-1, int(f*float64(len(l))))]
}

// Ended returns the number of requests that ended for the given reason.
func (r *Result) Ended(reason sched.Reason) int { return r.ended[reason] }

// Refused returns the number of sends that targets refused because all their slots were occupied.
func (r *Result) Refused() int { return r.refused }

// Messages returns the number of messages between entries.
func (r *Result) Messages() int { return r.messages }

// String formats all figures on one line.
func (r *Result) String() string {
	return fmt.Sprintf("goodput=%.4f urgentInTime=%.5f normalInTime=%.4f backgroundInTime=%.4f urgentP99=%s normalP99=%s recovery=%s refusedSends=%d messages=%d ended=%v",
		r.Goodput(), r.InTime(sched.Urgent), r.InTime(sched.Normal), r.InTime(sched.Background),
		r.Quantile(sched.Urgent, 0.99), r.Quantile(sched.Normal, 0.99), r.recovery, r.refused, r.messages, r.ended)
}
