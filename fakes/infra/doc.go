// Package infra simulates a platform with workers, for tests that run entries as processes. It stands in for the platform's HTTP
// services: the store, which may be down or lose answers, the workers, whose leases and lifetimes end and whose orders may be late,
// and the machines. A checker records what happens at the workers.
package infra
