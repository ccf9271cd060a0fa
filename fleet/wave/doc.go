// Package wave takes VMs out for maintenance and moves, never more than the services' availability budgets allow.
//
// A planned stop is first reserved in the budget documents of the services concerned, then marked in the membership,
// then drained, then done, then marked as ended in the membership, and only then released from the budgets. Each VM
// counts its ended stops (pool.Member.Seq), and a reservation is for the next number: a membership write that starts a
// stop is conditional on a shard that does not count it as ended, and a reservation is released only after a shard does. So a
// leader that acts on an old budget document fails its write, and the documents alone tell a new leader how to go on.
package wave
