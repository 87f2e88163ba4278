// Package route builds the routing table of an entry node from the
// configuration in force and the host list, and chooses the host of a request.
package route
