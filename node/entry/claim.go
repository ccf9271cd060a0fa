package entry

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/valyala/fasthttp"
)

// Verdict is what the holders of a key say.
type Verdict uint8

const (
	// Granted means that the request may be sent.
	Granted Verdict = iota
	// Repeated means that an earlier copy has its answer, which is kept.
	Repeated
	// Running means that an earlier copy has no answer yet.
	Running
	// Lost means that an earlier copy may have run and its answer is not known or not kept.
	Lost
	// Mismatched means that the key was used for another request.
	Mismatched
	// Unheld means that the key could not be claimed; nothing was sent.
	Unheld
	// Unasked means that this copy was not sent and that it cannot be known now whether an earlier one was.
	Unasked
)

// Kept is the answer of an earlier copy.
type Kept struct {
	Status      int
	ContentType string
	Body        []byte
}

// Claim is the right to send one keyed request; exactly one of Settle's outcomes ends it.
type Claim interface {
	// Until is the time after which the request must not be sent any more.
	Until() time.Time
	// Answered records the target's answer.
	Answered(k Kept)
	// Unknown records that the request may have run.
	Unknown()
	// NotRun records that the request was certainly not run, so that the key can be claimed again.
	NotRun()
}

// Keys claims idempotency keys in all of the fleet.
type Keys interface {
	// Claim asks the key's holders.
	Claim(ctx context.Context, key, attempt string, digest []byte) Decision
}

// Decision is what came of a claim.
type Decision struct {
	Verdict    Verdict
	Claim      Claim // for Granted
	Kept       Kept  // for Repeated
	Why        string
	RetryAfter time.Duration
}

// checkClaimAge refuses a further send under a claim that has grown too old.
func (c *call) checkClaimAge() *Refusal {
	if c.claim == nil || time.Now().Before(c.claim.Until()) {
		return nil
	}
	return notRun(fasthttp.StatusServiceUnavailable, stepClaim, "the claim of the key grew too old before a target took the request").after(time.Second)
}

// claimKey claims the request's key before its first send; a refusal or a kept answer ends the request.
func (c *call) claimKey(ctx context.Context) *Refusal {
	if c.req.key == "" || c.claim != nil {
		return nil
	}
	x, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	d := c.entry.keys.Claim(x, c.scopedKey(), c.requestID, c.digest())
	switch d.Verdict {
	case Granted:
		c.claim = d.Claim
		return nil
	case Repeated:
		return &Refusal{Outcome: OutcomeRepeat, Step: stepClaim, kept: &d.Kept}
	case Running:
		return claimConflict(OutcomeUnknown, "an earlier copy of this key is still running").after(time.Second)
	case Lost:
		return claimConflict(OutcomeUnknown, "an earlier copy of this key may have run: "+d.Why)
	case Mismatched:
		return claimConflict(OutcomeNotRun, "the key was used for another request")
	case Unasked:
		r := notRun(fasthttp.StatusServiceUnavailable, stepClaim, "this copy was not sent; whether an earlier one ran cannot be asked now: "+d.Why)
		r.Outcome = OutcomeUnknown
		return r.after(d.RetryAfter)
	}
	return notRun(fasthttp.StatusServiceUnavailable, stepClaim, d.Why).after(max(d.RetryAfter, minClaimRetry))
}

const (
	// stepClaim is the step at which the holders of a key are asked.
	stepClaim     = "claim"
	minClaimRetry = 100 * time.Millisecond
)

func claimConflict(o Outcome, reason string) *Refusal {
	return &Refusal{Outcome: o, Step: stepClaim, Reason: reason, status: fasthttp.StatusConflict}
}

// scopedKey returns the key as the holders know it: keys of different teams or services are different.
func (c *call) scopedKey() string {
	return c.req.key + scopeSeparator + c.req.team + scopeSeparator + c.req.service
}

// scopeSeparator stands in no key.
const scopeSeparator = "\x1f"

// digest covers all that makes two requests the same.
func (c *call) digest() []byte {
	h := sha256.New()
	for _, b := range [][]byte{[]byte(c.req.service), []byte(c.req.team), c.http.Method(), c.http.Request.Header.RequestURI(), c.http.Request.Body()} {
		var n [8]byte
		binary.LittleEndian.PutUint64(n[:], uint64(len(b)))
		h.Write(n[:])
		h.Write(b)
	}
	return h.Sum(nil)[:digestBytes]
}

// digestBytes is the length of a request's digest.
const digestBytes = 16

// settleClaim tells the key's holders how the request ended; they keep the target's answer when answered.
func (c *call) settleClaim(o Outcome) {
	if c.claim == nil {
		return
	}
	switch o {
	case OutcomeAnswered:
		c.claim.Answered(Kept{
			Status:      c.http.Response.StatusCode(),
			ContentType: string(c.http.Response.Header.ContentType()),
			Body:        append([]byte(nil), c.http.Response.Body()...),
		})
	case OutcomeNotRun:
		c.claim.NotRun()
	default:
		c.claim.Unknown()
	}
	c.claim = nil
}
