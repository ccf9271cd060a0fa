// Package sched decides, for one service at one entry, which request is refused, queued, sent or sent again, and to which target.
//
// Scheduler is changed only by Update; it reads no clock, does no I/O and starts no goroutine.
package sched
