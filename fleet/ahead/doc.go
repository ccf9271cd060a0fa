// Package ahead predicts when workers have room, from the expected ends of their runs. It is pure: it keeps no state and
// reads no clock.
//
// A task that fits nowhere reserves the worker that has room for it first. Until then, other tasks may use the worker if
// they are expected to end before, or if they fit beside the reserved size.
package ahead
