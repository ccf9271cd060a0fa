// Package relay is the protocol between entries: beats, claims and settlements of keyed requests, handover of records, and loans of
// slots.
//
// A Client calls other entries and a Server answers them. A Keeper runs package ledger for one entry, and a Beater exchanges
// heartbeats. Lock order: Keeper.mu, then Beater.mu, then Client.mu; no lock is held during a call.
package relay
