// Package hosts is the client of the platform's calls that list, drain, reboot and assign VMs.
package hosts
