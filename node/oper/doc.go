// Package oper serves the operators' API of an entry: changes of the configuration, what is in force, the state of VMs and
// entries, metrics and the service-level burn.
package oper
