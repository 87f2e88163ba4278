// Package peer lets entry nodes exchange offsets, records, states and load, so
// that a node that can't reach the log still learns what is in force.
package peer
