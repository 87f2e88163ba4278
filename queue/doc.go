// Package queue holds the configuration in force: the queues to which callers
// hand in jobs and the services that run them.
package queue
