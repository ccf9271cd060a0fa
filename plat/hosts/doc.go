// Package hosts is the client of the platform's list of VMs and of its drain, reboot and assign calls.
package hosts
