// Package oper serves the operators' HTTP API of an entry: changes to the configuration, the configuration in force, the state of
// VMs and entries, jobs, metrics and the service-level burn.
package oper
