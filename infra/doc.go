// Package infra implements the machine controller, which assigns the machines
// of the fleet to pools, schedules their maintenance and divides the caps of
// organisations between the cells of services. It is active on one node at a time, the
// leader.
package infra
