// Package demo runs a fleet on loopback through what it has to stand: changes
// of the configuration, maintenance, an outage of the log, racing operators,
// and the loss of an entry node, under load; and shows what held.
package demo
