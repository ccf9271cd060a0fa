// Package live measures requests through real processes on loopback: an entry beside a bare relay in the same run.
package live
