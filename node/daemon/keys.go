package daemon

import (
	"context"
	"errors"
	"time"

	"burdockreach.dev/flow/ledger"
	"burdockreach.dev/node/entry"
	"burdockreach.dev/node/relay"
)

// keyClaimer claims idempotency keys through the relay's keeper.
type keyClaimer struct{ k *relay.Keeper }

// Claim implements entry.Keys.
func (k keyClaimer) Claim(ctx context.Context, key, attempt string, digest []byte) entry.Decision {
	t, err := k.k.ClaimKey(ctx, key, digest, attempt)
	var again *relay.RepeatError
	var refused *relay.RefusedError
	switch {
	case err == nil:
		return entry.Decision{Verdict: entry.Granted, Claim: keyClaim{t}}
	case errors.As(err, &again):
		return repeatedDecision(again)
	case errors.As(err, &refused):
		return refusedDecision(refused)
	}
	return entry.Decision{Verdict: entry.Unasked, Why: err.Error()}
}

// refusedDecision returns the decision for a refused claim. Its verdict depends on the reason and on whether the request certainly did not run.
func refusedDecision(r *relay.RefusedError) entry.Decision {
	d := entry.Decision{Verdict: entry.Unasked, Why: r.Error(), RetryAfter: r.RetryAfter()}
	switch {
	case r.Reason() == ledger.OtherRequest && r.NotRun():
		d.Verdict = entry.Mismatched
	case r.Reason() == ledger.OtherRequest:
		d.Verdict = entry.Lost
	case r.NotRun():
		d.Verdict = entry.Unheld
	}
	return d
}

// repeatedDecision returns the decision for a key that was claimed before: its kept answer, or that the earlier copy is running or lost.
func repeatedDecision(r *relay.RepeatError) entry.Decision {
	if b, ok := r.Answer(); ok && r.Phase() == ledger.Answered {
		return entry.Decision{Verdict: entry.Repeated, Kept: entry.Kept{Status: r.Status(), ContentType: r.ContentType(), Body: b}}
	}
	if !r.Phase().Settled() {
		return entry.Decision{Verdict: entry.Running, Why: r.Error()}
	}
	return entry.Decision{Verdict: entry.Lost, Why: r.Error()}
}

// keyClaim is a granted claim of an idempotency key, to be settled with the outcome of the request.
type keyClaim struct{ t *relay.Ticket }

// Until implements entry.Claim.
func (t keyClaim) Until() time.Time { return t.t.SendBy() }

// Answered implements entry.Claim.
func (t keyClaim) Answered(k entry.Kept) {
	t.t.Settle(ledger.Answered, k.Status, k.ContentType, k.Body)
}

// Unknown implements entry.Claim.
func (t keyClaim) Unknown() { t.t.Settle(ledger.Unknown, 0, "", nil) }

// NotRun implements entry.Claim.
func (t keyClaim) NotRun() { t.t.Settle(ledger.NotRun, 0, "", nil) }
