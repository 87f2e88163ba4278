// Package engine assembles a management node, which accepts jobs and schedules
// them on the hosts of the fleet.
package engine
