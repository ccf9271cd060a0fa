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

// broken answers what the server could not read as a request; nothing was run.
func (e *Entry) broken(x *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	r := notRun(fasthttp.StatusBadRequest, "parse", "the request cannot be read as HTTP")
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		r = notRun(fasthttp.StatusRequestEntityTooLarge, "parse", fmt.Sprintf("the body is over %d bytes", e.set.MaxBodyBytes()))
	case errors.As(err, &small):
		r = notRun(fasthttp.StatusRequestHeaderFieldsTooLarge, "parse", fmt.Sprintf("the header is over %d bytes", readBuffer))
	}
	e.count.refused.Add(1)
	r.write(x, e.ids.next())
}

// ids makes request ids that are unique in the fleet and over restarts.
type ids struct {
	prefix string
	n      atomic.Uint64
}

func newIDs(name string) *ids {
	return &ids{prefix: name + "-" + strconv.FormatInt(time.Now().UnixNano(), 36) + "-"}
}

func (i *ids) next() string { return i.prefix + strconv.FormatUint(i.n.Add(1), 36) }

// noKeys refuses every keyed request.
type noKeys struct{}

// Claim refuses.
func (noKeys) Claim(context.Context, string, string, []byte) Decision {
	return Decision{Verdict: Unheld, Why: "no holder of keys is configured"}
}

// noBurner counts nothing.
type noBurner struct{}

// Add does nothing.
func (noBurner) Add(burn.Key, burn.Outcome) {}

func className(c sched.Class) string {
	switch c {
	case sched.Urgent:
		return "urgent"
	case sched.Background:
		return "background"
	}
	return "normal"
}

func (e *Entry) burn(o order, b burn.Outcome) {
	e.burner.Add(burn.Key{Service: o.service, Class: className(o.class)}, b)
}

// spent counts a request without a target's answer.
func (e *Entry) spent(o order, r *Refusal) {
	switch r.Outcome {
	case OutcomeRepeat:
		e.count.repeated.Add(1)
		return
	case OutcomeUnknown:
		e.count.unknown.Add(1)
		if r.Step != stepClaim {
			e.burn(o, burn.Failed)
		}
	default:
		e.count.ended.Add(1)
		if r.status >= fasthttp.StatusInternalServerError {
			e.burn(o, burn.Refused)
		}
	}
}
