// Package live measures request rate and latency through real processes on loopback: those of an entry and, as a baseline in the
// same run, those of a bare relay.
package live
