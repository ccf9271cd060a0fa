package daemon

import (
	"context"
	"errors"
	"time"

	"burdockreach.dev/flow/ledger"
	"burdockreach.dev/node/entry"
	"burdockreach.dev/node/relay"
)

// keyClaimer claims idempotency keys through the relay's key holder.
type keyClaimer struct{ k *relay.KeyHolder }

// Claim implements entry.Keys.
func (k keyClaimer) Claim(ctx context.Context, key, attempt string, digest []byte) entry.ClaimResult {
	t, err := k.k.ClaimKey(ctx, key, digest, attempt)
	var again *relay.RepeatError
	var refused *relay.RefusedError
	switch {
	case err == nil:
		return entry.ClaimResult{Verdict: entry.Granted, Claim: keyClaim{t}}
	case errors.As(err, &again):
		return repeatedDecision(again)
	case errors.As(err, &refused):
		return refusedDecision(refused)
	}
	return entry.ClaimResult{Verdict: entry.EarlierUnknown, Reason: err.Error()}
}

// refusedDecision returns the decision for a refused claim. Its verdict depends on the reason and on whether the request certainly did not run.
func refusedDecision(r *relay.RefusedError) entry.ClaimResult {
	d := entry.ClaimResult{Verdict: entry.EarlierUnknown, Reason: r.Error(), RetryAfter: r.RetryAfter()}
	switch {
	case r.Reason() == ledger.OtherRequest && r.NotRun():
		d.Verdict = entry.Mismatched
	case r.Reason() == ledger.OtherRequest:
		d.Verdict = entry.AnswerLost
	case r.NotRun():
		d.Verdict = entry.ClaimFailed
	}
	return d
}

// repeatedDecision returns the decision for a key that was claimed before: its kept answer, or that the earlier copy is running or lost.
func repeatedDecision(r *relay.RepeatError) entry.ClaimResult {
	if b, ok := r.Answer(); ok && r.Phase() == ledger.Answered {
		return entry.ClaimResult{Verdict: entry.Repeated, Stored: entry.StoredAnswer{Status: r.Status(), ContentType: r.ContentType(), Body: b}}
	}
	if !r.Phase().Settled() {
		return entry.ClaimResult{Verdict: entry.InProgress, Reason: r.Error()}
	}
	return entry.ClaimResult{Verdict: entry.AnswerLost, Reason: r.Error()}
}

// keyClaim is a granted claim of an idempotency key, to be settled with the outcome of the request.
type keyClaim struct{ t *relay.Ticket }

// SendBefore implements entry.Claim.
func (t keyClaim) SendBefore() time.Time { return t.t.SendBy() }

// Answered implements entry.Claim.
func (t keyClaim) Answered(k entry.StoredAnswer) {
	t.t.Settle(ledger.Answered, k.Status, k.ContentType, k.Body)
}

// Unknown implements entry.Claim.
func (t keyClaim) Unknown() { t.t.Settle(ledger.Unknown, 0, "", nil) }

// NotRun implements entry.Claim.
func (t keyClaim) NotRun() { t.t.Settle(ledger.NotRun, 0, "", nil) }
