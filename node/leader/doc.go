// Package leader runs the control loop of a data centre's leader. The loop reads the stored documents, the platform's list of VMs
// and the entries' reports, feeds them to fleet/wave and fleet/spare, executes the commands that these return, and publishes the
// view of the targets.
//
// Every action begins with a conditional write, so a leader that was paused until after its lease expired does no harm.
package leader
