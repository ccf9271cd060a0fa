// Package conns keeps the connections of an entry to one target and sends one request on one of them, at most once.
//
// A Pool never sends anything again by itself. Send tells apart what certainly did not leave from what may have run,
// so that the caller decides what may be sent again.
package conns
