// Package depot decides on the machines of the fleet: which pool each belongs to
// and when it goes to upkeep. One node at a time has the depot.
package depot
