// Package lease elects at most one holder of a key in the platform's key-value service.
//
// A holder trusts its lease until a time on its own monotonic clock that is well before the service lets the lease expire. This
// check alone is not enough: the process may be paused for any time between a call of Held and the action that follows. Each
// action of a holder must therefore be a conditional write, which fails if the holder was paused for too long. Held only avoids
// useless work; it does not make an action safe.
package lease
