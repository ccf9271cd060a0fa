// Package worker simulates the workers of a platform for tests. A worker grants leases on a clock of its own, rejects old fencing
// tokens, may crash and begin a new lifetime, and lists the runs that are active and those that have ended. It stands in for the
// worker processes of the platform. Tests use it directly, or over HTTP as part of a simulated platform.
//
// The checker records what happens at the workers and reports each violation of the guarantees that the software gives.
package worker
