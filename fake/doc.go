// Package fake provides in-memory fakes of the outside platform for tests, demos
// and measurements: the log, the host list and HTTP workers, and for jobs the
// store, the advisor and hosts that run tasks under a lease. Each can inject the
// faults of the real service. Production code doesn't use it.
package fake
