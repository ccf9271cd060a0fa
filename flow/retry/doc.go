// Package retry decides whether a request may be sent again.
//
// Only what certainly did not run, or is idempotent, is sent again, and only while the budget lasts:
// retries are bounded by a share of first sends, so that they never multiply an overload.
package retry
