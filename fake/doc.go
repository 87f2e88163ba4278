// Package fake provides in-memory fakes of the outside platform for tests, demos
// and measurements. Entry nodes use the log, the host list and the HTTP workers;
// management nodes use the store, the advisor and the hosts that run tasks under a
// lease. Each can inject the faults of the real service. Production code doesn't
// use this package.
package fake
