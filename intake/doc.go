// Package intake serves the HTTP API for callers: they submit jobs, query their
// status, cancel them and count pending ones at any node, which forwards the
// request to the owner of the service's cell.
package intake
