// Package entry is the process on an entry VM: it accepts callers' requests and forwards each to a target of its data centre.
//
// Lock order: Entry.tableMu, then service.mu, then the locks of conns.Pool and of the relay. No lock is held while a
// request is sent or a peer is called.
package entry
