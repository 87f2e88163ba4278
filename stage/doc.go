// Package stage runs nodes that manage jobs on loopback, with stand-ins of the
// store and of hosts, and takes them through faults while jobs run.
package stage
