// Package place assigns the jobs of a pool to its workers.
//
// It estimates sizes and run times by kind of job from measurements, since declared values are far from the real ones.
// Jobs start in the order of their latest start time, which is earlier the less is known of their kind. Urgent jobs go
// first and preempt others: by throttling where enough memory is free, otherwise by checkpointing. A job that fails on
// several healthy workers is given up. A worker on which several jobs fail is quarantined and then tried again with one
// task at a time. A job that must never run twice at once is placed again only when its former task is known to have ended.
package place
