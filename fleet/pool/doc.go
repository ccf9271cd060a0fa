// Package pool holds the membership of a data centre: the pool and state of every VM, in shards that are written separately.
//
// Each VM has exactly one entry, in the shard that its name selects, and so is in exactly one pool. Leaders write shards
// to the store; entries follow them as deltas to a View.
package pool
