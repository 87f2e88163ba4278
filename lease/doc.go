// Package lease defines the commands that a service's owner sends to its upstream
// hosts and the replies: starts, stops, heartbeats, and leases that expire by the
// host's clock.
package lease
