// Package jobs runs the jobs of a data centre's pools on their workers: operators put jobs into the platform's service, the
// holder of the leader's lease feeds them to fleet/place and performs its commands against the platform's tasks.
//
// Each attempt is recorded by a conditional write before the platform is asked to run it, and has an id of its own. A leader
// that finds a recorded attempt which the platform does not list stops that id before it makes another attempt; the platform
// never starts an id after its stop, so that a former leader that was paused between record and run starts no second copy.
package jobs
