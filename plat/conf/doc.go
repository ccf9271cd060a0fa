// Package conf manages the operators' configuration. Each edit is a numbered Change in a log that the platform's key-value
// service stores; the changes, applied in order, make a Document. A Committer appends changes to the log, a Holder keeps the
// local copy of it, a Follower synchronises that copy with the service, and a Compactor writes snapshots and deletes old
// changes. If the service is restored from an older state, followers write the missing changes back (restore) or join the two
// histories (merge).
package conf
