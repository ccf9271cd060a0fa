// Package lease keeps a named key of the platform's service in the hands of at most one holder.
//
// A holder believes in its lease until a time by its own monotonic clock, well before the service lets the lease lapse. After a
// pause of the process that clock says little: between a look at Held and the act that follows, any time may pass. So each act of
// a holder is a write under a condition, and the write of a holder that was paused too long fails. Held saves useless work, it
// does not make an act safe.
package lease
