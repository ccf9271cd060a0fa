// Package wave plans reboots of VMs in maintenance waves and moves of VMs between pools, within the availability budgets
// of the services.
//
// A planned stop goes through these steps, each a conditional write to a document in the store:
//
//  1. Reserve the stop in the budget of every service of the pool.
//  2. Mark the VM as draining in the membership.
//  3. Drain the VM, then reboot or move it.
//  4. Mark the stop as ended in the membership.
//  5. Release the reservations.
//
// The membership counts the ended stops of each VM, and a reservation is for the next number. The write that starts a stop
// is conditional on a shard that does not count the stop as ended, and a reservation is released only after a shard does.
// So a leader that acts on an old budget fails its write, and a new leader can continue from the documents alone.
package wave
