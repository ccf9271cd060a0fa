package entry

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"burdockreach.dev/flow/sched"
	"burdockreach.dev/node/burn"
)

// serveUnreadable answers a request that the HTTP server could not parse; it was not run.
func (e *Entry) serveUnreadable(x *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	r := notRun(fasthttp.StatusBadRequest, "parse", "the request cannot be read as HTTP")
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		r = notRun(fasthttp.StatusRequestEntityTooLarge, "parse", fmt.Sprintf("the body is over %d bytes", e.settings.MaxBodyBytes()))
	case errors.As(err, &small):
		r = notRun(fasthttp.StatusRequestHeaderFieldsTooLarge, "parse", fmt.Sprintf("the header is over %d bytes", maxHeaderBytes))
	}
	e.counters.refused.Add(1)
	r.write(x, e.requestIDs.next())
}

// requestIDs generates request ids that are unique in the fleet and across restarts: name, start time and a counter.
type requestIDs struct {
	prefix string
	n      atomic.Uint64
}

func newRequestIDs(name string) *requestIDs {
	return &requestIDs{prefix: name + "-" + strconv.FormatInt(time.Now().UnixNano(), 36) + "-"}
}

func (i *requestIDs) next() string { return i.prefix + strconv.FormatUint(i.n.Add(1), 36) }

// noKeys is the default Keys: it refuses every request with a key.
type noKeys struct{}

// Claim refuses the key.
func (noKeys) Claim(context.Context, string, string, []byte) ClaimResult {
	return ClaimResult{Verdict: ClaimFailed, Reason: "no holder of keys is configured"}
}

// noOutcomeCounter is the default counter: it counts nothing.
type noOutcomeCounter struct{}

// Add does nothing.
func (noOutcomeCounter) Add(burn.SeriesKey, burn.Outcome) {}

func className(c sched.Class) string {
	switch c {
	case sched.Urgent:
		return "urgent"
	case sched.Background:
		return "background"
	}
	return "normal"
}

func (e *Entry) countOutcome(o checkedRequest, b burn.Outcome) {
	e.outcomeCounter.Add(burn.SeriesKey{Service: o.service, Class: className(o.class)}, b)
}

// countUnanswered counts a request that got no answer from a target.
func (e *Entry) countUnanswered(o checkedRequest, r *Refusal) {
	switch r.Outcome {
	case OutcomeRepeat:
		e.counters.repeated.Add(1)
		return
	case OutcomeUnknown:
		e.counters.unknown.Add(1)
		if r.Step != stepClaim {
			e.countOutcome(o, burn.Failed)
		}
	default:
		e.counters.ended.Add(1)
		if r.status >= fasthttp.StatusInternalServerError {
			e.countOutcome(o, burn.Refused)
		}
	}
}
