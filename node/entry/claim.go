package entry

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/valyala/fasthttp"
)

// Verdict is the result of claiming a key.
type Verdict uint8

const (
	// Granted means that the request may be sent.
	Granted Verdict = iota
	// Repeated means that an earlier copy was answered and its answer is stored.
	Repeated
	// InProgress means that an earlier copy is still in progress.
	InProgress
	// AnswerLost means that an earlier copy may have run and its answer is unknown or not stored.
	AnswerLost
	// Mismatched means that the key was used for a different request.
	Mismatched
	// ClaimFailed means that the key could not be claimed and the request was not sent.
	ClaimFailed
	// EarlierUnknown means that this copy was not sent, and that it is unknown for now whether an earlier copy was.
	EarlierUnknown
)

// StoredAnswer is the target's answer to an earlier copy.
type StoredAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Claim is the right to send one keyed request. Exactly one call of Answered, Unknown or NotRun ends it.
type Claim interface {
	// SendBefore returns the time after which the request must not be sent.
	SendBefore() time.Time
	// Answered records the target's answer.
	Answered(k StoredAnswer)
	// Unknown records that the request may have run.
	Unknown()
	// NotRun records that the request was certainly not run, so that the key can be claimed again.
	NotRun()
}

// Keys claims idempotency keys fleet-wide.
type Keys interface {
	// Claim asks the entries that hold the key's record; attempt names this copy and digest identifies the request.
	Claim(ctx context.Context, key, attempt string, digest []byte) ClaimResult
}

// ClaimResult is the outcome of a claim.
type ClaimResult struct {
	Verdict    Verdict
	Claim      Claim        // set for Granted
	Stored     StoredAnswer // set for Repeated
	Reason     string
	RetryAfter time.Duration
}

// checkClaimAge refuses another attempt under an expired claim.
func (c *call) checkClaimAge() *Refusal {
	if c.claim == nil || time.Now().Before(c.claim.SendBefore()) {
		return nil
	}
	return notRun(fasthttp.StatusServiceUnavailable, stepClaim, "the claim of the key grew too old before a target took the request").after(time.Second)
}

// claimKey claims the request's key before the first attempt. A refusal, which may carry a stored answer, ends the request.
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
		return &Refusal{Outcome: OutcomeRepeat, Step: stepClaim, kept: &d.Stored}
	case InProgress:
		return claimConflict(OutcomeUnknown, "an earlier copy of this key is still running").after(time.Second)
	case AnswerLost:
		return claimConflict(OutcomeUnknown, "an earlier copy of this key may have run: "+d.Reason)
	case Mismatched:
		return claimConflict(OutcomeNotRun, "the key was used for another request")
	case EarlierUnknown:
		r := notRun(fasthttp.StatusServiceUnavailable, stepClaim, "this copy was not sent; whether an earlier one ran cannot be asked now: "+d.Reason)
		r.Outcome = OutcomeUnknown
		return r.after(d.RetryAfter)
	}
	return notRun(fasthttp.StatusServiceUnavailable, stepClaim, d.Reason).after(max(d.RetryAfter, minClaimRetry))
}

const (
	// stepClaim is the step that claims the key.
	stepClaim     = "claim"
	minClaimRetry = 100 * time.Millisecond
)

func claimConflict(o Outcome, reason string) *Refusal {
	return &Refusal{Outcome: o, Step: stepClaim, Reason: reason, status: fasthttp.StatusConflict}
}

// scopedKey returns the key qualified by team and service, so that equal keys of different teams or services do not collide.
func (c *call) scopedKey() string {
	return c.req.key + scopeSeparator + c.req.team + scopeSeparator + c.req.service
}

// scopeSeparator separates the parts of a scoped key; keys are printable ASCII and cannot contain it.
const scopeSeparator = "\x1f"

// digest returns the hash by which two requests with the same key are compared. It covers service, team, method, path and body.
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

// settleClaim reports the outcome to the holders of the key, which store the target's answer if there is one.
func (c *call) settleClaim(o Outcome) {
	if c.claim == nil {
		return
	}
	switch o {
	case OutcomeAnswered:
		c.claim.Answered(StoredAnswer{
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
