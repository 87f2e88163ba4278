// Package owner deals the cells of services out to nodes: it keeps this node in
// the group that the platform's store divides them among, runs the cells that
// fall to it, and finds and calls the owners of the others.
package owner
