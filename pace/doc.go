// Package pace throttles best-effort tasks so that serving tasks on the same host
// meet their response-time targets. It does no I/O and keeps no state.
package pace
