// Package tasks is the client of the platform's calls that list, run, stop, checkpoint and throttle tasks on workers.
package tasks
