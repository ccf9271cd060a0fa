// Package target is a fake target VM for tests. It runs a limited number of requests at once, counts them and injects faults on demand.
//
// The headers Fake-Run-Ms, Fake-Answer-Bytes, Fake-Fault and Fake-Late-Ms of a request set its own run time, response size and fault.
// The control address serves GET /ctl/runs and POST /ctl/{drain,undrain,reboot,assign,fault}.
package target
