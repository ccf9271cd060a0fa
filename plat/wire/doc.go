// Package wire posts JSON to the platform with exactly one attempt per call.
package wire
