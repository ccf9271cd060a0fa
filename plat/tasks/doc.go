// Package tasks is the client of the platform's calls that run, stop, checkpoint, throttle and list tasks on workers.
package tasks
