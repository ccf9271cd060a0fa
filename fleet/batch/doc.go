// Package batch decides which jobs are accepted, where and when each task starts, when a task is retried, and which
// worker's machine is moved or maintained. Only Update changes a Model; Round returns the commands that the caller has
// to carry out.
package batch
