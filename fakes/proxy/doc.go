// Package proxy is a TCP proxy for tests that closes, stalls, delays or refuses connections on demand. It stands in for the network
// between an entry and the server that the entry calls.
//
// Its control address serves POST /ctl/{cut,stall,refuse,accept} and GET /ctl/stats. Each of them answers with the Stats as JSON.
package proxy
