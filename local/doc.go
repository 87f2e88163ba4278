// Package local runs management nodes on loopback against a fake store and fake
// hosts, and injects faults while jobs run. The command "demo jobs" uses it.
package local
