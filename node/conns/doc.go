// Package conns holds the connections of an entry to one target, and sends each request at most once.
//
// A Pool does not retry. The error of Send says whether the request was certainly not sent or may have run, so that the caller can
// decide whether to send it again.
package conns
