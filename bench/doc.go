// Package bench contains the benchmarks behind docs/MEASURES.md and
// docs/CAPACITY.md: the cost of the request path, head-of-line blocking, the
// rollout time of a change, the cost of the control plane, and how the
// replicated state grows with the fleet. Each runs against a fleet in this
// process.
package bench
