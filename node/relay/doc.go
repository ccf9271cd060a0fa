// Package relay carries what entries tell each other: beats, claims of keyed requests, handovers and slot loans.
//
// A Client calls other entries, a Server answers them, a Keeper runs package ledger for one entry, and a Beater tells the
// other entries what this one knows. Lock order: Keeper.mu, then Beater.mu, then Client.mu; no lock is held over a call.
package relay
