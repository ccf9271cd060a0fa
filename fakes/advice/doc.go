// Package advice simulates the service that decides which workers may run a step.
package advice
