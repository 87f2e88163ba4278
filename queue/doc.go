// Package queue holds the operator's configuration: the queues to which callers
// submit jobs, the services that run them, and the maintenance waves.
package queue
