// Package engine puts a node together that takes jobs in and runs them on the
// hosts of the fleet.
package engine
