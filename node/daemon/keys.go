package daemon

import (
	"context"
	"errors"
	"time"

	"burdockreach.dev/flow/ledger"
	"burdockreach.dev/node/entry"
	"burdockreach.dev/node/relay"
)

// keys claims idempotency keys through the relay.
type keys struct{ k *relay.Keeper }

// Claim implements entry.Keys.
func (k keys) Claim(ctx context.Context, key, attempt string, digest []byte) entry.Decision {
	t, err := k.k.Take(ctx, key, digest, attempt)
	var again *relay.RepeatError
	var refused *relay.RefusedError
	switch {
	case err == nil:
		return entry.Decision{Verdict: entry.Granted, Claim: ticket{t}}
	case errors.As(err, &again):
		return repeat(again)
	case errors.As(err, &refused):
		return refusal(refused)
	}
	return entry.Decision{Verdict: entry.Unasked, Why: err.Error()}
}

func refusal(r *relay.RefusedError) entry.Decision {
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

func repeat(r *relay.RepeatError) entry.Decision {
	if b, ok := r.Answer(); ok && r.Phase() == ledger.Answered {
		return entry.Decision{Verdict: entry.Repeated, Kept: entry.Kept{Status: r.Status(), ContentType: r.ContentType(), Body: b}}
	}
	if !r.Phase().Settled() {
		return entry.Decision{Verdict: entry.Running, Why: r.Error()}
	}
	return entry.Decision{Verdict: entry.Lost, Why: r.Error()}
}

// ticket settles a claim.
type ticket struct{ t *relay.Ticket }

// Until implements entry.Claim.
func (t ticket) Until() time.Time { return t.t.Until() }

// Answered implements entry.Claim.
func (t ticket) Answered(k entry.Kept) {
	t.t.Settle(ledger.Answered, k.Status, k.ContentType, k.Body)
}

// Unknown implements entry.Claim.
func (t ticket) Unknown() { t.t.Settle(ledger.Unknown, 0, "", nil) }

// NotRun implements entry.Claim.
func (t ticket) NotRun() { t.t.Settle(ledger.NotRun, 0, "", nil) }
