// Package local runs managing nodes on loopback against a fake store and fake hosts,
// and injects faults while jobs run. The command demo jobs runs it.
package local
