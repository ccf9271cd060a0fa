// Package slope fits lines to costs that were measured at several sizes, stores the measurements as a record, and computes the
// capacity page from them: the costs at the size that the system is designed for.
package slope
