// Package tasks holds the life of a job: its steps, its tasks, their runs and
// ends, and the records from which another node takes it up. All of it is pure.
package tasks
