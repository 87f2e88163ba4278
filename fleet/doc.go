// Package fleet runs a complete fleet in one process on loopback addresses: entry
// nodes, fake workers, a fake platform and a simple load balancer. The demo,
// tests and benchmarks use it.
package fleet
