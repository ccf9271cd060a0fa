// Package relay is the protocol between entries: beats, claims and settlements of keyed requests, handover of records, and loans of
// slots.
//
// A Client calls other entries and a Server answers them. A KeyHolder runs package ledger for one entry, and a Heartbeater exchanges
// heartbeats. Lock order: KeyHolder.mu, then Heartbeater.mu, then Client.mu; no lock is held during a call.
package relay
