// Package pool keeps every VM of a data centre in exactly one pool.
package pool
