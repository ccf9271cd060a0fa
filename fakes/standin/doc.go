// Command standin runs one of the simulated servers as a process, for the demo, benchmarks and tests. The command platform stands
// in for the platform, target for a target on a worker VM, and cutter for the network in front of a server: a TCP proxy that can
// close, stall and refuse connections.
package main
