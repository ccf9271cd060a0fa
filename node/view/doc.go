// Package view is what an entry knows of the targets of its data centre: which VM stands where, in which pool and state.
//
// A leader makes versions, entries pass them on as deltas, and nobody goes back to an older one.
package view
