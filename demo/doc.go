// Package demo runs a fleet on loopback addresses under load and exercises
// configuration changes, conflicting operators, maintenance, a log outage and the
// loss of an entry node. It reports which of the fleet's guarantees were violated.
package demo
