package entry

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"burdockreach.dev/flow/sched"
)

// Headers between callers and entries.
const (
	headerRequest    = "Burdock-Request"
	headerOutcome    = "Burdock-Outcome"
	headerStep       = "Burdock-Step"
	headerEntry      = "Burdock-Entry"
	headerClass      = "Burdock-Class"
	headerTimeout    = "Burdock-Timeout-Ms"
	headerRetryAfter = "Burdock-Retry-After-Ms"
	headerTeam       = "Burdock-Team"
	headerDeadline   = "Burdock-Deadline-Ms"
	headerNotRun     = "Burdock-Not-Run"
	headerLeaving    = "Burdock-Leaving"
	headerKey        = "Idempotency-Key"
)

// stepSchedule is the step of a request that the scheduler ended.
const stepSchedule = "schedule"

// Outcome says whether a caller's request ran.
type Outcome string

const (
	// OutcomeAnswered means that the caller gets the target's complete answer.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun means that the request was certainly not run.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeRepeat means that the caller gets the stored answer of an earlier copy.
	OutcomeRepeat Outcome = "repeat"
)

// Refusal is the JSON body of an answer that does not come from a target. With kept set, that stored answer is written instead.
type Refusal struct {
	RequestID    string  `json:"requestId"`
	Outcome      Outcome `json:"outcome"`
	Step         string  `json:"step"`
	Reason       string  `json:"reason"`
	RetryAfterMs int64   `json:"retryAfterMs,omitempty"`

	status int
	kept   *StoredAnswer
}

func notRun(status int, step, reason string) *Refusal {
	return &Refusal{Outcome: OutcomeNotRun, Step: step, Reason: reason, status: status}
}

func (r *Refusal) after(d time.Duration) *Refusal {
	r.RetryAfterMs = d.Milliseconds()
	return r
}

// write sets the caller's final answer.
func (r *Refusal) write(x *fasthttp.RequestCtx, id string) {
	r.RequestID = id
	x.Response.Reset()
	h := &x.Response.Header
	h.Set(headerRequest, id)
	h.Set(headerOutcome, string(r.Outcome))
	h.Set(headerStep, r.Step)
	if r.RetryAfterMs > 0 {
		h.Set(headerRetryAfter, strconv.FormatInt(r.RetryAfterMs, 10))
		h.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt((r.RetryAfterMs+999)/1000, 10))
	}
	if r.kept != nil {
		h.SetContentType(r.kept.ContentType)
		x.SetStatusCode(r.kept.Status)
		x.Response.SetBody(r.kept.Body)
		return
	}
	h.SetContentType("application/json")
	x.SetStatusCode(r.status)
	b, err := json.Marshal(r)
	if err == nil {
		x.Response.SetBody(b)
	}
}

// ended returns the final answer of a request that the scheduler ended without an answer of a target.
func ended(c sched.EndCmd) *Refusal {
	status, text := reasonStatus(c.Reason)
	r := &Refusal{Outcome: OutcomeUnknown, Step: stepSchedule, Reason: text, status: fasthttp.StatusGatewayTimeout}
	if c.NotRun {
		r.Outcome, r.status = OutcomeNotRun, status
	}
	return r.after(c.RetryAfter)
}

func reasonStatus(r sched.Reason) (status int, text string) {
	switch r {
	case sched.ReasonDeadline:
		return fasthttp.StatusGatewayTimeout, "the deadline has passed"
	case sched.ReasonOverload:
		return fasthttp.StatusServiceUnavailable, "too much is waiting to make the deadline"
	case sched.ReasonQuota:
		return fasthttp.StatusTooManyRequests, "the team is over its quota"
	case sched.ReasonNoTarget:
		return fasthttp.StatusServiceUnavailable, "no target of the service takes new work in this data centre"
	case sched.ReasonRetryBudget:
		return fasthttp.StatusServiceUnavailable, "targets refused the request and the retry budget is spent"
	case sched.ReasonUnknown:
		return fasthttp.StatusGatewayTimeout, "the request was sent and its answer was lost"
	case sched.ReasonCancelled:
		return statusClientClosed, "the caller went away"
	}
	return fasthttp.StatusServiceUnavailable, string(r)
}

// statusClientClosed is the customary, non-standard status for a closed client connection.
const statusClientClosed = 499
