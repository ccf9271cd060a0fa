package relay

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"burdockreach.dev/flow/ledger"
)

var (
	// ErrOpen reports that the peer has not answered lately, so that no call went out.
	ErrOpen = eris.New("relay: peer's circuit is open")
	// ErrCall reports that a call went out and was not answered as it should; it may have been carried out.
	ErrCall = eris.New("relay: call failed")
)

func wrapErr(step, peer string, err error) error {
	return eris.Wrapf(err, "relay %s peer=%s", step, peer)
}

// RepeatError reports that another copy of the key was claimed before.
type RepeatError struct{ record ledger.Record }

// Error tells how far the other copy came.
func (e *RepeatError) Error() string {
	return fmt.Sprintf("relay claim: repeat of a copy in phase %d, %s old", e.record.Phase, e.record.Age)
}

// Phase returns how far the other copy came.
func (e *RepeatError) Phase() ledger.Phase { return e.record.Phase }

// Status returns the status of the other copy's answer.
func (e *RepeatError) Status() int { return e.record.Status }

// ContentType returns the content type of the other copy's answer.
func (e *RepeatError) ContentType() string { return e.record.ContentType }

// Answer returns the other copy's whole answer and whether it was kept.
func (e *RepeatError) Answer() ([]byte, bool) { return e.record.Answer, e.record.Kept }

// Age returns how long ago the record last changed.
func (e *RepeatError) Age() time.Duration { return e.record.Age }

// RefusedError reports that the copy may not be sent; it has not been.
type RefusedError struct {
	reason     ledger.Reason
	notRun     bool
	retryAfter time.Duration
	peer       string
}

// Error tells step, peer and reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("relay claim peer=%s: %s, notRun=%t, retryAfter=%s", e.peer, e.reason, e.notRun, e.retryAfter)
}

// Reason returns why the copy was refused.
func (e *RefusedError) Reason() ledger.Reason { return e.reason }

// NotRun reports whether certainly no copy of the key had been sent when the claim was made.
//
// When it is false, this copy was not sent either, but an earlier one may have been.
func (e *RefusedError) NotRun() bool { return e.notRun }

// RetryAfter returns when to come back.
func (e *RefusedError) RetryAfter() time.Duration { return e.retryAfter }

// Step returns the step at which the request ended.
func (e *RefusedError) Step() string { return "claim" }

// Peer returns the holder at which the claim failed; empty for the platform's service.
func (e *RefusedError) Peer() string { return e.peer }
