// Package jobs runs the jobs of a data centre's pools on their workers. Operators write jobs to the platform's key-value service.
// The holder of the leader's lease feeds them to fleet/place and executes the commands that it returns as calls to the platform's tasks.
//
// Each attempt has its own task id and is recorded by a conditional write before the platform is asked to run it. If the platform does
// not list a recorded attempt, the leader stops that id before it makes another attempt. The platform never starts an id after its
// stop. A former leader that was paused between the record and the run therefore cannot start a second copy.
package jobs
