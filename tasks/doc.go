// Package tasks is the state machine of a job: its steps, tasks and runs, and the
// records from which another node restores it. It does no I/O and reads no clock.
package tasks
