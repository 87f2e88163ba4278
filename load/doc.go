// Package load is a load generator for entry nodes. It checks that each response
// is complete and belongs to its request, and records the results so that they
// can be compared with what the workers ran. Tests, the demo and benchmarks use
// it.
package load
