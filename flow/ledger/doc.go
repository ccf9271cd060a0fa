// Package ledger decides which keyed requests may be sent, so that each runs at most once.
//
// A Roster names the entries of a data centre that hold records of keys; a Book is one holder's records; a Claim is one
// request's way to both holders of its key; a Membership decides when the roster changes. All are plain values changed by
// messages with the time inside. docs/LEDGER.md gives the argument.
package ledger
