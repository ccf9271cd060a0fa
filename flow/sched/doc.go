// Package sched schedules the requests of one service at one entry: it admits or refuses them, queues them, selects a target for
// each send and decides about retries.
//
// A Scheduler changes only through Update. It reads no clock, does no I/O and starts no goroutine.
package sched
