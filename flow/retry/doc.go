// Package retry decides whether a request may be sent again.
//
// A request is retried only if it certainly did not run or is idempotent, and only while the retry budget lasts.
// The budget limits retries to a share of first sends, so that retries never multiply an overload.
package retry
