// Package engine assembles a manager node, which accepts jobs and schedules them
// on the hosts of the fleet.
package engine
