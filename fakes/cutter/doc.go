// Package cutter is a TCP forwarder for tests that cuts, stalls or refuses connections on demand.
//
// Its control address serves POST /ctl/{cut,stall,refuse,accept} and GET /ctl/stats.
package cutter
