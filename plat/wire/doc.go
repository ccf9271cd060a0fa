// Package wire makes HTTP calls with JSON bodies to the platform, each with exactly one attempt.
package wire
