package relay

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"burdockreach.dev/flow/ledger"
)

var (
	// ErrCircuitOpen reports that the peer's circuit is open after several failed calls, so that no call was sent.
	ErrCircuitOpen = eris.New("relay: peer's circuit is open")
	// ErrCallFailed reports that a call was sent and failed; the peer may have carried it out.
	ErrCallFailed = eris.New("relay: call failed")
)

func wrapErr(step, peer string, err error) error {
	return eris.Wrapf(err, "relay %s peer=%s", step, peer)
}

// RepeatError reports that another copy of the request has claimed the key.
type RepeatError struct{ record ledger.Record }

// Error returns the phase and the age of the other copy.
func (e *RepeatError) Error() string {
	return fmt.Sprintf("relay claim: repeat of a copy in phase %d, %s old", e.record.Phase, e.record.Age)
}

// Phase returns the phase of the other copy.
func (e *RepeatError) Phase() ledger.Phase { return e.record.Phase }

// Status returns the status of the other copy's answer.
func (e *RepeatError) Status() int { return e.record.Status }

// ContentType returns the content type of the other copy's answer.
func (e *RepeatError) ContentType() string { return e.record.ContentType }

// Answer returns the other copy's whole answer, and whether it was stored.
func (e *RepeatError) Answer() ([]byte, bool) { return e.record.Answer, e.record.HasAnswer }

// Age returns the time since the other copy's record last changed.
func (e *RepeatError) Age() time.Duration { return e.record.Age }

// RefusedError reports that the claim was refused; the copy was not sent and must not be.
type RefusedError struct {
	reason     ledger.Reason
	notRun     bool
	retryAfter time.Duration
	peer       string
}

// Error returns the step, the peer and the reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("relay claim peer=%s: %s, notRun=%t, retryAfter=%s", e.peer, e.reason, e.notRun, e.retryAfter)
}

// Reason returns why the claim was refused.
func (e *RefusedError) Reason() ledger.Reason { return e.reason }

// NotRun reports whether it is certain that no copy of the request had been sent when the claim was made.
//
// If it is false, this copy was not sent either, but an earlier copy may have been.
func (e *RefusedError) NotRun() bool { return e.notRun }

// RetryAfter returns the time to wait before a retry.
func (e *RefusedError) RetryAfter() time.Duration { return e.retryAfter }

// Step returns the step that failed.
func (e *RefusedError) Step() string { return "claim" }

// Peer returns the entry id of the holder at which the claim failed; it is empty for the platform's service.
func (e *RefusedError) Peer() string { return e.peer }
