// Package advice caches the advisor's decisions on which hosts may run a step. It
// does no I/O and reads no clock.
package advice
