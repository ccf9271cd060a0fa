// Package ledger decides which keyed requests may be sent, so that each runs at most once.
//
// A Roster lists the entries of a data centre that hold records of keys. A Book has the records of one holder. A Claim asks
// both holders of a key whether one copy of a request may be sent. A Membership decides when the roster changes.
// A roster is active at a holder once the holder has all records of earlier rosters that can still be obtained.
//
// Book, Claim and Membership do no I/O and have no clock: they change only by messages, which carry the current time.
// docs/LEDGER.md explains why two copies of a request can never both be sent.
package ledger
