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
func (k keys) Claim(ctx context.Context, key, attempt string, digest []byte) (entry.Verdict, entry.Claim, entry.Kept, string) {
	t, err := k.k.Take(ctx, key, digest, attempt)
	var again *relay.RepeatError
	var refused *relay.RefusedError
	switch {
	case err == nil:
		return entry.Granted, ticket{t}, entry.Kept{}, ""
	case errors.As(err, &again):
		return repeat(again)
	case errors.As(err, &refused) && refused.Reason() == ledger.OtherRequest:
		return entry.Mismatched, nil, entry.Kept{}, refused.Error()
	case errors.As(err, &refused) && !refused.NotRun():
		return entry.Lost, nil, entry.Kept{}, refused.Error()
	}
	return entry.Unheld, nil, entry.Kept{}, err.Error()
}

func repeat(r *relay.RepeatError) (entry.Verdict, entry.Claim, entry.Kept, string) {
	if b, ok := r.Answer(); ok && r.Phase() == ledger.Answered {
		return entry.Repeated, nil, entry.Kept{Status: r.Status(), ContentType: r.ContentType(), Body: b}, ""
	}
	if !r.Phase().Settled() {
		return entry.Running, nil, entry.Kept{}, r.Error()
	}
	return entry.Lost, nil, entry.Kept{}, r.Error()
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
