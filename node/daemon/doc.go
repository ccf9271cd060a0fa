// Package daemon joins the parts of one entry VM into a process: configuration, lease, relay, leader's loop, callers and operators.
package daemon
