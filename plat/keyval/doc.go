// Package keyval is the client of the platform's key-value service, which offers compare-and-swap, leases and watches.
package keyval
