// Package view holds what an entry knows about the targets of its data centre: the address, rack and pool of each VM, and whether
// it serves.
//
// The leader creates new versions and the entries replicate them as deltas. No entry returns to an older version.
package view
