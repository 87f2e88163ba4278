// Package fleet runs a whole fleet in one process on loopback: stand-ins of
// the platform, workers and entry nodes. The demo, tests and measurements use
// it.
package fleet
