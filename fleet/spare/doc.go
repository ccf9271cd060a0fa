// Package spare decides how many VMs each pool needs in a data centre and which moves between pools are worth their cost.
//
// A pool's need follows lasting demand: a mean over minutes, or the least demand during an overload that has lasted
// longer than a VM takes to become ready and longer than the bursts before it. Spare VMs are held once for the whole data
// centre, as many as the worst loss of racks would take from all pools together. A pool that is short of VMs waits for a
// while, in case the shortage is brief, unless it is overloaded. It returns an idle VM only once that VM has cost as much
// as moving one away and back would.
package spare
