// Package lease holds what a service's owner tells an upstream host and what it
// hears: starts, stops, leases on the host's own clock, runs and ends.
package lease
