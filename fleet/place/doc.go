// Package place puts a pool's jobs on its workers.
//
// Sizes and run times are learned by kind of job, since declared ones are far from the truth. Jobs go by their latest
// start, which moves earlier the less is known of their kind; urgent ones go first and make others yield, by throttle
// where memory is free and else by checkpoint. A job that fails on several good workers is given up, a worker that fails
// several jobs is set aside and tried again with one job at a time. A job that must run once is placed again only
// when its former task is known to have ended.
package place
