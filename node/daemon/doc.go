// Package daemon assembles the process of one entry VM: configuration, lease, relay, leader's loop, jobs, and the servers for callers,
// peers and operators.
package daemon
