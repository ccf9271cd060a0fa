// Package cloud simulates a platform for tests, the demo and benchmarks. It stands in for the platform's HTTP services: the
// key-value service, the VM list, which lags behind, and the calls on VMs and on tasks.
//
// Server.Fault, or the path /fault, injects faults: outages, delays, lost answers and clients that are cut off.
package cloud
