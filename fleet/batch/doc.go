// Package batch decides which jobs are accepted, where and when each task starts, when a task is retried, and which
// worker's machine is moved or maintained. It has no side effects: messages go into a Model, and the caller carries out
// the commands that come out.
package batch
