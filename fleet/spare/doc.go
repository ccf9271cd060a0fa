// Package spare decides how many VMs each pool needs in a data centre and which moves between pools pay.
//
// A pool's need follows the demand that lasts: a mean over minutes, or the floor of an overload that has outlived both
// the time a VM takes to be ready and the bursts seen so far. Spare VMs are held once for the data centre, as many as
// the worst loss of racks would take from all pools together. A pool that is short of its target waits out short
// shortages unless it is overloaded, and gives a VM back only once the idle VM has cost as much as the moves
// back and forth would.
package spare
